/** The long-running programs, each a kernel with its list of services. */
import type { ResolvedConfig } from '../config/index.js'
import { createKernel } from '../kernel/index.js'
import type { Kernel } from '../kernel/index.js'
import type { Logger } from '../shared/index.js'
import {
  frontService,
  loansService,
  noticeService,
  onceService,
  routerService,
  viewService,
} from './entryServices.js'
import {
  keeperService,
  lifecycleService,
  metricsService,
  opsService,
  peersService,
  platformService,
  rowsService,
  serverLimitsService,
  tableService,
} from './services.js'

const commonServices = (cfg: ResolvedConfig, runsKeeper: boolean) => [
  lifecycleService(),
  metricsService(),
  serverLimitsService(cfg),
  platformService(cfg),
  rowsService(cfg, runsKeeper),
  tableService(),
  peersService(cfg),
]

/** An entry; with `keeper.hosted`, it runs the keeper as well. */
export function createEntry(cfg: ResolvedConfig, log: Logger): Kernel {
  const services = [
    ...commonServices(cfg, cfg.keeper.hosted),
    viewService(cfg),
    onceService(cfg),
    routerService(cfg),
    loansService(),
    frontService(cfg),
    opsService(cfg, true),
    noticeService(cfg),
  ]
  if (cfg.keeper.hosted) services.push(keeperService(cfg))
  return createKernel(services, log)
}

/** A process that only runs the keeper. */
export function createKeeperProgram(cfg: ResolvedConfig, log: Logger): Kernel {
  return createKernel(
    [...commonServices(cfg, true), opsService(cfg, false), keeperService(cfg)],
    log,
  )
}
