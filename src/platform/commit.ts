/**
 * Resolves the outcome of a transaction whose reply was lost. Each write names the version
 * that it replaces, so that sending the same transaction again cannot apply it twice. When a
 * later attempt is refused, the operation id on the row tells whose write was applied.
 */
import { ok } from 'neverthrow'
import { nanoid } from 'nanoid'
import { fullJitter, sleep } from '../shared/index.js'
import { platformFailure } from './fail.js'
import type {
  Platform,
  PlatformResult,
  Transaction,
  TransactionOutcome,
} from './types.js'

/** Attempts before an error is returned. */
const COMMIT_ATTEMPTS = 4
const RETRY_BASE_MS = 50
const RETRY_CAP_MS = 1000

/** Creates a unique operation id. */
export function newOpId(kind: string): string {
  return `${kind}-${nanoid(12)}`
}

/**
 * Applies a transaction and determines its outcome.
 * @returns an error with the failure `unknown` only when the platform did not answer again.
 */
export async function commit(
  platform: Platform,
  tx: Transaction,
): PlatformResult<TransactionOutcome> {
  let mayHaveApplied = false
  for (let attempt = 0; attempt < COMMIT_ATTEMPTS; attempt++) {
    if (attempt > 0) await sleep(fullJitter(attempt, RETRY_BASE_MS, RETRY_CAP_MS))
    const outcome = await platform.transact(tx)
    if (outcome.isOk() && (outcome.value.committed || !mayHaveApplied)) return outcome
    if (outcome.isOk()) return readBack(platform, tx, outcome.value)
    if (outcome.error.failure === 'refused') return outcome
    if (outcome.error.failure === 'unknown') mayHaveApplied = true
  }
  const failure = mayHaveApplied ? 'unknown' : 'unreachable'
  return platformFailure('commit', failure, `transaction ${tx.opId} is not settled`)
}

async function readBack(
  platform: Platform,
  tx: Transaction,
  refused: TransactionOutcome,
): PlatformResult<TransactionOutcome> {
  const firstPut = tx.writes.find((write) => write.value !== null)
  if (!firstPut) return ok(refused)
  const rows = await platform.read([firstPut.key])
  if (rows.isErr()) {
    return platformFailure('readBack', 'unknown', `transaction ${tx.opId} is not settled`)
  }
  const row = rows.value.get(firstPut.key)
  if (row?.op !== tx.opId) return ok(refused)
  return ok({ committed: true, revision: row.revision })
}
