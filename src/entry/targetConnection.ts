/**
 * Connections to one target. The identity at the other end of each is verified before it
 * carries a request, and it never reconnects by itself. An address that another VM or a
 * later incarnation has taken over is thus detected before any byte of a request is sent.
 */
import { err, fromThrowable, ok } from 'neverthrow'
import type { Result } from 'neverthrow'
import { Client, buildConnector } from 'undici'
import type { Dispatcher, buildConnector as Connector } from 'undici'
import { z } from 'zod'
import { RillshuntError, describeError } from '../shared/index.js'
import { HEALTH_PATH, IDLE_TIMEOUT_MS, MAX_IDLE_CONNECTIONS } from './constants.js'

/** Answer of a target to a health request. */
export const healthSchema = z.object({
  vm: z.string(),
  incarnation: z.string(),
  /** Task id; an address may be reused by another service of the same VM. */
  job: z.string(),
  state: z.enum(['ok', 'draining']),
  /** Requests running or waiting at the target. */
  load: z.number().int().min(0),
})
export type Health = z.infer<typeof healthSchema>

/** Identity that must answer at an address. */
export interface TargetIdentity {
  job: string
  vm: string
  incarnation: string
  address: string
}

/** Verified connections to one target. */
export interface TargetConnections {
  /** Returns a verified connection for exclusive use until `release`. */
  acquire(): Promise<Result<Client, RillshuntError>>
  /** Returns a connection to the pool; one that is not reusable is closed. */
  release(client: Client, reusable: boolean): void
  /** Requests the health and verifies the identity in the answer. */
  health(): Promise<Result<Health, RillshuntError>>
  close(): Promise<void>
}

/** Options of {@link createTargetConnections}. */
export interface TargetConnectionsOptions {
  identity: TargetIdentity
  /** Longest time to open and verify a connection, in ms. */
  connectTimeoutMs: number
  /** Called when the address answers as another VM, incarnation or job. */
  onMismatch: (found: Health) => void
}

/** Creates the pool, which connects on demand. */
export function createTargetConnections(
  opts: TargetConnectionsOptions,
): TargetConnections {
  const { identity, connectTimeoutMs } = opts
  const idle: Client[] = []
  const disconnected = new WeakSet<Client>()
  let closed = false

  const fail = (step: string, cause: unknown) =>
    err(
      new RillshuntError(describeError(cause), {
        props: { step: `target.${step}`, peer: identity.address },
      }),
    )

  function connect(): Client {
    const client = new Client(`http://${identity.address}`, {
      connect: connectOnce(connectTimeoutMs),
      pipelining: 1,
      keepAliveTimeout: IDLE_TIMEOUT_MS,
      headersTimeout: 0,
      bodyTimeout: 0,
    })
    client.on('disconnect', () => {
      disconnected.add(client)
      drop(client)
    })
    return client
  }

  function drop(client: Client): void {
    const at = idle.indexOf(client)
    if (at >= 0) idle.splice(at, 1)
    client.destroy().catch(() => {})
  }

  async function verify(client: Client): Promise<Result<Health, RillshuntError>> {
    const answer = await requestHealth(client, connectTimeoutMs)
    if (answer.isErr()) {
      drop(client)
      return fail('connect', answer.error)
    }
    const health = answer.value
    if (matchesIdentity(health, identity)) return ok(health)
    opts.onMismatch(health)
    drop(client)
    return fail('identity', `answers as ${health.vm}/${health.incarnation}/${health.job}`)
  }

  async function acquire(): Promise<Result<Client, RillshuntError>> {
    if (closed) return fail('connect', 'target is removed')
    const idleClient = idle.pop()
    if (idleClient) return ok(idleClient)
    const client = connect()
    const verified = await verify(client)
    return verified.map(() => client)
  }

  function release(client: Client, reusable: boolean): void {
    const isKept = reusable && !closed && !disconnected.has(client)
    if (isKept && idle.length < MAX_IDLE_CONNECTIONS) idle.push(client)
    else drop(client)
  }

  return {
    acquire,
    release,
    async health() {
      const client = idle.pop() ?? connect()
      const verified = await verify(client)
      if (verified.isOk()) release(client, true)
      return verified
    },
    async close() {
      closed = true
      await Promise.all(idle.splice(0).map((client) => client.destroy().catch(() => {})))
    },
  }
}

/**
 * Requests the health through a dispatch handler: at one check per second and target,
 * `request` with an abort signal takes noticeable CPU time on an idle entry.
 */
function requestHealth(
  client: Client,
  timeoutMs: number,
): Promise<Result<Health, Error>> {
  return new Promise((resolve) => {
    const chunks: Buffer[] = []
    let control: Dispatcher.DispatchController | undefined
    const finish = (result: Result<Health, Error>) => {
      clearTimeout(timer)
      resolve(result)
    }
    const timer = setTimeout(() => {
      const cause = new Error(`no health answer within ${timeoutMs} ms`)
      control?.abort(cause)
      finish(err(cause))
    }, timeoutMs)
    client.dispatch(
      { method: 'GET', path: HEALTH_PATH },
      {
        onRequestStart: (controller) => void (control = controller),
        onResponseData: (_controller, chunk) => void chunks.push(chunk),
        onResponseEnd: () => finish(parseHealth(Buffer.concat(chunks).toString())),
        onResponseError: (_controller, cause) => finish(err(cause)),
      },
    )
  })
}

const parseHealth = fromThrowable(
  (text: string): Health => healthSchema.parse(JSON.parse(text)),
  (cause) => cause as Error,
)

function matchesIdentity(health: Health, identity: TargetIdentity): boolean {
  const { vm, incarnation, job } = identity
  return health.vm === vm && health.incarnation === incarnation && health.job === job
}

/**
 * A connector that fails on its second use, so that undici cannot reconnect by itself.
 */
function connectOnce(timeout: number): Connector.connector {
  const connector = buildConnector({ timeout })
  let used = false
  return (options, callback) => {
    if (used) return callback(new Error('the proved connection is lost'), null)
    used = true
    return connector(options, callback)
  }
}
