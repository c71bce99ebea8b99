/**
 * Finds when no task of a job ran and when a task of it was ready. Log lines may be lost:
 * a time of which nothing is known counts as running, so that no standstill is reported
 * that did not happen. Pure.
 */
import type { LogEvent } from '../account/readLog.js'
import type { LogGap } from './findLogGaps.js'
import type { Span } from './spans.js'

/** Times of one job, from the logs. */
export interface JobTrace {
  job: string
  service: string
  /** Times in which no task ran, between the acceptance of the job and its end. */
  idle: Span[]
  /** Times in which a task was ready to start. */
  ready: Span[]
  /** Whether the job had not ended when the logs end. */
  isOpen: boolean
  /** Whether the state of an open job is unknown: it never ran, or lines may be lost. */
  isIncomplete: boolean
}

interface TracedJob extends JobTrace {
  /** The node that logged it last: its owner. */
  node: string
  /** Start of the time without a running task; undefined while a task runs. */
  idleSince: number | undefined
  /** Start of each running task. */
  running: Map<string, number>
  /** Tasks whose last run did not end as done: time, and the node that logged it. */
  failed: Map<string, { at: number; node: string }>
  hasRun: boolean
}

/** Returns the job id that a task id begins with. */
export const jobOf = (task: string): string => task.slice(0, task.indexOf('.'))

/** Traces every job that an owner has taken on; the events must be sorted by time. */
export function traceJobs(events: LogEvent[], gaps: LogGap[]): JobTrace[] {
  const jobs = new Map<string, TracedJob>()
  const claimedAt = new Map<string, number>()
  const logEnd = events.at(-1)?.at ?? 0

  const hasGap = (node: string, from: number, until: number): boolean =>
    gaps.some((gap) => gap.node === node && gap.at >= from && gap.at <= until)

  function endRun(job: TracedJob, task: string, end: LogEvent): void {
    const { at, node } = end
    job.node = node
    if (end.kind !== 'done') job.failed.set(task, { at, node })
    job.running.delete(task)
    job.hasRun = true
    // If the start was not logged, the run took an unknown part of the time before, which
    // is therefore not counted as idle.
    if (job.running.size === 0) job.idleSince = at
  }

  function closeJob(job: TracedJob, at: number): void {
    if (!job.isOpen) return
    job.isOpen = false
    if (job.idleSince !== undefined) job.idle.push({ from: job.idleSince, until: at })
  }

  function startRun(job: TracedJob, task: string, at: number): void {
    if (job.idleSince !== undefined) job.idle.push({ from: job.idleSince, until: at })
    job.idleSince = undefined
    job.running.set(task, at)
    job.hasRun = true
  }

  const endTask = (event: LogEvent): void => {
    const { task = '' } = event
    const job = jobs.get(jobOf(task))
    if (job?.isOpen) endRun(job, task, event)
  }
  const endJob = ({ job = '', at }: LogEvent): void => {
    const known = jobs.get(job)
    if (known) closeJob(known, at)
  }

  const HANDLERS: Record<string, (event: LogEvent) => void> = {
    jobTaken(event) {
      const { job = '' } = event
      if (!jobs.has(job)) jobs.set(job, createTrace(event))
    },
    taskPlaced({ task = '', waitedMs = 0, at, node }) {
      const job = jobs.get(jobOf(task))
      if (!job?.isOpen) return
      const failed = job.failed.get(task)
      job.failed.delete(task)
      // The wait that a new owner logs begins with its ownership, not with the failure.
      const failedAt = failed && failed.node !== node ? failed.at : at
      job.ready.push({ from: Math.min(failedAt, at - waitedMs), until: at })
      job.node = node
      startRun(job, task, at)
    },
    runAdopted({ task = '', at, node }) {
      const job = jobs.get(jobOf(task))
      if (!job?.isOpen) return
      job.node = node
      startRun(job, task, at)
    },
    runEnded: endTask,
    runVanished: endTask,
    startRefused: endTask,
    startFailed(event) {
      // A start order without an answer may have been carried out.
      if (event.failure !== 'unanswered') endTask(event)
    },
    ownershipTaken: ({ service = '', at }) => void claimedAt.set(service, at),
    takeoverDone(event) {
      const { service = '', node, at: until } = event
      const from = claimedAt.get(service) ?? 0
      if (hasGap(node, from, until)) return
      // A takeover finds every run that still exists. Any other run has ended without an
      // event.
      for (const job of jobs.values()) {
        if (!job.isOpen || job.service !== service) continue
        for (const [task, startedAt] of job.running) {
          const hasVanished = startedAt < from && !hasGap(job.node, startedAt, from)
          if (hasVanished) endRun(job, task, event)
        }
      }
    },
    jobEnded: endJob,
    jobSettled: endJob,
    jobCancelled: endJob,
  }
  for (const event of events) HANDLERS[event.name]?.(event)
  for (const job of jobs.values()) if (job.isOpen) closeAtLogEnd(job, logEnd, gaps)
  return [...jobs.values()]
}

const createTrace = ({ job = '', service = '', node, at }: LogEvent): TracedJob => ({
  job,
  service,
  node,
  idle: [],
  ready: [],
  isOpen: true,
  isIncomplete: false,
  idleSince: at,
  running: new Map(),
  failed: new Map(),
  hasRun: false,
})

/** Ends the times of an open job with the logs; its failed tasks are ready until then. */
function closeAtLogEnd(job: TracedJob, logEnd: number, gaps: LogGap[]): void {
  const { node, idleSince } = job
  if (idleSince === undefined) return
  job.isIncomplete =
    !job.hasRun || gaps.some((gap) => gap.node === node && gap.at >= idleSince)
  if (job.isIncomplete) return
  job.idle.push({ from: idleSince, until: logEnd })
  for (const { at } of job.failed.values()) job.ready.push({ from: at, until: logEnd })
}
