/** Stand-in of the platform's metadata store: tables, transactions, reads and the feed. */
import { listen, now, readBody, reply, sleep, waitFor } from './http.mjs'

/** Limits that PROTOCOL.md and the settings name. */
export const ROW_BYTES = 65_536
const TX_BYTES = 1_000_000
const TX_ENTRIES = 100
const PAGE_ROWS = 500
const PAGE_BYTES = 1_000_000
const PAGE_PARTS = 1000
const HISTORY_MS = 20_000
/** Time that a call takes, in ms. */
const CALL_MS = 4

const toValue = (json) => Buffer.from(JSON.stringify(json)).toString('base64')
const fromValue = (value) => JSON.parse(Buffer.from(value, 'base64').toString('utf8'))

/** Starts an empty store. */
export async function startStore(host, record) {
  /** Rows by table, part and key. */
  const tables = new Map()
  /** Changes of the last seconds, oldest first. */
  const history = []
  const waiters = new Set()
  /** Parts that answer every call with 503. */
  const busyParts = new Set()
  let ver = 1
  let forgottenUpTo = 0
  let tooLarge = 0

  function rowsOf(table, part) {
    if (!tables.has(table)) tables.set(table, new Map())
    const parts = tables.get(table)
    if (!parts.has(part)) parts.set(part, new Map())
    return parts.get(part)
  }

  const rowAt = ({ table, part = '', private_key: key }) => rowsOf(table, part).get(key)

  function apply({ put = [], remove = [] }) {
    ver++
    const at = now()
    for (const { table, part = '', private_key, value } of put) {
      rowsOf(table, part).set(private_key, { value, ver })
      history.push({ at, ver, row: { table, part, private_key, value, ver } })
    }
    for (const { table, part = '', private_key } of remove) {
      if (!rowsOf(table, part).delete(private_key)) continue
      history.push({ at, ver, row: { table, part, private_key, ver, gone: true } })
    }
    while (history.length > 0 && at - history[0].at > HISTORY_MS)
      forgottenUpTo = history.shift().ver
    for (const wake of [...waiters]) wake()
    return ver
  }

  /** What exceeds a limit of the store; undefined if nothing does. */
  function findExcess({ put = [], remove = [], expected_revision: expected = [] }, text) {
    if (put.length + remove.length + expected.length > TX_ENTRIES) return 'entries'
    if (text.length > TX_BYTES) return 'transaction'
    const row = put.find(({ value }) => Buffer.byteLength(value, 'base64') > ROW_BYTES)
    return row && `row of table ${row.table}, part ${row.part}, key ${row.private_key}`
  }

  function transact(res, json, text) {
    const excess = findExcess(json, text)
    if (excess !== undefined) {
      tooLarge++
      if (tooLarge <= 3 || tooLarge % 100 === 0)
        record('the store refuses a write over its limit', { what: excess, tooLarge })
      return reply(res, 400, { error: `too large: ${excess}` })
    }
    const now_ms = Math.floor(now())
    const expected = json.expected_revision ?? []
    if (expected.every((each) => (rowAt(each)?.ver ?? 0) === each.ver))
      return reply(res, 200, { ver: apply(json), now_ms })
    const rows = expected.flatMap(({ table, part, private_key }) => {
      const row = rowAt({ table, part, private_key })
      return row ? [{ table, part, private_key, ...row }] : []
    })
    return reply(res, 412, { rows, ver, now_ms })
  }

  function getRows(res, query) {
    const table = query.get('table')
    const part = query.get('part') ?? ''
    const from = query.get('from') ?? ''
    const until = query.get('target_version')
    const limit = Math.min(PAGE_ROWS, Number(query.get('limit') ?? PAGE_ROWS))
    const found = rowsOf(table, part)
    const keys = [...found.keys()]
      .filter((key) => key >= from && (until === null || key < until))
      .sort()
    const rows = []
    let bytes = 0
    for (const private_key of keys) {
      const row = found.get(private_key)
      bytes += row.value.length
      if (rows.length >= limit || (rows.length > 0 && bytes > PAGE_BYTES)) break
      rows.push({ table, part, private_key, ...row })
    }
    const more = rows.length < keys.length
    return reply(res, 200, { rows, more, ver, now_ms: Math.floor(now()) })
  }

  function getParts(res, query) {
    const after = query.get('after_revision') ?? ''
    const parts = [...(tables.get(query.get('table')) ?? [])]
      .filter(([part, rows]) => rows.size > 0 && part > after)
      .map(([part]) => part)
      .sort()
    const more = parts.length > PAGE_PARTS
    return reply(res, 200, { parts: parts.slice(0, PAGE_PARTS), more, ver })
  }

  async function getChanges(res, query) {
    const table = query.get('table')
    const after = Number(query.get('after_revision'))
    const endsAt = now() + Number(query.get('wait_ms') ?? 0)
    if (after < forgottenUpTo) return reply(res, 410, { error: 'that history is gone' })
    for (;;) {
      const rows = new Map()
      for (const { ver: at, row } of history) {
        if (at <= after || row.table !== table) continue
        const key = `${row.part}\n${row.private_key}`
        rows.delete(key)
        rows.set(key, row)
      }
      const leftMs = endsAt - now()
      if (rows.size > 0 || leftMs <= 0)
        return reply(res, 200, {
          rows: [...rows.values()],
          ver,
          now_ms: Math.floor(now()),
        })
      await waitFor(waiters, leftMs)
      if (res.destroyed) return undefined
    }
  }

  /** Part that a call is for; undefined if it concerns all parts. */
  function partOf(query, { put = [], remove = [], expected_revision: expected = [] }) {
    const [first] = [...put, ...remove, ...expected]
    return first ? (first.part ?? '') : query.get('part')
  }

  const READS = {
    '/rows-get': getRows,
    '/rows-parts': getParts,
    '/rows-feed': getChanges,
  }

  const { address, close } = await listen(host, async (req, res) => {
    const { pathname, searchParams } = new URL(req.url, 'http://store')
    const { text, json } = await readBody(req)
    await sleep(CALL_MS)
    if (busyParts.has(partOf(searchParams, json)))
      return reply(res, 503, { error: 'the part is down' })
    if (pathname === '/rows-tx') return transact(res, json, text)
    const read = READS[pathname]
    return read ? read(res, searchParams) : reply(res, 404, { error: 'no such call' })
  })

  return {
    address,
    close,
    busyParts,
    put(table, private_key, json, part = '') {
      apply({ put: [{ table, part, private_key, value: toValue(json) }] })
    },
    drop(table, private_key, part = '') {
      apply({ remove: [{ table, part, private_key }] })
    },
    /** Rows of a table, with their part and key. */
    rows(table) {
      return [...(tables.get(table) ?? [])].flatMap(([part, rows]) =>
        [...rows].map(([key, { value }]) => ({ part, key, json: fromValue(value) })),
      )
    },
    /** Number of writes that were refused because they exceed a limit. */
    tooLarge: () => tooLarge,
  }
}
