/**
 * Calls a target again where an answer is missing. Every order may be sent twice: a start
 * that exists is confirmed, one that has ended is refused, and a late one finds either.
 * If the target has restarted, its new life carries out a repeated start once more, which is
 * safe because every run of the earlier life is over.
 */
import type { Result } from 'neverthrow'
import type { OrderError, OrderResult } from '../ports/index.js'
import { monotonicMs } from '../shared/index.js'
import type { RoundTrip } from '../shared/index.js'
import { ANSWER_TIMEOUT_MS, MIN_ANSWER_MS } from './constants.js'

/** Calls that are made at most before a target counts as silent. */
const MAX_CALLS = 3

/** What became of a call and its repetitions. */
export interface CallResult<T> {
  /** Result of the last one. */
  res: Result<T, OrderError>
  /** Earlier ones without an answer; each of them may be carried out yet. */
  unansweredCalls: number
}

/** How a target is asked. */
export interface CallOptions<T> {
  roundTrip: RoundTrip
  /**
   * Makes one call.
   * @param timeoutMs time after which it is given up, once the target could have answered
   * @param waitMs time that the target may wait before it answers
   */
  send(timeoutMs: number, waitMs: number): OrderResult<T>
  /** Time that the target may wait at the first call, in ms. */
  waitMs?: number
  /** Whether the answer is still wanted after a call without one. */
  mayRetry?(): boolean
}

/** Calls until there is an answer, for {@link ANSWER_TIMEOUT_MS} at most. */
export async function callWithRetries<T>(opts: CallOptions<T>): Promise<CallResult<T>> {
  const { roundTrip, send, waitMs = 0, mayRetry = () => true } = opts
  const deadline = monotonicMs() + waitMs + ANSWER_TIMEOUT_MS
  for (let unansweredCalls = 0; ; unansweredCalls++) {
    const pollMs = unansweredCalls === 0 ? waitMs : 0
    const leftMs = Math.max(MIN_ANSWER_MS, deadline - monotonicMs() - pollMs)
    const timeoutMs = roundTrip.timeoutMs()
    const isLast = unansweredCalls + 1 === MAX_CALLS || timeoutMs + MIN_ANSWER_MS > leftMs
    const sentAt = monotonicMs()
    const res = await send(Math.round(isLast ? leftMs : timeoutMs), pollMs)
    const isUnanswered = res.isErr() && res.error.failure === 'unanswered'
    if (isUnanswered) roundTrip.missed()
    else if (pollMs === 0) roundTrip.note(monotonicMs() - sentAt)
    if (!isUnanswered || isLast || !mayRetry()) return { res, unansweredCalls }
  }
}
