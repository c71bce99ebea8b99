/** TCP proxy on the loopback interface that delays, resets, blocks or silences connections. */
import { connect, createServer } from 'node:net'
import type { Socket } from 'node:net'
import { HOST } from '../sim/wire.js'

/** Interval at which held-back bytes are forwarded, in ms. */
const STEP_MS = 5

/** Direction of bytes: up to the server or down to the client. */
type Direction = 'up' | 'down'

/** A running proxy. */
export interface FaultLink {
  address: string
  port: number
  /** Delay of all bytes, in ms. */
  delayMs: number
  /** Directions in which bytes are held back. */
  cut: Set<Direction>
  /** Resets all open connections. */
  reset(): void
  /** Drops all further bytes of open connections without closing them; new ones work. */
  silence(): void
  /** Monotonic time of the last fault, in ms; the current time during a delay or cut. */
  lastFaultAt(): number
  close(): void
}

/** One direction of a connection. Bytes are delayed or held back, and stay in order. */
interface Pipe {
  /** Queues bytes; without any, queues the end of the connection. */
  push(data?: Buffer): void
  flush(): void
  isSilent: boolean
}

function createPipe(to: Socket, direction: Direction, link: FaultLink): Pipe {
  const queue: { dueAt: number; data: Buffer | undefined }[] = []
  const isDue = (): boolean =>
    queue.length > 0 && !link.cut.has(direction) && queue[0]!.dueAt <= performance.now()

  const pipe: Pipe = {
    isSilent: false,
    push(data) {
      if (pipe.isSilent) return
      queue.push({ dueAt: performance.now() + link.delayMs, data })
      pipe.flush()
    },
    flush() {
      while (isDue()) {
        const { data } = queue.shift()!
        if (data && !to.destroyed) to.write(data)
        else to.end()
      }
    },
  }
  return pipe
}

/** Opens a proxy in front of a port on the loopback interface. */
export async function openFaultLink(toPort: number): Promise<FaultLink> {
  const pipes = new Set<Pipe>()
  const sockets = new Set<Socket>()
  let lastFaultAt = -Infinity
  const recordFault = (): void => void (lastFaultAt = performance.now())

  const connectPipe = (from: Socket, to: Socket, direction: Direction): void => {
    const pipe = createPipe(to, direction, link)
    pipes.add(pipe)
    sockets.add(from)
    from.on('data', (data: Buffer) => pipe.push(data))
    // An error is always followed by `close`, which is handled below.
    from.on('error', () => undefined)
    from.on('close', () => {
      sockets.delete(from)
      pipe.push()
    })
    to.on('close', () => pipes.delete(pipe))
  }
  const server = createServer((client) => {
    const upstream = connect(toPort, HOST)
    connectPipe(client, upstream, 'up')
    connectPipe(upstream, client, 'down')
  })
  const timer = setInterval(() => {
    if (link.delayMs > 0 || link.cut.size > 0) recordFault()
    pipes.forEach((pipe) => pipe.flush())
  }, STEP_MS)
  await new Promise<void>((resolve) => server.listen(0, HOST, resolve))
  const { port } = server.address() as { port: number }

  const link: FaultLink = {
    address: `${HOST}:${port}`,
    port,
    delayMs: 0,
    cut: new Set(),
    reset() {
      recordFault()
      for (const socket of sockets) socket.resetAndDestroy()
    },
    silence() {
      recordFault()
      for (const pipe of pipes) pipe.isSilent = true
    },
    lastFaultAt: () => lastFaultAt,
    close() {
      clearInterval(timer)
      server.close()
      for (const socket of sockets) socket.destroy()
    },
  }
  return link
}
