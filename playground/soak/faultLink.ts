/** A proxy on the loopback that delays, resets, cuts and silences connections. */
import { connect, createServer } from 'node:net'
import type { Socket } from 'node:net'
import { HOST } from '../sim/wire.js'

/** Time between two looks at bytes that are held back, in ms. */
const STEP_MS = 5

/** Way of bytes: towards the server or back to the client. */
type Way = 'up' | 'down'

/** The proxy, while it runs. */
export interface FaultLink {
  address: string
  port: number
  /** Bytes are so late, in ms. */
  delayMs: number
  /** Ways on which bytes are held until they are no longer in this set. */
  cut: Set<Way>
  /** Breaks all open connections. */
  reset(): void
  /** Nothing passes open connections any more; new ones work. */
  silence(): void
  close(): void
}

/** Bytes on their way; without data the connection ends there. */
interface Piece {
  dueAt: number
  data: Buffer | undefined
}

/** One direction of a connection: order is kept, bytes wait while they must. */
interface Pipe {
  push(data: Buffer | undefined): void
  flush(): void
  isSilent: boolean
}

function createPipe(to: Socket, way: Way, link: FaultLink): Pipe {
  const pieces: Piece[] = []
  const send = (data: Buffer | undefined): void => {
    if (to.destroyed) return
    if (data) to.write(data)
    else to.end()
  }
  const pipe: Pipe = {
    isSilent: false,
    push(data) {
      if (pipe.isSilent) return
      pieces.push({ dueAt: performance.now() + link.delayMs, data })
      pipe.flush()
    },
    flush() {
      while (pieces[0] && !link.cut.has(way) && pieces[0].dueAt <= performance.now()) {
        send(pieces.shift()!.data)
      }
    },
  }
  return pipe
}

/** Opens the proxy before a port of this machine. */
export async function openFaultLink(toPort: number): Promise<FaultLink> {
  const pipes = new Set<Pipe>()
  const sockets = new Set<Socket>()

  const join = (from: Socket, to: Socket, way: Way): void => {
    const pipe = createPipe(to, way, link)
    pipes.add(pipe)
    sockets.add(from)
    from.on('data', (data: Buffer) => pipe.push(data))
    from.on('error', () => undefined)
    from.on('close', () => {
      sockets.delete(from)
      pipe.push(undefined)
      to.once('close', () => pipes.delete(pipe))
    })
  }
  const server = createServer((near) => {
    const far = connect(toPort, HOST)
    join(near, far, 'up')
    join(far, near, 'down')
  })
  const timer = setInterval(() => pipes.forEach((pipe) => pipe.flush()), STEP_MS)
  await new Promise<void>((resolve) => server.listen(0, HOST, resolve))
  const { port } = server.address() as { port: number }

  const link: FaultLink = {
    address: `${HOST}:${port}`,
    port,
    delayMs: 0,
    cut: new Set(),
    reset() {
      for (const socket of sockets) socket.resetAndDestroy()
    },
    silence() {
      for (const pipe of pipes) pipe.isSilent = true
    },
    close() {
      clearInterval(timer)
      server.close()
      for (const socket of sockets) socket.destroy()
    },
  }
  return link
}
