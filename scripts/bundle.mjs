/** Bundles `rillshunt-node` into one file: a start then reads one file, not hundreds. */
import { build } from 'esbuild'

const outdir = process.argv[2] ?? 'target'

await build({
  entryPoints: { 'rillshunt-node': 'src/bin/node.ts' },
  outdir,
  outExtension: { '.js': '.cjs' },
  bundle: true,
  platform: 'node',
  target: 'node20',
  format: 'cjs',
  minify: true,
  keepNames: true,
  legalComments: 'none',
})
