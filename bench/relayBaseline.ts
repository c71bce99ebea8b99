/**
 * Child process of the relay bench: a proxy that makes no routing decision. `node` pipes
 * Node.js streams, `hono` returns a `Response` around the body from undici.
 */
import { createServer } from 'node:http'
import type { AddressInfo } from 'node:net'
import { serve } from '@hono/node-server'
import { Hono } from 'hono'
import { Pool, fetch } from 'undici'
import type { Dispatcher } from 'undici'

const CONNECTIONS = 64
const [kind, target] = process.argv.slice(2)
const pool = new Pool(`http://${target}`, { connections: CONNECTIONS, pipelining: 1 })

const relays: Record<string, () => void> = {
  node() {
    const server = createServer((req, res) => {
      const method = req.method as Dispatcher.HttpMethod
      const hasBody = req.headers['content-length'] !== undefined
      const { 'content-type': type = 'text/plain' } = req.headers
      const options = {
        method,
        path: req.url!,
        headers: { 'content-type': type },
        body: hasBody ? req : null,
      }
      pool.stream({ ...options, opaque: res }, ({ statusCode, headers }) => {
        res.writeHead(statusCode, { 'content-length': String(headers['content-length']) })
        return res
      })
    })
    server.listen(0, '127.0.0.1', () => ready((server.address() as AddressInfo).port))
  },
  hono() {
    const app = new Hono()
    app.all('*', async (c) => {
      const { method } = c.req
      const body = method === 'GET' ? null : (c.req.raw.body as never)
      const path = new URL(c.req.url).pathname
      const res = await fetch(`http://${target}${path}`, {
        method,
        body,
        duplex: 'half',
        dispatcher: pool,
      })
      return new Response(res.body as never, {
        status: res.status,
        headers: [...res.headers],
      })
    })
    serve({ fetch: app.fetch, hostname: '127.0.0.1', port: 0 }, ({ port }) => ready(port))
  },
}

function ready(port: number): void {
  console.log(`ready 127.0.0.1:${port}`)
}

relays[kind ?? '']!()
process.once('SIGTERM', () => process.exit(0))
