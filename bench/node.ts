/**
 * CPU time and traffic of a node: of an idle one, which owns nothing among many other
 * nodes, and of an owner under load, per task. The node is a separate process of the
 * deployed program; the store, the VMs and the targets are simulated in this process.
 */
import { readFileSync } from 'node:fs'
import { request } from 'undici'
import { startNodeProcess } from '../playground/sim/nodeProcess.js'
import type { NodeProcess } from '../playground/sim/nodeProcess.js'
import { ONE_QUEUE, QUEUE_HOST, QUEUE_PATH } from '../playground/sim/oneQueue.js'
import { startSimPlatform } from '../playground/sim/wireServer.js'
import type { SimPlatform } from '../playground/sim/wireServer.js'
import {
  IDLE_LEASE_INTERVALS,
  IDLE_RENEW_MS,
  IDLE_RENEWALS_PER_S,
  NODES_TABLE,
} from '../src/ownership/index.js'
import { sleep } from '../src/shared/index.js'

const CLOCK_TICKS_PER_S = 100
/** Numbers of other nodes in the registry while an idle node is measured. */
const MEMBER_COUNTS = [30, 100, 300]
/** Batches in which the other nodes renew their rows, per renewal interval. */
const RENEWAL_STEPS = 20
/** Length of a measurement. */
const MEASURE_MS = 10_000
/** Warm-up, after which starts are over and V8 has compiled the code in use. */
const WARM_UP_MS = 5000
/** Load of an owner: single-step jobs per second, and requests for the state of each. */
const JOBS_PER_S = 15
const TASKS_PER_JOB = 8
const STATE_READS_PER_JOB = 3
const TARGETS = 40

/** CPU time that a process has used, in ms. */
function cpuMs({ child }: NodeProcess): number {
  const fields = readFileSync(`/proc/${child.pid}/stat`, 'utf8')
    .split(') ')[1]!
    .split(' ')
  return ((Number(fields[11]) + Number(fields[12])) * 1000) / CLOCK_TICKS_PER_S
}

async function waitUntilReady(node: NodeProcess): Promise<void> {
  for (;;) {
    const res = await request(`http://${node.readiness}/readiness`).catch(() => undefined)
    await res?.body.dump()
    if (res?.statusCode === 200) return
    await sleep(50)
  }
}

/** Bytes of all calls of a node so far, from its metrics. */
async function readCallBytes(metrics: string): Promise<number> {
  const res = await request(metrics)
  const text = await res.body.text()
  return text
    .split('\n')
    .filter((line) => line.startsWith('rillshunt_call_bytes_total{'))
    .reduce((sum, line) => sum + Number(line.split(' ').at(-1)), 0)
}

/** Renews the rows of `count` members that own nothing, until the timer is cleared. */
function renewMembers({ table }: SimPlatform, count: number): NodeJS.Timeout {
  let next = 0
  const perStep = Math.ceil(count / RENEWAL_STEPS)
  const paceMs = Math.max(IDLE_RENEW_MS, (count / IDLE_RENEWALS_PER_S) * 1000)
  return setInterval(() => {
    for (let each = 0; each < perStep; each++) {
      const id = `member-${next++ % count}`
      const row = {
        life: 'abcdefghij',
        address: '10.0.0.1:7060',
        hall: 'h1',
        room: 0.3,
        leaseMs: paceMs * IDLE_LEASE_INTERVALS,
        owns: [],
        leaving: true,
      }
      table.put({ table: NODES_TABLE, part: id, key: id }, JSON.stringify(row))
    }
  }, paceMs / RENEWAL_STEPS)
}

const startPlatform = (): Promise<SimPlatform> =>
  startSimPlatform({
    pools: { one: TARGETS, idle: 2 },
    halls: ['h1', 'h2'],
    capacity: { cpu: 32_000, memMb: 128_000, gpu: 0 },
    offlineMs: 300,
  })

interface Usage {
  /** CPU time, in ms per second. */
  cpuMsPerS: number
  /** Bodies of calls, in bytes per second. */
  bytesPerS: number
}

async function measure(node: NodeProcess): Promise<Usage> {
  const seconds = MEASURE_MS / 1000
  const cpuBefore = cpuMs(node)
  const bytesBefore = await readCallBytes(node.metrics)
  await sleep(MEASURE_MS)
  const bytes = (await readCallBytes(node.metrics)) - bytesBefore
  return { cpuMsPerS: (cpuMs(node) - cpuBefore) / seconds, bytesPerS: bytes / seconds }
}

/** Measures a node that owns nothing, since another node owns every service. */
async function measureIdleNode(members: number): Promise<Usage> {
  const platform = await startPlatform()
  platform.putConfiguration(ONE_QUEUE)
  const timer = renewMembers(platform, members)
  const owner = await startNodeProcess(platform, 'a-owner', 'h1')
  await waitUntilReady(owner)
  await sleep(WARM_UP_MS / 2)
  const idle = await startNodeProcess(platform, 'b-idle', 'h2')
  await waitUntilReady(idle)
  await sleep(WARM_UP_MS)
  const measured = await measure(idle)
  await idle.kill()
  await owner.kill()
  clearInterval(timer)
  await platform.close()
  return measured
}

/** Submits jobs at a constant rate and requests the state of each several times. */
async function sendJobs(node: NodeProcess, ms: number): Promise<void> {
  const headers = { host: QUEUE_HOST, 'content-type': 'application/json' }
  const spec = JSON.stringify({ ms: 300, cpu: 1000 })
  const steps = [{ count: TASKS_PER_JOB, cpu: 1000, estimated_ms: 300 }]
  const body = JSON.stringify({ spec, steps })
  const endsAt = performance.now() + ms
  const calls: Promise<unknown>[] = []
  for (let number = 0; performance.now() < endsAt; number++) {
    const id = Math.floor(Math.random() * 2 ** 48)
      .toString(16)
      .padStart(16, '0')
    const url = `http://${node.callers}${QUEUE_PATH}${id}`
    const send = (method: 'GET' | 'POST') =>
      request(url, { method, headers, body: method === 'POST' ? body : null }).then(
        (res) => res.body.dump(),
      )
    calls.push(
      send('POST').then(async () => {
        for (let each = 0; each < STATE_READS_PER_JOB; each++) {
          await sleep(200)
          await send('GET')
        }
      }),
    )
    await sleep(1000 / JOBS_PER_S)
  }
  await Promise.all(calls)
}

/**
 * Measures an owner under load. Callers send to another node, so that each request for a
 * state is a call to the owner.
 */
async function measureOwner(profileDir: string | undefined): Promise<object> {
  const platform = await startPlatform()
  platform.putConfiguration(ONE_QUEUE)
  const profile = profileDir ? ['--cpu-prof', `--cpu-prof-dir=${profileDir}`] : []
  const owner = await startNodeProcess(platform, 'a-owner', 'h1', {
    program: [...profile, 'dist/src/bin/node.js'],
  })
  await waitUntilReady(owner)
  await sleep(WARM_UP_MS / 2)
  const front = await startNodeProcess(platform, 'b-front', 'h2')
  await waitUntilReady(front)
  await sendJobs(front, WARM_UP_MS)
  const idleCpuBefore = cpuMs(owner)
  await sleep(3000)
  const idleCpuMsPerS = (cpuMs(owner) - idleCpuBefore) / 3
  const doneBefore = platform.ledger.entries.filter(({ what }) => what === 'done').length
  const [measured] = await Promise.all([measure(owner), sendJobs(front, MEASURE_MS)])
  const done =
    platform.ledger.entries.filter(({ what }) => what === 'done').length - doneBefore
  const tasksPerS = done / (MEASURE_MS / 1000)
  await owner.kill('SIGTERM')
  await front.kill()
  await platform.close()
  const cpuMsPerTask = (measured.cpuMsPerS - idleCpuMsPerS) / tasksPerS
  return { ...measured, quietCpuMsPerS: idleCpuMsPerS, tasksPerS, cpuMsPerTask }
}

/** Prints and returns the usage of an idle node and of an owner. */
export default async function nodeBench(): Promise<object> {
  const idle: Record<number, Usage> = {}
  if (process.env['ONLY'] !== 'owner')
    for (const members of MEMBER_COUNTS) {
      idle[members] = await measureIdleNode(members)
      console.log(`idle node among ${members} members`, idle[members])
    }
  const owner = await measureOwner(process.env['CPU_PROFILE_DIR'])
  console.log('owner', owner)
  return { idle, owner }
}
