/** Starts `rillshunt-node` in a child process against a stand-in platform. */
import { spawn } from 'node:child_process'
import type { ChildProcess } from 'node:child_process'
import { mkdtempSync, writeFileSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { freePort } from '../ports.js'
import type { SimPlatform } from './wireServer.js'

const HOST = '127.0.0.1'
/** Path of the built program, relative to the root of the repository. */
export const NODE_PROGRAM = 'dist/src/bin/node.js'

/** Options of {@link startNodeProcess}. */
export interface NodeProcessOptions {
  /**
   * Lines appended to the settings file.
   * @default none
   */
  moreSettings?: string[]
  /**
   * Arguments of Node.js that precede the settings file; the program comes last.
   * @default the built program
   */
  program?: string[]
  /**
   * Called with the settings file and the address for callers before the process is spawned.
   * @default nothing is done
   */
  prepare?(file: string, callers: string): void | Promise<void>
}

/** A node in a child process. */
export interface NodeProcess {
  name: string
  /** Address for callers, as `host:port`. */
  callers: string
  /** Address of the readiness check, as `host:port`. */
  readiness: string
  /** URL of the metrics. */
  metrics: string
  child: ChildProcess
  /** Path of the settings file, which the node reads again on SIGHUP. */
  settingsFile: string
  /** All output so far, stdout and stderr together. */
  output(): string
  /** Sends a signal, SIGKILL by default; resolves once the process has exited. */
  kill(signal?: NodeJS.Signals): Promise<void>
}

/** Addresses of a node and the settings file that contains them. */
export interface NodeSettings {
  callers: string
  readiness: string
  /** URL of the metrics. */
  metrics: string
  /** Address for other nodes, as `host:port`. */
  nodeAddress: string
  file: string
}

/**
 * Allocates ports that no other node of the tests uses, and writes the settings of a node to a new
 * temporary directory.
 */
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
    nodeAddress: `${HOST}:${nodePort}`,
    file,
  }
}

/** Spawns a node on free ports; resolves before the node is ready. */
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
