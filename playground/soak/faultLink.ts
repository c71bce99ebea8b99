/** TCP proxy on the loopback interface that delays, resets, blocks or silences connections. */
import { Socket, createServer } from 'node:net'
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

/** One direction of a connection. What passes is delayed or held back, and stays in order. */
interface Pipe {
  /** Queues the opening of the connection, bytes, or its end. */
  push(forward: () => unknown): void
  flush(): void
  isSilent: boolean
}

function createPipe(direction: Direction, link: FaultLink): Pipe {
  const queue: { dueAt: number; forward: () => unknown }[] = []
  const isDue = (): boolean =>
    queue.length > 0 && !link.cut.has(direction) && queue[0]!.dueAt <= performance.now()

  const pipe: Pipe = {
    isSilent: false,
    push(forward) {
      if (pipe.isSilent) return
      queue.push({ dueAt: performance.now() + link.delayMs, forward })
      pipe.flush()
    },
    flush() {
      while (isDue()) queue.shift()!.forward()
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

  const connectPipe = (from: Socket, to: Socket, direction: Direction): Pipe => {
    const pipe = createPipe(direction, link)
    const write = (data: Buffer): unknown => (to.destroyed ? to.end() : to.write(data))
    pipes.add(pipe)
    sockets.add(from)
    from.on('data', (data: Buffer) => pipe.push(() => write(data)))
    // An error is always followed by `close`, which is handled below.
    from.on('error', () => undefined)
    from.on('close', () => {
      sockets.delete(from)
      pipe.push(() => to.end())
    })
    to.on('close', () => pipes.delete(pipe))
    return pipe
  }
  const server = createServer((client) => {
    const upstream = new Socket()
    const up = connectPipe(client, upstream, 'up')
    connectPipe(upstream, client, 'down')
    // A late link opens the connection late as well, perhaps to a restarted server.
    up.push(() => upstream.destroyed || upstream.connect(toPort, HOST))
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
