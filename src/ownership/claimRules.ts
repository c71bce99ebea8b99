/** Who may claim a service, judged by the rows of the nodes. */
import { NODE_LEASE_MS } from './constants.js'
import type { EpochRow } from './epochRow.js'
import type { Member, NodeRegistry } from './nodeRegistry.js'

/** Whether another live node says that it owns the service. */
export function isOwnedElsewhere(registry: NodeRegistry, service: string): boolean {
  const owner = registry.ownerOf(service)
  return owner !== undefined && owner.id !== registry.self.id
}

/**
 * Position of this node among those that may take a service; 0 comes first. Nodes that
 * own less for their room come before others. Services that have no owner at the same
 * time are dealt out in their order, so that each goes to another node.
 * @param place place of the service among those that have no owner
 * @param ownCount services that this node owns or claims
 */
export function rankAmongCandidates(
  registry: NodeRegistry,
  place: number,
  ownCount: number,
): number | undefined {
  const candidates = registry.candidates()
  const { id, life } = registry.self
  if (candidates.find((each) => each.id === id)?.life !== life) return undefined
  const counts = new Map(candidates.map((each) => [each.id, each.owns.length]))
  counts.set(id, ownCount)
  const loadWithOneMore = (each: Member): number =>
    ((counts.get(each.id) ?? 0) + 1) / each.room
  const byLoad = (): Member[] =>
    [...candidates].sort((a, b) => loadWithOneMore(a) - loadWithOneMore(b))
  for (let earlier = 0; earlier < place; earlier++) {
    const first = byLoad()[0]
    if (first) counts.set(first.id, (counts.get(first.id) ?? 0) + 1)
  }
  return byLoad().findIndex((each) => each.id === id)
}

/**
 * Whether the holder that the epoch row names has no right to the service any more.
 * @param unownedMs time for which no live node has listed the service
 */
export function isHolderGone(
  registry: NodeRegistry,
  row: EpochRow,
  service: string,
  unownedMs: number,
): boolean {
  if (row.node === '' || row.node === registry.self.id) return true
  const member = registry.members().find(({ id }) => id === row.node)
  if (!member || member.life !== row.life || registry.isLapsed(member)) return true
  // A live node that has long not listed a service does not know that it holds it.
  return !member.owns.includes(service) && unownedMs > 2 * NODE_LEASE_MS
}

/**
 * Steady time at which the former owner's lease was over for certain, in ms: it counts
 * from before the write that made the row that we have seen.
 */
export function leaseOverAt(registry: NodeRegistry, row: EpochRow | undefined): number {
  if (!mayPredecessorLive(registry, row)) return -Infinity
  const member = registry.members().find(({ id }) => id === row?.node)
  return member ? member.seenAt + NODE_LEASE_MS : -Infinity
}

/** Whether the former owner may still act: only a silent one can. */
export function mayPredecessorLive(
  registry: NodeRegistry,
  row: EpochRow | undefined,
): boolean {
  if (!row || row.node === '' || row.node === registry.self.id) return false
  const member = registry.members().find(({ id }) => id === row.node)
  return member === undefined || member.life === row.life
}
