/**
 * Tells callers soon that the answer to a commit is missing. By its conditions a commit takes
 * effect once at most, so that it may be made again; the call itself goes on, and its answer,
 * also a late one, says how long the next one is waited for.
 */
import type { StoreResult } from '../ports/index.js'
import { createRoundTrip, monotonicMs, watchSilence } from '../shared/index.js'
import { MAX_COMMIT_WAIT_MS, MIN_COMMIT_WAIT_MS } from './constants.js'
import { STORE_PLACE, failedAnswer, isAnswered } from './storeCall.js'

/** Makes a commit; fails as `unknown` once its answer is missing. */
export type CommitTimeout = <T>(commit: () => StoreResult<T>) => StoreResult<T>

/** Creates the limit of one node. */
export function createCommitTimeout(): CommitTimeout {
  const roundTrip = createRoundTrip({
    leastMs: MIN_COMMIT_WAIT_MS,
    mostMs: MAX_COMMIT_WAIT_MS,
  })

  return (commit) =>
    new Promise((resolve) => {
      const sentAt = monotonicMs()
      const waitMs = roundTrip.timeoutMs()
      const limit = watchSilence(waitMs, () => {
        roundTrip.missed()
        const reason = `no answer within ${Math.round(waitMs)} ms`
        resolve(failedAnswer('unknown', reason, STORE_PLACE))
      })
      void commit().then((answer) => {
        limit.stop()
        if (isAnswered(answer)) roundTrip.note(monotonicMs() - sentAt)
        resolve(answer)
      })
    })
}
