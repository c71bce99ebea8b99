/** Writes of an owner that are conditional on its epoch. */
import type { Result } from 'neverthrow'
import type { Authority } from './authority.js'
import type { RowCommit, RowStore, RowTransaction } from '../ports/index.js'
import type { PlatformError } from '../shared/index.js'

/**
 * Commits a change on condition that the owner's epoch row is unchanged, as well as the rows in
 * `conditions`. When the store refuses it, either another owner has taken over, which is reported
 * to the authority, or a row has a newer version, and the change may be retried.
 */
export async function commitUnderEpoch(
  store: RowStore,
  authority: Authority,
  { conditions = [], ...change }: Partial<RowTransaction>,
): Promise<Result<RowCommit, PlatformError>> {
  const res = await store.commit({
    puts: [],
    removals: [],
    ...change,
    conditions: [authority.epoch(), ...conditions],
  })
  if (res.isOk() && !res.value.committed && !authority.adoptEpoch(res.value.current))
    authority.markLost('the epoch row has changed')
  return res
}
