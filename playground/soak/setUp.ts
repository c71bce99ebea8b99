/** Set-up of the stand-in platform for a run of the soak. */
import type { TargetFaults } from '../sim/simTarget.js'
import { listen } from '../sim/wire.js'
import type { Handler } from '../sim/wire.js'
import { startSimPlatform } from '../sim/wireServer.js'
import type { SimPlatform } from '../sim/wireServer.js'
import { QUEUE_HOST } from './clients.js'
import type { SoakTarget } from './faultKinds.js'
import { openFaultLink } from './faultLink.js'
import type { SoakQueue } from './jobView.js'
import type { SoakOrganisations } from './organisations.js'
import type { Fault, SoakPlan } from './plan.js'
import type { Report } from './runChecks.js'

/** Halls of nodes and targets. */
export const HALLS = ['h1', 'h2']
/** Failing targets use up the 3 attempts of the first queue, but rarely the 12 of the second. */
export const QUEUES: SoakQueue[] = [
  { name: 'r-one', path: '/one/', service: 'one', maxAttempts: 3 },
  { name: 'r-two', path: '/two/', service: 'two', maxAttempts: 12 },
]
/** Time that nodes have to reach a target again after a fault of its link, in ms. */
const LINK_RECOVERY_MS = 2000

/** A configuration. `change` alters time-outs, stretch factors and routes that no client uses. */
export function configurationOf(
  version: number,
  organisations: SoakOrganisations,
  queues: readonly SoakQueue[],
  change?: Fault,
): object {
  const { forMs = 0, level = 0, which = 0 } = change ?? {}
  const routes = queues.map(({ name, path, service, maxAttempts }) => ({
    name,
    host: QUEUE_HOST,
    path_prefix: path,
    timeout_ms: 3000 + forMs,
    target_latency_ms: 600,
    service,
    max_attempts: maxAttempts,
    stretch: 1.6 + level,
  }))
  const others = Array.from({ length: which % 5 }, (_, each) => ({
    name: `r-more-${each}`,
    host: 'more.example',
    path_prefix: `/more${each}/`,
    service: QUEUES[0]!.service,
  }))
  const services = QUEUES.map(({ service }) => ({ name: service, admission_check: true }))
  return {
    version,
    routes: [...routes, ...others],
    services: [...services, { name: 'idle', admission_check: true, spare: true }],
    limits: { max_body_bytes: 20_000 },
    tenants: organisations.entries(),
  }
}

/** Delay of each fifth answer to a poll, which others overtake, in ms. */
const OVERTAKEN_MS = 40

function overtakeAnswers(): Partial<TargetFaults> {
  let answers = 0
  return { delayMs: OVERTAKEN_MS, isDelayed: () => ++answers % 5 === 0 }
}

/** Starts the stand-in with the pools of a plan and the first configuration. */
export async function startPlatform(
  plan: SoakPlan,
  organisations: SoakOrganisations,
): Promise<SimPlatform> {
  const platform = await startSimPlatform({
    pools: { one: plan.targets, two: plan.targets, idle: plan.idleVms },
    halls: HALLS,
    capacity: { cpu: 8000, memMb: 32_000, gpu: 0 },
    offlineMs: 1500,
    targetFaults: overtakeAnswers,
  })
  platform.putConfiguration(configurationOf(1, organisations, QUEUES))
  return platform
}

/** Opens a proxy in front of each target and lists the target under its address. */
export const linkTargets = ({ vms, list }: SimPlatform): Promise<SoakTarget[]> =>
  Promise.all(
    vms.map(async (vm): Promise<SoakTarget> => {
      const link = await openFaultLink(vm.port)
      vm.port = link.port
      list(vm, 'ready')
      const isReachable = (): boolean =>
        performance.now() - link.lastFaultAt() > LINK_RECOVERY_MS
      return { vm, link, isReachable }
    }),
  )

/** Opens the server that entries of other writers point to. Reports each order that it receives. */
export function openForeignTarget(report: Report): ReturnType<typeof listen> {
  const reportOrder: Handler = ({ body }) => {
    report('order to a foreign entry', JSON.stringify(body))
    return [503]
  }
  return listen({ 'POST /run-start': reportOrder, 'POST /hold': reportOrder })
}
