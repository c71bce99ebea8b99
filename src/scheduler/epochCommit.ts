/** Writes of an owner that are conditional on its epoch only. */
import type { Result } from 'neverthrow'
import type { Authority } from '../ownership/index.js'
import type { RowStore, RowTransaction } from '../ports/index.js'
import type { PlatformError } from '../shared/index.js'

/**
 * Commits a change on condition that the owner's epoch row is unchanged. False when the store
 * refuses it: either another owner has taken over, which is reported to the authority, or the
 * row has a newer version of this owner's epoch, and the change may be retried.
 */
export async function commitUnderEpoch(
  store: RowStore,
  authority: Authority,
  change: Omit<RowTransaction, 'conditions'>,
): Promise<Result<boolean, PlatformError>> {
  const res = await store.commit({ conditions: [authority.epoch()], ...change })
  return res.map((commit) => {
    if (commit.committed) return true
    if (!authority.adoptEpoch(commit.current))
      authority.markLost('the epoch row has changed')
    return false
  })
}
