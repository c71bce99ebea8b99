/**
 * Order of waiting jobs by the shares of their organisations. Each job gets the virtual time at which
 * its service would start if the jobs of its organisation were served one after the other; the least
 * comes first. Costs a few map operations per job and organisation.
 */
import type { Accounts } from './accounts.js'
import { createVirtualTime } from './virtualTime.js'
import type { VirtualTime } from './virtualTime.js'
import type { Weights } from './weights.js'

/**
 * Burst of an organisation that stays within its share, in ms of its part of the room: as long as
 * VMs take to arrive (1.5 s) at most, since until then nothing but the wait tells a burst from a
 * lasting excess.
 */
const BURST_MS = 1000
/**
 * Virtual time within which jobs are ordered by their deadlines instead, in ms of the parts of the
 * room. An organisation can be ahead by this much at most, once.
 */
const QUANTUM_MS = 100
/**
 * Multiple of the mean backlog up to which the backlog of an organisation is within its share. At
 * the beginning of a turn every organisation waits for more than the small pool can do.
 */
const USUAL_BACKLOG_FACTOR = 1.5

/** How soon a job can be done, in the order in which the jobs of an organisation are served. */
export const JOB_STANDINGS = ['timely', 'late', 'useless'] as const
/** How soon a job can be done. */
export type JobStanding = (typeof JOB_STANDINGS)[number]

/** A job with tasks that may start. */
export interface WaitingJob<T> {
  job: T
  /** Undefined if it has none: such a job is always within the share. */
  organisation: string | undefined
  priority: number
  standing: JobStanding
  /** Expected service of the tasks that may start, in thousandths of a core times ms. */
  cost: number
}

/** Position of a job. */
export interface JobShare {
  /** Whether the job is beyond the share of its organisation. */
  isBeyond: boolean
  /** Steps of virtual time until its turn, negative for one that is overdue; the least is first. */
  turn: number
}

/** Amounts that wait, in thousandths of a core times ms. */
export interface Backlog {
  /** For the jobs within the shares of their organisations. */
  within: number
  /** For all other jobs. */
  beyond: number
}

/** What an organisation with waiting jobs has and asks for; the input of the order. */
export interface ShareState {
  organisation: string
  weight: number
  /** Service by this owner and by the others, in thousandths of a core times ms. */
  own: number
  others: number
  /** What it has received ahead of the virtual time, in ms of its part of the room. */
  leadMs: number
  backlog: Backlog
}

/** Input of one round. */
export interface ShareRoundInput<T> {
  /** Waiting jobs; those of one organisation in the order in which they are to be served. */
  jobs: Iterable<WaitingJob<T>>
  weights: Weights
  /** Processor room of the targets of the service, in thousandths of a core. */
  roomCpu: number
  now: number
}

/** Result of one round. */
export interface ShareRound<T> {
  shares: ReadonlyMap<T, JobShare>
  /** Backlog by priority; useless jobs are left out. */
  backlogs: ReadonlyMap<number, Backlog>
  /** Organisations with timely or late jobs that wait, by priority. */
  states: ReadonlyMap<number, readonly ShareState[]>
}

/** The order of the jobs of one service. */
export interface ShareOrder {
  /** Computes the order of the waiting jobs. */
  begin<T>(input: ShareRoundInput<T>): ShareRound<T>
  /** Records that a task of the organisation is started. */
  noteServed(organisation: string, priority: number, now: number): void
  /** Records that no job waits, other than those of the given priorities. */
  noteDrained(waiting?: ReadonlySet<number>): void
}

type Lists<T> = Record<JobStanding, WaitingJob<T>[]>

/** Groups the jobs by priority and organisation; returns those without one separately. */
function group<T>(jobs: Iterable<WaitingJob<T>>): {
  classes: Map<number, Map<string, Lists<T>>>
  others: WaitingJob<T>[]
} {
  const classes = new Map<number, Map<string, Lists<T>>>()
  const others: WaitingJob<T>[] = []
  for (const each of jobs) {
    const { organisation, priority, standing } = each
    if (organisation === undefined) {
      others.push(each)
      continue
    }
    let lists = classes.get(priority)
    if (!lists) classes.set(priority, (lists = new Map()))
    let own = lists.get(organisation)
    if (!own) lists.set(organisation, (own = { timely: [], late: [], useless: [] }))
    own[standing].push(each)
  }
  return { classes, others }
}

const costOf = (jobs: readonly WaitingJob<unknown>[]): number =>
  jobs.reduce((sum, { cost }) => sum + cost, 0)

const isOfUse = ({ timely, late }: Lists<unknown>): boolean =>
  timely.length + late.length > 0

/** Creates the order of a service for which nothing waits. */
export function createShareOrder(accounts: Accounts): ShareOrder {
  const times = new Map<number, VirtualTime>()
  /** Credit of idle organisations in the last round, as virtual time. */
  let credit = 0

  function timeOf(priority: number): VirtualTime {
    const known = times.get(priority)
    if (known) return known
    const time = createVirtualTime(accounts)
    times.set(priority, time)
    return time
  }

  return {
    begin<T>({ jobs, weights, roomCpu, now }: ShareRoundInput<T>): ShareRound<T> {
      const shares = new Map<T, JobShare>()
      const backlogs = new Map<number, Backlog>()
      const states = new Map<number, ShareState[]>()
      /** Virtual time per ms in which all organisations use their parts of the room. */
      const pace = Math.max(roomCpu, 1) / weights.total
      credit = BURST_MS * pace
      const quantum = QUANTUM_MS * pace
      const { classes, others } = group(jobs)

      function backlogOf(priority: number): Backlog {
        const known = backlogs.get(priority)
        if (known) return known
        const backlog = { within: 0, beyond: 0 }
        backlogs.set(priority, backlog)
        return backlog
      }

      /** Returns the virtual time that the backlogs of the organisations cover on average. */
      function meanBacklog(lists: ReadonlyMap<string, Lists<T>>): number {
        let cost = 0
        let weight = 0
        for (const [organisation, { timely, late }] of lists) {
          if (timely.length + late.length === 0) continue
          cost += costOf(timely) + costOf(late)
          weight += weights.of(organisation)
        }
        return weight === 0 ? 0 : cost / weight
      }

      for (const [priority, lists] of classes) {
        for (const organisation of lists.keys()) accounts.of(organisation)
        const time = timeOf(priority)
        const waiting = new Set<string>()
        for (const [organisation, own] of lists)
          if (isOfUse(own)) waiting.add(organisation)
        time.advance(waiting, credit, now)
        const tolerance = Math.max(credit, USUAL_BACKLOG_FACTOR * meanBacklog(lists))
        const total = backlogOf(priority)
        const found: ShareState[] = []
        for (const [organisation, own] of lists) {
          const weight = weights.of(organisation)
          const lead = time.startOf(organisation) - time.now()
          const backlog: Backlog = { within: 0, beyond: 0 }
          let start = lead
          for (const standing of JOB_STANDINGS) {
            for (const { job, cost } of own[standing]) {
              const isBeyond = start > tolerance
              shares.set(job, { isBeyond, turn: Math.floor(start / quantum) })
              start += cost / weight
              if (standing !== 'useless') backlog[isBeyond ? 'beyond' : 'within'] += cost
            }
          }
          total.within += backlog.within
          total.beyond += backlog.beyond
          if (!isOfUse(own)) continue
          const { own: ownService, others: otherService } = accounts.of(organisation)
          found.push({
            organisation,
            weight,
            own: ownService,
            others: otherService,
            leadMs: lead / pace,
            backlog,
          })
        }
        states.set(priority, found)
      }
      for (const { job, priority, standing, cost } of others) {
        shares.set(job, { isBeyond: false, turn: 0 })
        if (standing !== 'useless') backlogOf(priority).within += cost
      }
      return { shares, backlogs, states }
    },
    noteServed: (organisation, priority, now) =>
      timeOf(priority).noteServed(organisation, now),
    noteDrained(waiting) {
      for (const [priority, time] of times)
        if (!waiting?.has(priority)) time.drain(credit)
    },
  }
}
