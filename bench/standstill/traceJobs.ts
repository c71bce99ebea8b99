/**
 * When each job of a run had nothing running, and when a task of it was ready. Logs may
 * have lost lines: what isn't known counts as running, so no standstill is made up. Pure.
 */
import type { LogEvent } from '../account/readLog.js'
import type { LogGap } from './findLogGaps.js'
import type { Span } from './spans.js'

/** What the logs say of one job. */
export interface JobTrace {
  job: string
  service: string
  /** Times in which nothing of the job ran, from its taking on to its end. */
  idle: Span[]
  /** Times in which a task of the job could have started. */
  ready: Span[]
  /** Whether it was open when the logs ended. */
  isOpen: boolean
  /** Whether the logs can't tell what became of it: lines are lost, or it never ran. */
  isIncomplete: boolean
}

interface TracedJob extends JobTrace {
  /** The node that spoke of it last: its owner. */
  node: string
  /** Since when nothing runs; undefined while something does. */
  idleSince: number | undefined
  running: Map<string, number>
  /** Tasks whose last run ended otherwise than done: when, and who said it. */
  failed: Map<string, { at: number; node: string }>
  hasRun: boolean
}

/** The job's id in a task's name. */
export const jobOf = (task: string): string => task.slice(0, task.indexOf('.'))

/** Follows every job that an owner has taken on; the events must be sorted. */
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
    // A run whose start isn't in the logs ran for an unknown part of the time before.
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
      // A new owner knows of no wait before its own time.
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
      // An order without an answer may have been carried out.
      if (event.failure !== 'unanswered') endTask(event)
    },
    ownershipTaken: ({ service = '', at }) => void claimedAt.set(service, at),
    takeoverDone(event) {
      const { service = '', node, at: until } = event
      const from = claimedAt.get(service) ?? 0
      if (hasGap(node, from, until)) return
      // Every inherited run is known now, and what was not found has ended unseen.
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

/** Of an open job with nothing running, the tasks that failed are ready. */
function closeAtLogEnd(job: TracedJob, logEnd: number, gaps: LogGap[]): void {
  const { node, idleSince } = job
  if (idleSince === undefined) return
  job.isIncomplete =
    !job.hasRun || gaps.some((gap) => gap.node === node && gap.at >= idleSince)
  if (job.isIncomplete) return
  job.idle.push({ from: idleSince, until: logEnd })
  for (const { at } of job.failed.values()) job.ready.push({ from: at, until: logEnd })
}
