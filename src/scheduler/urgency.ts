/**
 * Order in which jobs get room when there is too little. Within a priority, jobs within the shares of
 * their organisations come first, then those beyond them, and last those that are too late to be of
 * use. Within a share, jobs that can still meet their objective come before those that are late.
 * With weighted shares, begun jobs that can still meet it come first of all, and otherwise equal jobs
 * are ordered by the virtual time of their organisations before their deadlines.
 */
import { isLastingJob } from '../jobs/index.js'
import type { Job, QueueSettings, Task } from '../jobs/index.js'
import type { RunTimes } from './runTimes.js'

/** A job is of no use to its caller once this multiple of its objective has passed. */
export const USELESS_FACTOR = 3
/** Priority of jobs whose settings are not known. */
const LOWEST_PRIORITY = 1000

/**
 * `timely`: can still meet its objective. `late`: cannot, but is still of use. `useless`: is too
 * late to be of use.
 */
type Timeliness = 'timely' | 'late' | 'useless'
const TIMELINESS_RANK: Record<Timeliness, number> = { timely: 0, late: 1, useless: 4 }
/** Added for jobs beyond the share of their organisation, unless they are useless. */
const BEYOND_SHARE_RANK = 2
/** Rank of begun jobs that can still meet their objective, where these come first. */
const BEGUN_RANK = -1

/** Position of a job in the order; compared field by field. */
export interface Urgency {
  priority: number
  /** Whether the job is beyond the share of its organisation; others come first. */
  isBeyondShare?: boolean
  standing: Timeliness
  /**
   * Monotonic time by which the job should be done, in ms. For useless jobs it only determines
   * their order.
   */
  deadline: number
  /** Maximum number of starts in one round; unlimited by default. */
  maxStarts?: number
  /** Whether the job has begun and is to be finished before others begin. */
  isBegun?: boolean
  /** Position among the jobs of equal rank by the share of its organisation; 0 by default. */
  turn?: number
  /** Whether the job has waited so long that it comes before all others. */
  isAged?: boolean
}

/**
 * Computes the urgency of a job at time `now`.
 * @param delayMs expected delay of the starts of its tasks, in ms
 */
export function urgencyOf(
  job: Job,
  settings: QueueSettings | undefined,
  runTimes: RunTimes,
  now: number,
  delayMs = 0,
): Urgency {
  const priority = settings?.priority ?? LOWEST_PRIORITY
  if (!settings || isLastingJob(job.spec))
    return { priority, standing: 'timely', deadline: job.arrivedAt }
  const objectiveMs = settings.stretch * runTimes.criticalPathMs(job) + settings.latencyMs
  const endsAt = now + delayMs + runTimes.remainingPathMs(job, now)
  const deadline = job.arrivedAt + objectiveMs
  if (endsAt <= deadline) return { priority, standing: 'timely', deadline }
  const uselessAt = job.arrivedAt + USELESS_FACTOR * objectiveMs
  const standing = endsAt <= uselessAt ? 'late' : 'useless'
  return { priority, standing, deadline: standing === 'late' ? uselessAt : job.arrivedAt }
}

/** Rank of a job among those of its priority; lower ranks come first. */
function rankOf({ standing, isBeyondShare = false, isBegun = false }: Urgency): number {
  if (isBegun && standing === 'timely') return BEGUN_RANK
  const comesLater = isBeyondShare && standing !== 'useless'
  return TIMELINESS_RANK[standing] + (comesLater ? BEYOND_SHARE_RANK : 0)
}

/** Compares all but the deadlines. */
const compareRanks = (a: Urgency, b: Urgency): number =>
  Number(b.isAged ?? false) - Number(a.isAged ?? false) ||
  a.priority - b.priority ||
  rankOf(a) - rankOf(b) ||
  (a.turn ?? 0) - (b.turn ?? 0)

/** Compares two urgencies; negative if `a` comes first. */
export const compareUrgency = (a: Urgency, b: Urgency): number =>
  compareRanks(a, b) || a.deadline - b.deadline

/** Input for the urgencies of jobs whose owner orders fewer starts than they need. */
export interface PacedInput {
  /** Tasks that may start now. */
  ready: Iterable<Task>
  /** Starts that the owner orders per second; above 0. */
  perSecond: number
  /** Urgency of a job whose starts are delayed by `delayMs`. */
  urgencyOf(job: Job, delayMs: number): Urgency
}

/**
 * Computes the urgencies of jobs from the rate at which their owner orders starts. Each job is
 * delayed by the starts of the jobs before it, and counts as late or useless if the delay is too
 * long. The owner therefore finishes jobs that have begun, and does not begin a job whose objective
 * it cannot meet at the expense of one whose objective it can meet. Plain earliest deadline first
 * would give every job some starts and finish hardly any in time.
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
      compareRanks(a.urgency, b.urgency) ||
      Number(b.job.begun) - Number(a.job.begun) ||
      b.urgency.deadline - a.urgency.deadline,
  )
  const urgencies = new Map<Job, Urgency>()
  let startsAhead = 0
  for (const [position, { job, count, urgency }] of candidates.entries()) {
    const delayed = urgencyOf(job, ((startsAhead + count) * 1000) / perSecond)
    urgencies.set(
      job,
      delayed.standing === 'useless'
        ? longestIdleFirst(job, delayed)
        : { ...delayed, deadline: position },
    )
    if (delayed.standing === urgency.standing) startsAhead += count
  }
  return urgencies
}

/**
 * Orders useless jobs round-robin, the longest idle first and one start each, so that none of them
 * stalls while the owner finishes others.
 */
function longestIdleFirst(job: Job, { turn: _, ...urgency }: Urgency): Urgency {
  if (job.placed > 0) return { ...urgency, deadline: Number.MAX_SAFE_INTEGER }
  return { ...urgency, deadline: job.idleSince, maxStarts: 1 }
}
