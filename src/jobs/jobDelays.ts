/** Where the time of a job went beyond the runs of its tasks. */

/** The longest delays among a job's tasks. */
export interface JobDelays {
  /** Wait of a task for a target, in ms. */
  waitedMs: number
  /** From the order to start a task until what became of it was known, in ms. */
  startMs: number
  /** Starts that the target left unanswered. */
  unanswered: number
  /** Silence of a target before it reported the end of a task, in ms. */
  unheardMs: number
}

/** No delay. */
export function createJobDelays(): JobDelays {
  return { waitedMs: 0, startMs: 0, unanswered: 0, unheardMs: 0 }
}

/** Notes a delay where it is the longest of its kind. */
export function noteDelay(
  delays: JobDelays,
  kind: Exclude<keyof JobDelays, 'unanswered'>,
  ms: number,
): void {
  delays[kind] = Math.max(delays[kind], Math.round(ms))
}
