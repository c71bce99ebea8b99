/**
 * Compares the entry with two minimal HTTP proxies that make no routing decision:
 * throughput, p50, p99 and added p99 at 30 % load, resident memory.
 */
import { mkdtemp, writeFile } from 'node:fs/promises'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { acceptTable } from '../playground/cluster.js'
import { createSimFleet } from '../playground/fleet.js'
import { startPlatform } from '../playground/platform.js'
import { createRandom } from '../playground/random.js'
import { jobKey, vmKey } from '../src/fleet/index.js'
import { commit, createHttpPlatform } from '../src/platform/index.js'
import type { Child } from './childProcess.js'
import { startChild } from './childProcess.js'
import { closedLoop, median, openLoop } from './loadGenerator.js'
import type { RequestSpec } from './loadGenerator.js'

const CONNECTIONS = 48
const ROUNDS = 5
const ROUND_MS = 3000
const WARM_UP_MS = 1500
const LATENCY_MS = 3000
const LOAD_SHARE = 0.3
const SEED = 11
const HALL = 'h'
const READY_PATTERN = /ready (\S+)/
const POST_BODY = Buffer.alloc(300, 'y')

interface Relay {
  name: string
  child: Child
  origin: string
  path: string
}

type Method = RequestSpec['method']

/** Starts the entry binary and waits until it has found the target. */
async function startEntry(
  platformUrl: string,
  routing: 'on' | 'off',
  port: number,
): Promise<Child> {
  const dir = await mkdtemp(join(tmpdir(), 'rillshunt-bench-'))
  const file = join(dir, 'e.ini')
  await writeFile(
    file,
    `[node]\nid = e${port}\nhall = ${HALL}\n[listen]\nport = ${port}\nops_port = 0\npeer_port = 0\n` +
      `[platform]\nurl = ${platformUrl}\n[log]\nrouting = ${routing}\n[requests]\ndrain_notice = 0ms\n`,
  )
  return startChild('dist/src/bin/entry.js', ['--config', file], /targetAdded/)
}

async function registerTarget(platformUrl: string, address: string): Promise<void> {
  await acceptTable(platformUrl, {
    'pool/p': { weight: '1', limit: '1' },
    'service/s': { weight: '1', limit: '1000', pool: 'p', slots: '1000' },
  })
  const platform = createHttpPlatform({
    url: platformUrl,
    timeoutMs: 2000,
    node: 'bench',
  })
  const vm = {
    id: 'v1',
    hall: HALL,
    rack: 'r',
    pool: 'p',
    generation: 1,
    incarnation: 'v1.1',
  }
  const job = { id: 'j1', service: 's', hall: HALL, vm: 'v1', incarnation: 'v1.1' }
  const writes = [
    {
      key: vmKey(HALL, 'v1'),
      version: 0,
      value: { ...vm, state: 'active', cpus: 32, memoryGb: 128 },
    },
    {
      key: jobKey(HALL, 'j1'),
      version: 0,
      value: { ...job, state: 'running', address, slots: 1000 },
    },
  ]
  await commit(platform, { opId: 'bench', writes, guards: [] })
  await platform.close()
}

const toRequestSpec = (
  relay: Pick<Relay, 'origin' | 'path'>,
  method: Method,
): RequestSpec => ({
  origin: relay.origin,
  path: relay.path,
  method,
  body: method === 'POST' ? POST_BODY : null,
})

/** Alternates between the relays, so that changes of machine speed affect all of them. */
async function measureThroughput(relays: Relay[], method: Method) {
  const rounds = new Map<string, { rate: number; cpuUs: number }[]>()
  for (const relay of relays)
    await closedLoop(toRequestSpec(relay, method), CONNECTIONS, WARM_UP_MS)
  for (let round = 0; round < ROUNDS; round++) {
    for (const relay of relays) {
      const before = relay.child.cpuMs()
      const rate = await closedLoop(toRequestSpec(relay, method), CONNECTIONS, ROUND_MS)
      const cpuUs = ((relay.child.cpuMs() - before) * 1e6) / (rate * ROUND_MS)
      rounds.set(relay.name, [...(rounds.get(relay.name) ?? []), { rate, cpuUs }])
    }
  }
  const baseline = rounds.get('node')!
  return relays.map(({ name }) => {
    const samples = rounds.get(name)!
    return {
      name,
      method,
      rate: Math.round(median(samples.map(({ rate }) => rate))),
      cpuUs: Math.round(median(samples.map(({ cpuUs }) => cpuUs))),
      ratio: round2(median(samples.map(({ rate }, i) => rate / baseline[i]!.rate))),
      cpuRatio: round2(median(samples.map(({ cpuUs }, i) => baseline[i]!.cpuUs / cpuUs))),
    }
  })
}

const round2 = (value: number): number => Math.round(value * 100) / 100

async function measureLatency(relays: Relay[], method: Method, rate: number) {
  const rounds = new Map<string, { p50: number; p99: number }[]>()
  for (let round = 0; round < ROUNDS; round++) {
    for (const relay of relays) {
      const seed = SEED + round
      const histogram = await openLoop(
        toRequestSpec(relay, method),
        CONNECTIONS,
        rate,
        LATENCY_MS,
        seed,
      )
      const percentileMs = (percentile: number) =>
        histogram.getValueAtPercentile(percentile) / 1000
      const sample = { p50: percentileMs(50), p99: percentileMs(99) }
      rounds.set(relay.name, [...(rounds.get(relay.name) ?? []), sample])
    }
  }
  const baseline = rounds.get('node')!
  return relays.map(({ name }) => {
    const samples = rounds.get(name)!
    return {
      name,
      method,
      rate: Math.round(rate),
      p50Ms: round2(median(samples.map(({ p50 }) => p50))),
      p99Ms: round2(median(samples.map(({ p99 }) => p99))),
      addedP99Ms: round2(median(samples.map(({ p99 }, i) => p99 - baseline[i]!.p99))),
    }
  })
}

export default async function relayBench(): Promise<object> {
  const fleet = createSimFleet({
    host: '127.0.0.1',
    random: createRandom(SEED),
    ledger: new Map(),
  })
  const platform = await startPlatform({ fleet })
  const target = await startChild('dist/bench/relayTarget.js', [], READY_PATTERN)
  await registerTarget(platform.url, target.readyMatch)
  const startBaseline = (kind: string) =>
    startChild('dist/bench/relayBaseline.js', [kind, target.readyMatch], READY_PATTERN)
  const node = await startBaseline('node')
  const hono = await startBaseline('hono')
  const entry = await startEntry(platform.url, 'off', 7391)
  const loggingEntry = await startEntry(platform.url, 'on', 7392)
  const relays: Relay[] = [
    { name: 'node', child: node, origin: `http://${node.readyMatch}`, path: '/x' },
    { name: 'hono', child: hono, origin: `http://${hono.readyMatch}`, path: '/x' },
    { name: 'entry', child: entry, origin: 'http://127.0.0.1:7391', path: '/s/x' },
    {
      name: 'entry, a line each',
      child: loggingEntry,
      origin: 'http://127.0.0.1:7392',
      path: '/s/x',
    },
  ]
  const idleMb = Object.fromEntries(
    relays.map(({ name, child }) => [name, Math.round(child.residentMb())]),
  )
  const throughput = [
    ...(await measureThroughput(relays, 'GET')),
    ...(await measureThroughput(relays, 'POST')),
  ]
  console.log(
    `closed loop: ${CONNECTIONS} connections, 300-byte replies, medians of ${ROUNDS} rounds`,
  )
  console.table(throughput)
  const baseRate = throughput.find(
    (row) => row.name === 'node' && row.method === 'GET',
  )!.rate
  const direct = {
    name: 'target',
    child: target,
    origin: `http://${target.readyMatch}`,
    path: '/x',
  }
  const latency = await measureLatency([direct, ...relays], 'GET', baseRate * LOAD_SHARE)
  console.log(
    `open loop: ${LOAD_SHARE} times the throughput of the node relay, seed ${SEED}`,
  )
  console.table(latency)
  const memory = relays.map(({ name, child }) => ({
    name,
    idleMb: idleMb[name],
    afterLoadMb: Math.round(child.residentMb()),
  }))
  console.table(memory)
  for (const { child } of relays) await child.stop()
  await target.stop()
  await platform.close()
  return { seed: SEED, connections: CONNECTIONS, throughput, latency, memory }
}
