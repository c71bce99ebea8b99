/** `npm run load`: sends an open-loop load to entries and checks the answers. */
import { parseArgs } from 'node:util'
import { z } from 'zod'
import { checkLedger, runLoad } from './load.js'
import type { LoadReport } from './load.js'

const USAGE = `Usage: npm run load -- [options]
  --url URL          entry to use; may be given several times
  --service NAME     service to call; may be given several times (timing)
  --rate N           requests a second (100)
  --seconds N        duration (10)
  --seed N           seed of arrivals and choices (1)
  --unrepeatable N   fraction of the requests that must not run twice (0.5)
  --body N           size of each request body in bytes (300)
  --platform URL     stand-in platform; compares the answers with the runs on the targets
  --json             print JSON`

const MAX_REQUESTS = 1_000_000
const number = (min: number, max: number) => z.coerce.number().min(min).max(max)
const optionsSchema = z.object({
  url: z.array(z.url()).default(['http://127.0.0.1:7110']),
  service: z.array(z.string().min(1)).default(['timing']),
  rate: number(0.1, 10_000).default(100),
  seconds: number(0.1, 3600).default(10),
  seed: z.coerce.number().int().default(1),
  unrepeatable: number(0, 1).default(0.5),
  body: number(0, 64 * 1024 * 1024).default(300),
  platform: z.url().optional(),
  json: z.boolean().default(false),
  help: z.boolean().default(false),
})

function readOptions() {
  const { values } = parseArgs({
    options: {
      url: { type: 'string', multiple: true },
      service: { type: 'string', multiple: true },
      rate: { type: 'string' },
      seconds: { type: 'string' },
      seed: { type: 'string' },
      unrepeatable: { type: 'string' },
      body: { type: 'string' },
      platform: { type: 'string' },
      json: { type: 'boolean' },
      help: { type: 'boolean' },
    },
  })
  const options = optionsSchema.parse(values)
  if (options.rate * options.seconds > MAX_REQUESTS) {
    throw new Error(`--rate times --seconds: at most ${MAX_REQUESTS} requests a run`)
  }
  return options
}

async function main(): Promise<void> {
  const options = readOptions()
  if (options.help) return console.log(USAGE)
  const idPrefix = `load-${options.seed}-${Date.now()}-`
  const report = await runLoad({
    urls: options.url,
    services: options.service,
    rate: options.rate,
    seconds: options.seconds,
    seed: options.seed,
    unrepeatableShare: options.unrepeatable,
    bodyBytes: options.body,
    idPrefix,
  })
  const ledger = options.platform
    ? await compare(report, options.platform, idPrefix)
    : undefined
  const { sent, answered, notRun, unknown, foreign } = report
  const latencyMs = {
    p50: report.latency.getValueAtPercentile(50) / 1000,
    p99: report.latency.getValueAtPercentile(99) / 1000,
    max: report.latency.maxValue / 1000,
  }
  const counts = { sent, answered, notRun, unknown, foreign, ...ledger }
  if (options.json)
    return console.log(JSON.stringify({ seed: options.seed, ...counts, latencyMs }))
  console.log(`seed ${options.seed}`)
  for (const [name, count] of Object.entries(counts))
    console.log(`${name.padEnd(12)} ${count}`)
  const { p50, p99, max } = latencyMs
  console.log(`latency ms   p50 ${p50}  p99 ${p99}  max ${max}`)
}

async function compare(report: LoadReport, platform: string, idPrefix: string) {
  const res = await fetch(`${platform}/control/ledger?prefix=${idPrefix}`)
  const { runs } = (await res.json()) as { runs: Record<string, number> }
  return checkLedger(report.records, (id) => runs[id] ?? 0)
}

try {
  await main()
} catch (cause) {
  console.error((cause as Error).message)
  console.error(USAGE)
  process.exitCode = 2
}
