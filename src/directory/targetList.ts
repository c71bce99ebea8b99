/** The list of targets, as the targets themselves keep it in the store. */
import type { Documents, RowStore, Target } from '../ports/index.js'
import { describeError } from '../shared/index.js'
import type { Logger } from '../shared/index.js'
import { createRowMirror } from './rowMirror.js'

/**
 * Time that the store may wait for a change, in ms: a draining target must be known well
 * within 2 s, and a VM that has moved is heard of sooner than by asking at an interval.
 */
const WAIT_MS = 200

/**
 * Pause between two reads, in ms. Entries change with every heartbeat of a target: with a
 * pause of 20 ms a node of 35 targets asked 12 times a second more than every 0.35 s.
 */
const PAUSE_MS = 150

/** The targets that are listed now. */
export interface TargetList {
  ready: Promise<void>
  byId(): ReadonlyMap<string, Target>
  /** Steady time up to which the list is known, in ms. */
  freshAt(): number
  /** Steady time since which the list has been read without a gap, in ms. */
  steadySince(): number
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
  const listeners = new Set<() => void>()
  const mirror = createRowMirror({
    store: opts.store,
    table: opts.documents.table,
    part: '',
    waitMs: WAIT_MS,
    pauseMs: PAUSE_MS,
    log: opts.log,
    onRow(_part, id, value) {
      if (value === undefined) return void targets.delete(id)
      const target = opts.documents.decode(id, value)
      if (target.isOk()) targets.set(id, target.value)
      else opts.log.event('rowInvalid', { key: id, reason: describeError(target.error) })
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
    subscribe(listener) {
      listeners.add(listener)
      return () => void listeners.delete(listener)
    },
    stop: mirror.stop,
  }
}
