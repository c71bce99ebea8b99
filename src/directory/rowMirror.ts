/**
 * Keeps a copy of one part of a table: a full read, then the changes. If the history of changes
 * is compacted, it repeats the full read; during an outage the copy stays as it is.
 */
import type { RowStore } from '../ports/index.js'
import {
  createStopController,
  describeError,
  jittered,
  monotonicMs,
  sleep,
} from '../shared/index.js'
import type { Logger } from '../shared/index.js'

/** Pause after a failed read, in ms; jittered. */
const RETRY_MS = 200

/**
 * Two successful reads further apart than this have a gap between them, in ms: some reads at the
 * usual interval have failed.
 */
const MAX_READ_GAP_MS = 1500

/** A copy that follows its table until it is stopped. */
export interface RowMirror {
  /** Resolves once the first full read is done. */
  ready: Promise<void>
  /** Time up to which the copy is known to be complete, in ms of the monotonic clock. */
  freshAt(): number
  /** Time since which the table has been read without a gap, in ms of the monotonic clock. */
  gapFreeSince(): number
  stop(): Promise<void>
}

/** Rows to copy, times and callbacks of a mirror. */
export interface RowMirrorOptions {
  store: RowStore
  table: string
  /** Part to copy; undefined follows the changes of all parts, without a full read. */
  part: string | undefined
  /** Version from which to follow changes, if there is no full read. */
  after?: number
  /** Longest time that the store waits for a change before it answers, in ms. */
  longPollMs: number
  /** Pause between two reads, in ms. */
  pauseMs: number
  log: Logger
  /** Called for each written row, and with an undefined value for each removed row. */
  onRow(part: string, key: string, value: string | undefined): void
  /** Called after each full read, and after each read that returned changes. */
  onBatch?(): void
  /**
   * Called if the history is compacted and there is no full read. The caller reads the rows itself
   * and returns the version from which to continue; undefined if that failed.
   */
  onCompacted?(): Promise<number | undefined>
}

/** Starts copying. */
export function createRowMirror(opts: RowMirrorOptions): RowMirror {
  const { store, table, part, log } = opts
  const stopping = createStopController()
  const knownKeys = new Set<string>()
  let version = opts.after
  let freshAt = -Infinity
  let gapFreeSince = Infinity
  let isFailing = false
  /** Whether the next read follows at once, as this one only found the version to continue from. */
  let skipPause = false
  let markReady: () => void = () => undefined
  const ready = new Promise<void>((resolve) => (markReady = resolve))

  const noteFailure = (reason: string): void => {
    if (!isFailing) log.event('mirrorStale', { table, reason })
    isFailing = true
  }

  const apply = (rowPart: string, key: string, value: string | undefined): void => {
    if (value === undefined) knownKeys.delete(key)
    else knownKeys.add(key)
    opts.onRow(rowPart, key, value)
  }

  async function readAll(): Promise<boolean> {
    if (part === undefined) {
      version = await opts.onCompacted?.()
      skipPause = version !== undefined
      return skipPause
    }
    const res = await store.read(table, part)
    if (res.isErr()) {
      noteFailure(describeError(res.error))
      return false
    }
    const present = new Set(res.value.rows.map(({ key }) => key))
    for (const key of [...knownKeys]) if (!present.has(key)) apply(part, key, undefined)
    for (const row of res.value.rows) apply(part, row.key, row.value)
    version = res.value.version
    opts.onBatch?.()
    markReady()
    return true
  }

  async function readChanges(after: number): Promise<boolean> {
    const res = await store.changes(table, after, opts.longPollMs)
    if (res.isErr()) {
      noteFailure(describeError(res.error))
      skipPause = res.error.failure === 'compacted'
      if (skipPause) version = undefined
      return skipPause
    }
    version = res.value.version
    for (const change of res.value.changes) {
      if (part === undefined || change.part === part) {
        apply(change.part, change.key, change.value)
      }
    }
    if (res.value.changes.length > 0) opts.onBatch?.()
    return true
  }

  async function run(): Promise<void> {
    while (!stopping.signal.aborted) {
      const sentAt = monotonicMs()
      skipPause = false
      const done = version === undefined ? await readAll() : await readChanges(version)
      if (done) {
        if (sentAt - freshAt > MAX_READ_GAP_MS) gapFreeSince = sentAt
        freshAt = sentAt
        if (isFailing && version !== undefined) log.event('mirrorFresh', { table })
        isFailing = false
      }
      if (!skipPause)
        await sleep(done ? opts.pauseMs : jittered(RETRY_MS), stopping.signal)
    }
  }
  const task = run()

  return {
    ready,
    freshAt: () => freshAt,
    gapFreeSince: () => gapFreeSince,
    async stop() {
      stopping.abort()
      await task
    },
  }
}
