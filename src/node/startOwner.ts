/** Starts the owner of a name that this node has claimed: the fleet or a service. */
import { featuresOf } from '../config/index.js'
import type { NodeConfig } from '../config/index.js'
import type { ConfigurationHolder, TargetSource } from '../directory/index.js'
import { FLEET } from '../ownership/index.js'
import type { Authority, Owner } from '../ownership/index.js'
import { createServiceOwner } from '../scheduler/index.js'
import type { OwnerProcessor } from '../scheduler/index.js'
import { KernelError } from '../shared/index.js'
import type { RowStore } from '../ports/index.js'
import type { Logger } from '../shared/index.js'
import { createFleetOwner } from '../vms/index.js'
import type { OwnerTable } from './ownerTable.js'
import type { NodePlatform } from './serviceMap.js'

/** Dependencies of both kinds of owners. */
export interface OwnerDependencies {
  cfg: NodeConfig
  platform: NodePlatform
  store: RowStore
  configuration: ConfigurationHolder
  targets: TargetSource
  owners: OwnerTable
  processor: OwnerProcessor
  log: Logger
}

async function startFleet(
  dependencies: OwnerDependencies,
  authority: Authority,
): Promise<Owner> {
  const { cfg, platform, store, configuration, owners, log } = dependencies
  const { cloud, documents } = platform
  if (!cloud) throw new KernelError('no cloud is configured')
  const fleet = createFleetOwner({
    store,
    cloud,
    configuration,
    documents,
    authority,
    holder: cfg.node.id,
    ordersPerSecond: cfg.cloud.orders_per_second,
    log,
  })
  owners.setFleet(fleet)
  return {
    async stop(handOver) {
      owners.setFleet(undefined)
      owners.release(FLEET)
      await fleet.stop(handOver)
    },
  }
}

async function startService(
  dependencies: OwnerDependencies,
  authority: Authority,
): Promise<Owner> {
  const { cfg, platform, store, configuration, targets, owners, log } = dependencies
  const { processor } = dependencies
  const { orders, cloud, advice } = platform
  const list = targets.acquire()
  await list.ready
  const owner = await createServiceOwner({
    store,
    orders,
    cloud,
    advice,
    configuration,
    targets: list,
    authority,
    features: featuresOf(cfg),
    processor,
    memory: owners.memory,
    log,
    demandGrown: () => owners.emitDemandGrown(authority.service),
  })
  owners.add(owner)
  return {
    lacksProcessor: owner.lacksProcessor,
    lacksMemory: owner.lacksMemory,
    async stop(handOver) {
      owners.remove(owner)
      owners.release(authority.service)
      await owner.stop(handOver)
      targets.release()
    },
  }
}

/** Starts the owner for the service, or the fleet, of the authority. */
export async function startOwner(
  dependencies: OwnerDependencies,
  authority: Authority,
): Promise<Owner> {
  dependencies.owners.claim(authority.service)
  const start = authority.service === FLEET ? startFleet : startService
  return start(dependencies, authority)
}
