/**
 * Keeps one row for each target on which an owner may have started tasks, written before the
 * first start. A successor must get an answer from each of these targets, or wait until the
 * leases there have expired, before it starts an inherited task anywhere.
 */
import { z } from 'zod'
import type {
  RowCommit,
  RowKey,
  RowStore,
  RowTransaction,
  StoredRow,
} from '../ports/index.js'
import { commitUnderEpoch } from '../ownership/index.js'
import type { Authority } from '../ownership/index.js'
import {
  addressSchema,
  describeError,
  jittered,
  parseJson,
  sleep,
} from '../shared/index.js'
import type { Logger } from '../shared/index.js'
import { createBatches } from '../storeAccess/index.js'
import { FLUSH_RETRY_MS } from './constants.js'
import type { NodeRoster } from './nodeRoster.js'

export const ROSTER_TABLE = 'roster'
/**
 * Time without an answer after which the rows of new targets are written once more in parallel,
 * in ms. Nothing starts on a target before its row is known to be stored, and a slow store may
 * answer the later write first.
 */
const HEDGE_DELAY_MS = 400
const MAX_CONCURRENT_WRITES = 3

const entrySchema = z.object({ address: addressSchema })

/** A target on which tasks may be started. */
export interface RosterEntry {
  id: string
  address: string
}

/** A target on which a predecessor may have started tasks. */
export interface InheritedRosterEntry {
  id: string
  /** Undefined if the row cannot be read; its key alone shows that tasks may run there. */
  address: string | undefined
  version: number
}

/** Decodes a row of the roster; a row that cannot be read gives an entry without address. */
export function decodeRosterEntry({
  key,
  value,
  version,
}: StoredRow): InheritedRosterEntry {
  const parsed = entrySchema.safeParse(parseJson(value))
  return { id: key, address: parsed.data?.address, version }
}

/** The roster of one service. */
export interface Roster {
  /** Whether the target's row is durable, so that tasks may be started there. */
  has(id: string): boolean
  /** Schedules a write of the target's row unless it is durable. */
  add(entry: RosterEntry): void
  /** Removes the row of a target whose tasks are all known to have ended. */
  remove(id: string): void
  stop(): void
}

/** Starts with the inherited entries; those that cannot be read do not count as durable. */
export function createRoster(opts: {
  store: RowStore
  authority: Authority
  entries: InheritedRosterEntry[]
  /** Takes the rows of new targets while they cannot be written to the part of the service. */
  nodeRoster: NodeRoster
  log: Logger
  /** Called when entries have become durable. */
  added(): void
}): Roster {
  const { store, authority, nodeRoster, log } = opts
  const isReadable = ({ address }: InheritedRosterEntry): boolean => address !== undefined
  const durable = new Set(opts.entries.filter(isReadable).map(({ id }) => id))
  const unreadable = new Set(
    opts.entries.map(({ id }) => id).filter((id) => !durable.has(id)),
  )
  /** Last known versions of rows. */
  const versions = new Map(opts.entries.map(({ id, version }) => [id, version]))
  const adding = new Map<string, RosterEntry>()
  const removing = new Set<string>()
  let isAdding = false
  let isAddingToNode = false
  let isRemoving = false
  let isStopped = false

  const key = (id: string): RowKey => ({
    table: ROSTER_TABLE,
    part: authority.service,
    key: id,
  })

  const noteVersion = (id: string, version: number): void =>
    void versions.set(id, Math.max(version, versions.get(id) ?? 0))

  /** @param rejected called if the store can never take the change */
  async function commit(
    change: Partial<RowTransaction>,
    rejected: () => void,
  ): Promise<RowCommit | undefined> {
    const res = await commitUnderEpoch(store, authority, change)
    if (res.isOk()) return res.value
    log.event('rosterNotWritten', { reason: describeError(res.error) })
    if (res.error.failure === 'rejected') rejected()
    return undefined
  }

  const common = () => ({ conditions: [authority.epoch()] })
  const additionOf = ({ id, address }: RosterEntry) => ({
    puts: [{ ...key(id), value: JSON.stringify({ address }) }],
  })
  const additions = createBatches({ store, changeOf: additionOf, common })
  const removalOf = (id: string) => ({
    conditions: [{ ...key(id), version: versions.get(id) ?? 0 }],
    removals: [key(id)],
  })
  const removals = createBatches({ store, changeOf: removalOf, common })

  async function addOnce(): Promise<boolean> {
    const added = additions.next(adding.values())
    const puts = added.flatMap((entry) => additionOf(entry).puts)
    const res = await commit({ puts }, () => {
      // Without a row, no task is started on the target.
      const atFault = additions.noteRejected(added)
      if (atFault) adding.delete(atFault.id)
    })
    if (!res?.committed) return false
    for (const entry of added) {
      const { id } = entry
      noteVersion(id, res.version)
      // It may have been removed and added again since, and the new row is not durable yet.
      if (adding.get(id) !== entry) continue
      durable.add(id)
      adding.delete(id)
      nodeRoster.remove(id)
    }
    opts.added()
    return true
  }

  /** Writes the pending additions to a part of this node. */
  async function addToNode(): Promise<void> {
    const missing = [...adding.values()].filter(({ id }) => !nodeRoster.has(id))
    if (isAddingToNode || missing.length === 0) return
    if (!authority.isConfirmed() || !authority.areNodeRostersRead()) return
    isAddingToNode = true
    const isDurable = await nodeRoster.add(missing)
    isAddingToNode = false
    if (!isDurable) return
    // Some may have become durable in the part of the service, or have been removed, meanwhile.
    for (const { id } of missing) if (!adding.has(id)) nodeRoster.remove(id)
    opts.added()
  }

  /**
   * Writes the pending additions. Repeats them while there is no answer, as adding a row twice is
   * harmless. Resolves to whether the first write to be answered was committed.
   */
  async function addWithHedging(): Promise<boolean> {
    const writes = [addOnce()]
    const inFlight = (): number => writes.length + Number(isAddingToNode)
    while (adding.size > 0 && inFlight() < MAX_CONCURRENT_WRITES) {
      const done = await Promise.race([...writes, sleep(HEDGE_DELAY_MS)])
      if (done !== undefined) return done
      void addToNode()
      if (adding.size > 0 && !isStopped) writes.push(addOnce())
    }
    return Promise.race(writes)
  }

  /**
   * Removes rows, each on condition of its version: a removal that the store carries out late must
   * not remove the row of a target that has been added again.
   */
  async function removeOnce(): Promise<boolean> {
    const ids = removals.next(removing)
    const changes = ids.map(removalOf)
    const res = await commit(
      {
        conditions: changes.flatMap(({ conditions }) => conditions),
        removals: changes.flatMap((each) => each.removals),
      },
      () => {
        const atFault = removals.noteRejected(ids)
        if (atFault !== undefined) removing.delete(atFault)
      },
    )
    if (!res) return false
    if (res.committed) {
      for (const id of ids) removing.delete(id)
      return true
    }
    const current = new Map(
      res.current.flatMap((row) =>
        row.table === ROSTER_TABLE ? [[row.key, row.version]] : [],
      ),
    )
    for (const id of ids) {
      const version = current.get(id)
      // An earlier write that went unanswered has removed it.
      if (version === undefined) removing.delete(id)
      else versions.set(id, version)
    }
    return false
  }

  async function runAdditions(): Promise<void> {
    if (isAdding) return
    isAdding = true
    // Targets are added in groups; after one turn of the event loop a single write carries all.
    await sleep(0)
    while (!isStopped && adding.size > 0) {
      if (await addWithHedging()) continue
      void addToNode()
      await sleep(jittered(FLUSH_RETRY_MS))
    }
    isAdding = false
  }

  async function runRemovals(): Promise<void> {
    if (isRemoving) return
    isRemoving = true
    await sleep(0)
    while (!isStopped && removing.size > 0) {
      if (!(await removeOnce())) await sleep(jittered(FLUSH_RETRY_MS))
    }
    isRemoving = false
  }

  return {
    has: (id) => durable.has(id) || nodeRoster.has(id),
    add(entry) {
      // A row in the part of a node may be left from before the one here was durable.
      if (durable.has(entry.id)) return nodeRoster.remove(entry.id)
      if (adding.has(entry.id)) return
      removing.delete(entry.id)
      adding.set(entry.id, entry)
      void runAdditions()
    },
    remove(id) {
      nodeRoster.remove(id)
      const hadRow = durable.delete(id) || unreadable.delete(id)
      if (!hadRow) return
      removing.add(id)
      void runRemovals()
    },
    stop() {
      isStopped = true
      nodeRoster.stop()
    },
  }
}
