/** `rillshunt table import|export`: reads and writes the table as CSV. */
import { readFile, writeFile } from 'node:fs/promises'
import { Option } from 'clipanion'
import { EXIT } from '../shared/index.js'
import { diffTables, exportCsv, importCsv } from '../table/index.js'
import { PlatformCommand, unwrap } from './base.js'
import type { Session } from './base.js'

/** `table import FILE` */
export class TableImport extends PlatformCommand {
  static override paths = [['table', 'import']]
  static override usage = PlatformCommand.Usage({
    description: 'replace the draft with the table in a CSV file',
  })
  file = Option.String()

  async run({ store, editor }: Session): Promise<number> {
    const text = await readFile(this.file, 'utf8').catch(() => undefined)
    if (text === undefined) return this.fail(`${this.file}: cannot be read`, EXIT.usage)
    const sheet = importCsv(text)
    if (sheet.isErr())
      return this.fail(`${this.file}: ${sheet.error.message}`, EXIT.refused)
    const { head } = unwrap(await store.draft(editor))
    const edits = diffTables(head?.raw ?? {}, sheet.value, editor)
    unwrap(await store.discard(editor))
    if (edits.length > 0) unwrap(await store.edit(editor, edits))
    this.print({ edits }, () => `draft of ${editor}: ${edits.length} edited cells`)
    return EXIT.ok
  }
}

/** `table export [FILE]` */
export class TableExport extends PlatformCommand {
  static override paths = [['table', 'export']]
  static override usage = PlatformCommand.Usage({
    description: 'write the accepted table as CSV',
  })
  file = Option.String({ required: false })

  async run({ store }: Session): Promise<number> {
    const raw = unwrap(await store.head())?.raw ?? {}
    if (this.json) this.print(raw, () => '')
    else if (this.file === undefined) this.context.stdout.write(exportCsv(raw))
    else await writeFile(this.file, exportCsv(raw))
    return EXIT.ok
  }
}
