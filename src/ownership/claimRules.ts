/** Who may claim a service, judged by the rows of the nodes. */
import { NODE_LEASE_MS } from './constants.js'
import type { EpochRow } from './epochRow.js'
import type { Member, Membership } from './membership.js'

/** Whether another live node says that it owns the service. */
export function isOwnedElsewhere(nodes: Membership, service: string): boolean {
  const owner = nodes.ownerOf(service)
  return owner !== undefined && owner.id !== nodes.self.id
}

/**
 * Candidates for one more service, the best first: those that own least for their room,
 * equal ones by name.
 *
 * Owners that stand side by side are meant to: a turn needs its owner, the
 * fleet's owner and the cloud at once, and with owners spread over three data halls any cut
 * takes one of them. Spread, a day with a cut was worth 0.23, 0.24, 0.25, 0.34 and 0.35 in
 * five plays, two of them with too little served; by name 0.29, 0.30, 0.30 and 0.34, none.
 */
function sortByLoad(candidates: Member[], counts: Map<string, number>): Member[] {
  const loadOf = (each: Member): number => ((counts.get(each.id) ?? 0) + 1) / each.room
  return [...candidates].sort((a, b) => loadOf(a) - loadOf(b))
}

/**
 * Position of this node among those that may take a service; 0 comes first. Services that
 * have no owner at the same time are dealt out in their order, so that each goes to
 * another node.
 * @param position place of the service among those that have no owner
 * @param ownCount services that this node owns or claims
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
 * Whether the holder that the epoch row names has no right to the service any more.
 * @param unownedMs time for which no live node has listed the service
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
  // A live node that has long not listed a service does not know that it holds it.
  return !member.owns.includes(service) && unownedMs > 2 * NODE_LEASE_MS
}

/**
 * Steady time at which the former owner's lease is over for certain, in ms: it counts from
 * before the write that made the row that we have seen. A row that does not list the service
 * may be older than the claim, which we have seen just now.
 */
export function predecessorLeaseEndsAt(
  nodes: Membership,
  row: EpochRow | undefined,
  service: string,
  now: number,
): number {
  if (!mayPredecessorBeActive(nodes, row)) return -Infinity
  const member = nodes.members().find(({ id }) => id === row?.node)
  // A row is removed only long after its lease.
  if (!member) return -Infinity
  const leaseMs = Math.max(NODE_LEASE_MS, member.leaseMs)
  return (member.owns.includes(service) ? member.seenAt : now) + leaseMs
}

/** Whether the former owner may still act: only a silent one can. */
export function mayPredecessorBeActive(
  nodes: Membership,
  row: EpochRow | undefined,
): boolean {
  if (!row || row.node === '' || row.node === nodes.self.id) return false
  const member = nodes.members().find(({ id }) => id === row.node)
  return member === undefined || member.life === row.life
}
