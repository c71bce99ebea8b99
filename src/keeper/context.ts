/** State shared by all tasks of a keeper, and conditional writes under its lease. */
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
  /** Aborted when the keeper stops. */
  signal: AbortSignal
  /** Time after which a wave halts if a VM has not come back from its reboot, in ms. */
  rebootTimeoutMs: number
  /** Interval between two checks of an awaited condition, in ms. */
  pollIntervalMs: number
  /** The latest known state, or undefined while no table is in force. */
  state(): FleetState | undefined
  /** Services with an instance that the last round could not place. */
  unplaced: Set<string>
}

/**
 * Commits writes on condition that the fencing token is still current.
 * @returns whether the writes were committed. If not, the next round plans again.
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
