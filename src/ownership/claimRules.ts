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
 * own less come before those that own more, and services start at different nodes.
 * @param place place of the service among all that need an owner
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
  const shift = Math.max(0, place) % candidates.length
  const turned = [...candidates.slice(shift), ...candidates.slice(0, shift)]
  const countOf = (member: Member): number =>
    member.id === id ? ownCount : member.owns.length
  turned.sort((a, b) => countOf(a) - countOf(b))
  return turned.findIndex((each) => each.id === id)
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
