/** Assembles the services of a node. External services are reached through `NodePlatform`. */
import type { NodeConfig } from '../config/index.js'
import { createKernel } from '../kernel/index.js'
import type { Kernel } from '../kernel/index.js'
import type { Logger } from '../shared/index.js'
import {
  callersService,
  departureService,
  metricsService,
  readinessService,
} from './endpointServices.js'
import { forwardingService } from './forwardingService.js'
import {
  ownerCallsService,
  ownersService,
  ownershipService,
  registryService,
  reportsService,
} from './ownerServices.js'
import type { NodePlatform } from './serviceMap.js'
import {
  configurationService,
  latenessService,
  processorService,
  namespacesService,
  platformService,
  stateService,
  storeAccessService,
  targetSourceService,
} from './sourceServices.js'

/** Creates the kernel of a node with all its services. */
export function createNode(cfg: NodeConfig, platform: NodePlatform, log: Logger): Kernel {
  return createKernel(
    [
      platformService(platform),
      latenessService(),
      processorService(),
      storeAccessService(),
      stateService(),
      ownersService(),
      configurationService(),
      namespacesService(),
      registryService(cfg),
      forwardingService(cfg),
      targetSourceService(),
      ownershipService(cfg),
      ownerCallsService(cfg),
      reportsService(),
      metricsService(),
      callersService(cfg),
      readinessService(),
      departureService(),
    ],
    log,
  )
}
