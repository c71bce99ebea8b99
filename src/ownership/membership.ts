/**
 * The nodes according to their rows, and which of them are alive. A node counts as dead once its
 * row has been unchanged for longer than its lease, measured on the local lease clock.
 */
import type { RowChange } from '../ports/index.js'
import { createInvalidRows } from '../shared/index.js'
import type { Logger } from '../shared/index.js'
import { READ_GAP_GRACE_MS, TAKEOVER_MARGIN_MS } from './constants.js'
import { NODES_TABLE, decodeNode } from './nodeRow.js'
import type { NodeRow } from './nodeRow.js'
import type { NodeRowUpdate } from './nodeRowReader.js'

/** A node as last read. */
export interface Member extends NodeRow {
  id: string
  /** Part of the store from which this version was read. */
  part: string
  version: number
  /** Lease-clock time at which this version was first read, in ms. */
  seenAt: number
}

/** Read access to the known nodes. */
export interface Membership {
  readonly self: { id: string; life: string }
  members(): Member[]
  /** Whether a node's row has been unchanged for longer than its lease. */
  isLapsed(member: Member): boolean
  /** Live nodes that accept services; includes this node while its own lease is valid. */
  candidates(): Member[]
  /** The live node that lists the service as its own. */
  ownerOf(service: string): Member | undefined
}

/** The known nodes, updated from their rows. */
export interface MembershipTracker extends Membership {
  /** Applies a row of any node. Reads can complete out of order, so older rows are ignored. */
  applyRow(row: RowChange): void
  /**
   * Applies the result of a read.
   * @param sentAt lease-clock time at which the read began, in ms
   * @param gapMs time without a read after which unchanged rows do not yet mean dead nodes
   */
  applyUpdate(reading: NodeRowUpdate, sentAt: number, gapMs: number): void
  /** Another node whose lease ended more than `ms` ago; undefined when there is none. */
  findDead(ms: number): Member | undefined
}

/** Creates a tracker that knows no nodes yet. */
export function createMembershipTracker(opts: {
  self: Membership['self']
  log: Logger
  now(): number
}): MembershipTracker {
  const { self, log, now } = opts
  const members = new Map<string, Member>()
  const unreadableRows = createInvalidRows(log, NODES_TABLE)
  /** Start of the last read, and of the first read after the last gap, on the lease clock. */
  let lastReadAt = -Infinity
  let firstReadAfterGapAt = -Infinity

  /** Only a row that was read and found unchanged counts, not one that could not be read. */
  const isLapsed = (member: Member): boolean =>
    lastReadAt - member.seenAt > member.leaseMs + TAKEOVER_MARGIN_MS &&
    lastReadAt - firstReadAfterGapAt > READ_GAP_GRACE_MS

  function applyRow(row: RowChange): void {
    const known = members.get(row.key)
    if (known && known.version >= row.version) return
    if (row.value === undefined) {
      unreadableRows.clear(row.key)
      if (known?.part === row.part) members.delete(row.key)
      return
    }
    const node = decodeNode(row.value)
    // A live node rewrites its row within its lease.
    if (!node) return unreadableRows.note(row.key, 'counts as not renewed')
    unreadableRows.clear(row.key)
    if (!known && lastReadAt > -Infinity)
      log.event('nodeSeen', { seen: row.key, life: node.life })
    const { part, version } = row
    members.set(row.key, { ...node, id: row.key, part, version, seenAt: now() })
  }

  return {
    self,
    members: () => [...members.values()],
    isLapsed,
    candidates: () =>
      [...members.values()]
        .filter((each) => !each.leaving && !isLapsed(each))
        .sort((a, b) => (a.id < b.id ? -1 : 1)),
    ownerOf: (service) =>
      [...members.values()].find(
        (each) => each.owns.includes(service) && !isLapsed(each),
      ),
    applyRow,
    applyUpdate({ complete, rows }, sentAt, gapMs) {
      const keys = new Set(rows.map(({ key }) => key))
      if (complete) {
        for (const key of members.keys()) if (!keys.has(key)) members.delete(key)
      }
      for (const row of rows) applyRow(row)
      // One event for all nodes: 97 nodes that start together would log 8,730 single ones.
      if (lastReadAt === -Infinity) log.event('nodesSeen', { count: members.size })
      else if (sentAt - lastReadAt > gapMs) firstReadAfterGapAt = sentAt
      lastReadAt = Math.max(lastReadAt, sentAt)
    },
    findDead: (ms) =>
      [...members.values()].find(
        (each) => each.id !== self.id && lastReadAt - each.seenAt > each.leaseMs + ms,
      ),
  }
}
