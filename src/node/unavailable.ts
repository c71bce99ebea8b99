/**
 * What a node does whose settings cannot be used: it says 503 where callers and the
 * platform ask, as far as the file names these addresses, instead of ending in a loop.
 */
import { readFileSync } from 'node:fs'
import { createServer } from 'node:http'
import { parse } from 'ini'

/** When callers should come back, in seconds: somebody has to mend the settings. */
const RETRY_AFTER_S = 30

/** Opens what addresses the file names; returns how many. */
export function serveUnavailable(file: string, reason: string): number {
  const addresses = listenAddresses(file)
  for (const address of addresses) {
    const colon = address.lastIndexOf(':')
    const server = createServer((req, res) => {
      req.resume()
      res.writeHead(503, { 'retry-after': String(RETRY_AFTER_S) })
      res.end(`${JSON.stringify({ error: reason })}\n`)
    })
    server.on('error', (cause) => process.stderr.write(`${address}: ${cause.message}\n`))
    server.listen(Number(address.slice(colon + 1)), address.slice(0, colon))
  }
  return addresses.length
}

function listenAddresses(file: string): string[] {
  try {
    const { listen = {} } = parse(readFileSync(file, 'utf8')) as {
      listen?: Record<string, unknown>
    }
    return [listen['callers'], listen['readiness']].filter(
      (each): each is string => typeof each === 'string' && /^[\d.]+:\d+$/.test(each),
    )
  } catch (cause) {
    process.stderr.write(`${file}: ${(cause as Error).message}\n`)
    return []
  }
}
