/** `rillshunt table show|set|unset|remove|diff|discard`: the table and its draft. */
import { Option } from 'clipanion'
import { EXIT } from '../shared/index.js'
import {
  LINE_KINDS,
  WHOLE_LINE,
  applyEdits,
  columnsOf,
  diffTables,
  splitLineKey,
} from '../table/index.js'
import type { CellEdit, RawTable } from '../table/index.js'
import { PlatformCommand, unwrap, formatCell } from './base.js'
import type { Session } from './base.js'

/** `table show` */
export class TableShow extends PlatformCommand {
  static override paths = [['table', 'show']]
  static override usage = PlatformCommand.Usage({
    description: 'show the accepted table, with or without the draft',
  })
  draft = Option.Boolean('--draft', false, {
    description: 'apply the edits of the draft',
  })

  async run({ store, editor }: Session): Promise<number> {
    const view = unwrap(await store.draft(editor))
    const base = view.head?.raw ?? {}
    const raw = this.draft ? applyEdits(base, view.draft.edits) : base
    this.print({ epoch: view.head?.epoch ?? 0, table: raw }, () =>
      this.describe(raw, view),
    )
    return EXIT.ok
  }

  private describe(raw: RawTable, view: { head: { epoch: number } | undefined }): string {
    const parts = LINE_KINDS.flatMap((kind) => {
      const columns = columnsOf(kind)
      const rows = Object.keys(raw).filter((row) => splitLineKey(row)?.kind === kind)
      if (rows.length === 0) return []
      const lines = rows
        .sort()
        .map((row) => [
          splitLineKey(row)!.name,
          ...columns.map((column) => raw[row]?.[column] ?? '-'),
        ])
      return [this.formatTable([kind, ...columns], lines)]
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
    const parts = splitLineKey(this.row)
    if (!parts)
      return this.fail(
        `'${this.row}' is not of the form pool/NAME, service/NAME or wave/NAME`,
        EXIT.usage,
      )
    if (this.cells.length % 2 > 0)
      return this.fail('arguments after ROW must be COLUMN VALUE pairs', EXIT.usage)
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
    const draft = unwrap(await store.edit(editor, edits))
    this.print(draft, () => `draft of ${editor}: ${draft.edits.length} edited cells`)
    return EXIT.ok
  }
}

/** `table unset ROW COLUMN` */
export class TableUnset extends PlatformCommand {
  static override paths = [['table', 'unset']]
  static override usage = PlatformCommand.Usage({
    description: 'reset a cell of the draft to its default',
  })
  row = Option.String()
  column = Option.String()

  async run({ store, editor }: Session): Promise<number> {
    const edit = { row: this.row, column: this.column, value: null }
    const draft = unwrap(await store.edit(editor, [edit]))
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
    const draft = unwrap(await store.edit(editor, [edit]))
    this.print(draft, () => `draft of ${editor}: ${draft.edits.length} edited cells`)
    return EXIT.ok
  }
}

/** `table diff` */
export class TableDiff extends PlatformCommand {
  static override paths = [['table', 'diff']]
  static override usage = PlatformCommand.Usage({
    description: 'show the changes of the draft to the accepted table',
  })

  async run({ store, editor }: Session): Promise<number> {
    const { head, draft } = unwrap(await store.draft(editor))
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
        const before = formatCell(base[row]?.[column] ?? null)
        return `${row} ${column}: ${red(before)} -> ${green(formatCell(value))}`
      })
      .join('\n')
  }
}

/** `table discard` */
export class TableDiscard extends PlatformCommand {
  static override paths = [['table', 'discard']]
  static override usage = PlatformCommand.Usage({ description: 'discard the draft' })

  async run({ store, editor }: Session): Promise<number> {
    unwrap(await store.discard(editor))
    this.print({ discarded: true }, () => `draft of ${editor} discarded`)
    return EXIT.ok
  }
}
