/** Main program of a node: reads settings, handles signals and starts the kernel. */
import { isDeepStrictEqual } from 'node:util'
import {
  createAdviceClient,
  createCloudClient,
  createJobApp,
  createMetricsApp,
  createOrdersClient,
  createReadinessApp,
  createStoreClient,
  serveApp,
  platformDocuments,
} from '../../platform/index.js'
import { loadNodeConfig, unknownContracts } from '../config/index.js'
import type { LoadedNodeConfig, NodeConfig } from '../config/index.js'
import type { Kernel } from '../kernel/index.js'
import { createServerLimits } from '../limits/index.js'
import type { ServerLimits } from '../limits/index.js'
import { createNode, createNodeMetrics, waitForSettings } from '../node/index.js'
import type { NodeMetrics, NodePlatform } from '../node/index.js'
import { DEFAULT_STORE_LIMITS } from '../ports/index.js'
import type { Logger } from '../shared/index.js'
import { EXIT, createFdSink, createLogger, sleep } from '../shared/index.js'
import type { Signals } from './signals.js'

/** Environment variable with the path of the settings. */
const SETTINGS_ENV = 'RILLSHUNT_BOOT'
/**
 * Pause before a failed start is retried, in ms. A port may still be in use by the
 * previous process. The process retries instead of exiting, because a restart by the
 * platform would come no sooner and would not know why the start failed.
 */
const START_RETRY_MS = 500

function createPlatform(
  cfg: NodeConfig,
  metrics: NodeMetrics,
  serverLimits: ServerLimits,
  log: Logger,
): NodePlatform {
  const onTraffic = metrics.noteCall
  const onUnread = (step: string, reason: string): void =>
    log.event('answerUnread', { step, reason })
  const store = createStoreClient({
    address: cfg.store.address,
    limits: { ...DEFAULT_STORE_LIMITS, rowBytes: cfg.store.row_bytes },
    onTraffic,
    onInvalid: onUnread,
  })
  const { address: cloudAddress } = cfg.cloud
  const cloud = cloudAddress
    ? createCloudClient({ address: cloudAddress, onTraffic, onInvalid: onUnread })
    : undefined
  const { address: adviceAddress } = cfg.advice
  const advice = adviceAddress
    ? createAdviceClient({ address: adviceAddress, onTraffic })
    : undefined
  return {
    store,
    orders: createOrdersClient({ onTraffic, onInvalid: onUnread }),
    cloud,
    advice,
    documents: platformDocuments,
    openCallers: (jobs, maxBodyBytes) =>
      serveApp(
        createJobApp(jobs, maxBodyBytes),
        cfg.listen.callers,
        'callers',
        serverLimits,
      ),
    openReadiness: (notReady) =>
      serveApp(
        createReadinessApp(notReady),
        cfg.listen.readiness,
        'readiness',
        serverLimits,
      ),
    openMetrics: () =>
      serveApp(
        createMetricsApp(() => metrics.registry.metrics()),
        `${cfg.listen.address}:${cfg.listen.metrics_port}`,
        'metrics',
        serverLimits,
      ),
    serverLimits,
    close() {
      store.close()
      cloud?.close()
      advice?.close()
    },
  }
}

/** Logs which settings are ignored and which contracts are unknown. */
function logIgnoredSettings({ cfg, ignored }: LoadedNodeConfig, log: Logger): void {
  if (ignored.length > 0) log.event('settingsIgnored', { ignored })
  const contracts = unknownContracts(cfg)
  if (contracts.length > 0) log.event('contractsUnknown', { contracts })
}

/**
 * Reads the settings again. Changed sections take effect at the next start; they are
 * logged, so that operators do not expect the change earlier.
 */
async function reload(file: string, cfg: NodeConfig, log: Logger): Promise<void> {
  const next = await loadNodeConfig(file)
  if (next.isErr()) return log.event('settingsRejected', { reason: next.error.message })
  logIgnoredSettings(next.value, log)
  const changed = Object.keys(cfg).filter(
    (name) =>
      !isDeepStrictEqual(
        cfg[name as keyof NodeConfig],
        next.value.cfg[name as keyof NodeConfig],
      ),
  )
  log.event('settingsReloaded', { file, takesEffectAtStart: changed })
}

/** Runs the node until SIGTERM; retries a start that fails. */
async function runNode(
  file: string,
  loaded: LoadedNodeConfig,
  signals: Signals,
): Promise<void> {
  const { cfg } = loaded
  const { id, hall } = cfg.node
  const { level } = cfg.log
  const stream = createFdSink(process.stdout.fd)
  const metrics = createNodeMetrics()
  const log = metrics.watch(
    createLogger({ level, bounded: true, stream, base: { node: id, hall } }),
  )
  process.on('uncaughtException', (cause) =>
    log.event('unexpectedError', { reason: cause.stack ?? String(cause) }),
  )
  logIgnoredSettings(loaded, log)
  const serverLimits = createServerLimits({
    vm: cfg.limits,
    log,
    registry: metrics.registry,
  })
  let kernel: Kernel | undefined
  let stop: Promise<void> | undefined
  // A second SIGTERM does not interrupt the stop under way: exiting at once would cut off
  // 2.5 s of a planned stop.
  signals.handle('SIGTERM', () => {
    stop ??= (async () => {
      await kernel?.stop()
      await log.close()
      process.exit(EXIT.ok)
    })()
  })
  signals.handle('SIGHUP', () => void reload(file, cfg, log))
  while (!stop) {
    kernel = createNode(cfg, createPlatform(cfg, metrics, serverLimits, log), log)
    const started = await kernel.start()
    if (started.isOk()) return
    await sleep(START_RETRY_MS)
  }
}

/** Reads the settings, waits until they are valid, and runs the node. */
export async function runNodeProgram(signals: Signals): Promise<void> {
  signals.handle('SIGTERM', () => process.exit(EXIT.ok))
  const file = process.argv[2] ?? process.env[SETTINGS_ENV]
  if (file === undefined) {
    process.stderr.write(`usage: rillshunt-node FILE, or ${SETTINGS_ENV}=FILE\n`)
    process.exit(EXIT.usage)
  }
  const loaded = await loadNodeConfig(file)
  if (loaded.isOk()) return runNode(file, loaded.value, signals)
  process.stderr.write(`${loaded.error.message}\n`)
  const log = createLogger({ level: 'info', stream: createFdSink(process.stdout.fd) })
  const wait = waitForSettings(file, loaded.error.message, log)
  signals.handle('SIGHUP', wait.retry)
  await runNode(file, await wait.settings, signals)
}
