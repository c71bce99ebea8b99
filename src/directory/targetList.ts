/** The list of targets, read from the entries that the targets write to the store. */
import type { Documents, RowStore, Target } from '../ports/index.js'
import { createInvalidRows, monotonicMs } from '../shared/index.js'
import type { Logger } from '../shared/index.js'
import { createRowMirror } from './rowMirror.js'

/**
 * Longest time that the store waits for a change, in ms. A draining target must be noticed well
 * within 2 s, and a long poll reports a moved VM sooner than polling at an interval.
 */
const LONG_POLL_MS = 200

/**
 * Pause between two reads, in ms. Entries change with every heartbeat of a target: with a pause
 * of 20 ms, a node with 35 targets makes 12 more reads a second than with one read every 0.35 s.
 */
const READ_PAUSE_MS = 150

/** The targets that are listed now. */
export interface TargetList {
  ready: Promise<void>
  byId(): ReadonlyMap<string, Target>
  /** Time up to which the list is known to be complete, in ms of the monotonic clock. */
  freshAt(): number
  /** Time since which the list has been read without a gap, in ms of the monotonic clock. */
  gapFreeSince(): number
  /**
   * Time since which the entry of a target cannot be read, in ms of the monotonic clock; undefined
   * if the entry can be read or does not exist.
   */
  unreadableSince(id: string): number | undefined
  subscribe(listener: () => void): () => void
  stop(): Promise<void>
}

/** Starts following the list of targets. */
export function createTargetList(opts: {
  store: RowStore
  documents: Documents['targets']
  log: Logger
}): TargetList {
  const targets = new Map<string, Target>()
  /** Ids of unreadable entries, with the time of the first such write, in ms (monotonic). */
  const unreadable = new Map<string, number>()
  /** Start of the process life, and service and address, as last written by each target. */
  const identities = new Map<string, { lifeStartMs: number; identity: string }>()
  const unreadRows = createInvalidRows(opts.log, opts.documents.table)
  const listeners = new Set<() => void>()

  /**
   * Whether the entry is accepted: it belongs to a later life of the target, or its service and
   * address equal those of the previous entry. They do not change during a life, so an entry that
   * changes them is accepted only when a second entry confirms it. Otherwise a single wrong entry
   * makes the owners of two services call the same target, where each deposes the other in turn.
   */
  function isAccepted({ id, lifeStartMs, service, address }: Target): boolean {
    const known = identities.get(id)
    const identity = `${service} ${address}`
    identities.set(id, { lifeStartMs, identity })
    return (
      known === undefined ||
      lifeStartMs > known.lifeStartMs ||
      identity === known.identity
    )
  }

  function removeTarget(id: string): void {
    targets.delete(id)
    unreadable.delete(id)
    identities.delete(id)
    unreadRows.clear(id)
  }

  /** Removes the target of an unreadable or rejected entry; its earlier entry is not used either. */
  function excludeTarget(id: string, reason: string): void {
    targets.delete(id)
    if (!unreadable.has(id)) unreadable.set(id, monotonicMs())
    unreadRows.note(id, reason)
  }

  function readEntry(id: string, value: string): void {
    const target = opts.documents.decode(id, value)
    if (target.isErr()) return excludeTarget(id, target.error.message)
    if (!isAccepted(target.value)) {
      return excludeTarget(id, 'service or address changed within one life of the target')
    }
    unreadable.delete(id)
    unreadRows.clear(id)
    targets.set(id, target.value)
  }

  const mirror = createRowMirror({
    store: opts.store,
    table: opts.documents.table,
    part: '',
    longPollMs: LONG_POLL_MS,
    pauseMs: READ_PAUSE_MS,
    log: opts.log,
    onRow(_part, id, value) {
      if (value === undefined) removeTarget(id)
      else readEntry(id, value)
    },
    onBatch() {
      for (const listener of listeners) listener()
    },
  })
  return {
    ready: mirror.ready,
    byId: () => targets,
    freshAt: mirror.freshAt,
    gapFreeSince: mirror.gapFreeSince,
    unreadableSince: (id) => unreadable.get(id),
    subscribe(listener) {
      listeners.add(listener)
      return () => void listeners.delete(listener)
    },
    stop: mirror.stop,
  }
}
