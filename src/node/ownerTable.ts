/** Registry of the owners that run on this node. */
import type { LocalOwners } from '../front/index.js'
import type { JobMemory } from '../jobs/index.js'
import type { ServiceOwner } from '../scheduler/index.js'
import type { FleetOwner } from '../vms/index.js'

/** Owners that run on this node, and the names that it claims. */
export interface OwnerTable {
  local: LocalOwners
  /** Memory for the jobs of the owners on this node. */
  memory: JobMemory
  /** Number of targets that the owners on this node have requested. */
  requestedTargets(): number
  setFleet(owner: FleetOwner | undefined): void
  /** Names that this node claims, including those whose takeover is not finished. */
  names(): string[]
  claim(service: string): void
  release(service: string): void
  add(owner: ServiceOwner): void
  remove(owner: ServiceOwner): void
  /** Announces that a service needs much more than its owner last reported. */
  emitDemandGrown(service: string): void
  /** Registers a listener that is called with each announced service. */
  onDemandGrown(listener: (service: string) => void): void
}

/** Creates a table without owners, whose jobs share the memory. */
export function createOwnerTable(memory: JobMemory): OwnerTable {
  const owners = new Map<string, ServiceOwner>()
  const claimed = new Set<string>()
  const listeners: ((service: string) => void)[] = []
  let fleet: FleetOwner | undefined
  return {
    local: { service: (name) => owners.get(name), fleet: () => fleet },
    memory,
    requestedTargets() {
      let requested = 0
      for (const owner of owners.values()) requested += owner.requestedTargets()
      return requested
    },
    setFleet: (owner) => void (fleet = owner),
    names: () => [...claimed],
    claim: (service) => void claimed.add(service),
    release: (service) => void claimed.delete(service),
    add: (owner) => void owners.set(owner.service, owner),
    remove(owner) {
      if (owners.get(owner.service) === owner) owners.delete(owner.service)
    },
    emitDemandGrown(service) {
      for (const listener of listeners) listener(service)
    },
    onDemandGrown: (listener) => void listeners.push(listener),
  }
}
