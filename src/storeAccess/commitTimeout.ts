/**
 * Adaptive time-out for commits. A commit takes effect at most once because of its conditions, so
 * a caller that is soon told of a missing answer may repeat it. The call itself goes on: its
 * answer, even a late one, adjusts the time-out of the next commit.
 */
import type { StoreResult } from '../ports/index.js'
import { createAdaptiveTimeout, monotonicMs, watchSilence } from '../shared/index.js'
import { MAX_COMMIT_WAIT_MS, MIN_COMMIT_WAIT_MS } from './constants.js'
import { STORE_PLACE, failedAnswer, isAnswered } from './storeCall.js'

/** Makes a commit; fails as `unknown` if the answer does not arrive within the time-out. */
export type CommitTimeout = <T>(commit: () => StoreResult<T>) => StoreResult<T>

/** Creates the time-out, which one node uses for all its commits. */
export function createCommitTimeout(): CommitTimeout {
  const roundTrip = createAdaptiveTimeout({
    minMs: MIN_COMMIT_WAIT_MS,
    maxMs: MAX_COMMIT_WAIT_MS,
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
