/** Determines which runs may have crashed a target, from their confirmed uptimes. */
import { LONG_STABLE_AFTER_MS, stableAfterMs } from '../jobs/index.js'
import type { CrashRole, Task } from '../jobs/index.js'
import type { Placement } from './targetRuns.js'

/** Longest time between a start and a crash that is attributed to the started job alone, in ms. */
const CRASH_AFTER_START_MS = 300

/** A run to which the crash of its target is attributed. */
export interface CrashedRun {
  task: Task
  run: number
  role: CrashRole
}

/** Time since the target confirmed the start of a run, in ms of its clock; 0 if it has not. */
export function confirmedUptimeMs(
  { confirmedClockMs }: Placement,
  clockMs: number,
): number {
  const isConfirmed = confirmedClockMs > 0 && Number.isFinite(confirmedClockMs)
  return isConfirmed ? Math.max(0, clockMs - confirmedClockMs) : 0
}

/** Whether a run may have begun and is not yet known to be stable. */
export function isRecentlyStarted(placement: Placement, clockMs: number): boolean {
  const { task, mayHaveBegun } = placement
  return (
    task !== undefined &&
    mayHaveBegun &&
    confirmedUptimeMs(placement, clockMs) < stableAfterMs(task)
  )
}

/** The role of recently started runs in a crash. */
function recentRole(recent: Placement[], disconnectedAt: number): CrashRole {
  const jobs = new Set(recent.map(({ task }) => task?.step.job))
  const startedAt = Math.max(...recent.map(({ sentAt }) => sentAt))
  return jobs.size === 1 && disconnectedAt - startedAt < CRASH_AFTER_START_MS
    ? 'sole'
    : 'shared'
}

/**
 * The runs to which a crash is attributed: the recently started ones, or if there are none, all
 * with a confirmed uptime below LONG_STABLE_AFTER_MS.
 * @param clockMs last known value of the target's clock
 * @param disconnectedAt monotonic time of the first failed connection, in ms
 */
export function findCrashedRuns(
  placements: Iterable<Placement>,
  clockMs: number,
  disconnectedAt: number,
): CrashedRun[] {
  const begun = [...placements].filter(
    (each) =>
      each.task &&
      each.mayHaveBegun &&
      confirmedUptimeMs(each, clockMs) < LONG_STABLE_AFTER_MS,
  )
  const recent = begun.filter((each) => isRecentlyStarted(each, clockMs))
  const crashed = recent.length > 0 ? recent : begun
  const role = recent.length > 0 ? recentRole(recent, disconnectedAt) : 'present'
  return crashed.flatMap(({ task, run }) => (task ? [{ task, run, role }] : []))
}
