/**
 * What a node does whose settings cannot be used: it says 503 where callers and the
 * platform ask, as far as the file names these addresses, and reads the file again until
 * it can be used, instead of ending in a loop.
 */
import { readFileSync } from 'node:fs'
import { createServer } from 'node:http'
import type { Server } from 'node:http'
import { parse } from 'ini'
import { loadNodeConfig } from '../config/index.js'
import type { LoadedNodeConfig } from '../config/index.js'
import { createStopController, describeError, sleep } from '../shared/index.js'
import type { Logger } from '../shared/index.js'
import { closeServer } from './closeServer.js'

/** When callers should come back, in seconds: somebody has to mend the settings. */
const RETRY_AFTER_S = 30
/** Time between two readings of the file, in ms: it may change without a signal. */
const REREAD_INTERVAL_MS = 1000

/** Waits for settings that can be used. */
export interface SettingsWait {
  /** Resolves once the file can be used. */
  readonly settings: Promise<LoadedNodeConfig>
  /** Reads the file again now. */
  retry(): void
}

/** Says 503 at the addresses of the file until it can be used. */
export function waitForSettings(file: string, reason: string, log: Logger): SettingsWait {
  let pause = createStopController()
  let lastReason = reason
  log.event('settingsRejected', { file, reason })

  async function wait(): Promise<LoadedNodeConfig> {
    let servers: Server[] = []
    for (;;) {
      if (servers.length === 0)
        servers = listenAddresses(file).map((each) => serve503(each, reason, log))
      await sleep(REREAD_INTERVAL_MS, pause.signal)
      const isRetryRequested = pause.signal.aborted
      if (isRetryRequested) pause = createStopController()
      const next = await loadNodeConfig(file)
      if (next.isOk()) {
        for (const server of servers) closeServer(server)
        log.event('settingsReloaded', { file })
        return next.value
      }
      const { message } = next.error
      if (isRetryRequested || message !== lastReason)
        log.event('settingsRejected', { file, reason: message })
      lastReason = message
    }
  }
  return { settings: wait(), retry: () => pause.abort() }
}

function serve503(address: string, reason: string, log: Logger): Server {
  const colon = address.lastIndexOf(':')
  const server = createServer((req, res) => {
    req.resume()
    res.writeHead(503, { 'retry-after': String(RETRY_AFTER_S) })
    res.end(`${JSON.stringify({ error: reason })}\n`)
  })
  server.on('error', (cause) =>
    log.event('unexpectedError', { address, reason: describeError(cause) }),
  )
  return server.listen(Number(address.slice(colon + 1)), address.slice(0, colon))
}

/** Addresses that the file names; none when it cannot be read, which is logged as rejected. */
function listenAddresses(file: string): string[] {
  try {
    const { listen = {} } = parse(readFileSync(file, 'utf8')) as {
      listen?: Record<string, unknown>
    }
    return [listen['callers'], listen['readiness']].filter(
      (each): each is string => typeof each === 'string' && /^[\d.]+:\d+$/.test(each),
    )
  } catch {
    return []
  }
}
