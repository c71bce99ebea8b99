/**
 * Shares of organisations when there is not enough room for all. An organisation has a share of so
 * many jobs a second as its weight says. Jobs that it sends beyond that come after the jobs of all
 * organisations that keep to their shares, so that it takes nothing from them.
 *
 * Each job is judged on arrival by the generic cell rate algorithm (ITU-T I.371, virtual scheduling):
 * the theoretical arrival time of an organisation advances by one interval for each job within the
 * share, and a job is beyond it if that time is too far ahead.
 */
import type { Job } from '../jobs/index.js'

/** Time over which an organisation may send the jobs of its share unevenly, in ms. */
const BURST_TOLERANCE_MS = 5000

/** Judges the jobs of one service. */
export interface FairShares {
  /** Records a new job; returns whether it is beyond the share of its organisation. */
  note(job: Job, now: number): boolean
  /** Whether the job was beyond the share of its organisation when it arrived. */
  isBeyondShare(job: Job): boolean
}

/**
 * Creates the record without any job.
 * @param weightOf weight of an organisation, in jobs per second; undefined if it has no share
 */
export function createFairShares(
  weightOf: (organisation: string) => number | undefined,
): FairShares {
  /** Theoretical arrival time of the next job, by organisation, in ms. */
  const arrivalTimes = new Map<string, number>()
  const beyondShare = new WeakSet<Job>()

  function isWithinShare(organisation: string, now: number): boolean {
    const weight = weightOf(organisation)
    if (weight === undefined || weight <= 0) return true
    const arrivalTime = Math.max(now, arrivalTimes.get(organisation) ?? now)
    if (arrivalTime - now > BURST_TOLERANCE_MS) return false
    arrivalTimes.set(organisation, arrivalTime + 1000 / weight)
    return true
  }

  return {
    note(job, now) {
      const { organisation } = job.spec
      if (organisation === undefined || isWithinShare(organisation, now)) return false
      beyondShare.add(job)
      return true
    },
    isBeyondShare: (job) => beyondShare.has(job),
  }
}
