/**
 * Bundles `rillshunt-node` into one file, so that a start reads one file and not hundreds,
 * and keeps the code that V8 compiles for a start beside it.
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
/** Flags of the program in deploy/system.toml: V8 takes compiled code only under the same. */
const V8_FLAGS = ['--max-old-space-size=200', '--max-semi-space-size=16']
/** Longest time that the program may take to write its compiled code, in ms. */
const RUN_LIMIT_MS = 20_000
/** Settings of a node that reaches nothing. */
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
const res = spawnSync(process.execPath, args, { env, stdio, timeout: RUN_LIMIT_MS })
rmSync(settings)
if (res.status !== 0)
  process.stderr.write('no compiled code is kept; starts are slower\n')
