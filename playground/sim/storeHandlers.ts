/** HTTP handlers of the stand-in platform for the store. */
import type { RowKey, RowStore } from '../../src/ports/index.js'
import { sleep } from '../../src/shared/index.js'
import type { Body, Handler, Reply } from './wire.js'

/** Time after which a call without an outcome is answered 500, in ms; clients time out earlier. */
const UNANSWERED_CUT_MS = 5000

/** A lone surrogate, which valid text does not contain. */
const LONE_SURROGATE = /[\uD800-\uDFFF]/u
/** A byte that valid UTF-8 does not contain. */
const INVALID_UTF8_BYTE = Buffer.from([0xff])

/** Encodes a value as base64. Each lone surrogate becomes a byte that is invalid in UTF-8. */
function encode(text: string): string {
  if (!LONE_SURROGATE.test(text)) return Buffer.from(text, 'utf8').toString('base64')
  const [first, ...more] = text.split(LONE_SURROGATE).map((each) => Buffer.from(each))
  const bytes = [first!, ...more.flatMap((each) => [INVALID_UTF8_BYTE, each])]
  return Buffer.concat(bytes).toString('base64')
}

const decode = (text: string): string => Buffer.from(text, 'base64').toString('utf8')
const toKey = (row: Body): RowKey => ({
  table: String(row.table),
  part: String(row.part ?? ''),
  key: String(row.private_key),
})
const toWireRow = (row: RowKey & { value?: string | undefined; version: number }) => ({
  table: row.table,
  part: row.part,
  private_key: row.key,
  ver: row.version,
  ...(row.value === undefined ? { gone: true } : { value: encode(row.value) }),
})

/** Handlers of the store. A refused call is answered 503, one of unknown outcome 500 after 5 s. */
export function storeHandlers(store: RowStore): Record<string, Handler> {
  const replyToFailure = async (failure: string): Promise<Reply> => {
    if (failure === 'compacted') return [410]
    if (failure === 'rejected') return [400]
    if (failure === 'refused') return [503]
    await sleep(UNANSWERED_CUT_MS)
    return [500]
  }
  return {
    async 'POST /rows-tx'({ body }) {
      const conditions = (body.expected_revision ?? []) as Body[]
      const res = await store.commit({
        conditions: conditions.map((row) => ({
          ...toKey(row),
          version: Number(row.ver),
        })),
        puts: ((body.put ?? []) as Body[]).map((row) => ({
          ...toKey(row),
          value: decode(String(row.value)),
        })),
        removals: ((body.remove ?? []) as Body[]).map(toKey),
      })
      if (res.isErr()) return replyToFailure(res.error.failure)
      if (!res.value.committed) return [412, { rows: res.value.current.map(toWireRow) }]
      return [200, { ver: res.value.version, now_ms: Math.floor(performance.now()) }]
    },
    async 'GET /rows-get'({ query }) {
      const from = query.get('from') ?? ''
      const until = query.get('target_version')
      const range = { from, ...(until !== null && { until }) }
      const res = await store.read(
        query.get('table') ?? '',
        query.get('part') ?? '',
        range,
      )
      if (res.isErr()) return replyToFailure(res.error.failure)
      const limit = Number(query.get('limit') ?? 500)
      const rows = res.value.rows.slice(0, limit).map(toWireRow)
      return [200, { rows, more: res.value.rows.length > limit, ver: res.value.version }]
    },
    async 'GET /rows-parts'({ query }) {
      const res = await store.parts(query.get('table') ?? '')
      if (res.isErr()) return replyToFailure(res.error.failure)
      const after = query.get('after_revision') ?? ''
      return [200, { parts: res.value.filter((part) => part > after), more: false }]
    },
    async 'GET /rows-feed'({ query }) {
      const after = Number(query.get('after_revision'))
      const wait = Number(query.get('wait_ms') ?? 0)
      const res = await store.changes(query.get('table') ?? '', after, wait)
      if (res.isErr()) return replyToFailure(res.error.failure)
      return [200, { rows: res.value.changes.map(toWireRow), ver: res.value.version }]
    },
  }
}
