/** Nodes of a run: processes that are paused, stopped, killed and started again. */
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

/** Time that a process has to stop before it is killed, in ms. */
const STOP_TIMEOUT_MS = 6000
/** Longest wait for a node to become ready, in ms. */
const READY_TIMEOUT_MS = 30_000
/** Longest wait of a client for an answer, in ms. */
export const DEADLINE_MS = 3000
/** Connections that clients keep to a node. */
const CONNECTIONS = 6

/** A node, over all of its processes. */
export interface SoakNode {
  name: string
  /** Connections of the clients; they are used for as long as they are open. */
  clients: Pool
  storeLink: FaultLink
  isUp(): boolean
  /** Whether it was told to stop and is not gone yet. */
  isStopping(): boolean
  start(): void
  signal(signal: NodeJS.Signals): void
  kill(): Promise<void>
  /** Asks it to stop, as often as told, and kills it when it takes too long. */
  stop(times: number): Promise<void>
  waitUntilReady(): Promise<boolean>
  close(): Promise<void>
}

/** Starts a node behind a link of its own to the store; its log stands in `dir`. */
export async function startSoakNode(opts: {
  platform: SimPlatform
  name: string
  hall: string
  withCloud: boolean
  dir: string
  /** A process that nobody ended is gone. */
  onUnexpectedExit(name: string, reason: string): void
}): Promise<SoakNode> {
  const { platform, name, dir } = opts
  const storeLink = await openFaultLink(Number(platform.storeAddress.split(':')[1]))
  const cloudAddress = opts.withCloud ? platform.cloudAddress : undefined
  const addresses = { storeAddress: storeLink.address, cloudAddress }
  const settings = await writeNodeSettings(addresses, name, opts.hall)
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
        // Until Node.js itself runs, nothing of the program can take a signal.
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
      const late = setTimeout(() => child?.kill('SIGKILL'), STOP_TIMEOUT_MS)
      await exited
      clearTimeout(late)
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
