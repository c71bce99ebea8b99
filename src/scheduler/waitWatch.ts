/**
 * Reports why jobs wait. For each job that has a ready task and no running one it names the rules
 * that keep the task from targets, the number of targets for each, and when the first of them ends.
 * A job that waits although a target of its service has room for it causes a separate event.
 */
import { z } from 'zod'
import type { Job, JobBook, Step, Task } from '../jobs/index.js'
import { quotaHoldSchema } from '../quotas/index.js'
import type { QuotaHold } from '../quotas/index.js'
import { monotonicMs } from '../shared/index.js'
import type { Logger } from '../shared/index.js'
import { couldRun, holdOf } from './placementRules.js'
import type { Hold, PlacementPolicy } from './placementRules.js'
import { takenCpuOf } from './room.js'
import type { TargetAgent } from './types.js'

/** A wait is reported after this time, in ms: callers and operators expect a reason within 1 s. */
const REPORT_AFTER_MS = 1000
/**
 * A job that has waited for this long with room on a target is stalled, in ms. After 1.5 s a job
 * without other targets is tried on a suspect one, and callers notice a stall of 3 s.
 */
const STALLED_MS = 2000
/** Shortest interval between two reports on one job, in ms. */
const REPORT_INTERVAL_MS = 1000
/**
 * Maximum number of jobs that are explained in one check. Each check evaluates every rule for every
 * target; four checks per second, together 64 jobs, show what a service waits for.
 */
const MAX_JOBS_PER_CHECK = 16
/** The same for an owner that is short of processor time, which its starts need. */
const MAX_JOBS_PER_CHECK_BUSY = 2
/** Use of its processor from which an owner is short of time, as a share. */
const BUSY_PROCESSOR_SHARE = 0.75
/** Share of a service's processor room in use from which a wait is a normal turn in the queue. */
const BUSY_SHARE = 0.5

/** Schema of {@link WaitReport}. */
export const waitReportSchema = z.object({
  /** A task of the job that may start. */
  task: z.string(),
  /** Time for which the task was ready and nothing of the job was running, in ms. */
  waitedMs: z.number(),
  /** Number of targets by the first rule that keeps the task from them. */
  holds: z.record(z.string(), z.number()),
  /** Time after which the first of the holds ends by itself, in ms, if known. */
  endsInMs: z.number().optional(),
  /** Number of live targets with room for the task, whatever keeps it from them. */
  couldRunOn: z.number(),
  /** Quota that keeps the task from all targets. */
  quota: quotaHoldSchema.optional(),
})
/** Why a job waits, as reported to operators. */
export type WaitReport = z.infer<typeof waitReportSchema>

/** Explains why jobs wait. */
export interface WaitWatch {
  /** Logs the waits that are due for a report; called periodically. */
  check(agents: TargetAgent[]): void
  /** Returns why a job waits now; undefined if it does not wait. */
  explain(job: Job, agents: TargetAgent[]): WaitReport | undefined
}

/** Number of targets by the first rule that keeps a task from them. */
type HoldCounts = Partial<Record<Hold | 'takeover', number>>

/** Dependencies of the watch. */
export interface WaitWatchOptions {
  book: JobBook
  /** Returns the placement policy for these targets at this moment. */
  policyNow(agents: readonly TargetAgent[]): PlacementPolicy
  /** Describes the quota that applies to a step. */
  quotaHoldOf(step: Step): QuotaHold | undefined
  /** Whether the owner cannot order starts as fast as they become due. */
  isBehind(): boolean
  /** Share of its processor time that the node uses. */
  processorShare(): number
  /** Monotonic time until which evidence against a target keeps tasks off it, in ms. */
  suspectUntil(agent: TargetAgent): number
  log: Logger
}

/** Creates a watch that has reported nothing yet. */
export function createWaitWatch(opts: WaitWatchOptions): WaitWatch {
  const { book, log } = opts
  const reportedAt = new WeakMap<Job, number>()

  const endOf = (agent: TargetAgent, hold: Hold | undefined): number => {
    if (hold === 'paused') return agent.pausedUntil()
    return hold === 'suspect' ? opts.suspectUntil(agent) : Infinity
  }

  /** Counts the rules that keep a task from the targets. */
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
      quota: holds.quota === undefined ? undefined : opts.quotaHoldOf(step),
    }
  }

  function logWait(job: Job, wait: WaitReport, busy: boolean): void {
    const { task, waitedMs, holds, endsInMs, couldRunOn, quota } = wait
    const fields = {
      job: job.spec.id,
      task,
      waitedMs,
      hold: mostFrequentHold(holds),
      targets: JSON.stringify(holds),
      endsInMs,
      couldRunOn,
      ...quota,
    }
    log.event('taskWaits', fields)
    const mayStart = couldRunOn > 0 && quota === undefined
    const stalled = waitedMs >= STALLED_MS && mayStart && !busy
    if (stalled) log.event('jobStalled', fields)
  }

  return {
    explain(job, agents) {
      const task = waitingTaskOf(job)
      return task && reportOf(task, agents, opts.policyNow(agents))
    },
    check(agents) {
      const now = monotonicMs()
      const busy = isBusy(agents)
      const policy = opts.policyNow(agents)
      const isShort = opts.isBehind() || opts.processorShare() >= BUSY_PROCESSOR_SHARE
      let left = isShort ? MAX_JOBS_PER_CHECK_BUSY : MAX_JOBS_PER_CHECK
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

/** Number of targets by rule, and the monotonic time at which the wait may end, in ms. */
interface HoldSummary {
  holds: HoldCounts
  endsAt: number
}

/**
 * Returns the holds of an inherited job, which waits until the runs on all targets that may still
 * run its tasks are known.
 */
function takeoverHolds(agents: TargetAgent[]): HoldSummary {
  const unsettled = agents.filter((agent) => !agent.isStateKnown())
  const endsAt = Math.max(-Infinity, ...unsettled.map((agent) => agent.leaseExpiresAt()))
  return { holds: { takeover: unsettled.length }, endsAt }
}

/** Whether the targets that take tasks are so busy that a wait is a normal turn in the queue. */
function isBusy(agents: TargetAgent[]): boolean {
  let used = 0
  let all = 0
  for (const { room, target, listed, isCordoned } of agents) {
    if (!listed || target.draining || isCordoned()) continue
    used += takenCpuOf(room)
    all += room.capacity.cpu
  }
  return used >= all * BUSY_SHARE
}

/** Returns the hold with the most targets; `noTarget` without any hold. */
function mostFrequentHold(holds: WaitReport['holds']): string {
  const [first] = Object.entries(holds).sort(([, a], [, b]) => b - a)
  return first?.[0] ?? 'noTarget'
}

/** Monotonic time since which a task is ready and, unless lasting, its job runs nothing, in ms. */
const waitingSince = ({ readySince, step }: Task): number =>
  step.spec.lasting ? readySince : Math.max(readySince, step.job.idleSince)

/** Returns the first waiting task of a job. In a job with running tasks only lasting tasks wait. */
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
