/**
 * What a node does whose settings cannot be used: it says 503 where callers and the
 * platform ask, as far as the file names these addresses, and reads the file again when
 * it is told to, instead of ending in a loop.
 */
import { readFileSync } from 'node:fs'
import { createServer } from 'node:http'
import type { Server } from 'node:http'
import { parse } from 'ini'
import { loadNodeConfig } from '../config/index.js'
import type { NodeConfig } from '../config/index.js'
import type { Logger } from '../shared/index.js'
import { closeServer } from './closeServer.js'

/** When callers should come back, in seconds: somebody has to mend the settings. */
const RETRY_AFTER_S = 30

/** Waits for settings that can be used. */
export interface SettingsWait {
  /** Whether an address was found at which callers are told that nothing is served. */
  readonly serves: boolean
  /** Reads the file again; the settings once they can be used, from then on undefined. */
  retry(): Promise<NodeConfig | undefined>
}

/** Says 503 at the addresses of the file until it can be used. */
export function waitForSettings(file: string, reason: string, log: Logger): SettingsWait {
  const servers = listenAddresses(file, log).map((each) => serve503(each, reason, log))
  let done = false
  return {
    serves: servers.length > 0,
    async retry() {
      const next = await loadNodeConfig(file)
      if (done) return undefined
      if (next.isErr()) {
        log.event('settingsRejected', { file, reason: next.error.message })
        return undefined
      }
      done = true
      for (const server of servers) closeServer(server)
      log.event('settingsReloaded', { file })
      return next.value
    },
  }
}

function serve503(address: string, reason: string, log: Logger): Server {
  const colon = address.lastIndexOf(':')
  const server = createServer((req, res) => {
    req.resume()
    res.writeHead(503, { 'retry-after': String(RETRY_AFTER_S) })
    res.end(`${JSON.stringify({ error: reason })}\n`)
  })
  server.on('error', (cause) =>
    log.event('unexpectedError', { address, reason: cause.message }),
  )
  return server.listen(Number(address.slice(colon + 1)), address.slice(0, colon))
}

function listenAddresses(file: string, log: Logger): string[] {
  try {
    const { listen = {} } = parse(readFileSync(file, 'utf8')) as {
      listen?: Record<string, unknown>
    }
    return [listen['callers'], listen['readiness']].filter(
      (each): each is string => typeof each === 'string' && /^[\d.]+:\d+$/.test(each),
    )
  } catch (cause) {
    log.event('settingsRejected', { file, reason: (cause as Error).message })
    return []
  }
}
