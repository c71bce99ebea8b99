/**
 * Requests under load and faults: balancing policies, overload, one team that floods, and
 * an outage of all targets, each compared with a baseline in the same run.
 */
import type { PolicyName } from '../src/entry/index.js'
import type { TargetBehaviour } from '../playground/target.js'
import type { EntryCluster, EntryClusterOptions, Stream } from './entryCluster.js'
import { runStreams, startEntryCluster } from './entryCluster.js'

const SEED = 21
const SHAPE = { entries: 6, instances: 8, slots: 8, meanMs: 200, seed: SEED }
/** Requests per second that all targets together can serve. */
const CAPACITY_PER_S = (SHAPE.instances * SHAPE.slots * 1000) / SHAPE.meanMs
const POLICY_NAMES: PolicyName[] = [
  'random',
  'roundRobin',
  'twoChoices',
  'twoChoicesReported',
]
const POLICY_RUN_MS = 5000
const OVERLOAD_MS = 8000
const OUTAGE_MS = 12_000
const OUTAGE_FROM_MS = 3000
const OUTAGE_TO_MS = 6000

const SCENARIOS: { name: string; load: number; first: Partial<TargetBehaviour> }[] = [
  { name: 'all sound, 50 %', load: 0.5, first: {} },
  { name: 'all sound, 80 %', load: 0.8, first: {} },
  { name: 'all sound, 95 %', load: 0.95, first: {} },
  { name: 'one is 5 times slower, 50 %', load: 0.5, first: { meanMs: 1000 } },
  { name: 'one fails at once, 50 %', load: 0.5, first: { failsAll: true, meanMs: 0 } },
  { name: 'one hangs, 50 %', load: 0.5, first: { hangs: true } },
]

const usToMs = (us: number): number => Math.round(us / 100) / 10
const round = (value: number, digits = 2): number => Number(value.toFixed(digits))

async function withEntryCluster<T>(
  overrides: Partial<EntryClusterOptions>,
  measure: (cluster: EntryCluster) => Promise<T>,
): Promise<T> {
  const cluster = await startEntryCluster({
    ...SHAPE,
    policy: 'twoChoices',
    ...overrides,
  })
  try {
    return await measure(cluster)
  } finally {
    await cluster.stop()
  }
}

/** Ratio of the largest number of runs on a target to the mean of all targets. */
function imbalance(runs: number[]): number {
  const mean = runs.reduce((a, b) => a + b, 0) / runs.length
  return round(Math.max(...runs) / mean)
}

async function comparePolicies() {
  const rows = []
  for (const { name, load, first } of SCENARIOS) {
    for (const policy of POLICY_NAMES) {
      rows.push(
        await withEntryCluster({ policy, first }, async (cluster) => {
          const headers = { 'rillshunt-deadline-ms': '5000' }
          const stream = { name, rate: CAPACITY_PER_S * load, headers }
          const [report] = await runStreams(cluster.urls, [stream], POLICY_RUN_MS, SEED)
          const { sent, failed, notRun, unknown, latency } = report!
          return {
            scenario: name,
            policy,
            sent,
            p50Ms: usToMs(latency.getValueAtPercentile(50)),
            p99Ms: usToMs(latency.getValueAtPercentile(99)),
            failed,
            notRun,
            unknown,
            imbalance: imbalance(cluster.runsPerTarget()),
          }
        }),
      )
    }
  }
  return rows
}

/** An urgent and a normal stream; without priorities, both are served in FIFO order. */
function priorityStreams(total: number, sendsPriority: boolean): Stream[] {
  const urgentRate = CAPACITY_PER_S * 0.1
  const headers = (priority: string): Record<string, string> =>
    sendsPriority ? { 'rillshunt-priority': priority } : {}
  return [
    { name: 'urgent', rate: urgentRate, headers: headers('urgent') },
    {
      name: 'normal',
      rate: CAPACITY_PER_S * total - urgentRate,
      headers: headers('normal'),
    },
  ].map((stream) => ({
    ...stream,
    headers: { ...stream.headers, 'rillshunt-deadline-ms': '3000' },
  }))
}

async function compareOverload() {
  const rows = []
  for (const sendsPriority of [true, false]) {
    for (const load of [0.5, 2]) {
      const reports = await withEntryCluster({}, (cluster) =>
        runStreams(cluster.urls, priorityStreams(load, sendsPriority), OVERLOAD_MS, SEED),
      )
      for (const { name, sent, answered, notRun, unknown, latency } of reports) {
        rows.push({
          order: sendsPriority ? 'bands and turns' : 'first come, first served',
          load,
          stream: name,
          sent,
          answeredShare: round(answered / sent),
          notRun,
          unknown,
          p50Ms: usToMs(latency.getValueAtPercentile(50)),
          p99Ms: usToMs(latency.getValueAtPercentile(99)),
        })
      }
    }
  }
  return rows
}

/** Compares served rates of three teams while the first sends 1 or 10 times its share. */
async function compareFlood() {
  const rows = []
  for (const sendsTeam of [true, false]) {
    for (const flood of [1, 10]) {
      const team = (name: string, factor: number): Stream => ({
        name,
        rate: CAPACITY_PER_S * 0.25 * factor,
        headers: {
          'rillshunt-deadline-ms': '3000',
          ...(sendsTeam && { 'rillshunt-team': name }),
        },
      })
      const streams = [team('a', flood), team('b', 1), team('c', 1)]
      const reports = await withEntryCluster({}, (cluster) =>
        runStreams(cluster.urls, streams, OVERLOAD_MS, SEED),
      )
      for (const { name, sent, answered, latency } of reports) {
        rows.push({
          order: sendsTeam ? 'bands and turns' : 'first come, first served',
          flood,
          team: name,
          sent,
          servedPerS: round(answered / (OVERLOAD_MS / 1000), 1),
          servedShare: round(answered / sent),
          p99Ms: usToMs(latency.getValueAtPercentile(99)),
        })
      }
    }
  }
  return rows
}

async function sumAttempts(cluster: EntryCluster): Promise<number> {
  let sum = 0
  for (const metrics of cluster.metrics) {
    for (const { value } of (await metrics.attempts.get()).values) sum += value
  }
  return sum
}

/** An outage of all targets for 3 s, with and without a budget for retries. */
async function compareOutage() {
  const rows: object[] = []
  const curves: Record<string, object[]> = {}
  for (const [name, retryShare] of [
    ['budget of 0.1', 0.1],
    ['no budget', 1],
  ] as const) {
    await withEntryCluster({ retryShare }, async (cluster) => {
      const headers = { 'rillshunt-deadline-ms': '2000' }
      const stream = { name, rate: CAPACITY_PER_S * 0.6, headers }
      setTimeout(() => void cluster.killAll(), OUTAGE_FROM_MS)
      setTimeout(() => void cluster.startAll(), OUTAGE_TO_MS)
      const [report] = await runStreams(cluster.urls, [stream], OUTAGE_MS, SEED)
      const { sent, answered, notRun, unknown, halfSeconds } = report!
      const attempts = await sumAttempts(cluster)
      rows.push({
        retries: name,
        sent,
        answered,
        notRun,
        unknown,
        attemptsPerRequest: round(attempts / sent),
      })
      curves[name] = halfSeconds.map((slice, i) => ({
        atS: i / 2,
        answered: slice.answered,
        refused: slice.refused,
        p99Ms: usToMs(slice.latency.getValueAtPercentile(99)),
      }))
    })
  }
  return { rows, curves }
}

export default async function requestsBench(): Promise<object> {
  const choices = await comparePolicies()
  console.table(choices)
  const overload = await compareOverload()
  console.table(overload)
  const flood = await compareFlood()
  console.table(flood)
  const outage = await compareOutage()
  console.table(outage.rows)
  console.table(outage.curves['budget of 0.1'])
  return {
    seed: SEED,
    shape: SHAPE,
    fullRate: CAPACITY_PER_S,
    choices,
    overload,
    flood,
    outage,
  }
}
