/** `rillshunt node jobs|explain`: jobs of the nodes, read from the store. */
import { Option } from 'clipanion'
import {
  ENDED_TABLE,
  INTAKE_TABLE,
  PROGRESS_TABLE,
  createJob,
  decodeEnded,
  decodeIntake,
  decodeProgress,
  findOccurrence,
  restoreProgress,
  storedStatus,
} from '../jobs/index.js'
import type { Job, JobSpec, JobStatus, Progress } from '../jobs/index.js'
import type { RowStore } from '../ports/index.js'
import { readProgressOf } from '../scheduler/index.js'
import { EXIT } from '../shared/index.js'
import { StoreCommand, readAllRows } from './addressedCommand.js'
import { askWhyJobWaits, describeAnswer } from './waitReason.js'

/** State of a job; `unreadable` if its progress cannot be read, which puts it on hold. */
type ListedStatus = JobStatus | 'unreadable'

/** A job as `node jobs` lists it. */
interface ListedJob {
  id: string
  queue: string
  service: string
  status: ListedStatus
  tasks: number
  acceptedAtMs: number
}

/** A job that has not ended, with its stored state. */
interface OpenJob {
  job: JobSpec
  cancelled: boolean
  progress: Progress | undefined
  status: ListedStatus
}

/** Reads all accepted jobs that have not ended, with progress and state. */
async function readOpenJobs(store: RowStore): Promise<OpenJob[]> {
  const progress = new Map<string, Progress | undefined>()
  for (const row of await readAllRows(store, PROGRESS_TABLE)) {
    progress.set(row.key, decodeProgress(row.value))
  }
  const entries = (await readAllRows(store, INTAKE_TABLE)).map((row) =>
    decodeIntake(row, row.value),
  )
  const cancels = new Set(
    entries.flatMap((each) => (each.kind === 'cancel' ? `${each.queue}/${each.id}` : [])),
  )
  return entries.flatMap((entry) => {
    if (entry.kind !== 'job') return []
    const jobProgress = progress.get(entry.id)
    const cancelled = cancels.has(`${entry.job.queue}/${entry.id}`)
    const isUnreadable = progress.has(entry.id) && !jobProgress
    const status = isUnreadable ? 'unreadable' : storedStatus(cancelled, jobProgress)
    return { job: entry.job, cancelled, progress: jobProgress, status }
  })
}

/** Reads the stored summaries of all ended jobs. */
async function readEndedJobs(store: RowStore): Promise<ListedJob[]> {
  return (await readAllRows(store, ENDED_TABLE)).flatMap((row) => {
    const ended = decodeEnded(row.value)
    return ended ? { id: row.key, ...ended, status: ended.outcome } : []
  })
}

const toListedJob = ({ job, status }: OpenJob): ListedJob => ({
  id: job.id,
  queue: job.queue,
  service: job.service,
  status,
  tasks: job.steps.reduce((sum, { count }) => sum + count, 0),
  acceptedAtMs: job.acceptedAtMs,
})

/** `node jobs` */
export class NodeJobs extends StoreCommand {
  static override paths = [['node', 'jobs']]
  static override usage = StoreCommand.Usage({
    description: 'list accepted jobs with their state',
  })
  queue = Option.String('--queue', { description: 'only jobs of this queue' })
  state = Option.String('--state', { description: 'only jobs in this state' })

  async run(store: RowStore): Promise<number> {
    // Open jobs first: a job that ends between the reads is then in both lists, not in none.
    const open = (await readOpenJobs(store)).map(toListedJob)
    const ended = await readEndedJobs(store)
    const byId = new Map([...open, ...ended].map((job) => [job.id, job]))
    const jobs = [...byId.values()]
      .filter(({ queue }) => this.queue === undefined || queue === this.queue)
      .filter(({ status }) => this.state === undefined || status === this.state)
      .sort((a, b) => a.acceptedAtMs - b.acceptedAtMs)
    const lines = jobs.map((job) => [
      job.id,
      job.queue,
      job.service,
      job.status,
      job.tasks,
      new Date(job.acceptedAtMs).toISOString(),
    ])
    const head = ['job', 'queue', 'service', 'state', 'tasks', 'accepted']
    this.print(jobs, () => this.formatTable(head, lines))
    return EXIT.ok
  }
}

/** Counts done tasks and failed runs of a step in the first repetition. */
function countStep(progress: Progress | undefined, index: number, tasks: number) {
  const done = progress?.done[`0.${index}`] ?? []
  const isDone = done === 'all' || progress?.outcome === 'completed'
  const prefix = `0.${index}.`
  const failedRuns = Object.entries(progress?.failedRuns ?? {})
    .filter(([task]) => task.startsWith(prefix))
    .reduce((sum, [, runs]) => sum + runs.length, 0)
  return { done: isDone ? tasks : done.length, failedRuns }
}

/** Reads the state of a job whose progress is in several rows; undefined if they cannot be read. */
async function readSegmented(store: RowStore, job: JobSpec): Promise<Job | undefined> {
  const found = await readProgressOf(store, job.service, job.id)
  const stored = found.isOk() ? found.value?.stored : undefined
  if (!stored) return undefined
  const state = createJob(job, 0)
  restoreProgress(state, stored.progress, stored.segments)
  return state
}

/** The same as {@link countStep} of a job whose progress is in several rows. */
function countSegmentedStep(state: Job, index: number, tasks: number) {
  const step = findOccurrence(state, 0)?.steps[index]
  const isDone = state.doneOccurrences.has(0)
  const failedRuns = (step?.tasks ?? []).reduce(
    (sum, each) => sum + each.failedRuns.size,
    0,
  )
  return { done: isDone ? tasks : (step?.doneCount ?? 0), failedRuns }
}

/** `node explain JOB` */
export class NodeExplain extends StoreCommand {
  static override paths = [['node', 'explain']]
  static override usage = StoreCommand.Usage({
    description: 'show the progress of a job by step, and why it waits',
  })
  id = Option.String({ required: true })

  async run(store: RowStore): Promise<number> {
    const found = (await readOpenJobs(store)).find(({ job }) => job.id === this.id)
    if (!found) return this.explainEnded(store)
    const { job, progress, status } = found
    const state = progress?.segments && (await readSegmented(store, job))
    const lines = job.steps.map(({ after, count }, index) => {
      const known = state
        ? countSegmentedStep(state, index, count)
        : countStep(progress, index, count)
      return [index, after.join(',') || '-', count, known.done, known.failedRuns]
    })
    const head = ['step', 'after', 'tasks', 'done', 'failed runs']
    const owner = await askWhyJobWaits(store, job)
    this.print({ ...found, owner }, () =>
      [
        `job ${job.id} of queue ${job.queue}: ${status}`,
        `service ${job.service}, accepted ${new Date(job.acceptedAtMs).toISOString()}`,
        this.formatTable(head, lines),
        describeAnswer(owner),
      ].join('\n'),
    )
    return EXIT.ok
  }

  /** Shows an ended job, of which only a summary with the outcome is stored. */
  private async explainEnded(store: RowStore): Promise<number> {
    const ended = (await readEndedJobs(store)).find(({ id }) => id === this.id)
    if (!ended) return this.fail(`no job ${this.id} is in the store`, EXIT.failed)
    this.print(ended, () =>
      [
        `job ${ended.id} of queue ${ended.queue}: ${ended.status}, ${ended.tasks} tasks`,
        `service ${ended.service}, accepted ${new Date(ended.acceptedAtMs).toISOString()}`,
      ].join('\n'),
    )
    return EXIT.ok
  }
}
