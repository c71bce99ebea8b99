/** Types of a node's services, by their names in the kernel. */
import type { Server } from 'node:http'
import type { ConfigurationHolder, TargetSource } from '../directory/index.js'
import type { ForwardServer } from '../forwarding/index.js'
import type { JobService, NodeClients, OwnerCalls } from '../front/index.js'
import type { ServerLimits } from '../limits/index.js'
import type { Namespaces } from '../namespaces/index.js'
import type { NodeRegistry, Ownership } from '../ownership/index.js'
import type {
  Advice,
  Documents,
  ObservedRowStore,
  TargetOrders,
  VmCloud,
} from '../ports/index.js'
import type { ProcessDelayWatch, ProcessorUse } from '../shared/index.js'
import type { StoreAccess } from '../storeAccess/index.js'
import type { FleetReports } from './fleetReports.js'
import type { OwnerTable } from './ownerTable.js'

/** Interfaces that the adapter to a platform provides. */
export interface NodePlatform {
  store: ObservedRowStore
  orders: TargetOrders
  cloud: VmCloud | undefined
  advice: Advice | undefined
  documents: Documents
  /** Opens the endpoint for callers. */
  openCallers(jobs: JobService, maxBodyBytes: () => number): Promise<Server>
  /**
   * Opens the endpoint for the platform's readiness check.
   * @param notReady the reason why the node is not ready; undefined if it is ready
   */
  openReadiness(notReady: () => string | undefined): Promise<Server>
  /** Opens the endpoint for metrics. */
  openMetrics(): Promise<Server>
  /** Limits that all servers of the process share. */
  serverLimits: ServerLimits
  close(): void
}

/** State of the node; `leaving` is set when a planned stop begins, and never reset. */
export interface NodeState {
  leaving: boolean
}

declare module '../kernel/kernel.js' {
  interface ServiceMap {
    nodePlatform: NodePlatform
    storeAccess: StoreAccess
    nodeState: NodeState
    lateness: ProcessDelayWatch
    configuration: ConfigurationHolder
    namespaces: Namespaces
    registry: NodeRegistry
    processor: ProcessorUse
    forwarding: {
      orders: TargetOrders
      server: ForwardServer
      /** Number of nodes through which targets are called. */
      inUse(): number
      close(): void
    }
    targetSource: TargetSource
    ownership: Ownership
    owners: OwnerTable
    ownerCalls: OwnerCalls & { server: Server; clients: NodeClients }
    reports: FleetReports
    metricsFace: { server: Server | undefined }
    callers: { server: Server }
    readiness: { server: Server }
    departure: { depart(): Promise<void> }
  }
}
