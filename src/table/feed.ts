/** Reads accepted tables from the platform and offers them to the table holder. */
import type { Platform, RowWatch } from '../platform/index.js'
import type { TableHolder } from './inForce.js'
import type { Head } from './records.js'
import { HEAD_KEY, acceptedSchema, headSchema, tableKey } from './records.js'

/** Reads the head from the platform and offers the table that it names. */
export async function offerPlatformTable(
  platform: Platform,
  table: TableHolder,
): Promise<void> {
  const rows = await platform.read([HEAD_KEY])
  if (rows.isErr()) return
  const head = headSchema.safeParse(rows.value.get(HEAD_KEY)?.value)
  if (head.success) await readHeadTable(platform, table, head.data)
}

/** Offers the table of each new head in the watch. Returns an unsubscribe function. */
export function followHead(
  platform: Platform,
  rows: RowWatch,
  table: TableHolder,
): () => void {
  return rows.subscribe((keys) => {
    if (!keys.includes(HEAD_KEY)) return
    const head = headSchema.safeParse(rows.rows.get(HEAD_KEY)?.value)
    if (head.success) void readHeadTable(platform, table, head.data)
  })
}

async function readHeadTable(
  platform: Platform,
  table: TableHolder,
  head: Head,
): Promise<void> {
  if (head.epoch <= (table.current()?.epoch ?? 0)) return
  const key = tableKey(head.epoch)
  const found = await platform.read([key])
  if (found.isErr()) return
  const accepted = acceptedSchema.safeParse(found.value.get(key)?.value)
  if (!accepted.success || accepted.data.hash !== head.hash) return
  table.offer(accepted.data, 'platform')
}
