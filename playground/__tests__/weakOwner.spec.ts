/**
 * Guards against owners that start no task before they have read the intake of all queues. After
 * a loss of power, two nodes with 0.12 of a core and links of 1.4 Mbit/s own all services, and
 * hundreds of jobs of eight queues are open. Each node read the intake of all queues once for
 * each service that it owned, and most of these jobs belonged to other services. Therefore
 * `ownerStarted` came 6.4 to 11 s after `ownershipTaken`, and accepted jobs waited although
 * targets had room, some of them until the end of the run.
 */
import { describe, it } from '../../test/describe.js'
import { waitUntil } from '../../test/nodeProbe.js'
import { encodeJob, endedKey, intakeKey, jobSchema } from '../../src/jobs/index.js'
import type { JobSpec } from '../../src/jobs/index.js'
import { sleep } from '../../src/shared/index.js'
import { throttleCpu } from '../sim/cpuThrottle.js'
import { startNodeProcess } from '../sim/nodeProcess.js'
import { QUEUE_HOST } from '../sim/oneQueue.js'
import { openRateLimitedLink } from '../sim/rateLimitedLink.js'
import { startSimPlatform } from '../sim/wireServer.js'
import type { SimPlatform } from '../sim/wireServer.js'

const LINK_MBPS = 1.4
const CPU_SHARE = 0.12
const SERVICES = ['a', 'b', 'c', 'd']
const JOBS_PER_QUEUE = 60
/**
 * Longest time from the first configuration to the first start of a task of each service, in ms.
 * Users require that a site serves again within 12 s of the return of its machines.
 */
const MAX_FIRST_START_MS = 12_000

const queuesOf = (service: string): string[] => [`${service}-1`, `${service}-2`]

const configuration = {
  version: 1,
  routes: SERVICES.flatMap((service) =>
    queuesOf(service).map((name) => ({
      name,
      host: QUEUE_HOST,
      path_prefix: `/${name}/`,
      kind: 'unsafe',
      timeout_ms: 3000,
      target_latency_ms: 600,
      priority: 0,
      service,
      max_attempts: 3,
      stretch: 1.6,
    })),
  ),
  services: [
    ...SERVICES.map((name) => ({ name, admission_check: true, spare: false })),
    { name: 'idle', admission_check: true, spare: true },
  ],
  limits: { max_body_bytes: 20_000 },
}

let nextId = 0

/** A job whose spec has a usual size. */
function jobOf(queue: string, service: string): JobSpec {
  nextId++
  return jobSchema.parse({
    id: nextId.toString(16).padStart(16, '0'),
    queue,
    service,
    spec: JSON.stringify({ ms: 20, cpu: 100, note: 'x'.repeat(700) }),
    steps: [{ count: 1, cpu: 100, estimateMs: 20 }],
    acceptedAtMs: Date.now(),
  })
}

async function startPlatform(): Promise<SimPlatform> {
  const platform = await startSimPlatform({
    pools: { a: 3, b: 3, c: 3, d: 3, idle: 1 },
    halls: ['h1'],
    capacity: { cpu: 8000, memMb: 32_000, gpu: 0 },
    offlineMs: 300,
  })
  return platform
}

/** Writes open jobs of all queues to the store; returns them by service. */
function fillQueues({ table }: SimPlatform): Map<string, JobSpec[]> {
  const jobs = new Map<string, JobSpec[]>()
  for (const service of SERVICES) {
    const queues = queuesOf(service)
    const some = Array.from({ length: queues.length * JOBS_PER_QUEUE }, (_, each) =>
      jobOf(queues[each % queues.length]!, service),
    )
    for (const job of some) table.put(intakeKey(job.queue, job.id), encodeJob(job))
    jobs.set(service, some)
  }
  return jobs
}

/** Starts a node behind a slow link and throttles it once it runs; it owns no service yet. */
async function startWeakNode(platform: SimPlatform, name: string) {
  const link = await openRateLimitedLink(platform.storeAddress, LINK_MBPS)
  const limitedPlatform = { ...platform, storeAddress: link.address }
  const node = await startNodeProcess(limitedPlatform, name, 'h1')
  const isUp = await waitUntil(() => node.output().includes('"nodesSeen"'))
  // Throttled only now, as loading the program would take most of the measured time.
  const throttle = throttleCpu(node.child, CPU_SHARE)
  return {
    isUp,
    output: node.output,
    async stop() {
      throttle.close()
      await node.kill()
      link.close()
    },
  }
}

describe('owners with little processor and thin links', () => {
  it('start some work of each service soon, and all of it once', async (t) => {
    const platform = await startPlatform()
    t.teardown(platform.close)
    const jobs = fillQueues(platform)
    const nodes = await Promise.all(
      ['n1', 'n2'].map((name) => startWeakNode(platform, name)),
    )
    for (const node of nodes) t.teardown(node.stop)
    t.true(nodes.every(({ isUp }) => isUp))
    const startedAt = performance.now()
    platform.putConfiguration(configuration)
    const { entries } = platform.ledger
    const hasStarted = (service: string): boolean =>
      entries.some(({ task }) => jobs.get(service)!.some(({ id }) => task.startsWith(id)))
    const firstStartMs = new Map<string, number>()
    while (
      firstStartMs.size < SERVICES.length &&
      performance.now() - startedAt < 30_000
    ) {
      for (const service of SERVICES.filter(hasStarted)) {
        if (!firstStartMs.has(service))
          firstStartMs.set(service, performance.now() - startedAt)
      }
      await sleep(50)
    }
    t.log(Object.fromEntries(firstStartMs))
    for (const service of SERVICES)
      t.true((firstStartMs.get(service) ?? Infinity) < MAX_FIRST_START_MS)
    const all = [...jobs.values()].flat()
    const hasEnded = (job: JobSpec): boolean =>
      platform.table.get(endedKey(job.queue, job.id)) !== undefined
    t.true(await waitUntil(() => all.every(hasEnded)))
    t.is(entries.filter(({ what }) => what === 'start').length, all.length)
    for (const node of nodes)
      t.log(node.output().match(/"name":"(ownership\w+|ownerStarted|takeover\w+)"/g))
  })
})
