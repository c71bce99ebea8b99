/** Nodes that claim ownership of services in a shared store, for tests of ownership. */
import { createMemoryLogger } from '../src/shared/index.js'
import { createNodeRegistry, createOwnership } from '../src/ownership/index.js'
import type { Authority } from '../src/ownership/index.js'
import type { RowStore } from '../src/ports/index.js'

/** Options of {@link startOwnerNode}. */
export interface OwnerNodeOptions {
  id: string
  store: RowStore
  /** Services that need an owner. */
  services: string[]
  /** Capacity of the node as an owner; 1 for a whole core. */
  room?: number
  /** Whether its owners lack processor time. */
  lacksProcessor?(): boolean
  /** Clock for leases, in ms. */
  now?: () => number
}

/** Starts a node. `authorities` holds the services that it owns. */
export function startOwnerNode(opts: OwnerNodeOptions) {
  const { id, store, services, room = 1, now } = opts
  const log = createMemoryLogger()
  const authorities = new Map<string, Authority>()
  const registry = createNodeRegistry({
    store,
    id,
    life: `${id}-1`,
    hall: 'h1',
    address: `${id}:1`,
    room,
    owns: () => [...authorities.keys()],
    leaving: () => false,
    log,
    now,
  })
  const ownership = createOwnership({
    store,
    registry,
    names: () => services,
    async start(authority) {
      authorities.set(authority.service, authority)
      return {
        lacksProcessor: () => opts.lacksProcessor?.() ?? false,
        stop: async () => void authorities.delete(authority.service),
      }
    },
    log,
    now,
  })
  return {
    id,
    log,
    authorities,
    registry,
    ownership,
    async stop() {
      await ownership.stop()
      await registry.stop()
    },
  }
}

/** A node started by {@link startOwnerNode}. */
export type OwnerNode = ReturnType<typeof startOwnerNode>
