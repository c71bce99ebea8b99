/** `npm run bench -- NAME`: runs a bench and writes its results to `bench/results/`. */
import { execFileSync } from 'node:child_process'
import { mkdir, writeFile } from 'node:fs/promises'
import { cpus } from 'node:os'

/** Prints the tables of a bench and returns the results to write. */
type Bench = () => Promise<object>

const BENCHES: Record<string, () => Promise<{ default: Bench }>> = {
  relay: () => import('./relay.js'),
  capacity: () => import('./capacity.js'),
  soak: () => import('./soak.js'),
  requests: () => import('./requests.js'),
  node: () => import('./node.js'),
  plans: () => import('./plans.js'),
}

const [name = ''] = process.argv.slice(2)
const loadBench = BENCHES[name]
if (!loadBench) {
  console.error(`Usage: npm run bench -- ${Object.keys(BENCHES).join('|')}`)
  process.exit(2)
}
const { default: bench } = await loadBench()
const results = await bench()
const commit = execFileSync('git', ['describe', '--always', '--dirty'], {
  encoding: 'utf8',
}).trim()
const machine = `${cpus().length} x ${cpus()[0]?.model ?? 'unknown'}, Node ${process.version}`
const record = { bench: name, commit, at: new Date().toISOString(), machine, ...results }
await mkdir('bench/results', { recursive: true })
await writeFile(`bench/results/${name}.json`, `${JSON.stringify(record, null, 2)}\n`)
console.log(`results written to bench/results/${name}.json (${commit})`)
process.exit(0)
