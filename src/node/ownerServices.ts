/** Kernel services with which a node owns services and calls the owners on other nodes. */
import { getHeapStatistics } from 'node:v8'
import { nanoid } from 'nanoid'
import type { NodeConfig } from '../config/index.js'
import { ownedServices } from '../directory/index.js'
import type { ConfigurationHolder } from '../directory/index.js'
import {
  createNodeClients,
  createOwnerCalls,
  listenForNodes,
  ownerRoutes,
} from '../front/index.js'
import { defineService } from '../kernel/index.js'
import { createJobMemory } from '../jobs/index.js'
import { maxJobBytes } from '../limits/index.js'
import type { Namespaces } from '../namespaces/index.js'
import { FLEET, createNodeRegistry, createOwnership } from '../ownership/index.js'
import { closeServer } from './closeServer.js'
import { startFleetReports } from './fleetReports.js'
import { createOwnerTable } from './ownerTable.js'
import { startOwner } from './startOwner.js'
import { createStoreRelay } from './storeRelay.js'

/** Length of the random id of a node's process life, in characters: 60 random bits. */
const LIFE_LENGTH = 10

/**
 * Link speed that does not slow down the owner of a busy service, in Mbit/s. An estimate: 900
 * tasks a second, each with about 1.5 kB for its order, the answer and its end, need 11 Mbit/s;
 * the rest allows for bursts.
 */
const OWNER_LINK_MBPS = 40

/** Capacity of this node for ownership: its share of a core, reduced if its link is slow. */
const roomOf = ({ node }: NodeConfig): number =>
  node.cpu_share * node.cores * Math.min(1, node.link_mbps / OWNER_LINK_MBPS)

/** Holds the owners that run on this node. */
export const ownersService = () =>
  defineService({
    name: 'owners',
    needs: [],
    async start() {
      const { heap_size_limit: heapBytes } = getHeapStatistics()
      return createOwnerTable(createJobMemory(maxJobBytes(heapBytes)))
    },
  })

/** Writes this node's row and reads those of the other nodes. */
export const registryService = (cfg: NodeConfig) =>
  defineService({
    name: 'registry',
    needs: ['storeAccess', 'nodeState', 'owners'],
    async start({ get, log }) {
      const state = get('nodeState')
      return createNodeRegistry({
        store: get('storeAccess').store,
        id: cfg.node.id,
        life: nanoid(LIFE_LENGTH),
        hall: cfg.node.hall,
        address: `${cfg.listen.address}:${cfg.listen.node_port}`,
        room: roomOf(cfg),
        owns: () => get('owners').names(),
        leaving: () => state.leaving,
        log,
      })
    },
    stop: (registry) => registry.stop(),
  })

/**
 * Names that need an owner: every service that is not a spare pool, also if only accepted jobs name
 * it, and the fleet of VMs. None before the first complete read of the operators' table, as an
 * owner must know all cordons.
 */
function ownedNames(
  configuration: ConfigurationHolder,
  namespaces: Namespaces,
  hasCloud: boolean,
): string[] {
  if (!Number.isFinite(configuration.freshAt())) return []
  const names = ownedServices(configuration.current(), namespaces.services())
  if (names.length > 0 && hasCloud) names.push(FLEET)
  return names.sort()
}

/** Claims ownership of services and runs their owners. */
export const ownershipService = (cfg: NodeConfig) =>
  defineService({
    name: 'ownership',
    needs: [
      'nodePlatform',
      'storeAccess',
      'nodeState',
      'registry',
      'configuration',
      'namespaces',
      'targetSource',
      'owners',
      'forwarding',
      'processor',
    ],
    async start({ get, log }) {
      const { orders, inUse } = get('forwarding')
      const platform = { ...get('nodePlatform'), orders }
      const processor = get('processor')
      const { store } = get('storeAccess')
      const configuration = get('configuration')
      const namespaces = get('namespaces')
      const targets = get('targetSource')
      const owners = get('owners')
      const dependencies = {
        cfg,
        platform,
        store,
        configuration,
        targets,
        owners,
        processor: {
          share: processor.share,
          isSaturated: processor.isSaturated,
          forwarders: inUse,
        },
        log,
      }
      return createOwnership({
        store,
        registry: get('registry'),
        names: () => ownedNames(configuration, namespaces, platform.cloud !== undefined),
        start: (authority) => startOwner(dependencies, authority),
        log,
      })
    },
    stop: (ownership) => ownership.stop(),
  })

/** Sends calls to other nodes, including relayed store calls, and serves theirs. */
export const ownerCallsService = (cfg: NodeConfig) =>
  defineService({
    name: 'ownerCalls',
    needs: [
      'nodePlatform',
      'storeAccess',
      'registry',
      'owners',
      'forwarding',
      'processor',
    ],
    async start({ get, log }) {
      const { local, memory } = get('owners')
      const registry = get('registry')
      const access = get('storeAccess')
      const clients = createNodeClients()
      const calls = createOwnerCalls({ registry, local, clients, log, memory })
      const { address, node_port: port } = cfg.listen
      const server = await listenForNodes(
        address,
        port,
        ownerRoutes(local, access, memory, {
          handle: get('forwarding').server.handle,
          busyShare: get('processor').share,
        }),
        get('nodePlatform').serverLimits,
      )
      access.setRelay(createStoreRelay(registry, clients, log))
      return { ...calls, server, clients }
    },
    async stop({ server, clients }) {
      clients.close()
      closeServer(server)
    },
  })

/** Reports the services owned by this node to the owner of the fleet. */
export const reportsService = () =>
  defineService({
    name: 'reports',
    needs: ['owners', 'ownerCalls'],
    start: async ({ get }) => startFleetReports(get('owners'), get('ownerCalls')),
    stop: (reports) => reports.stop(),
  })
