/**
 * Starts the bundle with a V8 code cache: parsing and compiling take a third of the CPU
 * time of a start. Without the cache file, or with one of another Node.js version or of
 * other flags, V8 compiles the bundle as usual.
 */
import { readFileSync, writeFileSync } from 'node:fs'
import { createRequire } from 'node:module'
import { dirname, join } from 'node:path'
import { Script } from 'node:vm'
import { bufferSignals } from '../src/bin/signals.js'

// Reading and compiling the bundle takes most of a start, and a signal without a handler
// would end the process.
bufferSignals()

/** Environment variable with the path to write the cache to; set only by the build. */
const WRITE_CACHE_VARIABLE = 'RILLSHUNT_WRITE_CODE_CACHE'
/** Time that the program runs, and compiles code, before the cache is written. */
const CACHE_WRITE_DELAY_MS = 1500

const bundle = join(__dirname, 'rillshunt-node.bundle.cjs')

function readCache(): Buffer | undefined {
  try {
    return readFileSync(join(__dirname, 'rillshunt-node.cache'))
  } catch {
    return undefined
  }
}

const writeTo = process.env[WRITE_CACHE_VARIABLE]
const source = readFileSync(bundle, 'utf8').replace(/^#!.*/, '')
const script = new Script(
  `(function (exports, require, module, __filename, __dirname) {${source}\n})`,
  { filename: bundle, cachedData: writeTo === undefined ? readCache() : undefined },
)
if (script.cachedDataRejected)
  process.stderr.write('V8 rejected the code cache; compiling the bundle instead\n')
const load = script.runInThisContext() as (...args: unknown[]) => void
const module = { exports: {} }
load(module.exports, createRequire(bundle), module, bundle, dirname(bundle))
if (writeTo !== undefined) {
  setTimeout(() => {
    writeFileSync(writeTo, script.createCachedData())
    process.exit()
  }, CACHE_WRITE_DELAY_MS)
}
