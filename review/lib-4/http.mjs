/** Small HTTP servers with JSON bodies, for the stand-ins of a case. */
import { createServer } from 'node:http'

export const sleep = (ms) => new Promise((resolve) => setTimeout(resolve, ms))
/** Steady clock, in ms. */
export const now = () => performance.now()

/** Reads the body of a request, as text and as JSON. */
export async function readBody(req) {
  const chunks = []
  for await (const chunk of req) chunks.push(chunk)
  const text = Buffer.concat(chunks).toString('utf8')
  return { text, json: text === '' ? {} : JSON.parse(text) }
}

/** Answers with a JSON body; without one if it is undefined. */
export function reply(res, status, body, headers = {}) {
  const text = body === undefined ? '' : JSON.stringify(body)
  res.writeHead(status, {
    'content-type': 'application/json',
    'content-length': Buffer.byteLength(text),
    ...headers,
  })
  res.end(text)
}

/** Starts a server on a free port of a loopback address. */
export function listen(host, handle) {
  return new Promise((resolve, reject) => {
    const server = createServer((req, res) => {
      Promise.resolve(handle(req, res)).catch((cause) => {
        if (!res.headersSent) reply(res, 500, { error: String(cause) })
      })
    })
    server.keepAliveTimeout = 120_000
    server.on('error', reject)
    server.listen(0, host, () => {
      resolve({
        server,
        address: `${host}:${server.address().port}`,
        close() {
          server.close()
          server.closeAllConnections()
        },
      })
    })
  })
}

/** Resolves when one of `waiters` is called, or after `ms`. */
export function waitFor(waiters, ms) {
  return new Promise((resolve) => {
    const wake = () => {
      waiters.delete(wake)
      clearTimeout(timer)
      resolve()
    }
    const timer = setTimeout(wake, ms)
    waiters.add(wake)
  })
}
