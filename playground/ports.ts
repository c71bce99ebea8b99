/**
 * Allocates free loopback ports that a server can use again after a restart. Each thread reserves
 * whole blocks of ports: if another thread took a port between a stop and the next start, it
 * would receive requests meant for the restarted server.
 */
import { createServer } from 'node:net'
import type { Server } from 'node:net'

/** First port of the blocks, which lie below the ephemeral range of the system. */
const FIRST_PORT = 12_000
const PORTS_PER_BLOCK = 300
const BLOCKS = 60
const HOST = '127.0.0.1'

/** Next port of the reserved block, and the end of the block; equal if there is none. */
let nextPort = 0
let endPort = 0
/** Serializes the requests for ports. */
let lastRequest: Promise<unknown> = Promise.resolve()

/** Opens a server on a port; undefined if the port is in use. */
function listenOn(port: number): Promise<Server | undefined> {
  const server = createServer()
  return new Promise((resolve) => {
    server.once('error', () => resolve(undefined))
    server.listen(port, HOST, () => resolve(server))
  })
}

async function canListen(port: number): Promise<boolean> {
  const server = await listenOn(port)
  if (!server) return false
  await new Promise((resolve) => server.close(resolve))
  return true
}

/** Reserves a block by listening on its first port until this thread ends. */
async function reserveBlock(): Promise<void> {
  for (let block = 0; block < BLOCKS; block++) {
    const first = FIRST_PORT + block * PORTS_PER_BLOCK
    const guard = await listenOn(first)
    if (!guard) continue
    guard.unref()
    nextPort = first + 1
    endPort = first + PORTS_PER_BLOCK
    return
  }
  throw new Error(`all ${BLOCKS} blocks of ports are in use`)
}

async function findPort(): Promise<number> {
  for (;;) {
    if (nextPort >= endPort) await reserveBlock()
    const port = nextPort++
    if (await canListen(port)) return port
  }
}

/** Allocates a port that is reserved for this thread until the thread ends. */
export function freePort(): Promise<number> {
  const port = lastRequest.then(findPort)
  lastRequest = port.catch(() => undefined)
  return port
}
