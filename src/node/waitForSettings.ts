/**
 * Operation of a node with invalid settings: it answers 503 to callers and readiness checks, if
 * the file names their addresses, and rereads the file until it is valid. Exiting instead would
 * make the process restart in a loop.
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

/** Time after which callers should retry, in seconds; an operator must correct the settings. */
const RETRY_AFTER_S = 30
/** Time between two reads of the file, in ms; the file may change without a signal. */
const REREAD_INTERVAL_MS = 1000

/** A wait for valid settings. */
export interface SettingsWait {
  /** Resolves once the file is valid. */
  readonly settings: Promise<LoadedNodeConfig>
  /** Rereads the file now. */
  retry(): void
}

/** Answers 503 at the addresses in the file until the file is valid. */
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

/** Addresses in the file; none if it cannot be parsed, which is logged as rejected settings. */
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
