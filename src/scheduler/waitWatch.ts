/**
 * Says why jobs wait: for each job with a task that may start and nothing running, which rule
 * keeps it from how many targets, and until when. A job that waits although a target of its
 * service has room for it is told by an event of its own.
 */
import { z } from 'zod'
import type { Job, JobBook, Step, Task } from '../jobs/index.js'
import { monotonicMs } from '../shared/index.js'
import type { Logger } from '../shared/index.js'
import { couldRun, holdOf } from './placementRules.js'
import type { Hold, PlacementPolicy } from './placementRules.js'
import type { TargetAgent } from './types.js'

/** Wait without an explanation, in ms: callers and operators are told within a second. */
const REPORT_AFTER_MS = 1000
/**
 * Wait with room after which a job stands still, in ms: a job with nowhere else to go is tried
 * on a target under suspicion after 1.5 s, and callers notice 3 s.
 */
const STALLED_MS = 2000
/** Time between two lines about one job, in ms. */
const REPORT_INTERVAL_MS = 1000
/**
 * Jobs that are explained in one look. Each look asks every rule of every target, and four
 * looks a second at 64 jobs say what holds a service.
 */
const MAX_JOBS_PER_CHECK = 16
/** The same of an owner that is behind, whose processor time its starts need. */
const MAX_JOBS_PER_CHECK_BEHIND = 2
/** Share of a service's processor room in use above which a job waits for its turn. */
const BUSY_SHARE = 0.5

/** Why a job waits, as it is told to operators. */
export const waitReportSchema = z.object({
  /** A task of it that may start. */
  task: z.string(),
  /** Time for which nothing of it has run although the task could, in ms. */
  waitedMs: z.number(),
  /** Targets by the first rule that keeps the task from them. */
  holds: z.record(z.string(), z.number()),
  /** Time after which the first of the holds ends by itself, in ms, where that is known. */
  endsInMs: z.number().optional(),
  /** Targets that live and have room for it, whatever keeps it from them. */
  couldRunOn: z.number(),
})
/** Why a job waits, as it is told to operators. */
export type WaitReport = z.infer<typeof waitReportSchema>

/** Explains waits; called again and again. */
export interface WaitWatch {
  look(agents: TargetAgent[]): void
  /** Why a job waits now; undefined when it does not. */
  explain(job: Job, agents: TargetAgent[]): WaitReport | undefined
}

/** Targets by the first rule that keeps a task from them. */
type HoldCounts = Partial<Record<Hold | 'takeover', number>>

/** What the watch works with. */
export interface WaitWatchOptions {
  book: JobBook
  /** What keeps tasks from these targets at this moment, beyond the room there. */
  policyNow(agents: readonly TargetAgent[]): PlacementPolicy
  /** Whether the owner cannot order starts as fast as they come. */
  isBehind(): boolean
  /** Steady time up to which evidence keeps tasks off a target, in ms. */
  suspectUntil(agent: TargetAgent): number
  log: Logger
}

/** Creates a watch that has told nothing. */
export function createWaitWatch(opts: WaitWatchOptions): WaitWatch {
  const { book, log } = opts
  const reportedAt = new WeakMap<Job, number>()

  const endOf = (agent: TargetAgent, hold: Hold | undefined): number => {
    if (hold === 'paused') return agent.pausedUntil()
    return hold === 'suspect' ? opts.suspectUntil(agent) : Infinity
  }

  /** What keeps a task from the targets, one by one. */
  function holdsOn(
    step: Step,
    agents: TargetAgent[],
    policy: PlacementPolicy,
  ): HoldSummary {
    const found: HoldSummary = { holds: {}, endsAt: Infinity }
    for (const agent of agents) {
      const hold = holdOf(agent, step, policy)
      if (hold === undefined) continue
      found.holds[hold] = (found.holds[hold] ?? 0) + 1
      found.endsAt = Math.min(found.endsAt, endOf(agent, hold))
    }
    return found
  }

  function reportOf(
    task: Task,
    agents: TargetAgent[],
    policy: PlacementPolicy,
  ): WaitReport {
    const now = monotonicMs()
    const { step } = task
    const { holds, endsAt } = step.job.gated
      ? takeoverHolds(agents)
      : holdsOn(step, agents, policy)
    const endsInMs = Math.max(0, Math.round(endsAt - now))
    return {
      task: task.name,
      waitedMs: Math.round(now - waitingSince(task)),
      holds: holds as Record<string, number>,
      endsInMs: Number.isFinite(endsAt) ? endsInMs : undefined,
      couldRunOn: agents.filter((agent) => couldRun(agent, step)).length,
    }
  }

  function logWait(job: Job, wait: WaitReport, busy: boolean): void {
    const { task, waitedMs, holds, endsInMs, couldRunOn } = wait
    const fields = {
      job: job.spec.id,
      task,
      waitedMs,
      hold: mostFrequentHold(holds),
      targets: JSON.stringify(holds),
      endsInMs,
      couldRunOn,
    }
    log.event('taskWaits', fields)
    const stalled = waitedMs >= STALLED_MS && couldRunOn > 0 && !busy
    if (stalled) log.event('jobStalled', fields)
  }

  return {
    explain(job, agents) {
      const task = waitingTaskOf(job)
      return task && reportOf(task, agents, opts.policyNow(agents))
    },
    look(agents) {
      const now = monotonicMs()
      const busy = isBusy(agents)
      const policy = opts.policyNow(agents)
      let left = opts.isBehind() ? MAX_JOBS_PER_CHECK_BEHIND : MAX_JOBS_PER_CHECK
      for (const job of book.open) {
        if (left === 0) return
        if (now - (reportedAt.get(job) ?? -Infinity) < REPORT_INTERVAL_MS) continue
        const task = waitingTaskOf(job)
        if (!task || now - waitingSince(task) < REPORT_AFTER_MS) continue
        left--
        reportedAt.set(job, now)
        logWait(job, reportOf(task, agents, policy), busy)
      }
    },
  }
}

/** Rules that hold a task, by count of targets, and the steady time when one ends, in ms. */
interface HoldSummary {
  holds: HoldCounts
  endsAt: number
}

/** An inherited job waits until the last target that may run something of it is settled. */
function takeoverHolds(agents: TargetAgent[]): HoldSummary {
  const unsettled = agents.filter((agent) => !agent.isSettled())
  const endsAt = Math.max(-Infinity, ...unsettled.map((agent) => agent.settledBy()))
  return { holds: { takeover: unsettled.length }, endsAt }
}

/** Whether the targets that live have so much to do that a wait is a turn in a queue. */
function isBusy(agents: TargetAgent[]): boolean {
  let used = 0
  let all = 0
  for (const { room, target, listed } of agents) {
    if (!listed || target.draining) continue
    used += room.capacity.cpu - room.free.cpu
    all += room.capacity.cpu
  }
  return used >= all * BUSY_SHARE
}

/** The hold that concerns most targets; `noTarget` where there is none. */
function mostFrequentHold(holds: WaitReport['holds']): string {
  const [first] = Object.entries(holds).sort(([, a], [, b]) => b - a)
  return first?.[0] ?? 'noTarget'
}

/** Since when the task could run and its job, or itself where it lasts, runs nothing. */
const waitingSince = ({ readySince, step }: Task): number =>
  step.spec.lasting ? readySince : Math.max(readySince, step.job.idleSince)

/** The first task of the job that waits: of a job that runs something, only one that lasts. */
function waitingTaskOf(job: Job): Task | undefined {
  if (job.outcome) return undefined
  for (const { due, steps } of job.occurrences) {
    if (!due) continue
    for (const step of steps) {
      const task = waitingTaskIn(step)
      if (task) return task
    }
  }
  return undefined
}

function waitingTaskIn(step: Step): Task | undefined {
  if (!step.unblocked || (step.job.placed > 0 && !step.spec.lasting)) return undefined
  return step.tasks.find(({ phase }) => phase === 'ready')
}
