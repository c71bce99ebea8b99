/**
 * Order in which jobs get room when there is too little: what can still be in time goes
 * before what is late already, and that before what is too late to matter.
 */
import type { Job } from '../jobs/index.js'
import type { Queue } from '../ports/index.js'
import type { RunTimes } from './runTimes.js'

/** A job is of no use to its caller after so many times its objective. */
const USELESS_AFTER = 3
/** Priority of jobs whose queue is configured no more. */
const LOWEST_PRIORITY = 1000

/** `timely`: can still meet its objective. `late`: still of some use. */
type Standing = 'timely' | 'late' | 'useless'
const STANDING_ORDER: Record<Standing, number> = { timely: 0, late: 1, useless: 2 }

/** Place of a job in the order; compared field by field. */
export interface Urgency {
  priority: number
  standing: Standing
  /** Steady time by which it should be done, in ms. */
  deadline: number
}

/** Works out the place of a job now. */
export function urgencyOf(
  job: Job,
  queue: Queue | undefined,
  runTimes: RunTimes,
  now: number,
): Urgency {
  const priority = queue?.priority ?? LOWEST_PRIORITY
  const lasting = job.spec.steps.some((step) => step.lasting)
  if (!queue || lasting) return { priority, standing: 'timely', deadline: job.arrivedAt }
  const objectiveMs = queue.stretch * runTimes.chainOf(job) + queue.latencyMs
  const endsAt = now + runTimes.remainingOf(job, now)
  const deadline = job.arrivedAt + objectiveMs
  if (endsAt <= deadline) return { priority, standing: 'timely', deadline }
  const uselessAt = job.arrivedAt + USELESS_AFTER * objectiveMs
  const standing = endsAt <= uselessAt ? 'late' : 'useless'
  return { priority, standing, deadline: standing === 'late' ? uselessAt : job.arrivedAt }
}

/** Negative when `a` goes first. */
export function compareUrgency(a: Urgency, b: Urgency): number {
  return (
    a.priority - b.priority ||
    STANDING_ORDER[a.standing] - STANDING_ORDER[b.standing] ||
    a.deadline - b.deadline
  )
}
