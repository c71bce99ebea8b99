/**
 * When each job of a run had nothing running, and when a task of it was ready. Logs may
 * have lost lines: what isn't known counts as running, so no standstill is made up. Pure.
 */
import type { LogEvent } from '../account/readLog.js'
import type { Span } from './spans.js'

/** What the logs say of one job. */
export interface JobTrace {
  job: string
  service: string
  /** Times in which nothing of the job ran, from its taking on to its end. */
  still: Span[]
  /** Times in which a task of the job could have started. */
  ready: Span[]
  /** Whether it was open when the logs ended. */
  open: boolean
  /** Whether any run of it is in the logs. */
  hasRun: boolean
}

interface OpenJob extends JobTrace {
  /** Since when nothing runs; undefined while something does. */
  stillSince: number | undefined
  running: Map<string, number>
  /** Tasks whose last run ended otherwise than done, and when. */
  failedAt: Map<string, number>
}

/** The job's id in a task's name. */
export const jobOf = (task: string): string => task.slice(0, task.indexOf('.'))

/** Follows every job that an owner has taken on; the events must be sorted. */
export function followJobs(events: LogEvent[]): JobTrace[] {
  const jobs = new Map<string, OpenJob>()
  const claimedAt = new Map<string, number>()
  const logEnd = events.at(-1)?.at ?? 0

  function endRun(job: OpenJob, task: string, at: number, isDone: boolean): void {
    if (!isDone) job.failedAt.set(task, at)
    job.running.delete(task)
    job.hasRun = true
    // A run whose start isn't in the logs ran for an unknown part of the time before.
    if (job.running.size === 0) job.stillSince = at
  }

  function closeJob(job: OpenJob, at: number): void {
    if (!job.open) return
    job.open = false
    if (job.stillSince !== undefined) job.still.push({ from: job.stillSince, until: at })
  }

  function startRun(job: OpenJob, task: string, at: number): void {
    if (job.stillSince !== undefined) job.still.push({ from: job.stillSince, until: at })
    job.stillSince = undefined
    job.running.set(task, at)
    job.hasRun = true
  }

  const endTask = ({ task = '', at, kind }: LogEvent): void => {
    const job = jobs.get(jobOf(task))
    if (job?.open) endRun(job, task, at, kind === 'done')
  }
  const endJob = ({ job = '', at }: LogEvent): void => {
    const known = jobs.get(job)
    if (known) closeJob(known, at)
  }

  const HANDLERS: Record<string, (event: LogEvent) => void> = {
    jobTaken({ job = '', service = '', at }) {
      if (jobs.has(job)) return
      jobs.set(job, openJob(job, service, at))
    },
    taskPlaced({ task = '', waitedMs = 0, at }) {
      const job = jobs.get(jobOf(task))
      if (!job?.open) return
      const failedAt = job.failedAt.get(task) ?? at
      job.failedAt.delete(task)
      job.ready.push({ from: Math.min(failedAt, at - waitedMs), until: at })
      startRun(job, task, at)
    },
    runAdopted({ task = '', at }) {
      const job = jobs.get(jobOf(task))
      if (job?.open) startRun(job, task, at)
    },
    runEnded: endTask,
    runVanished: endTask,
    startRefused: endTask,
    startFailed(event) {
      // An order without an answer may have been carried out.
      if (event.failure !== 'unanswered') endTask(event)
    },
    ownershipTaken: ({ service = '', at }) => void claimedAt.set(service, at),
    takeoverDone({ service = '', at }) {
      // Every inherited run is known now: what was not found has ended unseen.
      for (const job of jobs.values()) {
        if (!job.open || job.service !== service) continue
        for (const [task, startedAt] of job.running) {
          if (startedAt < (claimedAt.get(service) ?? 0)) endRun(job, task, at, false)
        }
      }
    },
    jobEnded: endJob,
    jobSettled: endJob,
    jobCancelled: endJob,
  }
  for (const event of events) HANDLERS[event.name]?.(event)
  for (const job of jobs.values()) if (job.open) markUnfinished(job, logEnd)
  return [...jobs.values()]
}

const openJob = (job: string, service: string, at: number): OpenJob => ({
  job,
  service,
  still: [],
  ready: [],
  open: true,
  stillSince: at,
  running: new Map(),
  failedAt: new Map(),
  hasRun: false,
})

/** Of an open job with nothing running, the tasks that failed are ready. */
function markUnfinished(job: OpenJob, until: number): void {
  if (job.stillSince === undefined) return
  job.still.push({ from: job.stillSince, until })
  for (const from of job.failedAt.values()) job.ready.push({ from, until })
}
