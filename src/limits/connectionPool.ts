/**
 * The connections of one endpoint. When they take more than the endpoint's limits, those are closed
 * that ask for nothing: idle ones first, then those with unfinished requests, then those whose
 * answers are not taken. A whole request is answered or refused.
 */
import type { IncomingMessage, ServerResponse } from 'node:http'
import type { Socket } from 'node:net'
import { monotonicMs } from '../shared/index.js'
import type { EndpointLimits } from './budget.js'
import { connectionOf, createConnection, stateOf } from './connection.js'
import type { Connection, ConnectionState, OpenRequest } from './connection.js'

/** Time without any byte sent after which a connection with unsent answers is closed, in ms. */
const UNREAD_TIMEOUT_MS = 15_000

/**
 * Part of the requests in progress up to which connections get further ones. The rest is for
 * connections that have none.
 */
const FURTHER_REQUESTS_SHARE = 0.5

/** Time after which a refused client should come back, in s. */
export const RETRY_AFTER_S = 1

/** Why a connection was closed. */
export type CloseReason = Exclude<ConnectionState, 'asking'> | 'bytes' | 'timeout'
/** Why something was refused. */
export type RefusalReason = 'connections' | 'requests'

/** Handles a request; a promise resolves once that has ended. */
export type RequestHandler = (req: IncomingMessage, res: ServerResponse) => unknown

/** What the clients of an endpoint take up at the moment. */
export interface PoolUsage {
  connections: number
  requests: number
  heldBytes: number
  unsentBytes: number
}

/** Connections of an endpoint. */
export interface ConnectionPool {
  /** Takes a socket; undefined if it is refused. */
  admit(socket: Socket): Connection | undefined
  /** Passes a request on, or has it refused. */
  serve(
    req: IncomingMessage,
    res: ServerResponse,
    handle: RequestHandler,
    refuse: (res: ServerResponse) => void,
  ): void
  usage(): PoolUsage
  /** Closes connections whose clients have taken nothing of their answers for long. */
  closeUnread(): void
}

/** Order in which connections are closed for a new one. */
const CLOSED_FIRST: readonly Exclude<ConnectionState, 'idle' | 'asking'>[] = [
  'unfinished',
  'unread',
]

/** Answer to a connection that is refused. */
const REFUSAL = [
  'HTTP/1.1 503 Service Unavailable',
  `Retry-After: ${RETRY_AFTER_S}`,
  'Content-Length: 0',
  'Connection: close',
  '\r\n',
].join('\r\n')

/** Creates a pool without connections. */
export function createConnectionPool(
  limits: EndpointLimits,
  hooks: { onClosed(reason: CloseReason): void; onRefused(reason: RefusalReason): void },
): ConnectionPool {
  const open = new Set<Connection>()
  /** Idle connections, the longest idle first: those without any request, and the others. */
  const silent = new Set<Connection>()
  const kept = new Set<Connection>()
  let requests = 0
  let heldBytes = 0
  let unsentBytes = 0

  function close(connection: Connection, reason: CloseReason): void {
    hooks.onClosed(reason)
    forget(connection)
    if (reason === 'idle') connection.stream.destroy()
    else connection.stream.reset()
  }

  function forget(connection: Connection): void {
    if (!open.delete(connection)) return
    silent.delete(connection)
    kept.delete(connection)
    for (const { noteClosed } of connection.requests) noteClosed()
    heldBytes -= connection.heldBytes
    unsentBytes -= connection.unsentBytes
    connection.heldBytes = 0
    connection.unsentBytes = 0
  }

  /** The connection that holds most among those in a state. */
  function largest(
    state: ConnectionState,
    sizeOf: (connection: Connection) => number,
    except?: Connection,
  ): Connection | undefined {
    let found: Connection | undefined
    for (const each of open) {
      if (each === except || (found && sizeOf(each) <= sizeOf(found))) continue
      if (stateOf(each) === state) found = each
    }
    return found
  }

  const held = (connection: Connection): number =>
    connection.heldBytes + connection.unsentBytes

  function closeOneForAnother(): boolean {
    const [longestIdle] = silent.size > 0 ? silent : kept
    if (longestIdle) {
      close(longestIdle, 'idle')
      return true
    }
    return CLOSED_FIRST.some((state) => closeLargest(state))
  }

  /** Closes the connection that holds most among the others in a state; false if there is none. */
  function closeLargest(
    state: Exclude<ConnectionState, 'asking'>,
    except?: Connection,
  ): boolean {
    const found = largest(state, held, except)
    if (found) close(found, state)
    return found !== undefined
  }

  /** Moves a connection to the idle ones if it has become idle. */
  function noteIdle(connection: Connection): void {
    if (!open.has(connection) || connection.requests.size > 0) return
    if (stateOf(connection) !== 'idle') return
    const idle = connection.hasAsked ? kept : silent
    idle.add(connection)
  }

  function hold(connection: Connection, bytes: number): void {
    connection.heldBytes += bytes
    heldBytes += bytes
  }

  function onHeld(connection: Connection, bytes: number): void {
    if (!open.has(connection)) return
    silent.delete(connection)
    kept.delete(connection)
    hold(connection, bytes)
    if (heldBytes <= limits.heldBytes) return
    const sizeOf = (each: Connection): number => each.heldBytes
    close(
      largest('unfinished', sizeOf) ?? largest('unread', sizeOf) ?? connection,
      'bytes',
    )
  }

  function onUnsent(connection: Connection, bytes: number): void {
    if (!open.has(connection)) return
    connection.unsentBytes += bytes
    unsentBytes += bytes
    if (bytes < 0) return noteIdle(connection)
    if (unsentBytes <= limits.unreadBytes) return
    let most = connection
    for (const each of open) if (each.unsentBytes > most.unsentBytes) most = each
    close(most, 'unread')
  }

  /** Counts a request until its answer has ended and its handler too. */
  function run(
    connection: Connection,
    req: IncomingMessage,
    res: ServerResponse,
    handle: RequestHandler,
  ): void {
    let isClosed = false
    let isHandled = false
    const endIfDone = (): void => {
      if (isClosed && isHandled && !request.isEnded) end(connection, request)
    }
    const noteClosed = (): void => {
      isClosed = true
      endIfDone()
    }
    const noteHandled = (): void => {
      isHandled = true
      endIfDone()
    }
    const heldBytes = connection.headBytes
    const request: OpenRequest = { req, res, heldBytes, isEnded: false, noteClosed }
    connection.headBytes = 0
    connection.newest = request
    connection.requests.add(request)
    requests++
    res.once('close', noteClosed)
    const handled = handle(req, res)
    if (handled instanceof Promise) void handled.then(noteHandled, noteHandled)
    else noteHandled()
  }

  function end(connection: Connection, request: OpenRequest): void {
    request.isEnded = true
    requests--
    connection.requests.delete(request)
    if (!open.has(connection)) return
    hold(connection, -request.heldBytes)
    noteIdle(connection)
    connection.stream.proceed()
  }

  return {
    admit(socket) {
      if (open.size >= limits.connections && !closeOneForAnother()) {
        hooks.onRefused('connections')
        socket.on('error', () => socket.destroy())
        socket.end(REFUSAL)
        socket.destroySoon()
        return undefined
      }
      const connection = createConnection(socket, {
        mayAsk: () => requests < limits.requests * FURTHER_REQUESTS_SHARE,
        onHeld,
        onUnsent,
      })
      open.add(connection)
      silent.add(connection)
      connection.stream.once('close', () => forget(connection))
      return connection
    },
    serve(req, res, handle, refuse) {
      const connection = connectionOf(req)
      if (!connection) return
      connection.hasAsked = true
      if (requests < limits.requests || closeLargest('unfinished', connection))
        return run(connection, req, res, handle)
      hooks.onRefused('requests')
      hold(connection, -connection.headBytes)
      connection.headBytes = 0
      refuse(res)
    },
    usage: () => ({ connections: open.size, requests, heldBytes, unsentBytes }),
    closeUnread() {
      const before = monotonicMs() - UNREAD_TIMEOUT_MS
      for (const each of open)
        if (each.unsentBytes > 0 && each.sentAt < before) close(each, 'timeout')
    },
  }
}
