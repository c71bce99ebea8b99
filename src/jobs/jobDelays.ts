/** Delays of a job apart from the run time of its tasks. */

/** The longest delays among a job's tasks. */
export interface JobDelays {
  /** Time that a ready task waited for a target, in ms. */
  waitedMs: number
  /** Time from a start order until its result was known, in ms. */
  startMs: number
  /** Number of start orders that the target did not answer. */
  unanswered: number
  /** Silence of a target before it reported the end of a task, in ms. */
  unheardMs: number
}

/** Creates delays that are all zero. */
export function createJobDelays(): JobDelays {
  return { waitedMs: 0, startMs: 0, unanswered: 0, unheardMs: 0 }
}

/** Records a delay, in ms, if it is the longest of its kind. */
export function noteDelay(
  delays: JobDelays,
  kind: Exclude<keyof JobDelays, 'unanswered'>,
  ms: number,
): void {
  delays[kind] = Math.max(delays[kind], Math.round(ms))
}
