/**
 * HTTP servers whose clients share the memory and the descriptors of one process. Every server that
 * clients can reach is created here.
 */
import { createServer as createHttpServer } from 'node:http'
import type {
  IncomingMessage,
  RequestListener,
  Server,
  ServerOptions,
  ServerResponse,
} from 'node:http'
import type { Socket } from 'node:net'
import { Counter, Gauge } from 'prom-client'
import type { Registry } from 'prom-client'
import type { Logger } from '../shared/index.js'
import { limitsOf } from './budget.js'
import type { Endpoint, VmLimits } from './budget.js'
import { RETRY_AFTER_S, createConnectionPool } from './connectionPool.js'
import type { ConnectionPool, PoolUsage } from './connectionPool.js'

/** Size of the largest head of a request, in bytes; callers may send 16 KiB. */
const MAX_HEAD_BYTES = 20 * 1024
/** Time in which a client must send the head of a request, in ms; callers may take 15 s. */
const HEAD_TIMEOUT_MS = 20_000
/** Time in which a client must send a whole request, in ms. */
const REQUEST_TIMEOUT_MS = 30_000
/** Interval in which time-outs are checked and a line about what was limited is logged, in ms. */
const CHECK_INTERVAL_MS = 1000

/** How one server differs from the others. */
export interface LimitedServerOptions {
  /** Options of the HTTP server. */
  http?: ServerOptions
  /** Answers a request that is refused because too many are in progress; it has not run. */
  refuse?(res: ServerResponse): void
}

/** The servers of a process. */
export interface ServerLimits {
  /** Creates a server that does not listen yet. */
  createServer(
    endpoint: Endpoint,
    listener: RequestListener,
    opts?: LimitedServerOptions,
  ): Server
  /** Ends the checks; servers that are still open are not limited by time any more. */
  close(): void
}

const DEFAULT_REFUSAL = `${JSON.stringify({ error: 'too many requests in progress' })}\n`

function refuseByDefault(res: ServerResponse): void {
  res.writeHead(503, {
    'content-type': 'application/json',
    'content-length': Buffer.byteLength(DEFAULT_REFUSAL),
    'retry-after': String(RETRY_AFTER_S),
  })
  res.end(DEFAULT_REFUSAL)
}

/** Creates a server whose connections belong to a pool. */
export function createPooledServer(
  pool: ConnectionPool,
  listener: RequestListener,
  { http = {}, refuse = refuseByDefault }: LimitedServerOptions = {},
): Server {
  const server = createHttpServer(
    {
      maxHeaderSize: MAX_HEAD_BYTES,
      headersTimeout: HEAD_TIMEOUT_MS,
      requestTimeout: REQUEST_TIMEOUT_MS,
      connectionsCheckingInterval: CHECK_INTERVAL_MS,
      ...http,
    },
    (req: IncomingMessage, res: ServerResponse) => pool.serve(req, res, listener, refuse),
  )
  // The HTTP server takes any duplex stream as a connection.
  const accept = server.listeners('connection')[0] as (stream: unknown) => void
  server.off('connection', accept)
  server.on('connection', (socket: Socket) => {
    const connection = pool.admit(socket)
    if (connection) accept.call(server, connection.stream)
  })
  return server
}

/** What was closed and refused at an endpoint, by reason. */
type Counts = Record<string, number>

/** Creates the metrics; `usages` are read whenever the metrics are rendered. */
function createLimitMetrics(
  registry: Registry | undefined,
  usages: () => [Endpoint, PoolUsage][],
) {
  const registers = registry ? [registry] : []
  const GAUGES: Record<keyof PoolUsage, [name: string, help: string]> = {
    connections: ['client_connections', 'open connections of clients, by endpoint'],
    requests: ['client_requests', 'requests in progress, by endpoint'],
    heldBytes: ['client_held_bytes', 'bytes of requests in progress, by endpoint'],
    unsentBytes: [
      'client_unsent_bytes',
      'bytes of answers that clients have not taken, by endpoint',
    ],
  }
  for (const [field, [name, help]] of Object.entries(GAUGES)) {
    new Gauge({
      name: `rillshunt_${name}`,
      help,
      labelNames: ['endpoint'],
      registers,
      collect() {
        for (const [endpoint, usage] of usages())
          this.set({ endpoint }, usage[field as keyof PoolUsage])
      },
    })
  }
  const counter = (name: string, help: string) =>
    new Counter({
      name: `rillshunt_${name}`,
      help,
      labelNames: ['endpoint', 'reason'],
      registers,
    })
  return {
    closed: counter(
      'client_connections_closed_total',
      'connections closed by a limit, by endpoint and reason',
    ),
    refused: counter(
      'client_refused_total',
      'connections and requests refused by a limit, by endpoint and reason',
    ),
  }
}

/** Creates the limits of a process. */
export function createServerLimits(opts: {
  vm: VmLimits
  log: Logger
  registry?: Registry
}): ServerLimits {
  const { vm, log, registry } = opts
  const pools = new Map<Endpoint, ConnectionPool>()
  const limited = new Map<Endpoint, { closed: Counts; refused: Counts }>()
  const metrics = createLimitMetrics(registry, () =>
    [...pools].map(([endpoint, pool]) => [endpoint, pool.usage()]),
  )

  function count(kind: 'closed' | 'refused', endpoint: Endpoint, reason: string): void {
    metrics[kind].inc({ endpoint, reason })
    const counts = limited.get(endpoint) ?? { closed: {}, refused: {} }
    limited.set(endpoint, counts)
    counts[kind][reason] = (counts[kind][reason] ?? 0) + 1
  }

  function poolOf(endpoint: Endpoint): ConnectionPool {
    const known = pools.get(endpoint)
    if (known) return known
    const pool = createConnectionPool(limitsOf(endpoint, vm), {
      onClosed: (reason) => count('closed', endpoint, reason),
      onRefused: (reason) => count('refused', endpoint, reason),
    })
    pools.set(endpoint, pool)
    return pool
  }

  const timer = setInterval(() => {
    for (const pool of pools.values()) pool.closeUnread()
    for (const [endpoint, counts] of limited)
      log.event('clientsLimited', {
        endpoint,
        ...counts,
        ...pools.get(endpoint)?.usage(),
      })
    limited.clear()
  }, CHECK_INTERVAL_MS)
  timer.unref()

  return {
    createServer: (endpoint, listener, serverOpts) =>
      createPooledServer(poolOf(endpoint), listener, serverOpts),
    close: () => clearInterval(timer),
  }
}
