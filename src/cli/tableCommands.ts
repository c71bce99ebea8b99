/** `rillshunt table …`: drafts, accept, history and status of the operators' table. */
import { readFile, writeFile } from 'node:fs/promises'
import { Option } from 'clipanion'
import {
  HALL_PREFIX,
  LEASE_PREFIX,
  hallRowSchema,
  leaseRowSchema,
} from '../fleet/index.js'
import { EXIT } from '../shared/index.js'
import {
  KINDS,
  WHOLE_LINE,
  applyEdits,
  checkTable,
  columnsOf,
  diffTables,
  exportCsv,
  importCsv,
  splitRow,
} from '../table/index.js'
import type { CellConflict, CellEdit, CellError, RawTable } from '../table/index.js'
import { PlatformCommand, need } from './base.js'
import type { Session } from './base.js'
import { previewTable } from './preview.js'
import type { HallPreview } from './preview.js'

const DEFAULT_HISTORY = 20
/** A hall whose lease was not renewed for so long is shown as not reached, in ms. */
const UNREACHED_AFTER_MS = 15_000

const show = (value: string | null): string =>
  value === null ? '(default)' : `'${value}'`

/** `table show` */
export class TableShow extends PlatformCommand {
  static override paths = [['table', 'show']]
  static override usage = PlatformCommand.Usage({
    description: 'show the accepted table, or the draft over it',
  })
  draft = Option.Boolean('--draft', false, { description: 'with the edits of the draft' })

  async run({ store, editor }: Session): Promise<number> {
    const view = need(await store.draft(editor))
    const base = view.head?.raw ?? {}
    const raw = this.draft ? applyEdits(base, view.draft.edits) : base
    this.print({ epoch: view.head?.epoch ?? 0, table: raw }, () =>
      this.describe(raw, view),
    )
    return EXIT.ok
  }

  private describe(raw: RawTable, view: { head: { epoch: number } | undefined }): string {
    const parts = KINDS.flatMap((kind) => {
      const columns = columnsOf(kind)
      const rows = Object.keys(raw).filter((row) => splitRow(row)?.kind === kind)
      if (rows.length === 0) return []
      const lines = rows
        .sort()
        .map((row) => [
          splitRow(row)!.name,
          ...columns.map((column) => raw[row]?.[column] ?? '-'),
        ])
      return [this.grid([kind, ...columns], lines)]
    })
    const title = `epoch ${view.head?.epoch ?? 0}${this.draft ? ' with the draft' : ''}`
    return [title, ...parts].join('\n\n')
  }
}

/** `table set ROW COLUMN VALUE …` */
export class TableSet extends PlatformCommand {
  static override paths = [['table', 'set']]
  static override usage = PlatformCommand.Usage({
    description: 'edit cells of the draft',
    examples: [['limit a service', 'rillshunt table set service/timing limit 32']],
  })
  row = Option.String()
  cells = Option.Rest({ required: 2 })

  async run({ store, editor }: Session): Promise<number> {
    const parts = splitRow(this.row)
    if (!parts)
      return this.fail(
        `'${this.row}' is no pool/NAME, service/NAME or wave/NAME`,
        EXIT.usage,
      )
    if (this.cells.length % 2 > 0) return this.fail('give COLUMN VALUE pairs', EXIT.usage)
    const edits: Omit<CellEdit, 'editor'>[] = []
    for (let i = 0; i < this.cells.length; i += 2) {
      const column = this.cells[i]!
      if (!columnsOf(parts.kind).includes(column)) {
        const allowed = columnsOf(parts.kind).join(', ')
        return this.fail(
          `a ${parts.kind} has no column '${column}'; it has ${allowed}`,
          EXIT.usage,
        )
      }
      edits.push({ row: this.row, column, value: this.cells[i + 1]! })
    }
    const draft = need(await store.edit(editor, edits))
    this.print(draft, () => `draft of ${editor}: ${draft.edits.length} edited cells`)
    return EXIT.ok
  }
}

/** `table unset ROW COLUMN` */
export class TableUnset extends PlatformCommand {
  static override paths = [['table', 'unset']]
  static override usage = PlatformCommand.Usage({
    description: 'set a cell of the draft back to its default',
  })
  row = Option.String()
  column = Option.String()

  async run({ store, editor }: Session): Promise<number> {
    const edit = { row: this.row, column: this.column, value: null }
    const draft = need(await store.edit(editor, [edit]))
    this.print(draft, () => `draft of ${editor}: ${draft.edits.length} edited cells`)
    return EXIT.ok
  }
}

/** `table remove ROW` */
export class TableRemove extends PlatformCommand {
  static override paths = [['table', 'remove']]
  static override usage = PlatformCommand.Usage({
    description: 'remove a line in the draft',
  })
  row = Option.String()

  async run({ store, editor }: Session): Promise<number> {
    const edit = { row: this.row, column: WHOLE_LINE, value: null }
    const draft = need(await store.edit(editor, [edit]))
    this.print(draft, () => `draft of ${editor}: ${draft.edits.length} edited cells`)
    return EXIT.ok
  }
}

/** `table diff` */
export class TableDiff extends PlatformCommand {
  static override paths = [['table', 'diff']]
  static override usage = PlatformCommand.Usage({
    description: 'show the draft against the accepted table',
  })

  async run({ store, editor }: Session): Promise<number> {
    const { head, draft } = need(await store.draft(editor))
    const base = head?.raw ?? {}
    const changes = diffTables(base, applyEdits(base, draft.edits), editor)
    this.print({ base: draft.base, changes }, () => this.describe(changes, base))
    return EXIT.ok
  }

  private describe(changes: CellEdit[], base: RawTable): string {
    if (changes.length === 0) return 'no change'
    const { red, green } = this.colors()
    return changes
      .map(({ row, column, value }) => {
        if (column === WHOLE_LINE) return red(`- ${row}`)
        const before = show(base[row]?.[column] ?? null)
        return `${row} ${column}: ${red(before)} -> ${green(show(value))}`
      })
      .join('\n')
  }
}

/** `table discard` */
export class TableDiscard extends PlatformCommand {
  static override paths = [['table', 'discard']]
  static override usage = PlatformCommand.Usage({ description: 'throw the draft away' })

  async run({ store, editor }: Session): Promise<number> {
    need(await store.discard(editor))
    this.print({ discarded: true }, () => `draft of ${editor} discarded`)
    return EXIT.ok
  }
}

/** `table accept` */
export class TableAccept extends PlatformCommand {
  static override paths = [['table', 'accept']]
  static override usage = PlatformCommand.Usage({
    description: 'check the draft and put it in force in every hall',
  })
  dryRun = Option.Boolean('--dry-run', false, {
    description: 'only show what it would do',
  })

  async run(session: Session): Promise<number> {
    const preview = await this.preview(session)
    if (this.dryRun) {
      this.print({ preview }, () => describePreview(preview))
      return EXIT.ok
    }
    const outcome = need(await session.store.accept(session.editor))
    this.print({ ...outcome, preview }, () => {
      const texts = {
        accepted: () => `accepted as epoch ${'epoch' in outcome ? outcome.epoch : 0}`,
        nothing: () => 'the draft changes nothing',
        refused: () =>
          'errors' in outcome ? describeRefusal(outcome.errors, outcome.conflicts) : '',
        unknown: () =>
          'acceptId' in outcome
            ? `unknown: the platform did not answer. Ask again with: rillshunt table find ${outcome.acceptId}`
            : '',
      }
      const effects = outcome.kind === 'accepted' ? [describePreview(preview)] : []
      return [texts[outcome.kind](), ...effects].join('\n')
    })
    return {
      accepted: EXIT.ok,
      nothing: EXIT.ok,
      refused: EXIT.refused,
      unknown: EXIT.unknown,
    }[outcome.kind]
  }

  private async preview({ store, platform, editor }: Session) {
    const { head, draft } = need(await store.draft(editor))
    const checked = checkTable(applyEdits(head?.raw ?? {}, draft.edits))
    return checked.isOk() ? previewTable(platform, checked.value) : undefined
  }
}

function describePreview(preview: HallPreview[] | undefined): string {
  if (!preview) return 'its effects cannot be shown'
  const lines = preview.flatMap((each) => {
    const { hall, vmMoves, jobStarts, jobStops, unplaced, stuckWaves } = each
    const moves = vmMoves.map(
      ({ vm, from, to }) => `  VM ${vm} moves from ${from} to ${to}`,
    )
    const lacks = unplaced.map(
      ({ service, reason }) => `  '${service}' lacks room: ${reason}`,
    )
    const stuck = stuckWaves.map(
      ({ wave, reason }) => `  wave '${wave}' cannot finish: ${reason}`,
    )
    const head = `${hall}: ${vmMoves.length} VMs move, ${jobStarts} jobs start, ${jobStops} stop`
    return [head, ...moves, ...lacks, ...stuck]
  })
  return lines.join('\n')
}

function describeRefusal(errors: CellError[], conflicts: CellConflict[]): string {
  const wrong = errors.map(
    ({ row, column, value, rule }) => `${row} ${column}: '${value}' must be ${rule}`,
  )
  const clashes = conflicts.map(
    ({ row, column, mine, theirs }) =>
      `${row} ${column}: ${theirs.editor} accepted ${show(theirs.value)}, ` +
      `${mine.editor} wants ${show(mine.value)}`,
  )
  return ['refused; nothing was changed:', ...wrong, ...clashes].join('\n  ')
}

/** `table find ID` */
export class TableFind extends PlatformCommand {
  static override paths = [['table', 'find']]
  static override usage = PlatformCommand.Usage({
    description: 'find out whether an accept took effect',
  })
  acceptId = Option.String()

  async run({ store }: Session): Promise<number> {
    const found = need(await store.findAccept(this.acceptId))
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
  count = Option.String('--count', String(DEFAULT_HISTORY), {
    description: 'how many, newest first',
  })

  async run({ store }: Session): Promise<number> {
    const count = Number(this.count)
    if (!Number.isInteger(count) || count < 1) {
      return this.fail('--count: a whole number from 1', EXIT.usage)
    }
    const tables = need(await store.history(count))
    const entries = tables.map(({ epoch, editor, at, acceptId, changes }) => {
      return { epoch, editor, at, acceptId, changes }
    })
    this.print(entries, () =>
      this.grid(
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
    const head = need(await store.head())
    const rows = need(await platform.changes([HALL_PREFIX, LEASE_PREFIX], 0)).rows
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
      return [{ ...hall.data, reached: silentMs < UNREACHED_AFTER_MS, silentMs }]
    })
    halls.sort((a, b) => (a.hall < b.hall ? -1 : 1))
    this.print({ epoch: head?.epoch ?? 0, halls }, () => {
      const lines = halls.map(({ hall, epoch, reached, silentMs, entries }) => {
        const away = entries.filter((each) => !each.reached).map((each) => each.id)
        const state = reached
          ? 'reached'
          : `not reached for ${Math.round(silentMs / 1000)} s`
        return [hall, epoch, state, away.join(' ') || '-']
      })
      const table = this.grid(['hall', 'epoch in force', 'keeper', 'entries away'], lines)
      return `accepted epoch: ${head?.epoch ?? 0}\n\n${table}`
    })
    return EXIT.ok
  }
}

/** `table import FILE` */
export class TableImport extends PlatformCommand {
  static override paths = [['table', 'import']]
  static override usage = PlatformCommand.Usage({
    description: 'make the draft equal to a CSV sheet',
  })
  file = Option.String()

  async run({ store, editor }: Session): Promise<number> {
    const text = await readFile(this.file, 'utf8').catch(() => undefined)
    if (text === undefined) return this.fail(`${this.file}: cannot be read`, EXIT.usage)
    const sheet = importCsv(text)
    if (sheet.isErr())
      return this.fail(`${this.file}: ${sheet.error.message}`, EXIT.refused)
    const { head } = need(await store.draft(editor))
    const edits = diffTables(head?.raw ?? {}, sheet.value, editor)
    need(await store.discard(editor))
    if (edits.length > 0) need(await store.edit(editor, edits))
    this.print({ edits }, () => `draft of ${editor}: ${edits.length} edited cells`)
    return EXIT.ok
  }
}

/** `table export [FILE]` */
export class TableExport extends PlatformCommand {
  static override paths = [['table', 'export']]
  static override usage = PlatformCommand.Usage({
    description: 'write the accepted table as a CSV sheet',
  })
  file = Option.String({ required: false })

  async run({ store }: Session): Promise<number> {
    const raw = need(await store.head())?.raw ?? {}
    if (this.json) this.print(raw, () => '')
    else if (this.file === undefined) this.context.stdout.write(exportCsv(raw))
    else await writeFile(this.file, exportCsv(raw))
    return EXIT.ok
  }
}
