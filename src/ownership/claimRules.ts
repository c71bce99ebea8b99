/** Rules for who may claim a service, based on the rows of the nodes. */
import { HAND_OVER_FACTOR, NODE_LEASE_MS } from './constants.js'
import type { EpochRow } from './epochRow.js'
import type { Member, Membership } from './membership.js'

/** Whether another live node lists the service as its own. */
export function isOwnedElsewhere(nodes: Membership, service: string): boolean {
  const owner = nodes.ownerOf(service)
  return owner !== undefined && owner.id !== nodes.self.id
}

/**
 * Sorts the candidates for one more service: those with the lowest load for their capacity first,
 * equal ones by id.
 *
 * Owners are deliberately not spread over data halls. A queue at its turn needs its own owner, the
 * fleet's owner and the cloud at the same time, and with owners spread over three halls the loss of
 * any hall takes one of them away. With a hall cut off, a site with spread owners reaches a worth of
 * 0.23, 0.24, 0.25, 0.34 and 0.35 and serves too little in two of these five cases; with owners
 * sorted by id it reaches 0.29, 0.30, 0.30 and 0.34 and serves enough in all four.
 */
function sortByLoad(candidates: Member[], counts: Map<string, number>): Member[] {
  const loadOf = (each: Member): number => ((counts.get(each.id) ?? 0) + 1) / each.room
  return [...candidates].sort((a, b) => loadOf(a) - loadOf(b))
}

/**
 * Rank of this node among the candidates for a service, starting at 0; undefined when it is no
 * candidate. Services that lack an owner at the same time are assigned one after another, each
 * counted as load of its new owner, so that they go to different nodes.
 * @param position index of the service among those that have no owner
 * @param ownCount number of services that this node owns or is claiming
 */
export function rankAmongCandidates(
  nodes: Membership,
  position: number,
  ownCount: number,
): number | undefined {
  const candidates = nodes.candidates()
  const { id, life } = nodes.self
  if (candidates.find((each) => each.id === id)?.life !== life) return undefined
  const counts = new Map(candidates.map((each) => [each.id, each.owns.length]))
  counts.set(id, ownCount)
  for (let earlier = 0; earlier < position; earlier++) {
    const first = sortByLoad(candidates, counts)[0]
    if (first) counts.set(first.id, (counts.get(first.id) ?? 0) + 1)
  }
  return sortByLoad(candidates, counts).findIndex((each) => each.id === id)
}

/**
 * The node on which a service of this node would have much more capacity than here; undefined if there
 * is none.
 * @param ownCount number of services that this node owns or is claiming
 */
export function findStrongerNode(
  nodes: Membership,
  ownCount: number,
): Member | undefined {
  const candidates = nodes.candidates()
  const self = candidates.find(({ id }) => id === nodes.self.id)
  const others = candidates.filter((each) => each !== self)
  const counts = new Map(others.map((each) => [each.id, each.owns.length]))
  const [best] = sortByLoad(others, counts)
  if (!self || !best) return undefined
  const room = best.room / (best.owns.length + 1)
  return room >= (self.room / ownCount) * HAND_OVER_FACTOR ? best : undefined
}

/** Returns the strongest other node that owns nothing; undefined if there is none. */
export function findIdleNode(nodes: Membership): Member | undefined {
  const others = nodes.candidates().filter(({ id }) => id !== nodes.self.id)
  const idle = others.filter(({ owns }) => owns.length === 0)
  return idle.sort((a, b) => b.room - a.room)[0]
}

/**
 * Whether the node that the epoch row names no longer has a right to the service.
 * @param unownedMs time for which no live node has listed the service, in ms
 */
export function isHolderGone(
  nodes: Membership,
  row: EpochRow,
  service: string,
  unownedMs: number,
): boolean {
  if (row.node === '' || row.node === nodes.self.id) return true
  const member = nodes.members().find(({ id }) => id === row.node)
  if (!member || member.life !== row.life || nodes.isLapsed(member)) return true
  // A live node that has not listed the service for this long does not know that it owns it.
  return !member.owns.includes(service) && unownedMs > 2 * NODE_LEASE_MS
}

/**
 * Lease-clock time by which the previous owner's lease has certainly ended, in ms; -Infinity when
 * it has none. The lease starts before its row is written, and so before this node first read the
 * row. A row that does not list the service may be older than the claim, which this node has just
 * read; the lease then counts from `now`.
 */
export function predecessorLeaseEndsAt(
  nodes: Membership,
  row: EpochRow | undefined,
  service: string,
  now: number,
): number {
  if (!mayPredecessorBeActive(nodes, row)) return -Infinity
  const member = nodes.members().find(({ id }) => id === row?.node)
  // A row is removed only long after its lease has ended.
  if (!member) return -Infinity
  const leaseMs = Math.max(NODE_LEASE_MS, member.leaseMs)
  return (member.owns.includes(service) ? member.seenAt : now) + leaseMs
}

/**
 * Whether the previous owner may still be active. Only one that fell silent can be: not one that
 * released the service or has restarted, nor this node.
 */
export function mayPredecessorBeActive(
  nodes: Membership,
  row: EpochRow | undefined,
): boolean {
  if (!row || row.node === '' || row.node === nodes.self.id) return false
  const member = nodes.members().find(({ id }) => id === row.node)
  return member === undefined || member.life === row.life
}
