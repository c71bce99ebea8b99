/**
 * Guards against nodes that exit or serve nothing because of input that they do not expect.
 * - A SIGHUP or SIGTERM that arrives before the code is loaded, which takes 0.3 s, and more on a
 *   weak VM. A SIGHUP 5 to 300 ms after the start ended a node, one after 500 ms did not.
 * - A second SIGTERM within 20 ms of the first one, which ended the graceful stop early.
 * - An unknown section in the settings, after which a node answered 503 to every request.
 * - A port in use at the start, which ended a node, or a settings file that does not exist yet.
 */
import { spawnSync } from 'node:child_process'
import { mkdtempSync, readFileSync, renameSync, writeFileSync } from 'node:fs'
import { createServer } from 'node:http'
import type { Server } from 'node:http'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { request } from 'undici'
import { describe, it } from '../../test/describe.js'
import { sleep } from '../../src/shared/index.js'
import { startNodeProcess } from '../sim/nodeProcess.js'
import type { NodeProcess } from '../sim/nodeProcess.js'
import { startSimPlatform } from '../sim/wireServer.js'
import type { SimPlatform } from '../sim/wireServer.js'

/** Time-out of a wait, in ms; long enough for a machine under load. */
const WAIT_TIMEOUT_MS = 60_000

/** Delays the loading of the program by 500 ms and prints `loading` when it begins. */
const SLOW_LOADING = `
const fs = require('node:fs')
const read = fs.readFileSync
fs.readFileSync = (file, ...args) => {
  if (String(file).endsWith('.bundle.cjs')) {
    fs.writeSync(1, 'loading\\n')
    Atomics.wait(new Int32Array(new SharedArrayBuffer(4)), 0, 0, 500)
  }
  return read(file, ...args)
}
`

const CONFIGURATION = {
  version: 1,
  routes: [{ name: 'r', host: 'q.example', path_prefix: '/one/', service: 'one' }],
  services: [{ name: 'one' }],
}

const startPlatform = async (): Promise<SimPlatform> => {
  const platform = await startSimPlatform({
    pools: { one: 1 },
    halls: ['h1'],
    capacity: { cpu: 8000, memMb: 32_000, gpu: 0 },
    offlineMs: 300,
  })
  platform.putConfiguration(CONFIGURATION)
  return platform
}

const isGone = ({ child }: NodeProcess): boolean =>
  child.exitCode !== null || child.signalCode !== null

/** Polls `holds`; false if the node has exited or the time-out is over. */
async function waitUntil(
  node: NodeProcess,
  holds: () => boolean | Promise<boolean>,
): Promise<boolean> {
  const endsAt = Date.now() + WAIT_TIMEOUT_MS
  while (Date.now() < endsAt) {
    const gone = isGone(node)
    if (await holds()) return true
    if (gone) return false
    await sleep(20)
  }
  return false
}

async function isReady(node: NodeProcess): Promise<boolean> {
  const res = await request(`http://${node.readiness}/readiness`).catch(() => undefined)
  await res?.body.dump()
  return res?.statusCode === 200
}

/** Waits until the node is ready; false if it exits before. */
const becomesReady = (node: NodeProcess): Promise<boolean> =>
  waitUntil(node, () => isReady(node))

const hasLogged = (node: NodeProcess, event: string): boolean =>
  node.output().includes(`"name":"${event}"`)

/** Builds the bundle and returns the Node.js arguments that run it with delayed loading. */
function slowProgram(): string[] {
  const dir = mkdtempSync(join(tmpdir(), 'rillshunt-bundle-'))
  const built = spawnSync(process.execPath, ['scripts/bundle.mjs', dir])
  if (built.status !== 0) throw new Error(built.stderr.toString())
  const slow = join(dir, 'slow.cjs')
  writeFileSync(slow, SLOW_LOADING)
  return ['--require', slow, join(dir, 'rillshunt-node.cjs')]
}

describe('the life of a node process', () => {
  it('handles a reload that is requested while the code is loaded', async (t) => {
    const platform = await startPlatform()
    const program = slowProgram()
    const node = await startNodeProcess(platform, 'n1', 'h1', { program })
    t.true(await waitUntil(node, () => node.output().includes('loading')))
    node.child.kill('SIGHUP')
    t.true(await becomesReady(node))
    t.true(await waitUntil(node, () => hasLogged(node, 'settingsReloaded')))
    await node.kill()
    await platform.close()
  })

  it('ends with code 0 when it is stopped while the code is loaded', async (t) => {
    const platform = await startPlatform()
    const program = slowProgram()
    const node = await startNodeProcess(platform, 'n1', 'h1', { program })
    t.true(await waitUntil(node, () => node.output().includes('loading')))
    node.child.kill('SIGTERM')
    t.true(await waitUntil(node, () => isGone(node)))
    t.is(node.child.exitCode, 0)
    await platform.close()
  })

  it('completes a graceful stop despite a second stop signal', async (t) => {
    const platform = await startPlatform()
    const node = await startNodeProcess(platform, 'n1', 'h1')
    t.true(await becomesReady(node), node.output())
    node.child.kill('SIGTERM')
    t.true(await waitUntil(node, () => hasLogged(node, 'kernelStopping')), node.output())
    node.child.kill('SIGTERM')
    t.true(await waitUntil(node, () => isGone(node)), node.output())
    t.is(node.child.exitCode, 0)
    t.true(hasLogged(node, 'kernelStopped'), node.output())
    await platform.close()
  })

  it('starts once its port is free', async (t) => {
    const platform = await startPlatform()
    let other: Server | undefined
    const node = await startNodeProcess(platform, 'n1', 'h1', {
      async prepare(_file, callers) {
        const [host, port] = callers.split(':')
        other = createServer()
        await new Promise<void>((resolve) => other!.listen(Number(port), host, resolve))
      },
    })
    t.true(await waitUntil(node, () => hasLogged(node, 'serviceFailed')))
    await new Promise((resolve) => other!.close(resolve))
    t.true(await becomesReady(node))
    await node.kill()
    await platform.close()
  })

  it('serves with unknown settings and logs their names', async (t) => {
    const platform = await startPlatform()
    const moreSettings = ['depth = 3', '[lanes]', 'count = 7']
    const node = await startNodeProcess(platform, 'n1', 'h1', { moreSettings })
    t.true(await becomesReady(node))
    t.regex(node.output(), /"settingsIgnored".*\[cloud\] depth.*\[lanes\]/)
    await node.kill()
    await platform.close()
  })

  it('waits for a settings file that does not exist yet', async (t) => {
    const platform = await startPlatform()
    const node = await startNodeProcess(platform, 'n1', 'h1', {
      prepare: (file) => renameSync(file, `${file}.later`),
    })
    const { settingsFile } = node
    t.true(await waitUntil(node, () => hasLogged(node, 'settingsRejected')))
    writeFileSync(settingsFile, readFileSync(`${settingsFile}.later`))
    t.true(await becomesReady(node))
    await node.kill()
    await platform.close()
  })
})
