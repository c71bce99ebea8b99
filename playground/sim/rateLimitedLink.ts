/**
 * TCP proxy with a limited bandwidth in each direction, shared by all of its connections. It
 * simulates the network link of a small VM.
 */
import { createServer, connect } from 'node:net'
import type { Socket } from 'node:net'
import { HOST } from './wire.js'

/** Interval at which bytes are forwarded, in ms. */
const STEP_MS = 10

/** A running proxy. */
export interface RateLimitedLink {
  address: string
  close(): void
}

/** Creates a function that queues bytes and writes up to `bytesPerStep` per interval, in order. */
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

/**
 * Opens a proxy in front of an address.
 * @param to address as `host:port`
 * @param mbps bandwidth of each direction, in Mbit/s
 */
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
