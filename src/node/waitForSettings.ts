/**
 * Operation of a node with invalid settings: it answers 503 to callers and readiness checks, if
 * the file names their addresses, and rereads the file until it is valid. Exiting instead would
 * make the process restart in a loop.
 */
import { readFileSync } from 'node:fs'
import type { Server } from 'node:http'
import { parse } from 'ini'
import { loadNodeConfig, vmLimitsOf } from '../config/index.js'
import type { LoadedNodeConfig } from '../config/index.js'
import { createServerLimits } from '../limits/index.js'
import type { Endpoint, ServerLimits, VmLimits } from '../limits/index.js'
import { createStopController, describeError, sleep } from '../shared/index.js'
import type { Logger } from '../shared/index.js'
import { closeServer } from './closeServer.js'

/** Time after which callers should retry, in seconds; an operator must correct the settings. */
const RETRY_AFTER_S = 30
/** Time between two reads of the file, in ms; the file may change without a signal. */
const REREAD_INTERVAL_MS = 1000

/** Endpoints that are answered; their addresses have the same names in the settings. */
const ANSWERED_ENDPOINTS = ['callers', 'readiness'] as const

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
    let answering: Answering | undefined
    for (;;) {
      answering ??= startAnswering(readableSettings(file), reason, log)
      await sleep(REREAD_INTERVAL_MS, pause.signal)
      const isRetryRequested = pause.signal.aborted
      if (isRetryRequested) pause = createStopController()
      const next = await loadNodeConfig(file)
      if (next.isOk()) {
        answering?.stop()
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

/** Servers that answer 503. */
interface Answering {
  stop(): void
}

/** Opens the addresses in the settings; undefined if there are none. */
function startAnswering(
  { addresses, vm }: ReadableSettings,
  reason: string,
  log: Logger,
): Answering | undefined {
  if (addresses.length === 0) return undefined
  const limits = createServerLimits({ vm, log })
  const servers = addresses.map(([endpoint, address]) =>
    serve503(endpoint, address, reason, limits, log),
  )
  return {
    stop() {
      for (const server of servers) closeServer(server)
      limits.close()
    },
  }
}

function serve503(
  endpoint: Endpoint,
  address: string,
  reason: string,
  limits: ServerLimits,
  log: Logger,
): Server {
  const colon = address.lastIndexOf(':')
  const server = limits.createServer(endpoint, (req, res) => {
    req.resume()
    res.writeHead(503, { 'retry-after': String(RETRY_AFTER_S) })
    res.end(`${JSON.stringify({ error: reason })}\n`)
  })
  server.on('error', (cause) =>
    log.event('unexpectedError', { address, reason: describeError(cause) }),
  )
  return server.listen(Number(address.slice(colon + 1)), address.slice(0, colon))
}

/** What can be used of invalid settings. */
interface ReadableSettings {
  addresses: [Endpoint, string][]
  vm: VmLimits
}

/** Reads the file as far as it is readable; why it is invalid is logged as rejected settings. */
function readableSettings(file: string): ReadableSettings {
  try {
    const { listen = {}, limits } = parse(readFileSync(file, 'utf8')) as {
      listen?: Record<string, unknown>
      limits?: unknown
    }
    const addresses = ANSWERED_ENDPOINTS.flatMap((endpoint): [Endpoint, string][] => {
      const address = listen[endpoint]
      const isUsable = typeof address === 'string' && /^[\d.]+:\d+$/.test(address)
      return isUsable ? [[endpoint, address]] : []
    })
    return { addresses, vm: vmLimitsOf(limits) }
  } catch {
    return { addresses: [], vm: vmLimitsOf(undefined) }
  }
}
