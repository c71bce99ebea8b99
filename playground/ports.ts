/**
 * Free ports of the own machine that stay the same when a process starts anew. Blocks of
 * them belong to one thread of one process: another one that took a port between a stop
 * and the next start would get the requests that are meant for the first.
 */
import { createServer } from 'node:net'
import type { Server } from 'node:net'

/** Ports below those that the system gives out itself. */
const FIRST_PORT = 12_000
const PORTS_PER_BLOCK = 300
const BLOCKS = 60
const HOST = '127.0.0.1'

/** The next port of the own block, and the end of the block; none is taken yet. */
let nextPort = 0
let endPort = 0
/** Callers take ports one after another. */
let lastRequest: Promise<unknown> = Promise.resolve()

/** A server on the port; undefined when another one has it. */
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

/** Takes a block by its first port, which stays open as long as this thread lives. */
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
  throw new Error(`all ${BLOCKS} blocks of ports are taken`)
}

async function findPort(): Promise<number> {
  for (;;) {
    if (nextPort >= endPort) await reserveBlock()
    const port = nextPort++
    if (await canListen(port)) return port
  }
}

/** A port that no other thread takes as long as this one lives. */
export function freePort(): Promise<number> {
  const port = lastRequest.then(findPort)
  lastRequest = port.catch(() => undefined)
  return port
}
