/** Entries and simulated targets without a keeper or platform, for the requests bench. */
import { createServer } from 'node:net'
import type { AddressInfo } from 'node:net'
import type { Histogram } from 'hdr-histogram-js'
import { Agent } from 'undici'
import { resolveConfig } from '../src/config/index.js'
import { createFront, createRouter, createTarget } from '../src/entry/index.js'
import type { Front, PolicyName, Router, Target, TargetView } from '../src/entry/index.js'
import { createServerLimits } from '../src/limits/index.js'
import { createMemoryLogger, createMetrics } from '../src/shared/index.js'
import type { Metrics } from '../src/shared/index.js'
import { checkTable, createTableHolder, hashTable } from '../src/table/index.js'
import type { RawTable } from '../src/table/index.js'
import { createRandom, exponential } from '../playground/random.js'
import { startTarget } from '../playground/target.js'
import type { Ledger, TargetBehaviour, TargetServer } from '../playground/target.js'
import { newHistogram } from './loadGenerator.js'

const HOST = '127.0.0.1'

/** Sizes and behaviour of an entry cluster. */
export interface EntryClusterOptions {
  entries: number
  instances: number
  slots: number
  meanMs: number
  policy: PolicyName
  seed: number
  /** Overrides the behaviour of the first target. */
  first?: Partial<TargetBehaviour>
  retryShare?: number
}

/** Running entries and targets. */
export interface EntryCluster {
  urls: string[]
  targets: TargetServer[]
  ledger: Ledger
  metrics: Metrics[]
  /** Number of requests that each target ran. */
  runsPerTarget(): number[]
  /** Kills all targets. */
  killAll(): Promise<void>
  /** Starts all targets again, at the same addresses. */
  startAll(): Promise<void>
  stop(): Promise<void>
}

async function freePort(): Promise<number> {
  const server = createServer()
  await new Promise<void>((resolve) => server.listen(0, HOST, resolve))
  const { port } = server.address() as AddressInfo
  await new Promise((resolve) => server.close(resolve))
  return port
}

/** Starts targets, and entries that route to all of them. */
export async function startEntryCluster(
  opts: EntryClusterOptions,
): Promise<EntryCluster> {
  const random = createRandom(opts.seed)
  const ledgers = Array.from({ length: opts.instances }, (): Ledger => new Map())
  const ports = await Promise.all(ledgers.map(freePort))
  const identity = (i: number) => ({ vm: `v${i}`, incarnation: `v${i}.1`, job: `j${i}` })
  const start = (i: number) =>
    startTarget({
      ...identity(i),
      service: 's',
      slots: opts.slots,
      host: HOST,
      port: ports[i]!,
      random,
      ledger: ledgers[i]!,
      behaviour: { meanMs: opts.meanMs, ...(i === 0 ? opts.first : {}) },
    })
  let servers = await Promise.all(ledgers.map((_, i) => start(i)))

  const limit = opts.instances * opts.slots
  const raw: RawTable = {
    'pool/p': { weight: '1', limit: '1' },
    'service/s': { weight: '1', limit: String(limit), pool: 'p' },
  }
  checkTable(raw)._unsafeUnwrap()
  const log = createMemoryLogger(10)
  const silentLog = {
    ...log,
    enabled: () => false,
    event: () => {},
    child: () => silentLog,
  }
  const entries: { router: Router; front: Front; targets: Target[]; metrics: Metrics }[] =
    []
  for (let e = 0; e < opts.entries; e++) {
    const table = createTableHolder(silentLog)
    const accepted = {
      epoch: 1,
      acceptId: 'a',
      hash: hashTable(1, raw),
      editor: 'bench',
      at: '',
      raw,
      changes: [],
    }
    table.offer(accepted, 'platform')
    const targets = servers.map((server, i) =>
      createTarget({
        identity: { ...identity(i), address: server.address },
        service: 's',
        slots: opts.slots,
        connectTimeoutMs: 1000,
        healthIntervalMs: 500,
        log: silentLog,
      }),
    )
    const view = {
      targets: () => targets,
      subscribe: () => () => {},
    } as unknown as TargetView
    const cfg = resolveConfig({
      node: { id: `e${e}`, hall: 'h' },
      platform: { url: 'http://127.0.0.1:1' },
      requests: { queue: '2000', retry_share: String(opts.retryShare ?? 0.1) },
    })._unsafeUnwrap()
    const metrics = createMetrics()
    const vm = { memory_mb: 4096, file_descriptors: 20_000 }
    const serverLimits = createServerLimits({ vm, log: silentLog })
    const slotShare =
      Math.floor(limit / opts.entries) + (e < limit % opts.entries ? 1 : 0)
    const router = createRouter({
      cfg,
      table,
      view,
      once: { begin: async () => ({ kind: 'first' }), end: async () => {} },
      usable: () => slotShare,
      log: silentLog,
      metrics,
      policy: opts.policy,
    })
    entries.push({
      router,
      targets,
      metrics,
      front: await createFront({ router, host: HOST, port: 0, serverLimits }),
    })
  }

  return {
    urls: entries.map(({ front }) => `http://${HOST}:${front.address.port}`),
    targets: servers,
    ledger: new Map(),
    metrics: entries.map(({ metrics }) => metrics),
    runsPerTarget: () =>
      ledgers.map((ledger) => [...ledger.values()].reduce((a, b) => a + b, 0)),
    async killAll() {
      await Promise.all(servers.map((server) => server.kill()))
    },
    async startAll() {
      servers = await Promise.all(ledgers.map((_, i) => start(i)))
    },
    async stop() {
      for (const { targets, front } of entries) {
        await Promise.all(targets.map((target) => target.close()))
        await Promise.race([
          front.close(),
          new Promise((resolve) => setTimeout(resolve, 500)),
        ])
      }
      await Promise.all(servers.map((server) => server.kill()))
    },
  }
}

/** Requests of one kind, sent in an open loop. */
export interface Stream {
  name: string
  /** Requests a second. */
  rate: number
  headers: Record<string, string>
}

/** Outcomes of the requests of a stream. */
export interface StreamReport {
  name: string
  sent: number
  answered: number
  failed: number
  notRun: number
  unknown: number
  latency: Histogram
  /** By half second of arrival. `refused` counts all other requests, failed ones too. */
  halfSeconds: { answered: number; refused: number; latency: Histogram }[]
}

const CALLER_TIMEOUT_MS = 20_000
const SLICE_MS = 500

/** Sends all streams at once, each as a Poisson process of its own, for `ms`. */
export async function runStreams(
  urls: string[],
  streams: Stream[],
  ms: number,
  seed: number,
): Promise<StreamReport[]> {
  const agent = new Agent({ connections: 2000, pipelining: 1 })
  const reports = await Promise.all(
    streams.map((stream, i) => runStream(agent, urls, stream, ms, seed + i)),
  )
  await agent.destroy()
  return reports
}

async function runStream(
  agent: Agent,
  urls: string[],
  stream: Stream,
  ms: number,
  seed: number,
): Promise<StreamReport> {
  const random = createRandom(seed)
  const report: StreamReport = {
    name: stream.name,
    sent: 0,
    answered: 0,
    failed: 0,
    notRun: 0,
    unknown: 0,
    latency: newHistogram(),
    halfSeconds: [],
  }
  const pending: Promise<void>[] = []
  const startedAt = performance.now()
  for (
    let dueMs = exponential(random, 1000 / stream.rate);
    dueMs < ms;
    dueMs += exponential(random, 1000 / stream.rate)
  ) {
    const waitMs = startedAt + dueMs - performance.now()
    if (waitMs > 0) await new Promise((resolve) => setTimeout(resolve, waitMs))
    const slice = Math.floor(dueMs / SLICE_MS)
    while (report.halfSeconds.length <= slice) {
      report.halfSeconds.push({ answered: 0, refused: 0, latency: newHistogram() })
    }
    const origin = urls[Math.floor(random() * urls.length)]!
    pending.push(sendRequest(agent, origin, stream, report, report.halfSeconds[slice]!))
  }
  await Promise.all(pending)
  return report
}

async function sendRequest(
  agent: Agent,
  origin: string,
  stream: Stream,
  report: StreamReport,
  slice: StreamReport['halfSeconds'][number],
): Promise<void> {
  report.sent++
  const sentAt = performance.now()
  try {
    const signal = AbortSignal.timeout(CALLER_TIMEOUT_MS)
    const { headers } = stream
    const res = await agent.request({
      origin,
      path: '/s/x',
      method: 'GET',
      headers,
      signal,
    })
    await res.body.dump()
    const us = Math.round((performance.now() - sentAt) * 1000)
    const outcome = res.headers['rillshunt-outcome']
    if (outcome === 'answered' && res.statusCode < 500) {
      report.answered++
      report.latency.recordValue(us)
      slice.answered++
      slice.latency.recordValue(us)
      return
    }
    if (outcome === 'answered') report.failed++
    else if (outcome === 'not-run') report.notRun++
    else report.unknown++
  } catch {
    report.unknown++
  }
  slice.refused++
}
