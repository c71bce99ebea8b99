/**
 * Bundles `rillshunt-node` into one file, so that a start reads one file instead of
 * hundreds, and writes the V8 code cache of a start next to it.
 */
import { spawnSync } from 'node:child_process'
import { rmSync, writeFileSync } from 'node:fs'
import { join } from 'node:path'
import { build } from 'esbuild'

const outdir = process.argv[2] ?? 'target'
const shared = {
  outdir,
  outExtension: { '.js': '.cjs' },
  platform: 'node',
  target: 'node20',
  format: 'cjs',
}
/** Flags of the program in deploy/system.toml: V8 rejects a code cache of other flags. */
const V8_FLAGS = ['--max-old-space-size=88', '--max-semi-space-size=8']
/** Time-out of the run that writes the code cache. */
const CACHE_RUN_TIMEOUT_MS = 20_000
/** Settings of a node whose store and cloud are unreachable. */
const SETTINGS = `
[node]
id = n1
hall = h1
[listen]
address = 127.0.0.1
callers = 127.0.0.1:0
readiness = 127.0.0.1:0
node_port = 0
metrics_port = 0
[store]
address = 127.0.0.1:1
[cloud]
address = 127.0.0.1:1
`

await build({
  ...shared,
  entryPoints: { 'rillshunt-node.bundle': 'src/bin/node.ts' },
  bundle: true,
  minify: true,
  keepNames: true,
  legalComments: 'none',
})
await build({
  ...shared,
  entryPoints: { 'rillshunt-node': 'scripts/cachedStart.ts' },
  bundle: true,
})

const cache = join(outdir, 'rillshunt-node.cache')
rmSync(cache, { force: true })
const settings = join(outdir, 'cache.ini')
writeFileSync(settings, SETTINGS)
const args = [...V8_FLAGS, join(outdir, 'rillshunt-node.cjs'), settings]
const env = { ...process.env, RILLSHUNT_WRITE_CODE_CACHE: cache }
const stdio = ['ignore', 'ignore', 'inherit']
const res = spawnSync(process.execPath, args, {
  env,
  stdio,
  timeout: CACHE_RUN_TIMEOUT_MS,
})
rmSync(settings)
if (res.status !== 0)
  process.stderr.write(
    'failed to write the V8 code cache; each start will compile the bundle\n',
  )
