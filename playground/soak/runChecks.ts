/** Checks each start and end of a run, as targets see it, against the promises. */
import type { WatchedEntry } from '../sim/simTarget.js'
import type { Calm } from './calm.js'
import { isTurnOf } from './jobViews.js'
import type { JobView, RunView, TaskView } from './jobViews.js'

/** Longest time from the answer to a cancel to the last start, in ms; out of calm more. */
const CANCEL_MS = 3000
const CANCEL_ROUGH_MS = 10_000

/** Latest start on a target after its entry said that it drains, in ms. */
const DRAIN_MS = 2000

/** Says that a promise is broken. */
export type Report = (promise: string, detail: string) => void

/** The jobs of a run, by their runs too. */
export interface RunChecks {
  jobs: Map<string, JobView>
  /** Targets that drain, with the time of the word in the list. */
  draining: Map<string, number>
  onTargetEntry(entry: WatchedEntry): void
  /** Processor room taken on a target, in thousandths of a core. */
  usedCpu(target: string): number
}

const endOf = (target: string, run: number): string => `${target} run ${run}`

/** Creates the checks without any job. */
export function createRunChecks(calm: Calm, report: Report): RunChecks {
  const jobs = new Map<string, JobView>()
  const draining = new Map<string, number>()
  const used = new Map<string, number>()
  /** Ends that wait for the owner's word, by target, task and run. */
  const kinds = new Map<string, string>()

  const useCpu = (target: string, cpu: number): void =>
    void used.set(target, (used.get(target) ?? 0) + cpu)

  /** Checks of a start that need only what came before it. */
  function checkStart(job: JobView, task: TaskView, entry: WatchedEntry): void {
    const what = `${task.name} run ${entry.run} on ${entry.target}`
    if (task.active) {
      report('two runs at once', `${what} beside ${JSON.stringify(task.active)}`)
    }
    if (task.isDone && !job.isLasting) report('ran after its end', what)
    if (!isTurnOf(job, task)) report('ran before its turn', what)
    if (task.failedNoted >= job.maxAttempts && !job.isLasting) {
      report('ran too often', what)
    }
    if (!job.mayBeTaken) report('rejected job runs', what)
    const drainsFor = entry.at - (draining.get(entry.target) ?? Infinity)
    if (drainsFor > DRAIN_MS && calm.isCalm())
      report('started on a draining target', what)
    const { cancelAckedAt } = job
    if (cancelAckedAt === undefined) return
    const late = entry.at - cancelAckedAt
    if (late > CANCEL_ROUGH_MS || (late > CANCEL_MS && calm.isCalm())) {
      report('ran after its cancel', `${what}, ${Math.round(late)} ms late`)
    }
  }

  const HANDLERS: Partial<
    Record<
      WatchedEntry['what'],
      (job: JobView, task: TaskView, entry: WatchedEntry) => void
    >
  > = {
    start(job, task, entry) {
      checkStart(job, task, entry)
      task.active = { run: entry.run, target: entry.target, since: entry.at }
      task.startedAt = entry.at
      task.unheard = undefined
      useCpu(entry.target, job.steps[task.step]!.cpu)
    },
    noted(job, task, { run, target }) {
      const key = endOf(target, run)
      if (task.unheard?.run === run) task.unheard = undefined
      const kind = kinds.get(`${task.name} ${key}`)
      if (kind === 'failed') task.failedNoted++
      if (kind !== 'done' || job.isLasting) return
      task.isDone = true
      const isLater = task.startedAt > (doneAt.get(`${task.name} ${key}`) ?? Infinity)
      if (isLater) report('ran after its end', `${task.name}, done as ${key}`)
    },
  }
  const doneAt = new Map<string, number>()

  function onEnd(job: JobView, task: TaskView, entry: WatchedEntry): void {
    const { what, run, target, at } = entry
    kinds.set(`${task.name} ${endOf(target, run)}`, what)
    if (task.active?.run === run && task.active.target === target) {
      task.active = undefined
      task.unheard = { run, target, since: at } satisfies RunView
    }
    useCpu(target, -job.steps[task.step]!.cpu)
    if (what === 'failed') task.failedEnds++
    if (what !== 'done') return
    task.doneEnds.add(endOf(target, run))
    doneAt.set(`${task.name} ${endOf(target, run)}`, at)
  }

  return {
    jobs,
    draining,
    usedCpu: (target) => used.get(target) ?? 0,
    onTargetEntry(entry) {
      const [id = ''] = entry.task.split('.')
      const job = jobs.get(id)
      const task = job?.tasks.find(({ name }) => name === entry.task)
      if (!job || !task) return report('ran unasked', `${entry.task} on ${entry.target}`)
      const handler = HANDLERS[entry.what] ?? onEnd
      handler(job, task, entry)
    },
  }
}
