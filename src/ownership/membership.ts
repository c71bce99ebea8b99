/**
 * The nodes as their rows say, and which of them live: a node whose row has stood still for
 * longer than its lease, on our own steady clock, does not.
 */
import type { RowChange } from '../ports/index.js'
import { createUnreadRows } from '../shared/index.js'
import type { Logger } from '../shared/index.js'
import { READ_GAP_GRACE_MS, TAKEOVER_MARGIN_MS } from './constants.js'
import { NODES_TABLE, decodeNode } from './nodeRow.js'
import type { NodeRow } from './nodeRow.js'
import type { NodeRowUpdate } from './nodeRowReader.js'

/** A node as last seen. */
export interface Member extends NodeRow {
  id: string
  /** Part of the store in which this version was seen. */
  part: string
  version: number
  /** Steady time at which this version was first seen, in ms. */
  seenAt: number
}

/** The nodes, for those who ask. */
export interface Membership {
  readonly self: { id: string; life: string }
  members(): Member[]
  /** Whether a node's row has stood still for longer than its lease. */
  isLapsed(member: Member): boolean
  /** Live nodes that take on services, this one included while it is alive itself. */
  candidates(): Member[]
  /** The live node that says it owns the service. */
  ownerOf(service: string): Member | undefined
}

/** The nodes, for the one who reads their rows. */
export interface MembershipTracker extends Membership {
  /** Takes a row of any node. Readings overtake each other: one that is not newer is none. */
  applyRow(row: RowChange): void
  /**
   * Takes what a reading has brought.
   * @param sentAt steady time at which it began, in ms
   * @param gapMs time without a reading after which rows that stand still say nothing yet
   */
  applyUpdate(reading: NodeRowUpdate, sentAt: number, gapMs: number): void
  /** Another node whose lease has been over for so long. */
  findDead(ms: number): Member | undefined
}

/** Creates a book without nodes. */
export function createMembershipTracker(opts: {
  self: Membership['self']
  log: Logger
  now(): number
}): MembershipTracker {
  const { self, log, now } = opts
  const members = new Map<string, Member>()
  const unreadableRows = createUnreadRows(log, NODES_TABLE)
  /** Start of the last reading, and of the first one since the last gap. */
  let lastReadAt = -Infinity
  let firstReadAfterGapAt = -Infinity

  /** A row that was seen to stand still counts, not one that we could not read. */
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
    // A node that lives writes its row anew within its lease.
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
      // 97 nodes that started together wrote 8,730 lines of one node each.
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
