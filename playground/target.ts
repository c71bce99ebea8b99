/**
 * Stand-in for a target over HTTP: a number of slots, a bounded queue, a health check,
 * exponentially distributed service times and a ledger of the requests that it ran.
 */
import { createServer } from 'node:http'
import type { IncomingMessage, ServerResponse } from 'node:http'
import type { AddressInfo, Socket } from 'node:net'
import { HEALTH_PATH, OUTCOME_HEADER, REQUEST_ID_HEADER } from '../src/entry/index.js'
import type { Random } from './random.js'
import { exponential } from './random.js'

/** Number of runs by request id, over all targets. */
export type Ledger = Map<string, number>

/** Behaviour of a target. Fields can be changed while it runs. */
export interface TargetBehaviour {
  /** Mean service time, in ms; 0 answers at once. */
  meanMs: number
  /** Answers every request with 500. */
  failsAll: boolean
  /** Accepts requests and never answers them. */
  hangs: boolean
  /** Closes the connection after half of each answer. */
  truncatesAnswers: boolean
  /** Request bodies are read only after this has resolved. */
  readsBodiesAfter: Promise<void> | undefined
}

/** A running target. */
export interface TargetServer {
  address: string
  behaviour: TargetBehaviour
  /** Reports the state `draining` in the health check from now on. */
  drain(): void
  /** Number of requests that run or wait for a slot. */
  load(): number
  /** Closes the server and all of its connections at once. */
  kill(): Promise<void>
}

/** Options of {@link startTarget}. */
export interface TargetOptions {
  vm: string
  incarnation: string
  job: string
  service: string
  slots: number
  host: string
  port?: number
  random: Random
  ledger: Ledger
  behaviour?: Partial<TargetBehaviour>
}

/** Queue length per slot; further requests are refused. */
const QUEUE_PER_SLOT = 2
const DEFAULT_MEAN_MS = 10

/** Starts a target; by default on a free port of the host. */
export async function startTarget(opts: TargetOptions): Promise<TargetServer> {
  const { vm, incarnation, job, service, slots, ledger } = opts
  const behaviour: TargetBehaviour = {
    meanMs: DEFAULT_MEAN_MS,
    failsAll: false,
    hangs: false,
    truncatesAnswers: false,
    readsBodiesAfter: undefined,
    ...opts.behaviour,
  }
  const waiting: (() => void)[] = []
  const sockets = new Set<Socket>()
  let running = 0
  let draining = false

  const load = () => running + waiting.length

  function answerHealth(res: ServerResponse): void {
    const state = draining ? 'draining' : 'ok'
    res.setHeader('content-type', 'application/json')
    res.end(JSON.stringify({ vm, incarnation, job, state, load: load() }))
  }

  async function acquireSlot(): Promise<void> {
    if (running >= slots) await new Promise<void>((resolve) => waiting.push(resolve))
    running++
  }

  function releaseSlot(): void {
    running--
    waiting.shift()?.()
  }

  async function run(req: IncomingMessage, res: ServerResponse): Promise<void> {
    if (load() >= slots * (1 + QUEUE_PER_SLOT)) {
      res.writeHead(503, { [OUTCOME_HEADER]: 'not-run' })
      res.end()
      return
    }
    await acquireSlot()
    const id = String(req.headers[REQUEST_ID_HEADER] ?? '')
    ledger.set(id, (ledger.get(id) ?? 0) + 1)
    await behaviour.readsBodiesAfter
    let received = 0
    for await (const chunk of req) received += (chunk as Buffer).length
    const ms = behaviour.meanMs === 0 ? 0 : exponential(opts.random, behaviour.meanMs)
    if (ms > 0) await new Promise((resolve) => setTimeout(resolve, ms))
    if (!behaviour.hangs) answer(req, res, id, received)
    releaseSlot()
  }

  function answer(
    req: IncomingMessage,
    res: ServerResponse,
    id: string,
    received: number,
  ) {
    if (behaviour.failsAll) {
      res.writeHead(500)
      res.end('failed\n')
      return
    }
    const body = JSON.stringify({
      id,
      service,
      vm,
      method: req.method,
      url: req.url,
      received,
    })
    const length = Buffer.byteLength(body)
    res.writeHead(200, { 'content-type': 'application/json', 'content-length': length })
    if (!behaviour.truncatesAnswers) return void res.end(body)
    res.write(body.slice(0, length / 2), () => res.destroy())
  }

  const server = createServer((req, res) => {
    if (req.url === HEALTH_PATH) return answerHealth(res)
    run(req, res).catch(() => releaseSlot())
  })
  server.on('connection', (socket) => {
    sockets.add(socket)
    socket.on('close', () => sockets.delete(socket))
  })
  // Longer than any idle time-out of the entries, so that the entries close idle connections.
  server.keepAliveTimeout = 120_000
  await new Promise<void>((resolve) => server.listen(opts.port ?? 0, opts.host, resolve))

  return {
    address: `${opts.host}:${(server.address() as AddressInfo).port}`,
    behaviour,
    drain: () => (draining = true),
    load,
    kill: () =>
      new Promise((resolve) => {
        server.close(() => resolve())
        for (const socket of sockets) socket.destroy()
      }),
  }
}
