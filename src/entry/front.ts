/**
 * HTTP server for callers. hono does the routing; request and answer bodies pass through
 * the Node streams that its adapter exposes, which cost far less than web streams (see
 * docs/measurements.md).
 */
import type { IncomingMessage, Server, ServerResponse } from 'node:http'
import { getRequestListener } from '@hono/node-server'
import type { HttpBindings } from '@hono/node-server'
import { RESPONSE_ALREADY_SENT } from '@hono/node-server/utils/response'
import { Hono } from 'hono'
import type { ServerLimits } from '../limits/index.js'
import { refuse } from './answers.js'
import { KEEP_ALIVE_TIMEOUT_MS } from './constants.js'
import type { Router } from './router.js'

/** A running server for callers. */
export interface Front {
  address: { address: string; port: number }
  /** From now on, answers ask callers to close their connections. */
  setStopping(): void
  close(): Promise<void>
}

/** Starts the server for callers. Rejects if the address cannot be used. */
export async function createFront(opts: {
  router: Router
  host: string
  port: number
  serverLimits: ServerLimits
}): Promise<Front> {
  const { router, host, port, serverLimits } = opts
  let stopping = false
  const app = new Hono<{ Bindings: HttpBindings }>()
  app.all('*', async (c) => {
    const req = c.env.incoming as IncomingMessage
    const res = c.env.outgoing as ServerResponse
    if (stopping) res.setHeader('connection', 'close')
    await router.serve(req, res)
    if (stopping) endConnection(req, res)
    return RESPONSE_ALREADY_SENT
  })
  const listener = getRequestListener(app.fetch, { overrideGlobalObjects: false })
  const server = serverLimits.createServer('callers', listener, {
    // Large uploads may take long; each request is bounded by its deadline instead.
    http: { requestTimeout: 0, keepAliveTimeout: KEEP_ALIVE_TIMEOUT_MS },
    refuse: (res) => void refuse(res, 'overloaded', undefined, 'too many requests'),
  })
  await listen(server, host, port)
  const address = server.address() as { address: string; port: number }

  return {
    address,
    setStopping: () => (stopping = true),
    async close() {
      const closed = new Promise((resolve) => server.close(resolve))
      server.closeIdleConnections()
      await router.drained()
      // Those that are left have sent no whole request.
      server.closeAllConnections()
      await closed
    },
  }
}

/** Closes a keep-alive connection once its answer has been handed to the socket. */
function endConnection(req: IncomingMessage, res: ServerResponse): void {
  if (res.writableFinished) req.socket.destroySoon()
  else res.once('finish', () => req.socket.destroySoon())
}

/** Opens the port of a server; rejects if the address cannot be used. */
export function listen(server: Server, host: string, port: number): Promise<void> {
  return new Promise((resolve, reject) => {
    server.once('error', reject)
    server.listen(port, host, resolve)
  })
}
