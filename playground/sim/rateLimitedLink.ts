/**
 * A proxy before an address that lets through so many bytes a second in each direction, over
 * all connections together: the link of a small VM.
 */
import { createServer, connect } from 'node:net'
import type { Socket } from 'node:net'
import { HOST } from './wire.js'

/** Time between two portions, in ms. */
const STEP_MS = 10

/** The proxy, while it runs. */
export interface RateLimitedLink {
  address: string
  close(): void
}

/** Bytes that wait for their turn; each connection keeps its order. */
function createRateLimiter(bytesPerStep: number): (to: Socket, data: Buffer) => void {
  const waiting: { to: Socket; data: Buffer }[] = []
  const timer = setInterval(() => {
    let left = bytesPerStep
    while (left > 0 && waiting[0]) {
      const { to, data } = waiting[0]
      const chunk = data.subarray(0, left)
      if (!to.destroyed) to.write(chunk)
      left -= chunk.length
      if (chunk.length === data.length) waiting.shift()
      else waiting[0].data = data.subarray(chunk.length)
    }
  }, STEP_MS)
  timer.unref()
  return (to, data) => void waiting.push({ to, data })
}

/** Opens the proxy. */
export async function openRateLimitedLink(
  to: string,
  mbps: number,
): Promise<RateLimitedLink> {
  const [host = HOST, port] = to.split(':')
  const bytesPerStep = (mbps * 1e6 * STEP_MS) / 8 / 1000
  const sendUp = createRateLimiter(bytesPerStep)
  const sendDown = createRateLimiter(bytesPerStep)
  const sockets = new Set<Socket>()
  const server = createServer((client) => {
    const upstream = connect(Number(port), host)
    for (const [from, other, send] of [
      [client, upstream, sendUp],
      [upstream, client, sendDown],
    ] as const) {
      sockets.add(from)
      from.on('data', (data: Buffer) => send(other, data))
      from.on('error', () => other.destroy())
      from.on('close', () => {
        sockets.delete(from)
        other.destroy()
      })
    }
  })
  await new Promise<void>((resolve) => server.listen(0, HOST, resolve))
  const { port: own } = server.address() as { port: number }
  return {
    address: `${HOST}:${own}`,
    close() {
      server.close()
      for (const socket of sockets) socket.destroy()
    },
  }
}
