/** Crowds of clients that exceed what a server should accept, over plain sockets on loopback. */
import { connect } from 'node:net'
import type { Socket } from 'node:net'
import { sleep } from '../../src/shared/index.js'

/** Time without any progress of a crowd after which it has done what it can, in ms. */
const SETTLED_MS = 1000
/** Longest time that a crowd gets to settle, in ms. */
const SETTLE_TIMEOUT_MS = 30_000
const POLL_MS = 100

/** Where a crowd sends its requests. */
export interface CrowdTarget {
  /** Address as `host:port`. */
  address: string
  /** Head of a request for a small answer, up to its last header. */
  question: string
  /** Head of a request with a body, up to its last header; each number gives another one. */
  upload(number: number): string
  /** Whole body of a valid upload. */
  body: string
}

/** Open connections of a crowd. */
export interface Crowd {
  /** Resolves once no connection makes progress any more. */
  settled(): Promise<void>
  close(): void
}

/** A connection whose client does not read. */
function openUnread(address: string): Socket {
  const colon = address.lastIndexOf(':')
  const socket = connect(Number(address.slice(colon + 1)), address.slice(0, colon))
  // The server may close or reset the connection, which is one of the allowed outcomes.
  socket.on('error', () => socket.destroy())
  return socket.pause()
}

function openMany(address: string, count: number, use: (socket: Socket) => void): Crowd {
  const sockets = Array.from({ length: count }, () => openUnread(address))
  sockets.forEach(use)
  const progress = (): string =>
    sockets
      .map((each) => `${each.connecting} ${each.bytesWritten - each.writableLength}`)
      .join()
  return {
    async settled() {
      const endsAt = Date.now() + SETTLE_TIMEOUT_MS
      let last = progress()
      let changedAt = Date.now()
      while (Date.now() - changedAt < SETTLED_MS && Date.now() < endsAt) {
        await sleep(POLL_MS)
        const now = progress()
        if (now !== last) changedAt = Date.now()
        last = now
      }
    },
    close: () => sockets.forEach((each) => each.destroy()),
  }
}

/** A chunk of a chunked body. */
const chunk = (bytes: string): string => `${bytes.length.toString(16)}\r\n${bytes}\r\n`

const CHUNKED = 'Transfer-Encoding: chunked\r\n\r\n'
/** Requests that one connection sends ahead. */
const REQUESTS_AHEAD = 10_000
/** Jobs that one connection sends ahead. */
const UPLOADS_AHEAD = 1000
/** Bytes of a body that never ends. */
const ENDLESS_BODY_BYTES = 7_500_000
const LARGE_CHUNK_BYTES = 64 * 1024
const SMALL_CHUNKS = 90_000
/** Length of a body that stops one byte short of its end. */
const DECLARED_BYTES = 262_144
/** Bytes of headers that never end. */
const HEADER_BYTES = 12_000
/** Time between two waves of connections, in ms. */
const WAVE_MS = 50

const unreadRequests = (address: string, count: number, text: string): Crowd => {
  const bytes = Buffer.from(text)
  return openMany(address, count, (socket) => socket.write(bytes))
}

/** Opens connections in waves; half of each wave leaves before the next one comes. */
function openWaves(address: string, waves: number, size: number, text: string): Crowd {
  const crowds: Crowd[] = []
  const done = (async () => {
    for (let wave = 0; wave < waves; wave++) {
      const leaving = unreadRequests(address, size / 2, text)
      crowds.push(unreadRequests(address, size / 2, text))
      await sleep(WAVE_MS)
      leaving.close()
    }
  })()
  return {
    async settled() {
      await done
      await crowds.at(-1)?.settled()
    },
    close: () => crowds.forEach((each) => each.close()),
  }
}

/** Opens a crowd of each kind. */
export const CROWDS = {
  questionsAhead: ({ address, question }) =>
    unreadRequests(address, 30, `${question}\r\n`.repeat(REQUESTS_AHEAD)),
  questionsAheadWithoutHost: ({ address }) =>
    unreadRequests(address, 30, 'GET / HTTP/1.1\r\n\r\n'.repeat(REQUESTS_AHEAD)),
  oldQuestionsAhead: ({ address }) =>
    unreadRequests(
      address,
      30,
      'GET / HTTP/1.0\r\nConnection: keep-alive\r\n\r\n'.repeat(REQUESTS_AHEAD),
    ),
  uploadsAhead: ({ address, upload, body }) => {
    let uploads = 0
    return openMany(address, 30, (socket) => {
      const requests = Array.from(
        { length: UPLOADS_AHEAD },
        () => `${upload(++uploads)}Content-Length: ${body.length}\r\n\r\n${body}`,
      )
      socket.write(requests.join(''))
    })
  },
  smallChunks: ({ address, upload }) =>
    unreadRequests(
      address,
      60,
      `${upload(0)}${CHUNKED}${chunk('x').repeat(SMALL_CHUNKS)}`,
    ),
  largeChunks: ({ address, upload }) =>
    unreadRequests(
      address,
      60,
      `${upload(0)}${CHUNKED}${chunk('x'.repeat(LARGE_CHUNK_BYTES)).repeat(
        Math.ceil(ENDLESS_BODY_BYTES / LARGE_CHUNK_BYTES),
      )}`,
    ),
  largeChunksToGet: ({ address, question }) =>
    unreadRequests(
      address,
      60,
      `${question}${CHUNKED}${chunk('x'.repeat(LARGE_CHUNK_BYTES)).repeat(
        Math.ceil(ENDLESS_BODY_BYTES / LARGE_CHUNK_BYTES),
      )}`,
    ),
  bodiesShortOfTheirEnd: ({ address, upload }) =>
    unreadRequests(
      address,
      300,
      `${upload(0)}Content-Length: ${DECLARED_BYTES}\r\n\r\n${'x'.repeat(DECLARED_BYTES - 1)}`,
    ),
  headersWithoutEnd: ({ address, question }) =>
    unreadRequests(address, 1500, `${question}x-padding: ${'x'.repeat(HEADER_BYTES)}`),
  silentConnections: ({ address }) => openMany(address, 1500, () => undefined),
  wavesOfConnections: ({ address, question }) =>
    openWaves(address, 20, 100, `${question}\r\n`),
} satisfies Record<string, (target: CrowdTarget) => Crowd>

/** Name of a kind of crowd. */
export type CrowdKind = keyof typeof CROWDS

/** All kinds of crowds. */
export const CROWD_KINDS = Object.keys(CROWDS) as CrowdKind[]
