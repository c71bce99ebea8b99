/** The services of a node, for the kernel. Outside services come in through `NodePlatform`. */
import type { Server } from 'node:http'
import { nanoid } from 'nanoid'
import type { NodeConfig } from '../config/index.js'
import { createConfigurationHolder, createTargetList } from '../directory/index.js'
import type { ConfigurationHolder, TargetList } from '../directory/index.js'
import {
  createJobService,
  createOwnerCalls,
  listenForNodes,
  ownerRoutes,
} from '../front/index.js'
import type { JobService, LocalOwners, OwnerCalls } from '../front/index.js'
import { createKernel, defineService } from '../kernel/index.js'
import type { Kernel } from '../kernel/index.js'
import { FLEET, createNodeRegistry, createOwnership } from '../ownership/index.js'
import type { Authority, NodeRegistry, Owner, Ownership } from '../ownership/index.js'
import type {
  Advice,
  Documents,
  RowStore,
  TargetOrders,
  VmCloud,
} from '../ports/index.js'
import { createServiceOwner } from '../scheduler/index.js'
import type { ServiceOwner } from '../scheduler/index.js'
import {
  KernelError,
  createStopController,
  describeError,
  sleep,
} from '../shared/index.js'
import type { Logger } from '../shared/index.js'
import { REPORT_MS, createFleetOwner } from '../vms/index.js'
import type { FleetOwner } from '../vms/index.js'

/** What the adapter to a platform provides. */
export interface NodePlatform {
  store: RowStore
  orders: TargetOrders
  cloud: VmCloud | undefined
  advice: Advice | undefined
  documents: Documents
  /** Opens the address for callers. */
  openCallers(jobs: JobService, maxBodyBytes: () => number): Promise<Server>
  /** Opens the address where the platform asks whether the node is ready. */
  openReadiness(notReady: () => string | undefined): Promise<Server>
  /** Opens the address for metrics. */
  openMetrics(): Promise<Server>
  close(): void
}

/** Whether the node stops; set once and never taken back. */
export interface NodeState {
  leaving: boolean
}

declare module '../kernel/kernel.js' {
  interface ServiceMap {
    nodePlatform: NodePlatform
    nodeState: NodeState
    configuration: ConfigurationHolder
    registry: NodeRegistry
    targetList: TargetList
    ownership: Ownership
    owners: OwnerTable
    ownerCalls: OwnerCalls & { server: Server }
    reports: { stop(): Promise<void> }
    metricsFace: { server: Server | undefined }
    callers: { server: Server }
    readiness: { server: Server }
    departure: { depart(): Promise<void> }
  }
}

/** Owners that run on this node, by service. */
export interface OwnerTable {
  local: LocalOwners
  setFleet(owner: FleetOwner | undefined): void
  /** Names that this node claims, also while it still takes over. */
  names(): string[]
  claim(service: string): void
  release(service: string): void
  add(owner: ServiceOwner): void
  remove(owner: ServiceOwner): void
}

/** Body limit before a configuration is known, in bytes: the platform's usual one. */
const DEFAULT_BODY_BYTES = 262_144
/**
 * Time that a leaving node goes on answering, in ms: the platform sends new connections
 * until it has missed readiness twice, a second apart.
 */
const DEPART_NOTICE_MS = 2500
/** Longest wait for requests in flight in a planned stop, in ms. */
const CLOSE_WAIT_MS = 1000

const platformService = (platform: NodePlatform) =>
  defineService({
    name: 'nodePlatform',
    needs: [],
    start: async () => platform,
    stop: async (each) => each.close(),
  })

const stateService = () =>
  defineService({ name: 'nodeState', needs: [], start: async () => ({ leaving: false }) })

const configurationService = () =>
  defineService({
    name: 'configuration',
    needs: ['nodePlatform'],
    async start({ get, log }) {
      const { store, documents } = get('nodePlatform')
      return createConfigurationHolder({ store, documents: documents.operator, log })
    },
    stop: (each) => each.stop(),
  })

const ownersService = () =>
  defineService({
    name: 'owners',
    needs: [],
    async start() {
      const owners = new Map<string, ServiceOwner>()
      const claimed = new Set<string>()
      let fleet: FleetOwner | undefined
      return {
        local: { service: (name) => owners.get(name), fleet: () => fleet },
        setFleet: (owner) => void (fleet = owner),
        names: () => [...claimed],
        claim: (service) => void claimed.add(service),
        release: (service) => void claimed.delete(service),
        add: (owner) => void owners.set(owner.service, owner),
        remove(owner) {
          if (owners.get(owner.service) === owner) owners.delete(owner.service)
        },
      }
    },
  })

const registryService = (cfg: NodeConfig) =>
  defineService({
    name: 'registry',
    needs: ['nodePlatform', 'nodeState', 'owners'],
    async start({ get, log }) {
      const state = get('nodeState')
      return createNodeRegistry({
        store: get('nodePlatform').store,
        id: cfg.node.id,
        life: nanoid(10),
        hall: cfg.node.hall,
        address: `${cfg.listen.address}:${cfg.listen.node_port}`,
        owns: () => get('owners').names(),
        leaving: () => state.leaving,
        log,
      })
    },
    stop: (registry) => registry.stop(),
  })

const targetListService = () =>
  defineService({
    name: 'targetList',
    needs: ['nodePlatform'],
    async start({ get, log }) {
      const { store, documents } = get('nodePlatform')
      return createTargetList({ store, documents: documents.targets, log })
    },
    stop: (each) => each.stop(),
  })

const ownershipService = (cfg: NodeConfig) =>
  defineService({
    name: 'ownership',
    needs: [
      'nodePlatform',
      'nodeState',
      'registry',
      'configuration',
      'targetList',
      'owners',
    ],
    async start({ get, log }) {
      const platform = get('nodePlatform')
      const configuration = get('configuration')
      const owners = get('owners')
      const targets = get('targetList')
      const { store, orders, documents } = platform
      const startFleet = async (authority: Authority): Promise<Owner> => {
        if (!platform.cloud) throw new KernelError('no cloud is configured')
        const { cloud } = platform
        const { move_time: moveMs, maintenance_time: maintenanceMs } = cfg.cloud
        const holder = cfg.node.id
        const times = { moveMs, maintenanceMs }
        const parts = { store, cloud, configuration, documents, authority, log }
        const fleet = createFleetOwner({ ...parts, ...times, holder })
        owners.setFleet(fleet)
        return {
          async stop(handOver) {
            owners.setFleet(undefined)
            owners.release(FLEET)
            await fleet.stop(handOver)
          },
        }
      }
      const ownership = createOwnership({
        store,
        registry: get('registry'),
        names: () => ownedNames(configuration, platform.cloud !== undefined),
        async start(authority): Promise<Owner> {
          owners.claim(authority.service)
          if (authority.service === FLEET) return startFleet(authority)
          await targets.ready
          const owner = await createServiceOwner({
            store,
            orders,
            cloud: platform.cloud,
            advice: platform.advice,
            documents,
            configuration,
            targets,
            authority,
            log,
          })
          owners.add(owner)
          return {
            async stop(handOver) {
              owners.remove(owner)
              owners.release(authority.service)
              await owner.stop(handOver)
            },
          }
        },
        log,
      })
      return ownership
    },
    stop: (ownership) => ownership.stop(),
  })

/** Every service with queues needs an owner; so do services that still have targets. */
function ownedNames(configuration: ConfigurationHolder, hasCloud: boolean): string[] {
  const services = configuration.current()?.services.values() ?? []
  const names = [...services].filter(({ spare }) => !spare).map(({ name }) => name)
  if (names.length > 0 && hasCloud) names.push(FLEET)
  return names.sort()
}

const ownerCallsService = (cfg: NodeConfig) =>
  defineService({
    name: 'ownerCalls',
    needs: ['registry', 'owners'],
    async start({ get, log }) {
      const { local } = get('owners')
      const calls = createOwnerCalls({ registry: get('registry'), local, log })
      const { address, node_port: port } = cfg.listen
      const server = await listenForNodes(address, port, ownerRoutes(local))
      return { ...calls, server }
    },
    async stop({ server, close }) {
      close()
      server.close()
      server.closeAllConnections()
    },
  })

/** Tells the owner of the fleet about the services of this node, one task for all. */
const reportsService = () =>
  defineService({
    name: 'reports',
    needs: ['owners', 'ownerCalls'],
    async start({ get }) {
      const owners = get('owners')
      const calls = get('ownerCalls')
      const stopping = createStopController()
      const reportOne = async (service: string): Promise<void> => {
        const owner = owners.local.service(service)
        const answer = owner && (await calls.reportToFleet(owner.report()))
        if (answer) owner.evacuate(answer)
      }
      async function run(): Promise<void> {
        while (!stopping.signal.aborted) {
          await Promise.all(owners.names().map(reportOne))
          await sleep(REPORT_MS, stopping.signal)
        }
      }
      const task = run()
      return {
        async stop() {
          stopping.abort()
          await task
        },
      }
    },
    stop: (reports) => reports.stop(),
  })

const metricsService = () =>
  defineService({
    name: 'metricsFace',
    needs: ['nodePlatform'],
    // A node without metrics still serves: its port may be taken by something else.
    async start({ get, log }) {
      try {
        return { server: await get('nodePlatform').openMetrics() }
      } catch (cause) {
        log.event('metricsNotServed', { reason: describeError(cause) })
        return { server: undefined }
      }
    },
    async stop({ server }) {
      server?.close()
      server?.closeAllConnections()
    },
  })

const callersService = () =>
  defineService({
    name: 'callers',
    needs: ['nodePlatform', 'configuration', 'ownerCalls'],
    async start({ get, log }) {
      const { store, openCallers } = get('nodePlatform')
      const configuration = get('configuration')
      const owners = get('ownerCalls')
      const jobs = createJobService({ store, configuration, owners, log })
      const maxBodyBytes = () =>
        configuration.current()?.limits.bodyBytes ?? DEFAULT_BODY_BYTES
      return { server: await openCallers(jobs, maxBodyBytes) }
    },
    async stop({ server }) {
      const closed = new Promise((resolve) => server.close(resolve))
      server.closeIdleConnections()
      await Promise.race([closed, sleep(CLOSE_WAIT_MS)])
      server.closeAllConnections()
    },
  })

const readinessService = () =>
  defineService({
    name: 'readiness',
    needs: ['nodePlatform', 'nodeState', 'configuration', 'registry', 'callers'],
    async start({ get }) {
      const state = get('nodeState')
      const configuration = get('configuration')
      const registry = get('registry')
      const server = await get('nodePlatform').openReadiness(() => {
        if (state.leaving) return 'leaving'
        if (!configuration.current()) return 'no configuration yet'
        return registry.isConnected() ? undefined : 'store not reached'
      })
      return { server }
    },
    async stop({ server }) {
      server.close()
      server.closeAllConnections()
    },
  })

/** The last service to start, so that a planned stop begins with it. */
const departureService = () =>
  defineService({
    name: 'departure',
    needs: ['nodeState', 'ownership', 'readiness'],
    async start({ get }) {
      const state = get('nodeState')
      const ownership = get('ownership')
      return {
        async depart() {
          state.leaving = true
          await Promise.all([ownership.release(), sleep(DEPART_NOTICE_MS)])
        },
      }
    },
    stop: (departure) => departure.depart(),
  })

/** Creates a node. */
export function createNode(cfg: NodeConfig, platform: NodePlatform, log: Logger): Kernel {
  return createKernel(
    [
      platformService(platform),
      stateService(),
      ownersService(),
      configurationService(),
      registryService(cfg),
      targetListService(),
      ownershipService(cfg),
      ownerCallsService(cfg),
      reportsService(),
      metricsService(),
      callersService(),
      readinessService(),
      departureService(),
    ],
    log,
  )
}
