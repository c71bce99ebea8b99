/** A run of the soak: node processes, a stand-in of the platform, faults and checks. */
import { createWriteStream, mkdirSync, writeFileSync } from 'node:fs'
import { join } from 'node:path'
import { sleep } from '../../src/shared/index.js'
import { createRandom } from '../random.js'
import { HOST, portOf } from '../sim/wire.js'
import { createCordons } from './cordons.js'
import { createDisturbanceTracker } from './disturbances.js'
import { createClients } from './clients.js'
import { startSoakNode } from './nodes.js'
import type { SoakPlan } from './plan.js'
import { injectFault } from './injectFault.js'
import { createRoutes } from './routes.js'
import { runIntruders } from './intruders.js'
import { createOrganisations } from './organisations.js'
import { createRunChecks } from './runChecks.js'
import {
  configurationOf,
  HALLS,
  linkTargets,
  openForeignTarget,
  QUEUES,
} from './setUp.js'
import { startPlatform } from './setUp.js'
import { createStallDetector } from './stallDetector.js'
import { createTraffic } from './traffic.js'
import { createWaves } from './waves.js'

/** Time after the last fault within which all jobs and waves must end, in ms. */
const SETTLE_TIMEOUT_MS = 30_000
/** Interval of the checks of all jobs and waves, in ms. */
const CHECK_INTERVAL_MS = 50
/** Seed offset of the traffic, so that it draws other numbers than the plan. */
const TRAFFIC_SEED_OFFSET = 1_000_000
/** Seed offset of the calls that must be refused. */
const INTRUDER_SEED_OFFSET = 5_000_000

/** A violated guarantee, with the time after the first job, in ms. */
export interface Failure {
  promise: string
  detail: string
  atMs: number
}

/** Result of a run. */
export interface SoakResult {
  seed: number
  failures: Failure[]
  faults: number
  jobs: number
  runs: number
  longestStillMs: number
  /** Fraction of the time during which time bounds were checked. */
  calmShare: number
  /** Number of stalls of the soak's own process. */
  ownStalls: number
}

/** Runs a plan. Writes the plan, the logs of all nodes and a trace of all events to `dir`. */
export async function runSoak(plan: SoakPlan, dir: string): Promise<SoakResult> {
  mkdirSync(dir, { recursive: true })
  writeFileSync(join(dir, 'plan.json'), JSON.stringify(plan, undefined, 2))
  const trace = createWriteStream(join(dir, 'trace.ndjson'))
  const failures: Failure[] = []
  let startedAt = performance.now()
  const writeTrace = (what: string, more: object): void => {
    const atMs = Math.round(performance.now() - startedAt)
    const line = { time: new Date().toISOString(), atMs, what, ...more }
    trace.write(JSON.stringify(line) + '\n')
  }
  const report = (promise: string, detail: string): void => {
    const atMs = Math.round(performance.now() - startedAt)
    failures.push({ promise, detail, atMs })
    writeTrace('failure', { promise, detail })
  }

  const organisations = createOrganisations(plan.organisations)
  const routes = createRoutes(QUEUES)
  const platform = await startPlatform(plan, organisations)
  const targets = await linkTargets(platform)
  const foreignTarget = await openForeignTarget(report)
  const random = createRandom(plan.seed + TRAFFIC_SEED_OFFSET)
  platform.table.faults.random = random
  const disturbances = createDisturbanceTracker()
  const unplannedDisturbances = createDisturbanceTracker()
  const isReachable = (id: string): boolean =>
    targets.some(({ vm, isReachable }) => vm.target?.id === id && isReachable())
  const cordons = createCordons(platform)
  const checks = createRunChecks(disturbances, isReachable, cordons.cordonedMs, report)
  let runs = 0
  platform.ledger.watch = (entry) => {
    const { what, task, run, target, lifeStartMs } = entry
    if (what === 'start') runs++
    if (what !== 'listed') writeTrace(what, { task, run, target, lifeStartMs })
    checks.onTargetEntry(entry)
  }

  const startNode = (_: unknown, each: number) =>
    startSoakNode({
      platform,
      name: `n${each + 1}`,
      hall: HALLS[each % HALLS.length]!,
      halls: HALLS,
      withCloud: plan.idleVms > 0,
      forwards: plan.allForward || each % 2 === 0,
      dir,
      onUnexpectedExit: (name, reason) =>
        report('node ended by itself', `${name}: ${reason}`),
    })
  const nodes = await Promise.all(Array.from({ length: plan.nodes }, startNode))
  const ready = await Promise.all(nodes.map((node) => node.waitUntilReady()))
  if (ready.includes(false)) report('node not ready', JSON.stringify(ready))

  const clients = createClients({
    nodes,
    checks,
    routes,
    disturbances,
    unplannedDisturbances,
    report,
    writeTrace,
  })
  const { jobs, draining } = checks
  const traffic = createTraffic({
    random,
    queues: QUEUES,
    clients,
    jobs,
    organisations,
    plan,
  })
  const isServed = (): boolean => nodes.some((node) => node.isUp())
  const stallDetector = createStallDetector({
    checks,
    routes,
    disturbances,
    targets,
    cordons,
    isServed,
    report,
  })
  const pools = QUEUES.map(({ service }) => service)
  const foreignAddress = `${HOST}:${portOf(foreignTarget)}`
  let version = 1
  const changeConfiguration = (change: SoakPlan['faults'][number]): void => {
    version += 1 + (change.which % 7)
    platform.putConfiguration(
      configurationOf(version, organisations, routes.entries(), change),
    )
  }
  const waves = createWaves(platform, report)
  const ctx = {
    platform,
    nodes,
    targets,
    pools,
    draining,
    foreignAddress,
    changeConfiguration,
    organisations,
    routes,
    orderWave: waves.orderWave,
    cordons,
    halls: HALLS,
  }

  let checkCount = 0
  let undisturbedChecks = 0
  const checkTimer = setInterval(() => {
    checkCount++
    if (disturbances.isUndisturbed()) undisturbedChecks++
    stallDetector.check()
    waves.check()
  }, CHECK_INTERVAL_MS)

  startedAt = performance.now()
  const played = plan.faults.map(async (fault) => {
    await sleep(fault.at)
    writeTrace('fault', { fault })
    await injectFault(ctx, { disturbances, unplannedDisturbances }, fault)
    writeTrace('fault over', { fault })
  })
  const intruders =
    plan.organisations > 0 &&
    runIntruders({
      api: clients,
      organisations,
      jobs,
      random: createRandom(plan.seed + INTRUDER_SEED_OFFSET),
      disturbances,
      report,
      lengthMs: plan.lengthMs,
    })
  await traffic.run(plan.lengthMs)
  await intruders
  await Promise.all(played)
  const unfinished = await traffic.settle(SETTLE_TIMEOUT_MS)
  for (const { id } of unfinished) report('accepted job lost', `${id} has no end`)
  await waves.settle(SETTLE_TIMEOUT_MS)

  clearInterval(checkTimer)
  disturbances.close()
  unplannedDisturbances.close()
  await Promise.all(nodes.map((node) => node.close()))
  await platform.close()
  for (const { link } of targets) link.close()
  foreignTarget.close()
  foreignTarget.closeAllConnections()
  const result: SoakResult = {
    seed: plan.seed,
    failures,
    faults: plan.faults.length,
    jobs: jobs.size,
    runs,
    longestStillMs: stallDetector.longestStallMs(),
    calmShare: Math.round((100 * undisturbedChecks) / checkCount) / 100,
    ownStalls: disturbances.ownStalls(),
  }
  writeTrace('result', result)
  await new Promise<void>((resolve) => trace.end(resolve))
  return result
}
