/**
 * Learns how long tasks really run: callers' guesses are far off. One average for each
 * queue, corrected against the guess where there is one.
 */
import type { Job, Step, Task } from '../jobs/index.js'

/** Weight of one more run in the average: about the last forty runs count. */
const NEWEST_RUN_WEIGHT = 0.05
/** Run time assumed before anything is known, in ms: short, so that nothing is given up. */
const DEFAULT_RUN_MS = 500
/** Runs after which the average says more than the callers' guesses. */
const MIN_RUNS = 8
/** Longest tasks of a step run so much longer than the mean one. */
const LONGEST_TASK_FACTOR = 1.4

export interface RunTimes {
  /** Notes a run that ended well. */
  note(task: Task, ranMs: number): void
  /** Whether enough runs were seen to judge one by the average; guesses are far off. */
  knows(step: Step): boolean
  /** Expected run time of one task of the step, in ms. */
  meanOf(step: Step): number
  /** Expected time of the longest chain of the job, in ms. */
  chainOf(job: Job): number
  /** The same for what is not done yet, less what runs already. */
  remainingOf(job: Job, now: number): number
}

export function createRunTimes(): RunTimes {
  /** Average of run time by queue, and of its ratio to the guess. */
  const meanByQueue = new Map<string, number>()
  const runCounts = new Map<string, number>()

  const meanOf = (step: Step): number =>
    meanByQueue.get(step.job.spec.queue) ?? (step.spec.estimateMs || DEFAULT_RUN_MS)

  /** Expected time of a step from its beginning, in ms: that of its longest task. */
  const stepTimeMs = (step: Step): number =>
    meanOf(step) * (step.tasks.length > 1 ? LONGEST_TASK_FACTOR : 1)

  /** Longest path over the steps, given the time that each of them takes. */
  function longestPathMs(job: Job, stepMs: (step: Step) => number): number {
    let result = 0
    for (const { due, steps } of job.occurrences) {
      if (!due) continue
      const ends: number[] = []
      for (const step of steps) {
        const startsAt = Math.max(0, ...step.spec.after.map((index) => ends[index] ?? 0))
        ends.push(startsAt + stepMs(step))
      }
      result = Math.max(result, ...ends)
    }
    return result
  }

  return {
    note(task, ranMs) {
      const { queue } = task.step.job.spec
      runCounts.set(queue, (runCounts.get(queue) ?? 0) + 1)
      const previous = meanByQueue.get(queue) ?? ranMs
      meanByQueue.set(queue, previous + (ranMs - previous) * NEWEST_RUN_WEIGHT)
    },
    knows: (step) => (runCounts.get(step.job.spec.queue) ?? 0) >= MIN_RUNS,
    meanOf,
    chainOf: (job) => longestPathMs(job, stepTimeMs),
    remainingOf: (job, now) =>
      longestPathMs(job, (step) => Math.max(0, stepTimeMs(step) - runningMs(step, now))),
  }
}

/** Time for which all open tasks of a step have run, in ms; without open ones, for ever. */
function runningMs(step: Step, now: number): number {
  let leastMs = Infinity
  for (const { phase, startedAt } of step.tasks) {
    if (phase === 'done') continue
    leastMs = Math.min(leastMs, phase === 'placed' ? now - startedAt : 0)
  }
  return leastMs
}
