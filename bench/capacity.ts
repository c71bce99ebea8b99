/**
 * Capacity bench: cost of the control plane to a process, by number of VMs, targets and
 * peers. Each cost is measured at several sizes and fitted by a line; docs/CAPACITY.md
 * shows the fits.
 */
import { startCluster } from '../playground/cluster.js'
import {
  countJobsByVm,
  maintainedVms,
  planJobs,
  planPools,
  planWaves,
  poolsInWave,
} from '../src/keeper/index.js'
import { readFleetState, waveInput } from '../src/keeper/index.js'
import { createMemoryLogger } from '../src/shared/index.js'
import { startChild } from './childProcess.js'
import { median } from './loadGenerator.js'
import { fitExponent, fitLine } from './fit.js'
import type { Point } from './fit.js'
import { GENERATED_HALL, generateHall } from './fleetData.js'
import { startHallPlatform } from './hallPlatform.js'

const SEED = 5
const VM_COUNTS = [100, 200, 400, 800, 1300, 2600, 5200]
const ROUNDS = 9
/** VMs of the hall whose table size is recorded: the size to design for. */
const DESIGN_VMS = 1300
const TARGET_COUNTS = [0, 20, 40, 80, 160]
const ENTRY_COUNTS = [2, 4, 8, 12]
const MEASURE_MS = 10_000
/** Warm-up before an idle process is measured. */
const WARM_UP_MS = 10_000

const sleep = (ms: number) => new Promise((resolve) => setTimeout(resolve, ms))
const collectGarbage = (globalThis as { gc?: () => void }).gc

/**
 * Measures keeper rounds over an unchanged hall: median time and time of the first round,
 * in ms, and the heap that the rows take, in KB.
 */
function measurePlanning() {
  const times: Point[] = []
  const cold: Point[] = []
  const heap: Point[] = []
  for (const size of VM_COUNTS) {
    collectGarbage?.()
    const before = process.memoryUsage().heapUsed
    const hall = generateHall(size, SEED)
    collectGarbage?.()
    heap.push({ size, value: (process.memoryUsage().heapUsed - before) / 1024 })
    const log = createMemoryLogger()
    const round = () => {
      const startedAt = performance.now()
      const state = readFleetState({
        hall: GENERATED_HALL,
        table: hall.table,
        rows: hall.rows,
        listed: hall.listed,
        tasks: [],
        log,
      })
      const input = waveInput(state)
      const counts = countJobsByVm(input.jobs)
      planPools(state.table, input.vms, (vm) => counts.get(vm) ?? 0, poolsInWave(input))
      planWaves(input)
      const extra = { maintained: maintainedVms(input), inWave: poolsInWave(input) }
      planJobs({ ...input, ...extra })
      return performance.now() - startedAt
    }
    cold.push({ size, value: round() })
    times.push({ size, value: median(Array.from({ length: ROUNDS }, round)) })
  }
  return { times, cold, heap }
}

interface Sample {
  cpuPercent: number
  residentMb: number
  platformCalls: number
  platformBytes: number
}

/** Measures the entry binary, idle, with and then without a hosted keeper. */
async function measureEntry(targets: number): Promise<{ hosted: Sample; alone: Sample }> {
  const hall = await startHallPlatform(targets, SEED)
  const measureWith = async (hosted: boolean): Promise<Sample> => {
    const file = await hall.writeSettings(hosted)
    const child = await startChild('dist/src/bin/entry.js', ['--config', file], /RS-3001/)
    while (hall.countRunning() < targets) await sleep(100)
    await sleep(WARM_UP_MS)
    const before = {
      cpu: child.cpuMs(),
      calls: hall.countCalls(),
      bytes: await hall.platformBytes(),
    }
    await sleep(MEASURE_MS)
    const seconds = MEASURE_MS / 1000
    const sample = {
      cpuPercent: (child.cpuMs() - before.cpu) / (MEASURE_MS / 100),
      residentMb: child.residentMb(),
      platformCalls: (hall.countCalls() - before.calls) / seconds,
      platformBytes: ((await hall.platformBytes()) - before.bytes) / seconds,
    }
    await child.stop()
    return sample
  }
  const hosted = await measureWith(true)
  const alone = await measureWith(false)
  await hall.close()
  return { hosted, alone }
}

/** Measures the peer traffic of each of `count` entries in one hall, per second. */
async function measurePeers(count: number): Promise<{ bytes: number; messages: number }> {
  const cluster = await startCluster({
    halls: ['h'],
    entriesPerHall: count,
    keepersPerHall: 0,
    workersPerHall: 0,
    seed: SEED,
    table: { 'pool/p': { weight: '1', limit: '1' } },
    settings: { requests: { drain_notice: '0ms' } },
    log: () => createMemoryLogger(10),
  })
  const readCounters = async () => {
    let bytes = 0
    let messages = 0
    for (const { kernel } of cluster.nodes) {
      const metrics = kernel.get('metrics')
      await metrics.render()
      for (const { value } of (await metrics.peerBytes.get()).values) bytes += value
      for (const { value } of (await metrics.peerMessages.get()).values) messages += value
    }
    return { bytes, messages }
  }
  await sleep(3000)
  const before = await readCounters()
  await sleep(MEASURE_MS)
  const after = await readCounters()
  await cluster.stop()
  const perSecond = (value: number) => value / (MEASURE_MS / 1000) / count
  return {
    bytes: perSecond(after.bytes - before.bytes),
    messages: perSecond(after.messages - before.messages),
  }
}

export default async function capacityBench(): Promise<object> {
  const planning = measurePlanning()
  const entry: (Sample & { targets: number })[] = []
  const hosted: (Sample & { targets: number })[] = []
  for (const targets of TARGET_COUNTS) {
    const sample = await measureEntry(targets)
    entry.push({ targets, ...sample.alone })
    hosted.push({ targets, ...sample.hosted })
  }
  const peers: { peers: number; bytes: number; messages: number }[] = []
  for (const count of ENTRY_COUNTS)
    peers.push({ peers: count - 1, ...(await measurePeers(count)) })

  const toPoints = (rows: (Sample & { targets: number })[], key: keyof Sample): Point[] =>
    rows.map((row) => ({ size: row.targets, value: row[key] }))
  const fits = {
    'keeper round, ms per VM': fitLine(planning.times),
    'keeper first round, ms per VM': fitLine(planning.cold),
    'rows of a hall, KB per VM': fitLine(planning.heap),
    'entry, % of a core per target': fitLine(toPoints(entry, 'cpuPercent')),
    'entry, MB per target': fitLine(toPoints(entry, 'residentMb')),
    'entry with keeper, % of a core per target': fitLine(toPoints(hosted, 'cpuPercent')),
    'entry with keeper, MB per target': fitLine(toPoints(hosted, 'residentMb')),
    'entry with keeper, platform bytes/s per target': fitLine(
      toPoints(hosted, 'platformBytes'),
    ),
    'peers, bytes/s per peer of the hall': fitLine(
      peers.map((row) => ({ size: row.peers, value: row.bytes })),
    ),
  }
  const exponents = { 'keeper round': fitExponent(planning.times) }
  console.table(
    planning.times.map(({ size, value }, i) => ({
      vms: size,
      roundMs: value,
      firstMs: planning.cold[i]!.value,
      heapKb: planning.heap[i]!.value,
    })),
  )
  console.table(entry)
  console.table(hosted)
  console.table(peers)
  console.table(fits)
  console.log(exponents)
  const tableBytes = JSON.stringify(generateHall(DESIGN_VMS, SEED).raw).length
  console.log({ tableBytes })
  return { seed: SEED, tableBytes, planning, entry, hosted, peers, fits, exponents }
}
