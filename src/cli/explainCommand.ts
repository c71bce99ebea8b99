/** `rillshunt explain KIND ID`: stored events about a VM, job, wave, pool or service. */
import { Option } from 'clipanion'
import { DECISIONS_PREFIX } from '../keeper/index.js'
import type { StoredEvent } from '../keeper/index.js'
import { EXIT } from '../shared/index.js'
import { PlatformCommand, unwrap } from './base.js'
import type { Session } from './base.js'

/** Event fields that can hold the id, by kind. */
const FIELDS_BY_KIND: Record<string, string[]> = {
  vm: ['vm'],
  job: ['job'],
  wave: ['wave'],
  pool: ['pool', 'from', 'to'],
  service: ['service'],
}
/** Number of newest event batches that are read. */
const MAX_BATCHES = 500
const READ_BATCH_SIZE = 20
/** Fields that the last column leaves out; the hall has a column of its own. */
const OMITTED_FIELDS = new Set(['hall', 'node', 'component'])

/** `explain KIND ID` */
export class Explain extends PlatformCommand {
  static override paths = [['explain']]
  static override usage = PlatformCommand.Usage({
    description: 'show what happened to a vm, job, wave, pool or service, and why',
    examples: [['a wave', 'rillshunt explain wave kernel']],
  })
  kind = Option.String()
  id = Option.String()

  async run(session: Session): Promise<number> {
    const fields = FIELDS_BY_KIND[this.kind]
    if (!fields) {
      const kinds = Object.keys(FIELDS_BY_KIND).join(', ')
      return this.fail(`'${this.kind}' is none of ${kinds}`, EXIT.usage)
    }
    const events = await readEvents(session)
    const matching = events.filter(({ fields: values }) =>
      fields.some((field) => values[field] === this.id),
    )
    this.print(matching, () => {
      if (matching.length === 0) return `nothing is known of ${this.kind} '${this.id}'`
      const lines = matching.map(({ at, event, text, fields: values }) => [
        at,
        String(values['hall']),
        event,
        text,
        describeFields(values),
      ])
      return this.formatTable(['at', 'hall', 'event', 'what', 'why'], lines)
    })
    return matching.length > 0 ? EXIT.ok : EXIT.failed
  }
}

function describeFields(values: Record<string, unknown>): string {
  return Object.entries(values)
    .filter(([name, value]) => !OMITTED_FIELDS.has(name) && value !== undefined)
    .map(([name, value]) => `${name}: ${String(value)}`)
    .join(', ')
}

async function readEvents({ platform }: Session): Promise<StoredEvent[]> {
  const names = unwrap(await platform.listObjects(DECISIONS_PREFIX))
  const timestampOf = (name: string) => name.split('/').at(-1) ?? ''
  const newest = names
    .sort((a, b) => (timestampOf(a) < timestampOf(b) ? -1 : 1))
    .slice(-MAX_BATCHES)
  const events: StoredEvent[] = []
  for (let start = 0; start < newest.length; start += READ_BATCH_SIZE) {
    const batch = newest.slice(start, start + READ_BATCH_SIZE)
    const found = await Promise.all(batch.map((name) => platform.getObject(name)))
    for (const result of found) events.push(...(unwrap(result) as StoredEvent[]))
  }
  return events.sort((a, b) => (a.at < b.at ? -1 : 1))
}
