/**
 * Keeps a copy of some rows up to date by polling; each poll reads only the changes.
 * During an outage the copy stays unchanged and polls back off with full jitter.
 */
import {
  createStopController,
  fullJitter,
  jittered,
  monotonicMs,
  sleep,
} from '../shared/index.js'
import type { Logger, Metrics } from '../shared/index.js'
import type { Changes, Platform, Row } from './types.js'

const BACKOFF_BASE_MS = 200

/** Options of {@link createRowWatch}. */
export interface RowWatchOptions {
  platform: Platform
  prefixes: string[]
  /** Time between polls, in ms. */
  pollMs: number
  /** Longest backoff between polls in an outage, in ms. */
  maxBackoffMs: number
  log: Logger
  metrics: Metrics
}

/** A local copy of rows that is kept up to date with the platform. */
export interface RowWatch {
  /** Rows by key; callers must not change the map. */
  readonly rows: ReadonlyMap<string, Row>
  /** Platform revision up to which the copy is complete; 0 before the first read. */
  revision(): number
  /** Time since the platform last answered, in ms; Infinity before the first answer. */
  silentForMs(): number
  /** Polls now; resolves when the poll has succeeded or failed. */
  refresh(): Promise<void>
  /**
   * Fills the copy from a peer's copy. Returns false, and has no effect, once the platform has
   * answered or when the peer's copy is not newer.
   */
  seed(changes: Changes): boolean
  /** Calls the listener with the changed keys after each change; the result unsubscribes. */
  subscribe(listener: (keys: string[]) => void): () => void
  start(): void
  stop(): Promise<void>
}

/** Creates a watch; nothing is read before `start` or `refresh`. */
export function createRowWatch(opts: RowWatchOptions): RowWatch {
  const rows = new Map<string, Row>()
  const listeners = new Set<(keys: string[]) => void>()
  const stopping = createStopController()
  let revision = 0
  let answeredAt = -Infinity
  let isDown = false
  let failures = 0
  let loop: Promise<void> | undefined
  let pollInProgress: Promise<void> | undefined

  function applyChanges(changes: Changes): void {
    const changed = new Set<string>(changes.deleted)
    if (changes.full) {
      const present = new Set(changes.rows.map((row) => row.key))
      for (const key of rows.keys()) if (!present.has(key)) changed.add(key)
    }
    for (const key of changed) rows.delete(key)
    for (const row of changes.rows) {
      const known = rows.get(row.key)
      if (known?.op === row.op && known.version === row.version) continue
      rows.set(row.key, row)
      changed.add(row.key)
    }
    revision = changes.revision
    if (changed.size === 0) return
    for (const listener of listeners) listener([...changed])
  }

  async function poll(): Promise<void> {
    const changes = await opts.platform.changes(opts.prefixes, revision)
    if (changes.isErr()) {
      failures++
      opts.metrics.platformUp.set(0)
      if (!isDown) opts.log.event('platformDown', { reason: changes.error.message })
      isDown = true
      return
    }
    if (isDown) opts.log.event('platformBack', { silentMs: monotonicMs() - answeredAt })
    isDown = false
    failures = 0
    answeredAt = monotonicMs()
    opts.metrics.platformUp.set(1)
    applyChanges(changes.value)
  }

  const refresh = (): Promise<void> => {
    pollInProgress ??= poll().finally(() => (pollInProgress = undefined))
    return pollInProgress
  }

  function pauseMs(): number {
    if (failures > 0) {
      return opts.pollMs / 2 + fullJitter(failures, BACKOFF_BASE_MS, opts.maxBackoffMs)
    }
    return jittered(opts.pollMs)
  }

  async function runPollLoop(): Promise<void> {
    while (!stopping.signal.aborted) {
      await refresh()
      await sleep(pauseMs(), stopping.signal)
    }
  }

  return {
    rows,
    revision: () => revision,
    silentForMs: () => monotonicMs() - answeredAt,
    refresh,
    seed(changes) {
      if (answeredAt !== -Infinity || changes.revision <= revision) return false
      applyChanges({ ...changes, full: true })
      return true
    },
    subscribe(listener) {
      listeners.add(listener)
      return () => listeners.delete(listener)
    },
    start() {
      loop ??= runPollLoop()
    },
    async stop() {
      stopping.abort()
      await loop
    },
  }
}
