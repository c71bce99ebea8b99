/**
 * Order in which jobs get room when there is too little: what can still be in time goes
 * before what is late already, and that before what is too late to matter.
 */
import type { Job, Task } from '../jobs/index.js'
import type { Queue } from '../ports/index.js'
import type { RunTimes } from './runTimes.js'

/** A job is of no use to its caller after so many times its objective. */
const USELESS_FACTOR = 3
/** Priority of jobs whose queue is configured no more. */
const LOWEST_PRIORITY = 1000

/** `timely`: can still meet its objective. `late`: still of some use. */
type Timeliness = 'timely' | 'late' | 'useless'
const TIMELINESS_ORDER: Record<Timeliness, number> = { timely: 0, late: 1, useless: 2 }

/** Place of a job in the order; compared field by field. */
export interface Urgency {
  priority: number
  standing: Timeliness
  /** Steady time by which it should be done, in ms; for useless jobs any time to order them by. */
  deadline: number
  /** Starts that it gets in one round at most; unbounded by default. */
  maxStarts?: number
}

/**
 * Works out the place of a job now.
 * @param delayMs time by which the starts of its tasks will be late, in ms
 */
export function urgencyOf(
  job: Job,
  queue: Queue | undefined,
  runTimes: RunTimes,
  now: number,
  delayMs = 0,
): Urgency {
  const priority = queue?.priority ?? LOWEST_PRIORITY
  const lasting = job.spec.steps.some((step) => step.lasting)
  if (!queue || lasting) return { priority, standing: 'timely', deadline: job.arrivedAt }
  const objectiveMs = queue.stretch * runTimes.chainOf(job) + queue.latencyMs
  const endsAt = now + delayMs + runTimes.remainingOf(job, now)
  const deadline = job.arrivedAt + objectiveMs
  if (endsAt <= deadline) return { priority, standing: 'timely', deadline }
  const uselessAt = job.arrivedAt + USELESS_FACTOR * objectiveMs
  const standing = endsAt <= uselessAt ? 'late' : 'useless'
  return { priority, standing, deadline: standing === 'late' ? uselessAt : job.arrivedAt }
}

const comparePriority = (a: Urgency, b: Urgency): number =>
  a.priority - b.priority || TIMELINESS_ORDER[a.standing] - TIMELINESS_ORDER[b.standing]

/** Negative when `a` goes first. */
export const compareUrgency = (a: Urgency, b: Urgency): number =>
  comparePriority(a, b) || a.deadline - b.deadline

/** What places jobs whose owner orders fewer starts than they need. */
export interface PacedInput {
  /** Tasks that may start now. */
  ready: Iterable<Task>
  /** Starts that the owner orders in a second; above 0. */
  perSecond: number
  /** Place of a job whose starts are late by so many ms. */
  urgencyOf(job: Job, delayMs: number): Urgency
}

/**
 * Places jobs by what their owner can order: each of them waits for the starts of those before
 * it, and loses its standing if that takes too long. So the owner finishes the jobs that it has
 * begun, and does not begin one whose objective it cannot meet in place of another one's. Without
 * that, earliest deadline first serves every job a little and hardly any in time.
 */
export function pacedUrgencies({
  ready,
  perSecond,
  urgencyOf,
}: PacedInput): Map<Job, Urgency> {
  const starts = new Map<Job, number>()
  for (const { step } of ready) starts.set(step.job, (starts.get(step.job) ?? 0) + 1)
  const candidates = [...starts].map(([job, count]) => {
    return { job, count, urgency: urgencyOf(job, 0) }
  })
  candidates.sort(
    (a, b) =>
      comparePriority(a.urgency, b.urgency) ||
      Number(b.job.begun) - Number(a.job.begun) ||
      a.urgency.deadline - b.urgency.deadline,
  )
  const urgencies = new Map<Job, Urgency>()
  let startsAhead = 0
  for (const { job, count, urgency } of candidates) {
    const delayed = urgencyOf(job, ((startsAhead + count) * 1000) / perSecond)
    urgencies.set(
      job,
      delayed.standing === 'useless' ? longestIdleFirst(job, delayed) : delayed,
    )
    if (delayed.standing === urgency.standing) startsAhead += count
  }
  return urgencies
}

/**
 * Jobs that come too late in any case take turns, the one that has run nothing for longest first,
 * so that none of them stands still while its owner finishes others.
 */
function longestIdleFirst(job: Job, urgency: Urgency): Urgency {
  if (job.placed > 0) return { ...urgency, deadline: Number.MAX_SAFE_INTEGER }
  return { ...urgency, deadline: job.idleSince, maxStarts: 1 }
}
