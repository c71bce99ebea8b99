/** Nodes that claim services from one table, for tests of ownership. */
import { createMemoryLogger } from '../src/shared/index.js'
import { createNodeRegistry, createOwnership } from '../src/ownership/index.js'
import type { Authority } from '../src/ownership/index.js'
import type { RowStore } from '../src/ports/index.js'

/** What a node of a test says of itself. */
export interface OwnerNodeOptions {
  id: string
  store: RowStore
  /** Services that need an owner. */
  services: string[]
  room?: number
  /** Clock for leases, in ms. */
  now?: () => number
}

/** Starts a node; what it owns is in `authorities`. */
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
      return { stop: async () => void authorities.delete(authority.service) }
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

/** A node of a test. */
export type OwnerNode = ReturnType<typeof startOwnerNode>
