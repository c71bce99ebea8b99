/** The configuration in force on this node, and the waves that the operators ask for. */
import type { Configuration, Documents, Queue, RowStore, Wave } from '../ports/index.js'
import { createUnreadRows } from '../shared/index.js'
import type { Logger } from '../shared/index.js'
import { createRowMirror } from './rowMirror.js'

/**
 * Time that the store may hold a read for changes, in ms. A connection that died
 * silently is found after this and the call's time limit; the platform asks for a
 * configuration in force within 2 s.
 */
const LONG_POLL_MS = 1200

/** Configuration and waves, as last accepted. */
export interface ConfigurationHolder {
  current(): Configuration | undefined
  waves(): Wave[]
  /** The queue for a host and a path, by the longest prefix. */
  match(host: string, path: string): Queue | undefined
  queue(name: string): Queue | undefined
  /** Steady time up to which no newer configuration was accepted, in ms. */
  freshAt(): number
  subscribe(listener: () => void): void
  stop(): Promise<void>
}

/** Starts following what the operators write. */
export function createConfigurationHolder(opts: {
  store: RowStore
  documents: Documents['operator']
  log: Logger
}): ConfigurationHolder {
  const { documents, log } = opts
  const listeners: (() => void)[] = []
  const waves = new Map<string, Wave>()
  const unreadRows = createUnreadRows(log, documents.table)
  let current: Configuration | undefined
  let byHost = new Map<string, Queue[]>()
  let byName = new Map<string, Queue>()

  const adopt = (next: Configuration): void => {
    // Within one life the version never goes down, whatever a read brings.
    if (current && next.version <= current.version) return
    log.event('configurationInForce', {
      version: next.version,
      previous: current?.version,
      queues: next.queues.length,
    })
    if (next.unread.length > 0) {
      unreadRows.note(documents.configurationKey, next.unread.join('; '))
    } else unreadRows.clear(documents.configurationKey)
    current = next
    byName = new Map(next.queues.map((queue) => [queue.name, queue]))
    byHost = new Map()
    for (const queue of next.queues) {
      const group = byHost.get(queue.host)
      if (group) group.push(queue)
      else byHost.set(queue.host, [queue])
    }
    for (const group of byHost.values()) {
      group.sort((a, b) => b.pathPrefix.length - a.pathPrefix.length)
    }
    for (const listener of listeners) listener()
  }

  const readWave = (key: string, value: string | undefined): void => {
    if (value === undefined) {
      unreadRows.clear(key)
      return void waves.delete(key)
    }
    const wave = documents.decodeWave(value)
    // What was asked for stays asked for: only a row that can be read changes it.
    if (wave.isErr()) return unreadRows.note(key, wave.error.message)
    unreadRows.clear(key)
    waves.set(key, wave.value)
  }

  const mirror = createRowMirror({
    store: opts.store,
    table: documents.table,
    part: '',
    waitMs: LONG_POLL_MS,
    pauseMs: 0,
    log,
    onRow(_part, key, value) {
      if (documents.isWave(key)) return readWave(key, value)
      if (key !== documents.configurationKey || value === undefined) return
      const next = documents.decodeConfiguration(value)
      if (next.isOk()) adopt(next.value)
      else unreadRows.note(key, next.error.message)
    },
    onBatch() {
      for (const listener of listeners) listener()
    },
  })

  return {
    current: () => current,
    waves: () => [...waves.values()],
    match: (host, path) =>
      byHost.get(host)?.find(({ pathPrefix }) => path.startsWith(pathPrefix)),
    queue: (name) => byName.get(name),
    freshAt: mirror.freshAt,
    subscribe: (listener) => void listeners.push(listener),
    stop: mirror.stop,
  }
}
