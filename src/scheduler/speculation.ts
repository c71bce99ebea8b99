/**
 * Decides which running tasks deserve a second, concurrent run: a copy (backup tasks of J. Dean and
 * S. Ghemawat, "MapReduce", OSDI 2004). As in LATE (M. Zaharia et al., OSDI 2008), the runs with the
 * longest time left come first, and copies have a budget. A pure decision, made on what is known now.
 */
import type { Step } from '../jobs/index.js'
import type { Resources } from '../ports/index.js'
import { RESOURCE_KINDS } from '../quotas/index.js'

/** Minimum number of ended tasks of a step from which a run of another one is slow or not. */
const MIN_ENDED = 3
/**
 * Minimum share of the tasks of a step that must have ended. The first tasks to end are the fastest,
 * so that the others all look slow beside them.
 */
const MIN_ENDED_SHARE = 0.5
/** A run is slow beyond this multiple of the median of the ended tasks. */
const SLOW_FACTOR = 2
/** A run is slow only if it also exceeds the time of this share of the ended tasks. */
const SLOW_QUANTILE = 0.9
/**
 * Minimum time of a slow run, in ms. The owner hears of ends with up to 0.3 s of delay on a link that
 * loses an answer, and a shorter run ends before its copy has begun.
 */
export const MIN_SLOW_MS = 400
/** Expected time from the decision to the start of a copy, in ms. */
const COPY_START_MS = 100
/** Largest share of the room in use that copies may take. */
const MAX_ROOM_SHARE = 0.05
/** Largest share of the work done that copies may cost. */
const MAX_WORK_SHARE = 0.05

/** What the ended tasks of a step tell of the others; times in ms. */
export interface StepPace {
  /** Expected run time of a copy. */
  expectedMs: number
  /** Run time beyond which a run is slow. */
  slowAfterMs: number
}

/** A running task that has no copy. */
export interface CopyCandidate {
  /** Run time so far, in ms. */
  elapsedMs: number
  /** Progress in percent, as last reported; 0 if unknown. */
  percent: number
  pace: StepPace
  /** Room that a copy takes. */
  need: Resources
  /** Work that a run does per ms. */
  workRate: number
}

/** What limits the copies of one service. */
export interface CopyBudget {
  /** Room of all runs. */
  usedRoom: Resources
  /** Room of copies, and of the other runs of tasks that are done. */
  copyRoom: Resources
  /** Work of the runs that were done. */
  workDone: number
  /** Work that copies have cost, and that those which run are expected to cost. */
  copyWork: number
}

/** Whether tasks of the step may have a copy at all. */
export function allowsCopies({ spec, job }: Step): boolean {
  const { duplicates, gang, lasting, fills } = spec
  return duplicates && !gang && !lasting && !fills && job.spec.repetitions === 0
}

/**
 * Returns the pace of a step; undefined while too few tasks have ended.
 * @param endedMs run times of ended tasks, in ms
 * @param tasks number of tasks of the step
 * @param done number of its tasks that are done
 */
export function paceOfStep(
  endedMs: readonly number[],
  tasks: number,
  done: number,
): StepPace | undefined {
  if (endedMs.length < MIN_ENDED || done < tasks * MIN_ENDED_SHARE) return undefined
  const sorted = [...endedMs].sort((a, b) => a - b)
  const quantile = (share: number): number =>
    sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * share))] ?? 0
  const expectedMs = quantile(0.5)
  const slowAfterMs = Math.max(
    SLOW_FACTOR * expectedMs,
    quantile(SLOW_QUANTILE),
    MIN_SLOW_MS,
  )
  return { expectedMs, slowAfterMs }
}

/**
 * Expected time by which a copy ends before the run, in ms; at most 0 if none is worth it. Without a
 * reported progress, a run is expected to last as long again as it has lasted.
 */
export function savedByCopyMs({ elapsedMs, percent, pace }: CopyCandidate): number {
  if (elapsedMs <= pace.slowAfterMs) return 0
  const leftMs = percent > 0 ? (elapsedMs * (100 - percent)) / percent : elapsedMs
  return leftMs - pace.expectedMs - COPY_START_MS
}

/**
 * Returns the candidates that deserve a copy now, those that save most time first.
 * @param accept whether the candidate gets its copy; those that do not use up no budget
 */
export function chooseCopies<T extends CopyCandidate>(
  candidates: readonly T[],
  { usedRoom, copyRoom, workDone, copyWork }: CopyBudget,
  accept: (candidate: T) => boolean = () => true,
): T[] {
  const room = { ...copyRoom }
  let work = copyWork
  const ranked = candidates
    .map((candidate) => ({ candidate, savedMs: savedByCopyMs(candidate) }))
    .filter(({ savedMs }) => savedMs > 0)
    .sort((a, b) => b.savedMs - a.savedMs)
  const chosen: T[] = []
  for (const { candidate } of ranked) {
    const { need, pace, workRate } = candidate
    const cost = pace.expectedMs * workRate
    const fits = RESOURCE_KINDS.every(
      (kind) =>
        need[kind] === 0 || room[kind] + need[kind] <= usedRoom[kind] * MAX_ROOM_SHARE,
    )
    if (!fits || work + cost > workDone * MAX_WORK_SHARE) continue
    if (!accept(candidate)) continue
    for (const kind of RESOURCE_KINDS) room[kind] += need[kind]
    work += cost
    chosen.push(candidate)
  }
  return chosen
}
