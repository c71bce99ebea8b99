/** Relays store calls of this node through other nodes. */
import type { NodeClients } from '../front/index.js'
import type { NodeRegistry } from '../ownership/index.js'
import type { Logger } from '../shared/index.js'
import { createPeerRelay } from '../storeAccess/index.js'
import type { StoreRelay } from '../storeAccess/index.js'

/**
 * Peers that one search asks at the same time. If the store refuses a third of the nodes, one
 * search in 27 finds no peer; asking a peer costs both ends about 1 ms.
 */
const MAX_RELAY_CANDIDATES = 3

/** Creates the relay; its peers come from the registry. */
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

/** Addresses of random other nodes that are not leaving. */
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
