/** The configuration in force on this node, and the waves and cordons that operators request. */
import type {
  Configuration,
  Documents,
  Organisation,
  Queue,
  RowStore,
  Wave,
} from '../ports/index.js'
import { createInvalidRows, digestKey, monotonicMs } from '../shared/index.js'
import type { Logger } from '../shared/index.js'
import { createRowMirror } from './rowMirror.js'

/**
 * Longest time for which the store delays the answer to a read of changes, in ms. A connection
 * that broke silently is detected after this time plus the call's time-out; the platform requires
 * a configuration to be in force within 2 s.
 */
const LONG_POLL_MS = 1200

/** Returns the digests of all keys, each with the name of its organisation. */
const keyDigestsOf = ({ organisations }: Configuration): [string, string][] =>
  [...(organisations?.values() ?? [])].flatMap(({ name, keyDigests }) =>
    keyDigests.map((digest): [string, string] => [digest, name]),
  )

/** The last accepted configuration, waves and cordons. */
export interface ConfigurationHolder {
  current(): Configuration | undefined
  waves(): Wave[]
  /**
   * Data halls that are cordoned: no task may be started there. Maps each hall to the time since
   * which this node knows of it, in ms of the monotonic clock.
   */
  cordons(): ReadonlyMap<string, number>
  /** The queue of a host whose path prefix is the longest match for a path. */
  match(host: string, path: string): Queue | undefined
  /**
   * The queue according to the newest configuration of this process's life that names it, which
   * need not be the present one.
   */
  lastKnownQueue(name: string): Queue | undefined
  /** Name of the organisation that holds a key; undefined if none does. */
  organisationOfKey(key: string): string | undefined
  /** Time up to which the configuration is known to be current, in ms of the monotonic clock. */
  freshAt(): number
  /** Calls the listener after each change; returns a function that ends this. */
  subscribe(listener: () => void): () => void
  stop(): Promise<void>
}

/** Starts following the operators' rows. */
export function createConfigurationHolder(opts: {
  store: RowStore
  documents: Documents['operator']
  log: Logger
}): ConfigurationHolder {
  const { documents, log } = opts
  const listeners = new Set<() => void>()
  const waves = new Map<string, Wave>()
  const cordons = new Map<string, number>()
  const unreadRows = createInvalidRows(log, documents.table)
  let current: Configuration | undefined
  let byHost = new Map<string, Queue[]>()
  const lastKnown = new Map<string, Queue>()
  let byKeyDigest = new Map<string, string>()

  const adopt = (next: Configuration): void => {
    // The version never goes down while the process lives, whatever a read returns.
    if (current && next.version <= current.version) return
    log.event('configurationInForce', {
      version: next.version,
      previous: current?.version,
      queues: next.queues.length,
      organisations: next.organisations?.size,
    })
    if (next.invalidParts.length > 0) {
      unreadRows.note(documents.configurationKey, next.invalidParts.join('; '))
    } else unreadRows.clear(documents.configurationKey)
    current = { ...next, formerOrganisations: formerOrganisations(next) }
    for (const queue of next.queues) lastKnown.set(queue.name, queue)
    byKeyDigest = new Map(keyDigestsOf(next))
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

  /** Returns the organisations that `next` lacks, as last configured. */
  function formerOrganisations(next: Configuration): Map<string, Organisation> {
    const found = new Map(current?.formerOrganisations)
    for (const [name, each] of current?.organisations ?? []) found.set(name, each)
    for (const name of next.organisations?.keys() ?? []) found.delete(name)
    return found
  }

  const readWave = (key: string, value: string | undefined): void => {
    if (value === undefined) {
      unreadRows.clear(key)
      return void waves.delete(key)
    }
    const wave = documents.decodeWave(value)
    // An unreadable row leaves the wave as it was last read.
    if (wave.isErr()) return unreadRows.note(key, wave.error.message)
    unreadRows.clear(key)
    waves.set(key, wave.value)
  }

  const readCordon = (key: string, hall: string, isPresent: boolean): void => {
    if (hall === '') {
      if (isPresent) unreadRows.note(key, 'the row names no data hall')
      else unreadRows.clear(key)
      return
    }
    if (isPresent === cordons.has(hall)) return
    if (isPresent) cordons.set(hall, monotonicMs())
    else cordons.delete(hall)
    log.event(isPresent ? 'hallCordoned' : 'hallUncordoned', { hall })
  }

  const mirror = createRowMirror({
    store: opts.store,
    table: documents.table,
    part: '',
    longPollMs: LONG_POLL_MS,
    pauseMs: 0,
    log,
    onRow(_part, key, value) {
      if (documents.isWave(key)) return readWave(key, value)
      const hall = documents.cordonedHall(key)
      if (hall !== undefined) return readCordon(key, hall, value !== undefined)
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
    cordons: () => cordons,
    match: (host, path) =>
      byHost.get(host)?.find(({ pathPrefix }) => path.startsWith(pathPrefix)),
    lastKnownQueue: (name) => lastKnown.get(name),
    organisationOfKey: (key) => byKeyDigest.get(digestKey(key)),
    freshAt: mirror.freshAt,
    subscribe(listener) {
      listeners.add(listener)
      return () => void listeners.delete(listener)
    },
    stop: mirror.stop,
  }
}
