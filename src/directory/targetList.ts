/** The list of targets, as the targets themselves keep it in the store. */
import type { Documents, RowStore, Target } from '../ports/index.js'
import { createUnreadRows, monotonicMs } from '../shared/index.js'
import type { Logger } from '../shared/index.js'
import { createRowMirror } from './rowMirror.js'

/**
 * Time that the store may wait for a change, in ms: a draining target must be known well
 * within 2 s, and a VM that has moved is heard of sooner than by asking at an interval.
 */
const LONG_POLL_MS = 200

/**
 * Pause between two reads, in ms. Entries change with every heartbeat of a target: with a
 * pause of 20 ms a node of 35 targets asked 12 times a second more than every 0.35 s.
 */
const READ_PAUSE_MS = 150

/** The targets that are listed now. */
export interface TargetList {
  ready: Promise<void>
  byId(): ReadonlyMap<string, Target>
  /** Steady time up to which the list is known, in ms. */
  freshAt(): number
  /** Steady time since which the list has been read without a gap, in ms. */
  steadySince(): number
  /**
   * Steady time since which the entry of a target cannot be read, in ms; undefined for one
   * that can be read, or that is not there.
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
  /** Entries that cannot be read, with the steady time of the first such writing, in ms. */
  const unreadable = new Map<string, number>()
  /** Start, service and address of the life of each id, as last written. */
  const identities = new Map<string, { lifeStartMs: number; identity: string }>()
  const unreadRows = createUnreadRows(opts.log, opts.documents.table)
  const listeners = new Set<() => void>()

  /**
   * Whether the entry is accepted: it belongs to a later life, or its service and address are
   * those of the previous entry. No life changes its service or its address: of an entry that
   * says so only the second writing in agreement counts. Followed at once, one such entry set
   * the owners of two services against each other on one target, and each deposed the other
   * in turn.
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

  /** What an entry said before it could not be read is not used further. */
  function excludeTarget(id: string, reason: string): void {
    targets.delete(id)
    if (!unreadable.has(id)) unreadable.set(id, monotonicMs())
    unreadRows.note(id, reason)
  }

  function readEntry(id: string, value: string): void {
    const target = opts.documents.decode(id, value)
    if (target.isErr()) return excludeTarget(id, target.error.message)
    if (!isAccepted(target.value)) {
      return excludeTarget(id, 'a life that is known with another service or address')
    }
    unreadable.delete(id)
    unreadRows.clear(id)
    targets.set(id, target.value)
  }

  const mirror = createRowMirror({
    store: opts.store,
    table: opts.documents.table,
    part: '',
    waitMs: LONG_POLL_MS,
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
    steadySince: mirror.steadySince,
    unreadableSince: (id) => unreadable.get(id),
    subscribe(listener) {
      listeners.add(listener)
      return () => void listeners.delete(listener)
    },
    stop: mirror.stop,
  }
}
