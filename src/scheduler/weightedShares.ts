/**
 * Weighted shares of organisations in the room of one service, over all services. The owner of the
 * service decides the order; the service that organisations receive elsewhere arrives with the
 * answers of the fleet's owner. The state is in memory only.
 */
import type { ConfigurationHolder } from '../directory/index.js'
import { isLastingJob } from '../jobs/index.js'
import type { Job, Step, Task } from '../jobs/index.js'
import { monotonicMs } from '../shared/index.js'
import type { Logger } from '../shared/index.js'
import {
  createAccounts,
  createAging,
  createShareOrder,
  dominantCpu,
  weightsOf,
} from '../shares/index.js'
import type {
  Backlog,
  IdleJob,
  ShareAnswer,
  ShareReport,
  ShareRound,
  ShareState,
  WaitingJob,
} from '../shares/index.js'
import type { FairShares } from './fairShares.js'
import type { JobSettings } from './jobSettings.js'
import { needOf } from './room.js'
import type { RunTimes } from './runTimes.js'
import type { QuotaUsage } from './serviceQuotas.js'
import type { TargetAgent } from './types.js'
import type { Urgency } from './urgency.js'

/** Shortest time between two lines about organisations beyond their shares, in ms. */
const LOG_INTERVAL_MS = 1000
/** Most organisations in one line. */
const MAX_LOGGED = 10
/** Most organisations in one report; totals of others follow with the next ones. */
const MAX_REPORTED = 64

/** What waits in one priority, for decisions about new jobs. */
export interface PriorityBacklog extends Backlog {
  /** Organisations of which some jobs wait beyond their shares. */
  organisationsBeyond: string[]
}

/** What waits for the targets of a service. */
export interface ShareBacklogs {
  /** Monotonic time of the round, in ms; -Infinity before the first one. */
  at: number
  byPriority: ReadonlyMap<number, PriorityBacklog>
}

/** Input of a round of planning. */
export interface WeightedRoundInput {
  ready: Iterable<Task>
  agents: readonly TargetAgent[]
  now: number
  /** Urgency without regard to shares. */
  urgencyOf(job: Job): Urgency
  /** Whether a quota keeps the step from starting, however much room there is. */
  isHeld(step: Step): boolean
}

/** The shares of one service. */
export interface WeightedShares extends FairShares {
  /** Notified of every run that may be on a target. */
  usage: QuotaUsage
  /** Computes the order of the waiting jobs; returns their urgencies. */
  begin(input: WeightedRoundInput): ReadonlyMap<Job, Urgency>
  /** Adds the position of a job in the last round to its urgency. */
  order(job: Job, urgency: Urgency): Urgency
  /** Records a planned start. */
  notePlanned(step: Step): void
  /** Ends a round, or records that nothing waits. */
  end(waiting: Iterable<Step>): void
  /** What waits, as of the last round. */
  backlogs(): ShareBacklogs
  report(): ShareReport
  /** Applies the answer to the last report; undefined from an owner that does not sum up service. */
  apply(answer: ShareAnswer | undefined): void
}

/** Dependencies of the shares of one service. */
export interface WeightedSharesOptions {
  service: string
  configuration: ConfigurationHolder
  settings: JobSettings
  runTimes: RunTimes
  log: Logger
  /** Monotonic clock, in ms. */
  now?: () => number
}

/** A run that has been charged. */
interface Charge {
  at: number
  cpu: number
  amount: number
}

/** The tasks of a job that may start. */
interface WaitingTasks {
  cost: number
  /** Monotonic time since which one of them may start, in ms. */
  readySince: number
}

const NO_ROUND: ShareRound<Job> = {
  shares: new Map(),
  backlogs: new Map(),
  states: new Map(),
}
const NO_ORGANISATIONS = new Map<string, never>()

/** Creates the shares of a service whose owner does not know any received service. */
export function createWeightedShares(opts: WeightedSharesOptions): WeightedShares {
  const { service, configuration, runTimes, log, now: clock = monotonicMs } = opts
  const weights = () =>
    weightsOf(configuration.current()?.organisations ?? NO_ORGANISATIONS)
  const accounts = createAccounts((organisation) => weights().of(organisation))
  const shareOrder = createShareOrder(accounts)
  const aging = createAging()
  /** Charges of present runs, by step; tasks of one step cost the same. */
  const charges = new Map<Step, Charge[]>()
  /** Jobs that were beyond the share on arrival and have not been in a round yet. */
  const arrivedBeyond = new WeakSet<Job>()
  let round = NO_ROUND
  let roundAt = -Infinity
  let aged: Job | undefined
  /** Room of the targets in the last round. */
  let room = { cpu: 0, memMb: 0 }
  let loggedAt = -Infinity
  /** Totals in the last report, and in the last one that was answered. */
  let reported = new Map<string, number>()
  const answered = new Map<string, number>()
  let seen: Pick<ShareAnswer, 'ledger' | 'version'> | undefined
  let seenAt = -Infinity
  /** Totals of the other services by the last answers of one ledger. */
  const othersGiven = new Map<string, number>()

  /** Lasting tasks hold room that is not given anew, so they do not count. */
  const costCpu = (step: Step): number =>
    step.spec.lasting ? 0 : dominantCpu(needOf(step), room)

  const priorityOf = (job: Job): number | undefined =>
    opts.settings.of(job.spec)?.priority

  /** The organisation of a job; undefined where none is configured. */
  const organisationOf = ({ spec }: Job): string | undefined =>
    configuration.current()?.organisations && spec.organisation

  function measureRoom(agents: readonly TargetAgent[]): void {
    const sum = { cpu: 0, memMb: 0 }
    for (const { room: each } of agents) {
      sum.cpu += each.capacity.cpu
      sum.memMb += each.capacity.memMb
    }
    // Without targets, the shape of the last ones is the best guess.
    if (sum.cpu > 0) room = sum
  }

  /** Sums up the waiting tasks by job, in the order in which they became ready. */
  function sumWaiting({ ready, isHeld }: WeightedRoundInput): Map<Job, WaitingTasks> {
    const found = new Map<Job, WaitingTasks>()
    const perTask = new Map<Step, number>()
    for (const { step, readySince } of ready) {
      let cost = perTask.get(step)
      if (cost === undefined) {
        cost = isHeld(step) ? NaN : costCpu(step) * runTimes.meanRunMs(step)
        perTask.set(step, cost)
      }
      if (Number.isNaN(cost)) continue
      const known = found.get(step.job)
      if (known) known.cost += cost
      else found.set(step.job, { cost, readySince })
    }
    return found
  }

  function* idleJobs(waiting: ReadonlyMap<Job, WaitingTasks>): Generator<IdleJob<Job>> {
    for (const [job, { readySince }] of waiting) {
      const { queue, organisation } = job.spec
      // A job that was due later has been idle since its tasks could start.
      const idleSince = job.placed > 0 ? undefined : Math.max(job.idleSince, readySince)
      yield { job, queue, organisation, idleSince }
    }
  }

  const beyondOf = (states: readonly ShareState[]): ShareState[] =>
    states.filter(({ backlog }) => backlog.beyond > 0)

  function logBeyond(now: number): void {
    if (now - loggedAt < LOG_INTERVAL_MS || !log.enabled('sharesExceeded')) return
    const found = [...round.states].flatMap(([priority, states]) =>
      beyondOf(states).map((state) => ({ priority, state })),
    )
    if (found.length === 0) return
    loggedAt = now
    found.sort((a, b) => b.state.backlog.beyond - a.state.backlog.beyond)
    const totalWeight = weights().total
    log.event('sharesExceeded', {
      service,
      beyond: found.length,
      roomCpu: Math.round(room.cpu),
      totalWeight,
      othersAgeMs: Number.isFinite(seenAt) ? Math.round(now - seenAt) : undefined,
      organisations: found.slice(0, MAX_LOGGED).map(({ priority, state }) => ({
        organisation: state.organisation,
        priority,
        weight: state.weight,
        leadMs: Math.round(state.leadMs),
        ownCpuMs: Math.round(state.own),
        othersCpuMs: Math.round(state.others),
        withinCpuMs: Math.round(state.backlog.within),
        beyondCpuMs: Math.round(state.backlog.beyond),
      })),
    })
  }

  const shares: WeightedShares = {
    usage: {
      add(step) {
        const organisation = organisationOf(step.job)
        const cpu = costCpu(step)
        if (organisation === undefined || cpu === 0) return
        const charge = { at: clock(), cpu, amount: cpu * runTimes.meanRunMs(step) }
        const known = charges.get(step)
        if (known) known.push(charge)
        else charges.set(step, [charge])
        accounts.addOwn(organisation, charge.amount)
      },
      remove(step) {
        const { organisation } = step.job.spec
        const known = charges.get(step)
        const charge = known?.shift()
        if (known?.length === 0) charges.delete(step)
        if (!charge || organisation === undefined) return
        const { at, cpu, amount } = charge
        accounts.addOwn(organisation, cpu * (clock() - at) - amount)
      },
    },

    note(job) {
      const organisation = organisationOf(job)
      const priority = priorityOf(job)
      if (organisation === undefined || priority === undefined) return false
      const states = round.states.get(priority) ?? []
      const state = states.find((each) => each.organisation === organisation)
      if (!state || state.backlog.beyond === 0) return false
      arrivedBeyond.add(job)
      return true
    },
    isBeyondShare: (job) => round.shares.get(job)?.isBeyond ?? arrivedBeyond.has(job),

    begin(input) {
      const { agents, now } = input
      roundAt = now
      measureRoom(agents)
      const tasks = sumWaiting(input)
      const urgencies = new Map<Job, Urgency>()
      const waiting: WaitingJob<Job>[] = []
      for (const [job, { cost }] of tasks) {
        const urgency = input.urgencyOf(job)
        const { priority, standing } = urgency
        urgencies.set(job, urgency)
        arrivedBeyond.delete(job)
        const organisation = isLastingJob(job.spec) ? undefined : organisationOf(job)
        waiting.push({ job, organisation, priority, standing, cost })
      }
      round = shareOrder.begin({
        jobs: waiting,
        weights: weights(),
        roomCpu: room.cpu,
        now,
      })
      aged = aging.pick(idleJobs(tasks), now)
      logBeyond(now)
      for (const [job, urgency] of urgencies)
        urgencies.set(job, shares.order(job, urgency))
      return urgencies
    },
    order(job, { priority, standing, deadline }) {
      const share = round.shares.get(job)
      // Spreading `urgency` would be most of the time of a round, which does this for every job.
      const ordered: Urgency = {
        priority,
        standing,
        deadline,
        isBeyondShare: share?.isBeyond ?? false,
        turn: share?.turn ?? 0,
        isBegun: job.begun,
        isAged: job === aged && job.placed === 0,
      }
      if (ordered.isAged) ordered.maxStarts = 1
      return ordered
    },
    notePlanned({ job }) {
      const organisation = organisationOf(job)
      const priority = priorityOf(job)
      if (organisation === undefined || priority === undefined) return
      shareOrder.noteServed(organisation, priority, clock())
    },
    end(waiting) {
      const priorities = new Set<number>()
      let isAnyWaiting = false
      for (const { job } of waiting) {
        isAnyWaiting = true
        const priority = priorityOf(job)
        if (priority !== undefined && round.shares.has(job)) priorities.add(priority)
      }
      shareOrder.noteDrained(priorities)
      if (isAnyWaiting) return
      round = NO_ROUND
      roundAt = clock()
    },

    backlogs() {
      const byPriority = new Map<number, PriorityBacklog>()
      for (const [priority, backlog] of round.backlogs) {
        const states = beyondOf(round.states.get(priority) ?? [])
        const organisationsBeyond = states.map(({ organisation }) => organisation)
        byPriority.set(priority, { ...backlog, organisationsBeyond })
      }
      return { at: roundAt, byPriority }
    },

    report() {
      // With totals of 0 the first service of each organisation counts as well.
      for (const name of configuration.current()?.organisations?.keys() ?? [])
        accounts.of(name)
      reported = new Map()
      for (const [organisation, { own }] of accounts.byOrganisation) {
        if (reported.size >= MAX_REPORTED) break
        const total = Math.round(own)
        if (answered.get(organisation) !== total) reported.set(organisation, total)
      }
      return {
        given: Object.fromEntries(reported),
        ledger: seen?.ledger,
        seen: seen?.version,
      }
    },
    apply(answer) {
      if (!answer) return
      const isSameLedger = answer.ledger === seen?.ledger
      if (!isSameLedger) othersGiven.clear()
      for (const [organisation, total] of Object.entries(answer.given)) {
        // A new ledger contains service that the last one has passed on already.
        if (isSameLedger)
          accounts.addOthers(organisation, total - (othersGiven.get(organisation) ?? 0))
        othersGiven.set(organisation, total)
      }
      if (isSameLedger) for (const [name, total] of reported) answered.set(name, total)
      else answered.clear()
      seen = { ledger: answer.ledger, version: answer.version }
      seenAt = clock()
    },
  }
  return shares
}
