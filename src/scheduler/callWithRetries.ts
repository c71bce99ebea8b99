/**
 * Retries calls to a target that go unanswered. Orders are idempotent: a start is confirmed if
 * its run exists and refused if the run has ended, also when it arrives late. An order names the
 * incarnation of the target that it is for, so that none of its calls reaches a later one.
 */
import type { Result } from 'neverthrow'
import type { OrderError, OrderResult } from '../ports/index.js'
import { monotonicMs } from '../shared/index.js'
import type { AdaptiveTimeout } from '../shared/index.js'
import { ANSWER_TIMEOUT_MS, MIN_ANSWER_TIMEOUT_MS } from './constants.js'

/** Largest number of calls before the target counts as silent. */
const MAX_CALLS = 3
/** Largest number of attempts to send one call, each of which may fail on this node. */
const MAX_SENDS = 3

/** Result of a call with its retries. */
export interface CallResult<T> {
  /** Result of the last call. */
  res: Result<T, OrderError>
  /** Number of earlier calls without an answer; each of them may still be carried out. */
  unansweredCalls: number
}

/** Options of a call with retries. */
export interface CallOptions<T> {
  roundTrip: AdaptiveTimeout
  /**
   * Makes one call.
   * @param timeoutMs time-out, counted from when the target could have answered
   * @param waitMs time for which the target may hold the call before it answers
   */
  send(timeoutMs: number, waitMs: number): OrderResult<T>
  /** Time for which the target may hold the first call, in ms. */
  waitMs?: number
  /** Whether an unanswered call may be retried; always by default. */
  mayRetry?(): boolean
}

/** Repeats a call that has not left this node, which is late itself. */
async function sendUntilSent<T>(
  send: () => OrderResult<T>,
  mayRetry: () => boolean,
): OrderResult<T> {
  for (let sends = 1; ; sends++) {
    const res = await send()
    const isSent = res.isOk() || res.error.failure !== 'notSent'
    if (isSent || sends === MAX_SENDS || !mayRetry()) return res
  }
}

/**
 * Calls a target until it answers, for `waitMs` and {@link ANSWER_TIMEOUT_MS} at most. Only
 * unanswered calls are retried, not failed ones.
 */
export async function callWithRetries<T>(opts: CallOptions<T>): Promise<CallResult<T>> {
  const { roundTrip, send, waitMs = 0, mayRetry = () => true } = opts
  const deadline = monotonicMs() + waitMs + ANSWER_TIMEOUT_MS
  for (let unansweredCalls = 0; ; unansweredCalls++) {
    const pollMs = unansweredCalls === 0 ? waitMs : 0
    const leftMs = Math.max(MIN_ANSWER_TIMEOUT_MS, deadline - monotonicMs() - pollMs)
    const timeoutMs = roundTrip.timeoutMs()
    const isLast =
      unansweredCalls + 1 === MAX_CALLS || timeoutMs + MIN_ANSWER_TIMEOUT_MS > leftMs
    const sentAt = monotonicMs()
    const res = await sendUntilSent(
      () => send(Math.round(isLast ? leftMs : timeoutMs), pollMs),
      mayRetry,
    )
    if (res.isErr() && res.error.failure === 'notSent') return { res, unansweredCalls }
    const isUnanswered = res.isErr() && res.error.failure === 'unanswered'
    if (isUnanswered) roundTrip.missed()
    else if (pollMs === 0) roundTrip.note(monotonicMs() - sentAt)
    if (!isUnanswered || isLast || !mayRetry()) return { res, unansweredCalls }
  }
}
