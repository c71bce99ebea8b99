/** A proxy on the loopback that delays, resets, cuts and silences connections. */
import { connect, createServer } from 'node:net'
import type { Socket } from 'node:net'
import { HOST } from '../sim/wire.js'

/** Time between two looks at bytes that are held back, in ms. */
const STEP_MS = 5

/** Way of bytes: towards the server or back to the client. */
type Direction = 'up' | 'down'

/** The proxy, while it runs. */
export interface FaultLink {
  address: string
  port: number
  /** Bytes are so late, in ms. */
  delayMs: number
  /** Ways on which bytes are held for as long as they stand here. */
  cut: Set<Direction>
  /** Breaks all open connections. */
  reset(): void
  /** Nothing passes open connections any more; new ones work. */
  silence(): void
  /** When something was wrong for the last time; now, while something is. */
  lastFaultAt(): number
  close(): void
}

/** One direction of a connection: order is kept, bytes wait while they must. */
interface Pipe {
  /** Takes bytes, or the end of the connection. */
  push(data?: Buffer): void
  flush(): void
  isSilent: boolean
}

function createPipe(to: Socket, way: Direction, link: FaultLink): Pipe {
  const pieces: { dueAt: number; data: Buffer | undefined }[] = []
  const isDue = (): boolean =>
    pieces.length > 0 && !link.cut.has(way) && pieces[0]!.dueAt <= performance.now()

  const pipe: Pipe = {
    isSilent: false,
    push(data) {
      if (pipe.isSilent) return
      pieces.push({ dueAt: performance.now() + link.delayMs, data })
      pipe.flush()
    },
    flush() {
      while (isDue()) {
        const { data } = pieces.shift()!
        if (data && !to.destroyed) to.write(data)
        else to.end()
      }
    },
  }
  return pipe
}

/** Opens the proxy before a port of this machine. */
export async function openFaultLink(toPort: number): Promise<FaultLink> {
  const pipes = new Set<Pipe>()
  const sockets = new Set<Socket>()
  let lastFaultAt = -Infinity
  const recordFault = (): void => void (lastFaultAt = performance.now())

  const connectPipe = (from: Socket, to: Socket, way: Direction): void => {
    const pipe = createPipe(to, way, link)
    pipes.add(pipe)
    sockets.add(from)
    from.on('data', (data: Buffer) => pipe.push(data))
    // The close that follows is all that matters.
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
