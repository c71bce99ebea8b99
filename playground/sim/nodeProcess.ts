/** Starts `rillshunt-node` as a process of its own against a stand-in platform. */
import { spawn } from 'node:child_process'
import type { ChildProcess } from 'node:child_process'
import { mkdtempSync, writeFileSync } from 'node:fs'
import { createServer } from 'node:net'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import type { SimPlatform } from './wireServer.js'

const HOST = '127.0.0.1'
/** The built program. */
export const NODE_PROGRAM = 'dist/src/bin/node.js'

/** How a node is started, where a test asks for something else than usual. */
export interface NodeProcessOptions {
  /**
   * Lines of settings after the usual ones.
   * @default none
   */
  moreSettings?: string[]
  /**
   * Arguments of Node.js, the program last.
   * @default the built program
   */
  program?: string[]
  /**
   * Called with the settings file and the address for callers right before the start.
   * @default nothing is done
   */
  prepare?(file: string, callers: string): void | Promise<void>
}

/** A node in a process of its own. */
export interface NodeProcess {
  name: string
  /** Where callers come in. */
  callers: string
  readiness: string
  /** Where its metrics are read. */
  metrics: string
  child: ChildProcess
  /** Its settings; it reads them again at SIGHUP. */
  settingsFile: string
  /** Everything that it wrote. */
  output(): string
  /** Ends it at once; resolves when it is gone. */
  kill(signal?: NodeJS.Signals): Promise<void>
}

/**
 * Ports below those that the system gives to outgoing connections: a node that is started
 * again finds its port free. Of 80 nodes on other ports one found its port taken.
 */
const FIRST_PORT = 15_000
const PORTS = 17_000

const canListen = (port: number): Promise<boolean> =>
  new Promise((resolve) => {
    const server = createServer()
    server.once('error', () => resolve(false))
    server.listen(port, HOST, () => server.close(() => resolve(true)))
  })

async function freePort(): Promise<number> {
  for (;;) {
    const port = FIRST_PORT + Math.floor(Math.random() * PORTS)
    if (await canListen(port)) return port
  }
}

/** Where a node listens, and the file that says so. */
export interface NodeSettings {
  callers: string
  readiness: string
  /** Where its metrics are read. */
  metrics: string
  file: string
}

/** Writes the settings of a node that listens on free ports. */
export async function writeNodeSettings(
  platform: { storeAddress: string; cloudAddress?: string | undefined },
  name: string,
  hall: string,
  moreSettings: string[] = [],
): Promise<NodeSettings> {
  const [callers, readiness, nodePort, metricsPort] = await Promise.all([
    freePort(),
    freePort(),
    freePort(),
    freePort(),
  ])
  const file = join(mkdtempSync(join(tmpdir(), 'rillshunt-')), 'node.ini')
  const settings = [
    '[node]',
    `id = ${name}`,
    `hall = ${hall}`,
    '[listen]',
    `address = ${HOST}`,
    `callers = ${HOST}:${callers}`,
    `readiness = ${HOST}:${readiness}`,
    `node_port = ${nodePort}`,
    `metrics_port = ${metricsPort}`,
    '[store]',
    `address = ${platform.storeAddress}`,
    ...(platform.cloudAddress ? ['[cloud]', `address = ${platform.cloudAddress}`] : []),
    ...moreSettings,
  ]
  writeFileSync(file, settings.join('\n'))
  return {
    callers: `${HOST}:${callers}`,
    readiness: `${HOST}:${readiness}`,
    metrics: `http://${HOST}:${metricsPort}/metrics`,
    file,
  }
}

/** Starts a node; it is ready once its readiness address says so. */
export async function startNodeProcess(
  platform: SimPlatform,
  name: string,
  hall: string,
  opts: NodeProcessOptions = {},
): Promise<NodeProcess> {
  const { moreSettings = [], program = [NODE_PROGRAM] } = opts
  const settings = await writeNodeSettings(platform, name, hall, moreSettings)
  const { file, ...addresses } = settings
  await opts.prepare?.(file, settings.callers)
  const child = spawn(process.execPath, [...program, file], {
    stdio: ['ignore', 'pipe', 'pipe'],
  })
  let output = ''
  for (const stream of [child.stdout, child.stderr]) {
    stream.on('data', (chunk: Buffer) => (output += chunk.toString('utf8')))
  }
  const ended = new Promise<void>((resolve) => child.once('exit', () => resolve()))
  return {
    name,
    ...addresses,
    child,
    settingsFile: file,
    output: () => output,
    async kill(signal = 'SIGKILL') {
      child.kill(signal)
      await ended
    },
  }
}
