/**
 * Soak test of the entries: requests through six entry processes in three halls while VMs
 * crash, entries are killed or replaced and the platform fails. A request that isn't
 * answered is repeated under its id. Finally the runs that targets counted are compared
 * with the outcomes that callers received.
 */
import { mkdtemp, writeFile } from 'node:fs/promises'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { Agent } from 'undici'
import { acceptTable } from '../playground/cluster.js'
import { createSimFleet } from '../playground/fleet.js'
import { startPlatform } from '../playground/platform.js'
import { createRandom, exponential } from '../playground/random.js'
import { SEED_TABLE } from '../playground/seedTable.js'
import type { Ledger } from '../playground/target.js'
import type { Child } from './childProcess.js'
import { startChild } from './childProcess.js'
import { newHistogram } from './loadGenerator.js'

const HALLS = ['h1', 'h2', 'h3']
const ENTRIES_PER_HALL = 2
const WORKERS_PER_HALL = 6
const BASE_PORT = 7500
const SERVICES = ['timing', 'boards', 'esim']
const CALLER_TIMEOUT_MS = 10_000
const FAULT_INTERVAL_MS = 2500
const MAX_REPEATS = 3
const REPEAT_DELAY_MS = 300
const MEAN_SERVICE_MS = 5

interface EntryProcess {
  id: string
  hall: string
  url: string
  file: string
  child: Child | undefined
  /** Whether callers use it, as a load balancer decides by /readyz. */
  ready: boolean
}

interface Tally {
  sent: number
  answered: number
  notRun: number
  unknown: number
  repeats: number
  refusedRepeats: number
  foreign: number
}

type Outcome = 'answered' | 'not-run' | 'unknown'

/** Reads `--NAME VALUE` from the command line; the value is an integer of at least 1. */
function readOption(name: string, fallback: number): number {
  const at = process.argv.indexOf(`--${name}`)
  const value = at < 0 ? fallback : Number(process.argv[at + 1])
  if (!Number.isInteger(value) || value < 1)
    throw new Error(`--${name} must be an integer of at least 1`)
  return value
}

async function writeSettings(platformUrl: string): Promise<EntryProcess[]> {
  const dir = await mkdtemp(join(tmpdir(), 'rillshunt-soak-'))
  const nodes = HALLS.flatMap((hall, h) =>
    Array.from({ length: ENTRIES_PER_HALL }, (_, e) => {
      const port = BASE_PORT + h * 100 + e * 10
      return { id: `${hall}-e${e + 1}`, hall, port }
    }),
  )
  const peers = nodes.map(({ id, hall, port }) => `${id} = ${hall} 127.0.0.1:${port + 2}`)
  return Promise.all(
    nodes.map(async ({ id, hall, port }) => {
      const file = join(dir, `${id}.ini`)
      const lines = [
        `[node]\nid = ${id}\nhall = ${hall}`,
        `[listen]\nport = ${port}\nops_port = ${port + 1}\npeer_port = ${port + 2}`,
        `[platform]\nurl = ${platformUrl}\npoll = 500ms`,
        `[peers]\n${peers.join('\n')}`,
        // Entries are killed far more often than in production, and callers repeat within
        // seconds, so request ids are remembered for a shorter time in proportion.
        '[requests]\ndrain_notice = 500ms\nonce_memory = 15s',
        '[keeper]\nhosted = yes\nlease = 3s\ncycle = 500ms',
        '[log]\nlevel = warn\nrouting = off',
      ]
      await writeFile(file, `${lines.join('\n')}\n`)
      const url = `http://127.0.0.1:${port}`
      return { id, hall, url, file, child: undefined, ready: false }
    }),
  )
}

const opsUrl = (entry: EntryProcess) =>
  entry.url.replace(/\d+$/, (port) => String(Number(port) + 1))

async function startEntry(entry: EntryProcess): Promise<void> {
  const args = ['--config', entry.file]
  entry.child = await startChild('dist/src/bin/entry.js', args, undefined)
  for (;;) {
    const res = await fetch(`${opsUrl(entry)}/readyz`).catch(() => undefined)
    await res?.text()
    if (res?.status === 200) break
    await sleep(50)
  }
  entry.ready = true
}

const sleep = (ms: number) => new Promise((resolve) => setTimeout(resolve, ms))

export default async function soakBench(): Promise<object> {
  const seed = readOption('seed', 1)
  const requests = readOption('requests', 200_000)
  const rate = readOption('rate', 1200)
  const random = createRandom(seed)
  const ledger: Ledger = new Map()
  const fleet = createSimFleet({
    host: '127.0.0.1',
    random,
    ledger,
    behaviour: { meanMs: MEAN_SERVICE_MS },
  })
  for (const hall of HALLS) {
    for (let n = 0; n < WORKERS_PER_HALL; n++) {
      const id = `${hall}-w${n}`
      fleet.addVm({
        id,
        hall,
        rack: `${hall}-r${n >> 2}`,
        role: 'worker',
        cpus: 32,
        memoryGb: 128,
      })
    }
  }
  const platform = await startPlatform({ fleet, ledger })
  await acceptTable(platform.url, SEED_TABLE)
  const entries = await writeSettings(platform.url)
  for (const { id, hall } of entries) {
    fleet.addVm({ id, hall, rack: 'r0', role: 'entry', cpus: 2, memoryGb: 4 })
  }
  await Promise.all(entries.map(startEntry))
  await sleep(6000)

  const agent = new Agent({ connections: 300, pipelining: 1 })
  const latency = newHistogram()
  const tally: Tally = {
    sent: 0,
    answered: 0,
    notRun: 0,
    unknown: 0,
    repeats: 0,
    refusedRepeats: 0,
    foreign: 0,
  }
  const outcomesById = new Map<string, { repeatable: boolean; outcomes: Outcome[] }>()
  const faults: Record<string, number> = {}
  let isRunning = true

  async function sendRequest(
    entry: EntryProcess,
    service: string,
    id: string,
    repeatable: boolean,
  ) {
    const sentAt = performance.now()
    try {
      const res = await agent.request({
        origin: entry.url,
        path: `/${service}/work`,
        method: 'POST',
        headers: {
          'rillshunt-request-id': id,
          'rillshunt-repeatable': repeatable ? 'yes' : 'no',
          'rillshunt-deadline-ms': '5000',
        },
        body: 'x'.repeat(100),
        signal: AbortSignal.timeout(CALLER_TIMEOUT_MS),
      })
      const text = await res.body.text()
      const outcome = res.headers['rillshunt-outcome']
      if (outcome === 'answered') {
        latency.recordValue(Math.round((performance.now() - sentAt) * 1000))
        const answer = JSON.parse(text) as { id: string; received: number }
        if (answer.id !== id || answer.received !== 100) tally.foreign++
        return 'answered' as const
      }
      if (res.statusCode === 409) tally.refusedRepeats++
      return outcome === 'not-run' ? ('not-run' as const) : ('unknown' as const)
    } catch {
      return 'unknown' as const
    }
  }

  async function runRequest(number: number): Promise<void> {
    const readyEntries = entries.filter((entry) => entry.ready)
    const pick = <T>(list: readonly T[]): T => list[Math.floor(random() * list.length)]!
    const first = pick(readyEntries.length > 0 ? readyEntries : entries)
    const service = pick(SERVICES)
    const repeatable = random() < 0.5
    const hasTimedId = random() < 0.5
    const id = hasTimedId
      ? `${first.hall}.${Math.floor(Date.now() / 1000)}.${number}`
      : `p-${seed}-${number}`
    const outcomes: Outcome[] = []
    outcomesById.set(id, { repeatable, outcomes })
    tally.sent++
    let entry = first
    for (let attempt = 0; ; attempt++) {
      const outcome = await sendRequest(entry, service, id, repeatable)
      outcomes.push(outcome)
      if (outcome === 'answered' || attempt === MAX_REPEATS) break
      await sleep(REPEAT_DELAY_MS)
      tally.repeats++
      const ready = entries.filter((each) => each.ready)
      entry = pick(ready.length > 0 ? ready : entries)
    }
    const last = outcomes.at(-1)!
    if (last === 'answered') tally.answered++
    else if (outcomes.every((each) => each === 'not-run')) tally.notRun++
    else tally.unknown++
  }

  const FAULTS: Record<string, () => Promise<void>> = {
    async crashVm() {
      const hall = HALLS[Math.floor(random() * HALLS.length)]!
      await fleet.crash(`${hall}-w${Math.floor(random() * WORKERS_PER_HALL)}`, 3000)
    },
    async crashRack() {
      const hall = HALLS[Math.floor(random() * HALLS.length)]!
      await Promise.all([0, 1, 2, 3].map((n) => fleet.crash(`${hall}-w${n}`, 4000)))
    },
    async killEntry() {
      const entry = entries[Math.floor(random() * entries.length)]!
      if (!entry.ready) return
      entry.ready = false
      await entry.child?.kill()
      await startEntry(entry)
    },
    async replaceEntry() {
      const entry = entries[Math.floor(random() * entries.length)]!
      if (!entry.ready) return
      entry.ready = false
      await entry.child?.stop()
      await startEntry(entry)
    },
    async outage() {
      platform.faults.outage = true
      await sleep(4000)
      platform.faults.outage = false
    },
    async slowness() {
      platform.faults.slowMs = 800
      await sleep(3000)
      platform.faults.slowMs = 0
    },
    async lostReplies() {
      platform.faults.loseReplies = 5
    },
    async staleList() {
      platform.faults.listLagMs = 5000
      await sleep(5000)
      platform.faults.listLagMs = 0
    },
  }

  async function injectFaults(): Promise<void> {
    const names = Object.keys(FAULTS)
    const active: Promise<void>[] = []
    while (isRunning) {
      const name = names[Math.floor(random() * names.length)]!
      faults[name] = (faults[name] ?? 0) + 1
      active.push(FAULTS[name]!())
      await sleep(FAULT_INTERVAL_MS)
    }
    await Promise.all(active)
  }

  const injecting = injectFaults()
  const pending = new Set<Promise<void>>()
  const startedAt = performance.now()
  let dueMs = 0
  for (let number = 0; number < requests; number++) {
    dueMs += exponential(random, 1000 / rate)
    const wait = startedAt + dueMs - performance.now()
    if (wait > 0) await sleep(wait)
    const request: Promise<void> = runRequest(number).finally(() =>
      pending.delete(request),
    )
    pending.add(request)
    if (number % 20_000 === 0)
      console.log(`sent ${number} of ${requests} requests`, JSON.stringify(tally))
  }
  await Promise.all(pending)
  isRunning = false
  await injecting

  const violations = { doubledUnrepeatable: 0, falseNotRun: 0, answeredButNotRun: 0 }
  for (const [id, { repeatable, outcomes }] of outcomesById) {
    const runs = ledger.get(id) ?? 0
    if (!repeatable && runs > 1) violations.doubledUnrepeatable++
    if (runs > 0 && outcomes.every((each) => each === 'not-run')) violations.falseNotRun++
    if (runs === 0 && outcomes.includes('answered')) violations.answeredButNotRun++
  }
  const percentileMs = (percentile: number) =>
    latency.getValueAtPercentile(percentile) / 1000
  const seconds = Math.round((performance.now() - startedAt) / 1000)
  const result = {
    seed,
    seconds,
    ...tally,
    ...violations,
    p50Ms: percentileMs(50),
    p99Ms: percentileMs(99),
    faults,
  }
  console.log(JSON.stringify(result, null, 2))
  await Promise.all(entries.map((entry) => entry.child?.kill()))
  await fleet.stop()
  await platform.close()
  await agent.destroy()
  return result
}
