/** `npm start`: two data halls, a platform and light load in one process. */
import { createLogger } from '../src/shared/index.js'
import type { Cluster } from './cluster.js'
import { startCluster } from './cluster.js'
import { runLoad } from './load.js'
import { SEED_TABLE } from './seedTable.js'

const BASE_PORT = 7000
const SEED = 20261202
const LIGHT_RATE = 20
const LOAD_SLICE_S = 10

const levels = process.env['RILLSHUNT_LOG'] === 'all' ? 'info' : 'warn'

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
await waitForService(cluster)
printHints(cluster)

const stopping = new AbortController()
const load = keepLoading(cluster)
process.once('SIGINT', () => stopping.abort())
process.once('SIGTERM', () => stopping.abort())
await load
console.log('\nstopping: requests in flight end first')
await cluster.stop()
console.log('stopped')

async function waitForService(running: Cluster): Promise<void> {
  const url = `${running.entries()[0]!.url}/timing/hello`
  for (;;) {
    const res = await fetch(url).catch(() => undefined)
    await res?.text()
    if (res?.status === 200) return
    await new Promise((resolve) => setTimeout(resolve, 100))
  }
}

async function keepLoading(running: Cluster): Promise<void> {
  const totals = { answered: 0, notRun: 0, unknown: 0 }
  while (!stopping.signal.aborted) {
    const report = await runLoad({
      urls: running.entries().map((entry) => entry.url),
      services: ['timing', 'boards', 'esim'],
      rate: LIGHT_RATE,
      seconds: LOAD_SLICE_S,
      seed: SEED + totals.answered,
      unrepeatableShare: 0.5,
      bodyBytes: 300,
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
