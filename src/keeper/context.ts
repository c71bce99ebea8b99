/** What all tasks of a keeper share, and writing under the lease. */
import { commit, newOpId } from '../platform/index.js'
import type { Platform, RowWatch, RowWrite } from '../platform/index.js'
import type { Logger, Metrics } from '../shared/index.js'
import type { EntryAcks } from './acks.js'
import type { FleetState } from './fleetState.js'
import type { Lease } from './lease.js'

/** Shared by the tasks of one keeper. */
export interface KeeperContext {
  hall: string
  platform: Platform
  rows: RowWatch
  lease: Lease
  acks: EntryAcks
  log: Logger
  metrics: Metrics
  /** Fires when the keeper stops. */
  signal: AbortSignal
  /** Time for a VM to come back from a reboot, in ms. */
  rebootTimeoutMs: number
  /** Time between two looks at something waited for, in ms. */
  pollIntervalMs: number
  /** The state as of now, or undefined when no table is in force. */
  state(): FleetState | undefined
  /** Services for which the last round found no room. */
  unplaced: Set<string>
}

/**
 * Applies writes under the fence.
 * @returns whether they took effect; when not, the next round plans anew.
 */
export async function writeUnderLease(
  ctx: KeeperContext,
  fence: number,
  step: string,
  writes: RowWrite[],
  opId = newOpId(step),
): Promise<boolean> {
  if (ctx.lease.fence() !== fence) return false
  const tx = { opId, writes, guards: [ctx.lease.guard(fence)] }
  const outcome = await commit(ctx.platform, tx)
  if (outcome.isOk() && outcome.value.committed) {
    await ctx.rows.refresh()
    return true
  }
  const reason = outcome.isErr()
    ? outcome.error.message
    : `'${outcome.value.committed ? '' : outcome.value.failedKey}' has changed`
  ctx.log.event('stepRefused', { step, reason })
  return false
}
