/**
 * HTTP server for callers. hono does the routing; request and answer bodies pass through
 * the Node streams that its adapter exposes, which cost far less than web streams (see
 * docs/measurements.md).
 */
import type { IncomingMessage, Server, ServerResponse } from 'node:http'
import { serve } from '@hono/node-server'
import type { HttpBindings } from '@hono/node-server'
import { RESPONSE_ALREADY_SENT } from '@hono/node-server/utils/response'
import { Hono } from 'hono'
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
}): Promise<Front> {
  const { router, host, port } = opts
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
  const server = await listen(app, host, port)
  // Large uploads may take long; each request is bounded by its deadline instead.
  server.requestTimeout = 0
  server.keepAliveTimeout = KEEP_ALIVE_TIMEOUT_MS
  const address = server.address() as { address: string; port: number }

  return {
    address,
    setStopping: () => (stopping = true),
    async close() {
      const closed = new Promise((resolve) => server.close(resolve))
      server.closeIdleConnections()
      await router.drained()
      server.closeIdleConnections()
      await closed
    },
  }
}

/** Closes a keep-alive connection once its answer has been handed to the socket. */
function endConnection(req: IncomingMessage, res: ServerResponse): void {
  if (res.writableFinished) req.socket.destroySoon()
  else res.once('finish', () => req.socket.destroySoon())
}

/** Serves a hono application at an address; rejects if the address cannot be used. */
export function listen(
  app: { fetch: Parameters<typeof serve>[0]['fetch'] },
  host: string,
  port: number,
): Promise<Server> {
  return new Promise((resolve, reject) => {
    const server = serve(
      { fetch: app.fetch, hostname: host, port, overrideGlobalObjects: false },
      () => resolve(server as Server),
    )
    server.once('error', reject)
  })
}
