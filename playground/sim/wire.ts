/** HTTP servers of the stand-in platform, defined by tables of handlers. */
import { createServer } from 'node:http'
import type { IncomingMessage, Server, ServerResponse } from 'node:http'
import type { AddressInfo } from 'node:net'
import { parseJson } from '../../src/shared/index.js'

/** Address on which all servers of the stand-in listen. */
export const HOST = '127.0.0.1'

/** JSON body of a request. */
export type Body = Record<string, unknown>
/** Status and JSON body of an answer. */
export type Reply = [status: number, body?: unknown]
/** Answers the requests of one method and path. */
export type Handler = (req: {
  body: Body
  query: URLSearchParams
  headers: IncomingMessage['headers']
}) => Reply | Promise<Reply>

/**
 * Reads the JSON body of a request. Undefined if the connection ends before the body is complete
 * and handled, so that a restarted server does not handle requests to the one before. Undefined as
 * well if the body is not JSON: a request may be meant for a process that had this port before,
 * such as a node that was killed.
 */
async function readBody(req: IncomingMessage): Promise<Body | undefined> {
  const chunks: Buffer[] = []
  try {
    for await (const chunk of req) chunks.push(chunk as Buffer)
  } catch {
    return undefined
  }
  if (req.socket.destroyed) return undefined
  const text = Buffer.concat(chunks).toString('utf8')
  return text === '' ? {} : (parseJson(text) as Body | undefined)
}

async function handleRequest(
  handlers: Record<string, Handler>,
  req: IncomingMessage,
  res: ServerResponse,
): Promise<void> {
  const url = new URL(req.url ?? '/', 'http://platform')
  const handler = handlers[`${req.method} ${url.pathname}`]
  const body = await readBody(req)
  if (!body) {
    res.statusCode = 400
    return void res.end()
  }
  const [status, reply] = handler
    ? await handler({ body, query: url.searchParams, headers: req.headers })
    : [404]
  res.statusCode = status
  res.setHeader('content-type', 'application/json')
  res.end(reply === undefined ? '' : JSON.stringify(reply))
}

/**
 * Opens a server.
 * @param handlers by method and path, for example `GET /machines`
 * @param port port to listen on; 0 picks a free one
 */
export async function listen(
  handlers: Record<string, Handler>,
  port = 0,
): Promise<Server> {
  const server = createServer((req, res) => void handleRequest(handlers, req, res))
  await new Promise<void>((resolve) => server.listen(port, HOST, resolve))
  return server
}

/** Port on which `server` listens. */
export const portOf = (server: Server): number => (server.address() as AddressInfo).port
