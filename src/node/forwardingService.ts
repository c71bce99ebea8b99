/** Kernel service through which owners call targets, directly or through other nodes. */
import { nanoid } from 'nanoid'
import type { NodeConfig } from '../config/index.js'
import {
  CHOICE_INTERVAL_MS,
  createForwardClient,
  createForwardServer,
  createForwardedOrders,
  createForwarder,
  createForwarderChoice,
} from '../forwarding/index.js'
import type { ForwardClient, Forwarder, ForwarderCandidate } from '../forwarding/index.js'
import { defineService } from '../kernel/index.js'
import type { NodeRegistry } from '../ownership/index.js'

const SALT_LENGTH = 10

/** Live nodes that forward calls, without this one. */
function candidatesOf(registry: NodeRegistry): ForwarderCandidate[] {
  return registry
    .candidates()
    .filter((each) => each.forwardsOrders && each.callsIncarnations)
    .filter(({ id }) => id !== registry.self.id)
    .map(({ address, room, owns }) => ({ address, room, owned: owns.length }))
}

/** Calls targets for the owners on this node, and for those on other nodes. */
export const forwardingService = (cfg: NodeConfig) =>
  defineService({
    name: 'forwarding',
    needs: ['nodePlatform', 'registry', 'processor', 'owners'],
    async start({ get, log }) {
      const { orders: direct } = get('nodePlatform')
      const registry = get('registry')
      const processor = get('processor')
      const clients: ForwardClient[] = []
      const known = new Map<string, Forwarder>()
      const connect = (address: string): Forwarder => {
        const existing = known.get(address)
        if (existing) return existing
        const client = createForwardClient(address)
        const forwarder = createForwarder({
          address,
          send: client.send,
          ownShare: processor.share,
          log,
        })
        clients.push(client)
        known.set(address, forwarder)
        return forwarder
      }
      const choice = createForwarderChoice({
        busyShare: processor.share,
        candidates: () => candidatesOf(registry),
        requestedTargets: get('owners').requestedTargets,
        connect,
        salt: nanoid(SALT_LENGTH),
        log,
        askFromShare: cfg.owner.forward_from_share,
      })
      const timer = setInterval(choice.update, CHOICE_INTERVAL_MS)
      return {
        orders: createForwardedOrders({ direct, choice }),
        server: createForwardServer(direct),
        inUse: choice.inUse,
        close() {
          clearInterval(timer)
          for (const client of clients) client.close()
        },
      }
    },
    async stop({ server, close }) {
      server.stop()
      close()
    },
  })
