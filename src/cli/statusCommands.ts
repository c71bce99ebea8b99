/** `rillshunt table find|history|status`: accepted tables and the epoch in each hall. */
import { Option } from 'clipanion'
import {
  HALL_PREFIX,
  LEASE_PREFIX,
  hallRowSchema,
  leaseRowSchema,
} from '../fleet/index.js'
import { EXIT } from '../shared/index.js'
import { PlatformCommand, unwrap } from './base.js'
import type { Session } from './base.js'

const DEFAULT_HISTORY_COUNT = 20
/** Time without lease renewal after which a hall is shown as not reached, in ms. */
const UNREACHABLE_AFTER_MS = 15_000

/** `table find ID` */
export class TableFind extends PlatformCommand {
  static override paths = [['table', 'find']]
  static override usage = PlatformCommand.Usage({
    description: 'show whether an accept took effect',
  })
  acceptId = Option.String()

  async run({ store }: Session): Promise<number> {
    const found = unwrap(await store.findAccept(this.acceptId))
    this.print({ accepted: found !== undefined, epoch: found?.epoch }, () =>
      found ? `accepted as epoch ${found.epoch}` : 'not accepted; the draft still stands',
    )
    return found ? EXIT.ok : EXIT.failed
  }
}

/** `table history` */
export class TableHistory extends PlatformCommand {
  static override paths = [['table', 'history']]
  static override usage = PlatformCommand.Usage({ description: 'list accepted tables' })
  count = Option.String('--count', String(DEFAULT_HISTORY_COUNT), {
    description: 'number of tables, newest first',
  })

  async run({ store }: Session): Promise<number> {
    const count = Number(this.count)
    if (!Number.isInteger(count) || count < 1) {
      return this.fail('--count must be a whole number of at least 1', EXIT.usage)
    }
    const tables = unwrap(await store.history(count))
    const entries = tables.map(({ epoch, editor, at, acceptId, changes }) => {
      return { epoch, editor, at, acceptId, changes }
    })
    this.print(entries, () =>
      this.formatTable(
        ['epoch', 'editor', 'at', 'accept id', 'changed'],
        entries.map((each) => [
          each.epoch,
          each.editor,
          each.at,
          each.acceptId,
          `${each.changes.length} cells`,
        ]),
      ),
    )
    return EXIT.ok
  }
}

/** `table status` */
export class TableStatus extends PlatformCommand {
  static override paths = [['table', 'status']]
  static override usage = PlatformCommand.Usage({
    description: 'show the epoch in force in each hall',
  })

  async run({ store, platform }: Session): Promise<number> {
    const head = unwrap(await store.head())
    const rows = unwrap(await platform.changes([HALL_PREFIX, LEASE_PREFIX], 0)).rows
    const renewed = new Map<string, number>()
    for (const row of rows) {
      const lease = leaseRowSchema.safeParse(row.value)
      if (!row.key.startsWith(LEASE_PREFIX) || !lease.success) continue
      renewed.set(row.key.slice(LEASE_PREFIX.length), Date.parse(lease.data.renewedAt))
    }
    const halls = rows.flatMap((row) => {
      const hall = hallRowSchema.safeParse(row.value)
      if (!row.key.startsWith(HALL_PREFIX) || !hall.success) return []
      const silentMs = Date.now() - (renewed.get(hall.data.hall) ?? 0)
      return [{ ...hall.data, reached: silentMs < UNREACHABLE_AFTER_MS, silentMs }]
    })
    halls.sort((a, b) => (a.hall < b.hall ? -1 : 1))
    this.print({ epoch: head?.epoch ?? 0, halls }, () => {
      const lines = halls.map(({ hall, epoch, reached, silentMs, entries }) => {
        const unreachable = entries.filter((each) => !each.reached).map((each) => each.id)
        const state = reached
          ? 'reached'
          : `not reached for ${Math.round(silentMs / 1000)} s`
        return [hall, epoch, state, unreachable.join(' ') || '-']
      })
      const table = this.formatTable(
        ['hall', 'epoch in force', 'keeper', 'entries away'],
        lines,
      )
      return `accepted epoch: ${head?.epoch ?? 0}\n\n${table}`
    })
    return EXIT.ok
  }
}
