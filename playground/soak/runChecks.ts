/** Checks the starts and ends of runs on targets against the guarantees of nodes. */
import type { WatchedEntry } from '../sim/runLedger.js'
import type { DisturbanceTracker } from './disturbances.js'
import { countEnds, areDependenciesDone, recordEntry } from './jobView.js'
import type { JobView, TaskView } from './jobView.js'
import { highestMaximum } from './organisations.js'

/**
 * Longest time after the answer to a cancel until which a task may still start, in ms: in
 * undisturbed time and on reachable targets, and in any case.
 */
const MAX_START_AFTER_CANCEL_MS = 3000
const MAX_START_AFTER_CANCEL_DISTURBED_MS = 10_000
/** Longest time from the `draining` entry of a target to a start on it, in ms. */
const MAX_START_AFTER_DRAIN_MS = 2000
/** Longest time from the row that cordons a hall to a start there, in ms. */
const MAX_START_AFTER_CORDON_MS = 5000

/** Reports a violated guarantee. */
export type Report = (promise: string, detail: string) => void

/** The jobs of a run and the checks of their runs. */
export interface RunChecks {
  jobs: Map<string, JobView>
  /** Ids of draining targets with the monotonic time at which the list said so, in ms. */
  draining: Map<string, number>
  /** CPU in use by target id, in thousandths of a core. */
  usedCpu: Map<string, number>
  onTargetEntry(entry: WatchedEntry): void
}

/** Returns true if the start of a task, or the acknowledgement of an end, violates a guarantee. */
type Rule = (job: JobView, task: TaskView, at: number, target: string) => boolean

/**
 * Creates the checks without any job.
 * @param cordonedMs time for which the hall of a target has been cordoned, in ms; 0 if it is not
 * @param isReachable whether orders reach a target without delay. An order that was held back is
 *   carried out late, so no time bound applies to it.
 */
export function createRunChecks(
  disturbances: DisturbanceTracker,
  isReachable: (target: string) => boolean,
  cordonedMs: (target: string) => number,
  report: Report,
): RunChecks {
  const jobs = new Map<string, JobView>()
  const draining = new Map<string, number>()
  const usedCpu = new Map<string, number>()

  const appliesTimeBound = (target: string): boolean =>
    disturbances.isUndisturbed() && isReachable(target)

  const START_RULES: Record<string, Rule> = {
    'two runs at once': (_job, { active }) => active.length > 0,
    'ran after its end': ({ isLasting }, task) =>
      !isLasting && countEnds(task, 'done', true) > 0,
    'ran before its turn': (job, task) => !areDependenciesDone(job, task),
    'ran too often': ({ isLasting, queue }, task) =>
      !isLasting && countEnds(task, 'failed', true) >= queue.maxAttempts,
    'rejected job runs': ({ mayBeTaken }) => !mayBeTaken,
    'started on a draining target': (_job, _task, at, target) =>
      appliesTimeBound(target) &&
      at - (draining.get(target) ?? Infinity) > MAX_START_AFTER_DRAIN_MS,
    'started in a cordoned hall': (_job, _task, _at, target) =>
      appliesTimeBound(target) && cordonedMs(target) > MAX_START_AFTER_CORDON_MS,
    'ran after its cancel': ({ cancelAckedAt = Infinity }, _task, at, target) =>
      at - cancelAckedAt >
      (appliesTimeBound(target)
        ? MAX_START_AFTER_CANCEL_MS
        : MAX_START_AFTER_CANCEL_DISTURBED_MS),
    'quota exceeded': ({ organisation, steps }, { step }) =>
      organisation !== undefined &&
      organisation.usedCpu + steps[step]!.cpu > highestMaximum(organisation),
  }
  /** An acknowledged end is final: no run may have started after it. */
  const ACKNOWLEDGED_END_RULES: Record<string, Rule> = {
    'ran after its end': ({ isLasting }, { ends, startedAt }) =>
      !isLasting &&
      ends.some((end) => end.what === 'done' && end.isNoted && end.at < startedAt),
  }

  function check(
    rules: Record<string, Rule>,
    job: JobView,
    task: TaskView,
    { at, run, target, lifeStartMs }: WatchedEntry,
  ): void {
    for (const [promise, isBroken] of Object.entries(rules)) {
      if (!isBroken(job, task, at, target)) continue
      const where = `${task.name} run ${run} on ${target} of ${lifeStartMs}`
      report(promise, `${where}: ${JSON.stringify(task)}`)
    }
  }

  return {
    jobs,
    draining,
    usedCpu,
    onTargetEntry(entry) {
      const { what, target } = entry
      const job = jobs.get(entry.task.split('.')[0]!)
      const task = job?.tasks.find(({ name }) => name === entry.task)
      if (!job || !task) return report('ran unasked', `${entry.task} on ${target}`)
      if (what === 'start') check(START_RULES, job, task, entry)
      recordEntry(task, entry)
      if (what === 'listed') return
      if (what === 'noted') return check(ACKNOWLEDGED_END_RULES, job, task, entry)
      const change = (what === 'start' ? 1 : -1) * job.steps[task.step]!.cpu
      usedCpu.set(target, (usedCpu.get(target) ?? 0) + change)
      if (job.organisation) job.organisation.usedCpu += change
    },
  }
}
