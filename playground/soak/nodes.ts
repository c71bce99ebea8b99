/** Node processes of a run, which faults pause, stop, kill and restart. */
import { spawn } from 'node:child_process'
import type { ChildProcess } from 'node:child_process'
import { closeSync, fstatSync, openSync, statSync } from 'node:fs'
import { join } from 'node:path'
import { Pool, request } from 'undici'
import { sleep } from '../../src/shared/index.js'
import { NODE_PROGRAM, writeNodeSettings } from '../sim/nodeProcess.js'
import type { SimPlatform } from '../sim/wireServer.js'
import { openFaultLink } from './faultLink.js'
import type { FaultLink } from './faultLink.js'

/** Time after which a process that was asked to stop is killed, in ms. */
const STOP_TIMEOUT_MS = 6000
/** Time-out of the wait for a node to become ready, in ms. */
const READY_TIMEOUT_MS = 30_000
/** Time-out of a client's request, in ms. */
export const DEADLINE_MS = 3000
/** Size of the clients' connection pool to a node. */
const CONNECTIONS = 6

/** A node across restarts of its process. */
export interface SoakNode {
  name: string
  /** Connection pool of the clients. Connections are reused until they are closed. */
  clients: Pool
  storeLink: FaultLink
  isUp(): boolean
  /** Whether the process was asked to end and has not exited yet. */
  isStopping(): boolean
  start(): void
  signal(signal: NodeJS.Signals): void
  kill(): Promise<void>
  /** Sends SIGTERM `times` times, and SIGKILL if the process has not exited after 6 s. */
  stop(times: number): Promise<void>
  waitUntilReady(): Promise<boolean>
  close(): Promise<void>
}

/** Starts a node with its own proxy to the store; its log is written to `dir`. */
export async function startSoakNode(opts: {
  platform: SimPlatform
  name: string
  hall: string
  /** All halls of the deployment. */
  halls: readonly string[]
  withCloud: boolean
  /** Whether it calls targets through other nodes whenever it can. */
  forwards: boolean
  dir: string
  /** Called when the process exits without having been stopped or killed. */
  onUnexpectedExit(name: string, reason: string): void
}): Promise<SoakNode> {
  const { platform, name, dir } = opts
  const storeLink = await openFaultLink(Number(platform.storeAddress.split(':')[1]))
  const cloudAddress = opts.withCloud ? platform.cloudAddress : undefined
  const addresses = { storeAddress: storeLink.address, cloudAddress }
  const settings = await writeNodeSettings(addresses, name, opts.hall, [
    '[node]',
    `halls = ${opts.halls.join(',')}`,
    ...(opts.forwards ? ['[owner]', 'forward_from_share = 0'] : []),
  ])
  const clients = new Pool(`http://${settings.callers}`, {
    connections: CONNECTIONS,
    headersTimeout: DEADLINE_MS,
    bodyTimeout: DEADLINE_MS,
  })
  let child: ChildProcess | undefined
  let exited = Promise.resolve()
  let stopRequested = false

  function start(): void {
    if (child) return
    const logFile = join(dir, `${name}.log`)
    const log = openSync(logFile, 'a')
    const { size } = fstatSync(log)
    const stdio = ['ignore', log, log] as const
    const started = spawn(process.execPath, [NODE_PROGRAM, settings.file], {
      stdio: [...stdio],
    })
    closeSync(log)
    child = started
    stopRequested = false
    exited = new Promise((resolve) =>
      started.once('exit', (code, signal) => {
        child = undefined
        resolve()
        if (stopRequested) return
        // Before Node.js runs the program, SIGHUP ends the process by default.
        const hadBegun = statSync(logFile).size > size
        if (signal === 'SIGHUP' && !hadBegun) start()
        else opts.onUnexpectedExit(name, `code ${code}, signal ${signal}`)
      }),
    )
  }

  async function kill(): Promise<void> {
    stopRequested = true
    child?.kill('SIGKILL')
    await exited
  }

  async function isReady(): Promise<boolean> {
    const url = `http://${settings.readiness}/readiness`
    const res = await request(url).catch(() => undefined)
    await res?.body.dump()
    return res?.statusCode === 200
  }

  start()
  return {
    name,
    clients,
    storeLink,
    isUp: () => child !== undefined,
    isStopping: () => child !== undefined && stopRequested,
    start,
    signal: (signal) => void child?.kill(signal),
    kill,
    async stop(times) {
      stopRequested = true
      for (let each = 0; each < times; each++) {
        child?.kill('SIGTERM')
        await sleep(20)
      }
      const killTimer = setTimeout(() => child?.kill('SIGKILL'), STOP_TIMEOUT_MS)
      await exited
      clearTimeout(killTimer)
    },
    async waitUntilReady() {
      const endsAt = performance.now() + READY_TIMEOUT_MS
      while (performance.now() < endsAt) {
        if (await isReady()) return true
        await sleep(100)
      }
      return false
    },
    async close() {
      await kill()
      storeLink.close()
      await clients.destroy()
    },
  }
}
