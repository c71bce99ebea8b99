/**
 * In-memory stand-in for the platform's store: versioned rows, conditional transactions and feeds
 * of changes. Tests inject faults. Delays use real time.
 */
import { err, ok } from 'neverthrow'
import type {
  RowChange,
  RowCommit,
  RowKey,
  RowStore,
  RowTransaction,
  StoreLimits,
  StoredRow,
} from '../../src/ports/index.js'
import { DEFAULT_STORE_LIMITS } from '../../src/ports/index.js'
import { PlatformError, sleep } from '../../src/shared/index.js'
import type { PlatformFailure } from '../../src/shared/index.js'

/** Time after which a call to a silent part fails, in ms: the time-out of the real client. */
const SILENT_MS = 1500

/** Injected faults. Each field can be changed at any time. */
export interface StoreFaults {
  /** Refuses every call. */
  down: boolean
  /** Names, as given to `forNode`, of nodes whose calls are refused. */
  refusedNodes: Set<string>
  /** Parts whose reads and commits are refused; feeds of changes still work. */
  refusedParts: Set<string>
  /** Fails every call with a connection reset, without carrying it out. */
  broken: boolean
  /** Parts whose reads and commits fail with a connection reset, without being carried out. */
  brokenParts: Set<string>
  /** Parts whose reads and commits are neither carried out nor answered within `SILENT_MS`. */
  silentParts: Set<string>
  /** Delay of every call, in ms. */
  delayMs: number
  /** Further delay of a read of a part, in ms. */
  readDelayMs(part: string): number
  /** Fraction of commits that are carried out but not answered, from 0 to 1. */
  lostShare: number
  /** Time after which an unanswered commit fails, in ms. */
  lostMs: number
  /** Delay after which unanswered commits are carried out, in ms; 0 for at once. */
  lateMs: number
  /** Source of numbers from 0 up to 1 that selects the unanswered commits. */
  random: () => number
  /** Limits beyond which a commit is refused for good. */
  limits: StoreLimits
  /** Whether a commit within the limits is refused for good as well. */
  rejects(tx: RowTransaction): boolean
}

/** The rows, with access for tests and for nodes. */
export interface RowTable {
  faults: StoreFaults
  /** Limits that commits have exceeded, in order. */
  readonly rejected: readonly string[]
  /** The store's interface for the node `name`. */
  forNode(name: string): RowStore
  put(key: RowKey, value: string): number
  remove(key: RowKey): void
  get(key: RowKey): StoredRow | undefined
  rows(table: string): StoredRow[]
  /** Names of all parts that hold rows, sorted. */
  parts(): string[]
  /** Discards the history of changes, so that followers must read all rows again. */
  compact(): void
  version(): number
}

const encodeKey = ({ table, part, key }: RowKey): string =>
  JSON.stringify([table, part, key])

/** Creates an empty table without faults. */
export function createRowTable(): RowTable {
  const rows = new Map<string, StoredRow>()
  /** Changes by table, oldest first. */
  const history = new Map<string, RowChange[]>()
  let compactedAt = 0
  let version = 0
  const waiters: (() => void)[] = []
  const faults: StoreFaults = {
    down: false,
    broken: false,
    brokenParts: new Set(),
    silentParts: new Set(),
    refusedNodes: new Set(),
    refusedParts: new Set(),
    delayMs: 0,
    readDelayMs: () => 0,
    lostShare: 0,
    lostMs: 0,
    lateMs: 0,
    random: () => 0.5,
    limits: DEFAULT_STORE_LIMITS,
    rejects: () => false,
  }

  /** Limits that commits have exceeded, in order. */
  const rejected: string[] = []

  const recordChange = (change: RowChange): void => {
    const changes = history.get(change.table)
    if (changes) changes.push(change)
    else history.set(change.table, [change])
    for (const wake of waiters.splice(0)) wake()
  }

  /** Changes of a table after a version. Searches from the newest, as few changes are new. */
  const changesAfter = (table: string, after: number): RowChange[] => {
    const changes = history.get(table) ?? []
    let from = changes.length
    while (from > 0 && changes[from - 1]!.version > after) from--
    return changes.slice(from)
  }

  const put = (key: RowKey, value: string, at: number): void => {
    const row = { table: key.table, part: key.part, key: key.key, value, version: at }
    rows.set(encodeKey(key), row)
    recordChange(row)
  }

  const remove = (key: RowKey, at: number): void => {
    if (!rows.delete(encodeKey(key))) return
    const { table, part, key: name } = key
    recordChange({ table, part, key: name, value: undefined, version: at })
  }

  function apply(tx: RowTransaction): RowCommit {
    const holds = tx.conditions.every(
      (each) => (rows.get(encodeKey(each))?.version ?? 0) === each.version,
    )
    if (!holds) {
      const current = tx.conditions.flatMap((each) => rows.get(encodeKey(each)) ?? [])
      return { committed: false, current }
    }
    version++
    for (const each of tx.puts) put(each, each.value, version)
    for (const each of tx.removals) remove(each, version)
    return { committed: true, version }
  }

  const failed = (step: string, failure: PlatformFailure, reason: string) =>
    err(new PlatformError(reason, { props: { step, peer: 'sim', failure } }))

  /** The injected failure of a call; undefined if the call is to be carried out. */
  const failureOf = async (node: string, step: string, part?: string) => {
    const isIn = (parts: Set<string>): boolean => part !== undefined && parts.has(part)
    if (isIn(faults.silentParts)) {
      await sleep(SILENT_MS)
      return failed(step, 'unknown', 'no answer')
    }
    if (faults.broken || isIn(faults.brokenParts))
      return failed(step, 'unknown', 'connection reset')
    const isPartDown = isIn(faults.refusedParts)
    const refused = faults.down || isPartDown || faults.refusedNodes.has(node)
    return refused ? failed(step, 'refused', 'store is down') : undefined
  }

  /** The limit that a transaction exceeds; undefined if none. */
  function excessOf({ conditions, puts, removals }: RowTransaction): string | undefined {
    const { entries, transactionBytes, rowBytes, nameBytes } = faults.limits
    const keys = [...conditions, ...puts, ...removals]
    if (keys.length > entries) return 'entries'
    const isLong = (name: string): boolean => Buffer.byteLength(name) > nameBytes
    if (keys.some(({ part, key }) => isLong(part) || isLong(key))) return 'name'
    if (puts.some(({ value }) => Buffer.byteLength(value) > rowBytes)) return 'row'
    const wirePuts = puts.map(({ value, ...key }) => ({
      ...key,
      value: Buffer.from(value).toString('base64'),
    }))
    const text = JSON.stringify({ conditions, puts: wirePuts, removals })
    return text.length > transactionBytes ? 'transaction' : undefined
  }

  const forNode = (node: string): RowStore => ({
    get limits() {
      return faults.limits
    },
    async commit(tx) {
      await sleep(faults.delayMs)
      const [entry] = [...tx.conditions, ...tx.puts, ...tx.removals]
      const excess = excessOf(tx) ?? (faults.rejects(tx) ? 'content' : undefined)
      if (excess !== undefined) {
        rejected.push(excess)
        return failed('store.commit', 'rejected', `too large: ${excess}`)
      }
      const failure = await failureOf(node, 'store.commit', entry?.part)
      if (failure) return failure
      if (faults.random() < faults.lostShare) {
        if (faults.lateMs === 0) apply(tx)
        else setTimeout(() => apply(tx), faults.lateMs).unref()
        await sleep(faults.lostMs)
        return failed('store.commit', 'unknown', 'no answer')
      }
      return ok(apply(tx))
    },
    async read(table, part, range = {}) {
      await sleep(faults.delayMs + faults.readDelayMs(part))
      const failure = await failureOf(node, 'store.read', part)
      if (failure) return failure
      const found = [...rows.values()]
        .filter((row) => row.table === table && row.part === part)
        .filter(({ key }) => key >= (range.from ?? ''))
        .filter(({ key }) => range.until === undefined || key < range.until)
        .sort((a, b) => (a.key < b.key ? -1 : 1))
      return ok({ rows: found.slice(0, range.enoughRows), version })
    },
    async parts(table) {
      await sleep(faults.delayMs)
      const failure = await failureOf(node, 'store.parts')
      if (failure) return failure
      const inTable = [...rows.values()].filter((row) => row.table === table)
      return ok([...new Set(inTable.map(({ part }) => part))].sort())
    },
    async changes(table, after, waitMs) {
      await sleep(faults.delayMs)
      const failure = await failureOf(node, 'store.changes')
      if (failure) return failure
      if (after < compactedAt)
        return failed('store.changes', 'compacted', 'history is gone')
      const since = () => changesAfter(table, after)
      const endsAt = performance.now() + waitMs
      while (since().length === 0 && performance.now() < endsAt) {
        const changed = new Promise<void>((resolve) => waiters.push(resolve))
        await Promise.race([changed, sleep(endsAt - performance.now())])
      }
      return ok({ changes: since(), version })
    },
  })

  return {
    faults,
    rejected,
    forNode,
    put(key, value) {
      version++
      put(key, value, version)
      return version
    },
    remove(key) {
      version++
      remove(key, version)
    },
    get: (key) => rows.get(encodeKey(key)),
    rows: (table) => [...rows.values()].filter((row) => row.table === table),
    parts: () => [...new Set([...rows.values()].map(({ part }) => part))].sort(),
    compact() {
      history.clear()
      compactedAt = version
    },
    version: () => version,
  }
}
