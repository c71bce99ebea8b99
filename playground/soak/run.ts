/** One run of the soak: node processes, a stand-in of the platform, faults, and checks. */
import { createWriteStream, mkdirSync, writeFileSync } from 'node:fs'
import { join } from 'node:path'
import { sleep } from '../../src/shared/index.js'
import { createRandom } from '../random.js'
import { HOST, listen, portOf } from '../sim/wire.js'
import { startSimPlatform } from '../sim/wireServer.js'
import { createCalm } from './calm.js'
import { createClients } from './clients.js'
import type { SoakQueue } from './clients.js'
import { openFaultLink } from './faultLink.js'
import { playFault } from './faults.js'
import type { FaultContext, SoakTarget } from './faults.js'
import { startSoakNode } from './nodes.js'
import type { Fault, SoakPlan } from './plan.js'
import { createRunChecks } from './runChecks.js'
import { createStillWatch } from './stillWatch.js'

const QUEUES: SoakQueue[] = [
  { name: 'r-one', host: 'q.example', path: '/one/', service: 'one', maxAttempts: 3 },
  { name: 'r-two', host: 'q.example', path: '/two/', service: 'two', maxAttempts: 12 },
]
const HALLS = ['h1', 'h2']
/** Longest time in which all jobs end once all faults are over, in ms. */
const SETTLE_MS = 30_000
/** Time between two looks at all jobs, in ms. */
const LOOK_MS = 50
/** After a target was harmed, new connections work; nodes need that long to see it, in ms. */
const HARMED_MS = 2000

/** A promise that did not hold. */
export interface Failure {
  promise: string
  detail: string
  /** Ms after the first job. */
  atMs: number
}

/** What came of a run. */
export interface SoakResult {
  seed: number
  failures: Failure[]
  faults: number
  jobs: number
  accepted: number
  runs: number
  longestStillMs: number
  /** How often the soak's own process stood still. */
  ownStalls: number
}

/** The configuration; routes that no client uses come and go. */
const configurationOf = (version: number, more: Fault | undefined) => ({
  version,
  routes: [
    ...QUEUES.map(({ name, host, path, service, maxAttempts }) => ({
      name,
      host,
      path_prefix: path,
      kind: 'unsafe',
      timeout_ms: 3000 + (more?.forMs ?? 0),
      target_latency_ms: 600,
      priority: 0,
      service,
      max_attempts: maxAttempts,
      stretch: 1.6 + (more?.level ?? 0),
    })),
    ...Array.from({ length: (more?.which ?? 0) % 5 }, (_, each) => ({
      name: `r-more-${each}`,
      host: 'more.example',
      path_prefix: `/more${each}/`,
      service: 'one',
    })),
  ],
  services: [
    { name: 'one', admission_check: true, spare: false },
    { name: 'two', admission_check: true, spare: false },
    { name: 'idle', admission_check: true, spare: true },
  ],
  limits: { max_body_bytes: 20_000 },
})

/** Puts a link before each target, with the time of its last harm. */
async function linkTargets(
  platform: Awaited<ReturnType<typeof startSimPlatform>>,
): Promise<SoakTarget[]> {
  return Promise.all(
    platform.vms.map(async (vm): Promise<SoakTarget> => {
      const link = await openFaultLink(vm.port)
      vm.port = link.port
      platform.list(vm, 'ready')
      let harmedAt = -Infinity
      const noteHarm = (): void => void (harmedAt = performance.now())
      const { reset, silence } = link
      link.reset = () => (noteHarm(), reset())
      link.silence = () => (noteHarm(), silence())
      const isReachable = (): boolean => {
        if (link.cut.size > 0 || link.delayMs > 0) noteHarm()
        return performance.now() - harmedAt > HARMED_MS
      }
      return { vm, link, isReachable }
    }),
  )
}

/** Runs a plan; logs of all nodes and all that was seen stand in `dir`. */
export async function runSoak(plan: SoakPlan, dir: string): Promise<SoakResult> {
  mkdirSync(dir, { recursive: true })
  writeFileSync(join(dir, 'plan.json'), JSON.stringify(plan, undefined, 2))
  const trace = createWriteStream(join(dir, 'trace.ndjson'))
  const failures: Failure[] = []
  let beganAt = performance.now()
  const sinceBegin = (): number => Math.round(performance.now() - beganAt)
  const note = (what: string, more: object): void => {
    const line = { at: new Date().toISOString(), atMs: sinceBegin(), what, ...more }
    trace.write(JSON.stringify(line) + '\n')
  }
  const report = (promise: string, detail: string): void => {
    failures.push({ promise, detail, atMs: sinceBegin() })
    note('failure', { promise, detail })
  }

  const platform = await startSimPlatform({
    pools: { one: plan.targets, two: plan.targets, idle: plan.idleVms },
    halls: HALLS,
    capacity: { cpu: 8000, memMb: 32_000, gpu: 0 },
    awayMs: 1500,
  })
  const random = createRandom(plan.seed + 1_000_000)
  platform.table.faults.random = random
  const calm = createCalm()
  const unplanned = createCalm()
  const checks = createRunChecks(calm, report)
  let runs = 0
  platform.ledger.watch = (entry) => {
    const { what, task, run, target } = entry
    if (what === 'start') runs++
    note(what, { task, run, target })
    checks.onTargetEntry(entry)
  }
  const targets = await linkTargets(platform)
  const trapped = ({ body }: { body: object }): [number] => {
    report('order to a foreign entry', JSON.stringify(body))
    return [503]
  }
  const trap = await listen({ 'POST /run-start': trapped, 'POST /hold': trapped })
  let version = 3
  platform.putConfiguration(configurationOf(version, undefined))

  const nodes = await Promise.all(
    Array.from({ length: plan.nodes }, (_, each) =>
      startSoakNode({
        platform,
        name: `n${each + 1}`,
        hall: HALLS[each % HALLS.length]!,
        withCloud: plan.idleVms > 0,
        dir,
        onOwnEnd: (name, reason) => report('node ended by itself', `${name}: ${reason}`),
      }),
    ),
  )
  const ready = await Promise.all(nodes.map((node) => node.untilReady()))
  if (ready.includes(false)) report('not ready', 'a node did not become ready')

  const ctx: FaultContext = {
    platform,
    nodes,
    targets,
    pools: QUEUES.map(({ service }) => service),
    checks,
    calm,
    unplanned,
    trapAddress: `${HOST}:${portOf(trap)}`,
    changeConfiguration(fault) {
      version += 1 + (fault.which % 7)
      platform.putConfiguration(configurationOf(version, fault))
    },
  }
  const clients = createClients({
    random,
    nodes,
    queues: QUEUES,
    checks,
    calm,
    unplanned,
    jobsPerSecond: plan.jobsPerSecond,
    report,
    note,
  })
  const isServed = (): boolean => nodes.some((node) => node.isUp())
  const watch = createStillWatch({ checks, calm, targets, isServed, report })
  const looks = setInterval(watch.look, LOOK_MS)

  beganAt = performance.now()
  const played = plan.faults.map(async (fault) => {
    await sleep(fault.at)
    note('fault', fault)
    await playFault(ctx, fault)
    note('fault over', fault)
  })
  await clients.work(plan.lengthMs)
  await Promise.all(played)
  const left = await clients.settle(SETTLE_MS)
  for (const { id } of left) report('accepted job lost', `${id} has no end`)

  clearInterval(looks)
  calm.close()
  unplanned.close()
  await Promise.all(nodes.map((node) => node.close()))
  await platform.close()
  for (const { link } of targets) link.close()
  trap.close()
  trap.closeAllConnections()
  const accepted = [...checks.jobs.values()].filter((job) => job.acceptedAt !== undefined)
  const result: SoakResult = {
    seed: plan.seed,
    failures,
    faults: plan.faults.length,
    jobs: checks.jobs.size,
    accepted: accepted.length,
    runs,
    longestStillMs: watch.longestMs(),
    ownStalls: calm.ownStalls(),
  }
  note('result', result)
  await new Promise<void>((resolve) => trace.end(resolve))
  return result
}
