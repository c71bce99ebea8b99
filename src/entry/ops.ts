/** HTTP server for operations: /healthz, /readyz and /metrics. */
import { getRequestListener } from '@hono/node-server'
import { Hono } from 'hono'
import type { ServerLimits } from '../limits/index.js'
import type { Metrics } from '../shared/index.js'
import { listen } from './front.js'

/** State that /readyz reports. */
export interface OpsState {
  /** Why the process is not ready; undefined when it is. */
  notReady(): string | undefined
  /** Whether a planned stop has begun; the load balancer then sends no new requests. */
  stopping(): boolean
}

/** A running server for operations. */
export interface Ops {
  port: number
  close(): Promise<void>
}

/** Starts the server for operations. Rejects if the address cannot be used. */
export async function createOps(opts: {
  state: OpsState
  metrics: Metrics
  host: string
  port: number
  serverLimits: ServerLimits
}): Promise<Ops> {
  const { state, metrics } = opts
  const app = new Hono()
  app.get('/healthz', (c) => c.text('ok\n'))
  app.get('/readyz', (c) => {
    if (state.stopping()) return c.text('stopping\n', 503)
    const reason = state.notReady()
    return reason === undefined ? c.text('ready\n') : c.text(`${reason}\n`, 503)
  })
  app.get('/metrics', async (c) => {
    const text = await metrics.render()
    return c.body(text, 200, { 'content-type': metrics.registry.contentType })
  })
  const listener = getRequestListener(app.fetch, { overrideGlobalObjects: false })
  const server = opts.serverLimits.createServer('readiness', listener)
  await listen(server, opts.host, opts.port)
  return {
    port: (server.address() as { port: number }).port,
    close: () =>
      new Promise((resolve) => {
        server.close(() => resolve())
        server.closeAllConnections()
      }),
  }
}
