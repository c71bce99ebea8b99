/**
 * Computes the load of a service for the fronts, which refuse jobs by it. All amounts that may keep a
 * job waiting are lower bounds: work of queues whose run times are not known yet is left out.
 */
import type {
  BacklogPart,
  PriorityOrganisations,
  ServiceLoad,
} from '../admission/index.js'
import { isStepDone } from '../jobs/index.js'
import type { Job, JobBook, Step } from '../jobs/index.js'
import type { Resources } from '../ports/index.js'
import { dominantCpu, memoryAsCpu } from '../shares/index.js'
import type { FairShares } from './fairShares.js'
import { needOf } from './room.js'
import type { RunTimes } from './runTimes.js'
import type { QuotaRound } from './serviceQuotas.js'
import type { StartWindow } from './startWindow.js'
import type { TargetAgent } from './types.js'
import type { Urgency } from './urgency.js'

/**
 * Shortest interval between two loads, in ms. A load of 300 jobs of 16 tasks takes 0.6 ms, which is
 * 0.6 % of a core at the peak of a queue.
 */
const LOAD_INTERVAL_MS = 100
/** Time for which the room that the owner of the fleet named counts, in ms: several reports. */
const ATTAINABLE_MAX_AGE_MS = 1000

/** Dependencies of the meter. */
export interface LoadMeterOptions {
  term: number
  book: Pick<JobBook, 'open'>
  shares: Pick<FairShares, 'isBeyondShare'>
  /** Whether organisations are served by turns, so that none waits for all work within shares. */
  areSharesWeighted: boolean
  /** Returns the check whether a quota keeps tasks of a step from starting now. */
  beginQuotas(): Pick<QuotaRound, 'exceeds'>
  runTimes: Pick<RunTimes, 'hasEnoughRuns' | 'meanRunMs'>
  startWindow: Pick<StartWindow, 'isBehind' | 'perSecond'>
  urgencyOf(job: Job, now: number): Urgency
  agents(): readonly TargetAgent[]
  /** Whether all inherited jobs and runs are known and the ownership is confirmed. */
  isSettled(): boolean
  /** Whether the fleet has an owner that can add room to the service. */
  hasFleet: boolean
  /** Returns the time of a monotonic clock, in ms. */
  now(): number
}

/** The load of one service. */
export interface LoadMeter {
  /** Records the room that the service can get; undefined if the owner of the fleet does not know. */
  noteAttainable(cpu: number | undefined): void
  /** Returns the load, which is at most 100 ms old; undefined during a takeover. */
  current(): ServiceLoad | undefined
}

/** Room of the targets that take new tasks. */
interface TargetsRoom {
  capacity: Resources
  /** Idle room, in thousandths of a core; memory is converted to the processor room beside it. */
  idleCpu: number
  /** Ids of the targets. */
  ids: ReadonlySet<string>
}

function roomOf(agents: readonly TargetAgent[]): TargetsRoom {
  const capacity = { cpu: 0, memMb: 0, gpu: 0 }
  let idleCpu = 0
  const ids = new Set<string>()
  for (const agent of agents) {
    if (!agent.isUsable()) continue
    ids.add(agent.target.id)
    const { free, capacity: whole } = agent.room
    capacity.cpu += whole.cpu
    capacity.memMb += whole.memMb
    const byMemory = whole.memMb > 0 ? memoryAsCpu(free.memMb, whole) : Infinity
    idleCpu += Math.max(0, Math.min(free.cpu, byMemory))
  }
  return { capacity, idleCpu, ids }
}

/** Number of the tasks of a step by phase. */
interface StepCounts {
  blocked: number
  ready: number
  /** Only those on targets whose room counts. */
  placed: number
  /** Expected time left of the placed tasks together, in ms. */
  runningMs: number
}

function countTasks(
  step: Step,
  { ids }: TargetsRoom,
  meanMs: number,
  now: number,
): StepCounts {
  const counts = { blocked: 0, ready: 0, placed: 0, runningMs: 0 }
  for (const { phase, startedAt, targetId } of step.tasks) {
    if (phase === 'done' || phase === 'failed') continue
    if (phase === 'placed' && (targetId === undefined || !ids.has(targetId))) continue
    counts[phase]++
    if (phase === 'placed')
      counts.runningMs += Math.max(0, meanMs - Math.max(0, now - startedAt))
  }
  return counts
}

/** Sums over the open jobs. */
interface Sums {
  quotas: Pick<QuotaRound, 'exceeds'>
  /** By priority and share. */
  parts: Map<string, BacklogPart>
  /** Room that ready tasks of jobs that are still of use will take, in thousandths of a core. */
  readyCpu: number
  /** Room of lasting tasks, in thousandths of a core. */
  lastingCpu: number
  runningWork: number
  runMs: Record<string, number>
  /**
   * Organisations with tasks that may start, by priority; whether the newest of these jobs is beyond
   * the share.
   */
  waiting: Map<number, Map<string, boolean>>
}

function partOf({ parts }: Sums, priority: number, beyondShare: boolean): BacklogPart {
  const key = `${priority} ${beyondShare}`
  const known = parts.get(key)
  if (known) return known
  const amounts = { timelyWork: 0, lateWork: 0, timelyStarts: 0, lateStarts: 0 }
  const part = { priority, beyondShare, ...amounts }
  parts.set(key, part)
  return part
}

/** Records that a job that is still of use has ready tasks. */
function noteWaiting(
  { waiting }: Sums,
  { spec: { organisation } }: Job,
  priority: number,
  isBeyond: boolean,
): void {
  if (organisation === undefined) return
  const known = waiting.get(priority)
  if (known) known.set(organisation, isBeyond)
  else waiting.set(priority, new Map([[organisation, isBeyond]]))
}

/** Adds waiting work to a part, by the standing of its job. Useless work delays no other. */
const ADD_WAITING: Record<
  Urgency['standing'],
  (part: BacklogPart, work: number, starts: number) => void
> = {
  timely(part, work, starts) {
    part.timelyWork += work
    part.timelyStarts += starts
  },
  late(part, work, starts) {
    part.lateWork += work
    part.lateStarts += starts
  },
  useless: () => undefined,
}

/** Creates the meter of one owner. */
export function createLoadMeter(opts: LoadMeterOptions): LoadMeter {
  const { term, book, shares, runTimes, startWindow, urgencyOf, isSettled, now } = opts
  let sequence = 0
  let computedAt = -Infinity
  let latest: ServiceLoad | undefined
  let attainable: { cpu: number; at: number } | undefined

  /**
   * Adds the tasks of a step; returns whether a quota holds it or a step before it. Held tasks start
   * only when others of their organisation end, whatever room is idle, so that only what runs counts.
   */
  function addStep(
    sums: Sums,
    step: Step,
    room: TargetsRoom,
    urgency: Urgency,
    isHeldBefore: boolean,
  ): boolean {
    const { job, spec } = step
    const cpu = dominantCpu(needOf(step), room.capacity)
    const isKnown = runTimes.hasEnoughRuns(step)
    const meanMs = isKnown ? runTimes.meanRunMs(step) : 0
    const { blocked, ready, placed, runningMs } = countTasks(step, room, meanMs, now())
    const isHeld = isHeldBefore || (ready > 0 && sums.quotas.exceeds(step))
    if (spec.lasting) {
      sums.lastingCpu += cpu * (placed + (isHeld ? 0 : ready))
      return isHeld
    }
    const isBeyond = shares.isBeyondShare(job)
    if (urgency.standing !== 'useless' && ready > 0 && !isHeld) {
      sums.readyCpu += cpu * ready
      noteWaiting(sums, job, urgency.priority, isBeyond)
    }
    if (!isKnown) return isHeld
    sums.runMs[job.spec.queue] = Math.round(meanMs)
    sums.runningWork += (cpu * runningMs) / 1000
    if (isHeld) return true
    const waiting = blocked + ready
    const part = partOf(sums, urgency.priority, isBeyond)
    ADD_WAITING[urgency.standing](part, (cpu * waiting * meanMs) / 1000, waiting)
    return false
  }

  function addJob(sums: Sums, job: Job, room: TargetsRoom, at: number): void {
    const urgency = urgencyOf(job, at)
    for (const { due, steps } of job.occurrences) {
      if (!due) continue
      let isHeld = false
      for (const step of steps)
        if (!isStepDone(step)) isHeld = addStep(sums, step, room, urgency, isHeld)
    }
  }

  /** Room that the service has or can get; undefined if the owner of the fleet has not named it. */
  function attainableCpu({ capacity }: TargetsRoom, at: number): number | undefined {
    if (!opts.hasFleet) return capacity.cpu
    if (!attainable || at - attainable.at > ATTAINABLE_MAX_AGE_MS) return undefined
    return Math.max(capacity.cpu, attainable.cpu)
  }

  function compute(at: number): ServiceLoad {
    const room = roomOf(opts.agents())
    const sums: Sums = {
      quotas: opts.beginQuotas(),
      parts: new Map(),
      readyCpu: 0,
      lastingCpu: 0,
      runningWork: 0,
      runMs: {},
      waiting: new Map(),
    }
    for (const job of book.open) addJob(sums, job, room, at)
    const idleCpu = Math.round(Math.max(0, room.idleCpu - sums.readyCpu))
    sequence++
    const head = { term, sequence, idleCpu }
    const perSecond = startWindow.isBehind() ? startWindow.perSecond() : undefined
    if (idleCpu > 0 && !perSecond)
      return { ...head, runningWork: 0, backlog: [], organisationsBeyond: [], runMs: {} }
    const whole = attainableCpu(room, at)
    return {
      ...head,
      attainableCpu: whole && Math.round(Math.max(0, whole - sums.lastingCpu)),
      startsPerSecond: perSecond && Math.round(perSecond),
      runningWork: Math.round(sums.runningWork),
      backlog: [...sums.parts.values()].map(roundWork),
      ...(opts.areSharesWeighted && { turns: namesOf(sums, () => true) }),
      organisationsBeyond: namesOf(sums, (isBeyond) => isBeyond),
      runMs: sums.runMs,
    }
  }

  return {
    noteAttainable(cpu) {
      attainable = cpu === undefined ? undefined : { cpu, at: now() }
    },
    current() {
      if (!isSettled()) return undefined
      const at = now()
      if (latest && at - computedAt < LOAD_INTERVAL_MS) return latest
      computedAt = at
      latest = compute(at)
      return latest
    },
  }
}

/** Names of the waiting organisations that match, by priority. */
const namesOf = (
  { waiting }: Sums,
  matches: (isBeyond: boolean) => boolean,
): PriorityOrganisations[] =>
  [...waiting].flatMap(([priority, found]) => {
    const organisations = [...found].flatMap(([name, is]) => (matches(is) ? [name] : []))
    return organisations.length > 0 ? [{ priority, organisations }] : []
  })

const roundWork = (part: BacklogPart): BacklogPart => ({
  ...part,
  timelyWork: Math.round(part.timelyWork),
  lateWork: Math.round(part.lateWork),
})
