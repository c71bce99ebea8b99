/** Writes of an owner that depend on nothing but its epoch. */
import type { Result } from 'neverthrow'
import type { Authority } from '../ownership/index.js'
import type { RowStore, RowTransaction } from '../ports/index.js'
import type { PlatformError } from '../shared/index.js'

/**
 * Makes the change while the owner's epoch stands. False when it was refused: for another owner,
 * which the authority is told of, or for a newer version of our own epoch, so that it may be tried
 * again.
 */
export async function commitUnderEpoch(
  store: RowStore,
  authority: Authority,
  change: Omit<RowTransaction, 'conditions'>,
): Promise<Result<boolean, PlatformError>> {
  const res = await store.commit({ conditions: [authority.epoch()], ...change })
  return res.map((commit) => {
    if (commit.committed) return true
    if (!authority.adoptEpoch(commit.current)) authority.lost('the epoch row has changed')
    return false
  })
}
