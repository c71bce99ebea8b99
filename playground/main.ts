/** `npm start`: two data halls, a stand-in platform and a light load in one process. */
import { createLogger } from '../src/shared/index.js'
import type { Cluster } from './cluster.js'
import { startCluster } from './cluster.js'
import { runLoad } from './load.js'
import { SEED_TABLE } from './seedTable.js'

const BASE_PORT = 7000
const SEED = 20261202
const REQUESTS_PER_SECOND = 20
const SERVICES = ['timing', 'boards', 'esim']
const LOAD_SLICE_S = 10

const levels = process.env['RILLSHUNT_LOG'] === 'all' ? 'info' : 'warn'
console.log('rillshunt playground: starting two data halls …')

const cluster = await startCluster({
  halls: ['oslo-1', 'oslo-2'],
  entriesPerHall: 2,
  keepersPerHall: 0,
  workersPerHall: 5,
  seed: SEED,
  table: SEED_TABLE,
  basePort: BASE_PORT,
  settings: { requests: { drain_notice: '200ms' } },
  log: (node, hall) => createLogger({ level: levels, base: { node, hall } }),
})
const stopping = new AbortController()
process.once('SIGINT', () => stopping.abort())
process.once('SIGTERM', () => stopping.abort())
await waitForService(cluster)
printHints(cluster)

await runBackgroundLoad(cluster)
console.log('\nstopping after the requests in flight have ended')
await cluster.stop()
console.log('stopped')

/** Waits until every entry answers requests to every service. */
async function waitForService(running: Cluster): Promise<void> {
  for (const entry of running.entries()) {
    for (const service of SERVICES) await waitFor(`${entry.url}/${service}/hello`)
  }
}

async function waitFor(url: string): Promise<void> {
  for (;;) {
    const res = await fetch(url).catch(() => undefined)
    await res?.text()
    if (res?.status === 200) return
    await new Promise((resolve) => setTimeout(resolve, 100))
  }
}

async function runBackgroundLoad(running: Cluster): Promise<void> {
  const totals = { answered: 0, notRun: 0, unknown: 0 }
  for (let slice = 0; !stopping.signal.aborted; slice++) {
    const report = await runLoad({
      urls: running.entries().map((entry) => entry.url),
      services: SERVICES,
      rate: REQUESTS_PER_SECOND,
      seconds: LOAD_SLICE_S,
      seed: SEED + slice,
      unrepeatableShare: 0.5,
      bodyBytes: 300,
      idPrefix: `light-${slice}-`,
      signal: stopping.signal,
    })
    totals.answered += report.answered
    totals.notRun += report.notRun
    totals.unknown += report.unknown
    const { answered, notRun, unknown } = totals
    console.log(`light load: ${answered} answered, ${notRun} not run, ${unknown} unknown`)
  }
}

function printHints(running: Cluster): void {
  const entries = running.entries().map((entry) => `  ${entry.hall}  ${entry.url}`)
  console.log(`rillshunt playground: platform ${running.platform.url}, entries:
${entries.join('\n')}

Try, in another terminal:
  curl -i ${running.entries()[0]!.url}/timing/rank/1
  export RILLSHUNT_PLATFORM=${running.platform.url}
  npx rillshunt table show
  npx rillshunt table set service/timing limit 32
  npx rillshunt table accept && npx rillshunt table status
  npx rillshunt table set wave/kernel weight 1 limit 1 pool ranking && npx rillshunt table accept
  npx rillshunt waves
  npx rillshunt explain wave kernel
  npm run load -- --url ${running.entries()[0]!.url} --rate 200 --seconds 10

Ctrl-C stops it. RILLSHUNT_LOG=all npm start prints every decision.
`)
}
