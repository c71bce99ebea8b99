/**
 * Publishes the status of a hall for operators: the epoch in force at each entry. The row
 * is written only on a change, so that its traffic does not grow with time.
 */
import { hallKey, hallRowSchema } from '../fleet/index.js'
import type { HallRow } from '../fleet/index.js'
import type { PeerNetwork } from '../peer/index.js'
import { canonicalJson } from '../shared/index.js'
import { writeUnderLease } from './context.js'
import type { KeeperContext } from './context.js'

/** Silence after which an entry is shown as not reached, in ms. */
const UNREACHED_AFTER_MS = 5000

/** Writes the hall's status row if it has changed. */
export async function publishHallStatus(
  ctx: KeeperContext,
  fence: number,
  peers: PeerNetwork,
): Promise<void> {
  const value = buildHallRow(ctx.hall, peers)
  const key = hallKey(ctx.hall)
  const row = ctx.rows.rows.get(key)
  const stored = hallRowSchema.safeParse(row?.value)
  if (stored.success && canonicalJson(stored.data) === canonicalJson(value)) return
  await writeUnderLease(ctx, fence, 'hallStatus', [
    { key, version: row?.version ?? 0, value },
  ])
}

function buildHallRow(hall: string, peers: PeerNetwork): HallRow {
  const entries: HallRow['entries'] = []
  const own = peers.ownReport()
  if (own.routes) entries.push({ id: own.node, epoch: Number(own.epoch), reached: true })
  for (const { id, address, report, silentForMs } of peers.peers()) {
    if (address.hall !== hall || address.role !== 'entry') continue
    const reached = report !== undefined && silentForMs() < UNREACHED_AFTER_MS
    entries.push({ id, epoch: Number(report?.epoch ?? 0), reached })
  }
  entries.sort((a, b) => (a.id < b.id ? -1 : 1))
  const reachedEntries = entries.filter((each) => each.reached)
  const epoch =
    reachedEntries.length > 0 ? Math.min(...reachedEntries.map((each) => each.epoch)) : 0
  return { hall, epoch, entries }
}
