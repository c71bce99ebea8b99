/**
 * Estimates how long tasks run, from a moving average of the run times of each queue. Until a
 * run of the queue has ended, the caller's estimate is used, although such estimates are far off.
 */
import type { Job, JobSpec, Step, StepSpec, Task } from '../jobs/index.js'

/** Weight of the newest run in the average, which covers about the last forty runs. */
const NEWEST_RUN_WEIGHT = 0.05
/** Run time assumed without runs or an estimate, in ms: short, so that no job is given up. */
const DEFAULT_RUN_MS = 500
/** Number of runs from which the average is better than the callers' estimates. */
const MIN_RUNS = 8
/** Ratio of the run time of the longest task of a step to the mean. */
export const LONGEST_TASK_FACTOR = 1.4

/** A step, or one that has no tasks yet. */
export interface EstimatedStep {
  job: Pick<Job, 'spec'>
  spec: StepSpec
}

/** Expected run times of tasks and jobs. */
export interface RunTimes {
  /** Adds a successful run. */
  note(task: Task, ranMs: number): void
  /** Whether the queue has had enough runs to judge a run by their average. */
  hasEnoughRuns(step: Step): boolean
  /** Expected run time of one task of the step, in ms. */
  meanRunMs(step: EstimatedStep): number
  /** Expected time of the job's critical path, in ms. */
  criticalPathMs(job: Job): number
  /** Expected time left on the job's critical path at the monotonic time `now`, in ms. */
  remainingPathMs(job: Job, now: number): number
}

/** Ratio of the time of a whole step to the mean run time of its tasks. */
const longestTaskFactor = ({ count }: StepSpec): number =>
  count > 1 ? LONGEST_TASK_FACTOR : 1

/** Length of the critical path over the steps of an occurrence. */
function longestPath(
  steps: readonly StepSpec[],
  lengthOf: (step: StepSpec, index: number) => number,
): number {
  const ends: number[] = []
  let longest = 0
  for (const [index, step] of steps.entries()) {
    let end = 0
    for (const earlier of step.after) end = Math.max(end, ends[earlier] ?? 0)
    end += lengthOf(step, index)
    ends.push(end)
    longest = Math.max(longest, end)
  }
  return longest
}

/** Critical path of an occurrence in mean run times, by job. */
const pathLengths = new WeakMap<JobSpec, number>()

function pathLengthOf(spec: JobSpec): number {
  const known = pathLengths.get(spec)
  if (known !== undefined) return known
  const length = longestPath(spec.steps, longestTaskFactor)
  pathLengths.set(spec, length)
  return length
}

/** Creates estimates without any runs. */
export function createRunTimes(): RunTimes {
  /** Average run time by queue, in ms. */
  const meanByQueue = new Map<string, number>()
  const runCounts = new Map<string, number>()

  const expectedRunMs = ({ job, spec }: EstimatedStep): number =>
    meanByQueue.get(job.spec.queue) ?? (spec.estimateMs || DEFAULT_RUN_MS)

  /** Expected time of a whole step, in ms: that of its longest task. */
  const stepTimeMs = (step: Step): number =>
    expectedRunMs(step) * longestTaskFactor(step.spec)

  return {
    note(task, ranMs) {
      const { queue } = task.step.job.spec
      runCounts.set(queue, (runCounts.get(queue) ?? 0) + 1)
      const previous = meanByQueue.get(queue) ?? ranMs
      meanByQueue.set(queue, previous + (ranMs - previous) * NEWEST_RUN_WEIGHT)
    },
    hasEnoughRuns: (step) => (runCounts.get(step.job.spec.queue) ?? 0) >= MIN_RUNS,
    meanRunMs: expectedRunMs,
    criticalPathMs({ spec, nextOccurrence }) {
      if (nextOccurrence === 0) return 0
      const meanMs = meanByQueue.get(spec.queue)
      if (meanMs !== undefined) return meanMs * pathLengthOf(spec)
      return longestPath(
        spec.steps,
        (step) => (step.estimateMs || DEFAULT_RUN_MS) * longestTaskFactor(step),
      )
    },
    remainingPathMs(job, now) {
      let result = 0
      for (const { due, steps } of job.occurrences) {
        if (!due) continue
        const leftMs = (index: number): number => {
          const step = steps[index]!
          return Math.max(0, stepTimeMs(step) - runningMs(step, now))
        }
        result = Math.max(
          result,
          longestPath(job.spec.steps, (_, index) => leftMs(index)),
        )
      }
      return result
    },
  }
}

/** Time for which every open task of a step has been running, in ms; Infinity without any. */
function runningMs(step: Step, now: number): number {
  let leastMs = Infinity
  for (const { phase, startedAt } of step.tasks) {
    if (phase === 'done') continue
    leastMs = Math.min(leastMs, phase === 'placed' ? Math.max(0, now - startedAt) : 0)
  }
  return leastMs
}
