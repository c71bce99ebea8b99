/** The relay of this node: has other nodes call the store for it, over the clients of nodes. */
import type { NodeClients } from '../front/index.js'
import type { NodeRegistry } from '../ownership/index.js'
import type { Logger } from '../shared/index.js'
import { createPeerRelay } from '../storeAccess/index.js'
import type { StoreRelay } from '../storeAccess/index.js'

/**
 * Peers that are asked at once who of them reaches the store. With a third of the nodes turned
 * away, one search in 27 finds none; each peer that is asked costs both ends about 1 ms.
 */
const MAX_RELAY_CANDIDATES = 3

/** Creates the relay through the nodes that the registry knows. */
export function createStoreRelay(
  registry: NodeRegistry,
  clients: NodeClients,
  log: Logger,
): StoreRelay {
  return createPeerRelay({
    peers: () => pickRandomPeers(registry),
    async send(address, call, timeoutMs) {
      const res = await clients.at(address).storeCall({ call }, { timeoutMs })
      return res.answer
    },
    log,
  })
}

/** Addresses of some other nodes, in another order each time. */
function pickRandomPeers(registry: NodeRegistry): string[] {
  const others = registry
    .members()
    .filter(({ id, leaving }) => id !== registry.self.id && !leaving)
    .map(({ address }) => ({ address, order: Math.random() }))
  return others
    .sort((a, b) => a.order - b.order)
    .slice(0, MAX_RELAY_CANDIDATES)
    .map(({ address }) => address)
}
