/** One connection of a client: what it has asked for and what it takes up. */
import type { IncomingMessage, ServerResponse } from 'node:http'
import type { Socket } from 'node:net'
import { monotonicMs } from '../shared/index.js'
import { createPacedStream } from './pacedStream.js'
import type { PacedStream } from './pacedStream.js'

/** Requests of one connection that are handled at the same time. */
const MAX_REQUESTS = 4
/** Unsent bytes of answers from which on no further request of the connection is read. */
const MAX_UNSENT_BYTES = 16 * 1024

/** What a connection is waiting for. */
export type ConnectionState =
  /** Its client, which has sent nothing that is not answered. */
  | 'idle'
  /** Its client, which has sent a part of a request. */
  | 'unfinished'
  /** Its client, which has not taken all answers. */
  | 'unread'
  /** An answer to a whole request. */
  | 'asking'

/** A request that is not answered yet. */
export interface OpenRequest {
  req: IncomingMessage
  res: ServerResponse
  /** Bytes of it that are held. */
  heldBytes: number
  /** Whether its answer and its handler have ended. */
  isEnded: boolean
  /** Called when the connection closes. */
  noteClosed(): void
}

/** A connection. */
export interface Connection {
  stream: PacedStream
  requests: Set<OpenRequest>
  /** The last request, also if it is answered. */
  newest: OpenRequest | undefined
  /** Bytes that have arrived of requests that are not answered. */
  heldBytes: number
  /** Bytes given to the parser that belong to no known request yet. */
  headBytes: number
  /** Bytes of answers that are not sent. */
  unsentBytes: number
  /** Monotonic time in ms at which bytes were last sent. */
  sentAt: number
  /** Whether it has had a request. */
  hasAsked: boolean
}

/** Changes of a connection. */
export interface ConnectionHooks {
  /** Whether the connection may have another request in progress. */
  mayAsk(): boolean
  onHeld(connection: Connection, bytes: number): void
  onUnsent(connection: Connection, bytes: number): void
}

/** Connections by the stream that requests know as their socket. */
const connections = new WeakMap<
  object,
  { connection: Connection; hooks: ConnectionHooks }
>()

/** The connection of a request. */
export const connectionOf = (req: IncomingMessage): Connection | undefined =>
  connections.get(req.socket)?.connection

/** Wraps a new socket. */
export function createConnection(socket: Socket, hooks: ConnectionHooks): Connection {
  const stream = createPacedStream(socket, {
    mayParse() {
      const { requests, newest, unsentBytes } = connection
      // The rest of a body is read in any case.
      if (newest && !newest.isEnded && !newest.req.complete) return true
      if (requests.size >= MAX_REQUESTS || unsentBytes >= MAX_UNSENT_BYTES) return false
      return requests.size === 0 || hooks.mayAsk()
    },
    onArrived: (bytes) => hooks.onHeld(connection, bytes),
    onParse(bytes) {
      const { newest } = connection
      if (newest && !newest.isEnded && !newest.req.complete) newest.heldBytes += bytes
      else connection.headBytes += bytes
    },
    onUnsent(bytes) {
      if (bytes < 0) connection.sentAt = monotonicMs()
      hooks.onUnsent(connection, bytes)
      if (bytes < 0) connection.stream.proceed()
    },
  })
  const connection: Connection = {
    stream,
    requests: new Set(),
    newest: undefined,
    heldBytes: 0,
    headBytes: 0,
    unsentBytes: 0,
    sentAt: monotonicMs(),
    hasAsked: false,
  }
  connections.set(stream, { connection, hooks })
  return connection
}

/** What the connection is waiting for. */
export function stateOf({
  requests,
  heldBytes,
  unsentBytes,
}: Connection): ConnectionState {
  for (const { req, res } of requests)
    if (req.complete && !res.writableEnded) return 'asking'
  for (const { req } of requests) if (!req.complete) return 'unfinished'
  if (unsentBytes > 0 || requests.size > 0) return 'unread'
  return heldBytes > 0 ? 'unfinished' : 'idle'
}

/** Bytes of a request's body were passed on, and are not held any more. */
export function releaseBytes(req: IncomingMessage, bytes: number): void {
  const known = connections.get(req.socket)
  if (!known) return
  const { connection, hooks } = known
  const request = [...connection.requests].find((each) => each.req === req)
  if (!request) return
  const released = Math.min(bytes, request.heldBytes)
  request.heldBytes -= released
  hooks.onHeld(connection, -released)
}
