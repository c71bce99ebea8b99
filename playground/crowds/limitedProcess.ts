/** Starts programs with limits like those of a small VM, and reads what they use. */
import { spawn, spawnSync } from 'node:child_process'
import type { ChildProcess } from 'node:child_process'
import { mkdtempSync, readFileSync, readdirSync } from 'node:fs'
import { connect } from 'node:net'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { request } from 'undici'
import { sleep } from '../../src/shared/index.js'

/** Memory of the smallest VM, in MB; no process may ever use more. */
export const VM_MEMORY_MB = 160
/** Descriptors that the shell of a process allows. */
export const VM_DESCRIPTORS = 800
/** Open descriptors that leave a reserve for the process's own calls. */
export const MAX_OPEN_DESCRIPTORS = 600
/** Settings that tell a program these limits. */
export const LIMIT_SETTINGS = [
  '[limits]',
  `memory_mb = ${VM_MEMORY_MB}`,
  `file_descriptors = ${VM_DESCRIPTORS}`,
]
/** Tries of an ordinary caller, each on a connection of its own. */
const TRIES = 60
const TRY_PAUSE_MS = 500
const TRY_TIMEOUT_MS = 3000

/** Flags of the deployed program, so that the heap is limited as on a VM. */
export function deployedFlags(): string[] {
  const run = /^run = "node ((?:--\S+ )*)/m.exec(
    readFileSync('deploy/system.toml', 'utf8'),
  )
  return run?.[1]?.trim().split(' ') ?? []
}

/** Builds the bundle as it is deployed; returns the path of the program. */
export function buildBundle(): string {
  const dir = mkdtempSync(join(tmpdir(), 'rillshunt-bundle-'))
  const built = spawnSync(process.execPath, ['scripts/bundle.mjs', dir])
  if (built.status !== 0) throw new Error(built.stderr.toString())
  return join(dir, 'rillshunt-node.cjs')
}

/** A program in a child process with limited descriptors. */
export interface LimitedProcess {
  child: ChildProcess
  /** All output so far, stdout and stderr together. */
  output(): string
  isAlive(): boolean
  /** Largest resident memory so far, in MB; the last known value once it has exited. */
  peakMemoryMb(): number
  openDescriptors(): number
  /** Sends a signal; resolves to the exit code once the process has exited. */
  end(signal?: NodeJS.Signals): Promise<number | null>
}

/** Starts Node.js with `args` in a shell that limits its descriptors. */
export function startLimited(args: string[]): LimitedProcess {
  const script = `ulimit -n ${VM_DESCRIPTORS} && exec "$0" "$@"`
  const child = spawn('/bin/sh', ['-c', script, process.execPath, ...args], {
    stdio: ['ignore', 'pipe', 'pipe'],
  })
  let output = ''
  for (const stream of [child.stdout, child.stderr]) {
    stream.on('data', (chunk: Buffer) => (output += chunk.toString('utf8')))
  }
  const exited = new Promise<number | null>((resolve) => child.once('exit', resolve))
  const isAlive = (): boolean => child.exitCode === null && child.signalCode === null
  return {
    child,
    output: () => output,
    isAlive,
    peakMemoryMb() {
      const status = readFileSync(`/proc/${child.pid}/status`, 'utf8')
      return Number(/^VmHWM:\s*(\d+) kB/m.exec(status)?.[1] ?? NaN) / 1024
    },
    openDescriptors: () => readdirSync(`/proc/${child.pid}/fd`).length,
    end(signal = 'SIGKILL') {
      child.kill(signal)
      return exited
    },
  }
}

/** An ordinary request. */
interface OrdinaryRequest {
  url: string
  method: 'GET' | 'POST'
  headers?: Record<string, string>
  body?: string
}

/** Sends a request on a connection of its own; resolves to the status, 0 without an answer. */
async function sendOnce(req: OrdinaryRequest): Promise<number> {
  const { url, method, headers = {}, body = null } = req
  const res = await request(url, {
    method,
    headers,
    body,
    headersTimeout: TRY_TIMEOUT_MS,
    bodyTimeout: TRY_TIMEOUT_MS,
    reset: true,
  }).catch(() => undefined)
  await res?.body.dump().catch(() => undefined)
  return res?.statusCode ?? 0
}

/** Sends the bytes of a request as they are; resolves to the status, 0 without an answer. */
function sendBytesOnce(address: string, bytes: Buffer): Promise<number> {
  const colon = address.lastIndexOf(':')
  const socket = connect(Number(address.slice(colon + 1)), address.slice(0, colon))
  return new Promise((resolve) => {
    let answer = ''
    socket.on('data', (chunk) => {
      answer += chunk.toString('latin1')
      socket.end()
    })
    socket.on('error', () => undefined)
    socket.on('close', () => resolve(Number(/^HTTP\/1\.1 (\d+)/.exec(answer)?.[1] ?? 0)))
    socket.write(bytes)
  })
}

/** Sends again after a refusal or without an answer, as callers do; resolves to the last status. */
async function sendUntil(wanted: number, send: () => Promise<number>): Promise<number> {
  let status = 0
  for (let tries = 0; tries < TRIES && status !== wanted; tries++) {
    if (tries > 0) await sleep(TRY_PAUSE_MS)
    status = await send()
  }
  return status
}

/** Sends an ordinary request until its answer has the status; resolves to the last status. */
export const ordinaryStatus = (req: OrdinaryRequest, wanted: number): Promise<number> =>
  sendUntil(wanted, () => sendOnce(req))

/** Like {@link ordinaryStatus}, for a request given as bytes. */
export const statusOfBytes = (
  address: string,
  bytes: Buffer,
  wanted: number,
): Promise<number> => sendUntil(wanted, () => sendBytesOnce(address, bytes))
