#!/usr/bin/env node
/** `rillshunt-node`: takes jobs from callers and runs them on targets. */
import { isDeepStrictEqual } from 'node:util'
import {
  createAdviceClient,
  createCloudClient,
  createJobFace,
  createMetricsFace,
  createOrdersClient,
  createReadinessFace,
  createStoreClient,
  openFace,
  platformDocuments,
} from '../../platform/index.js'
import { loadNodeConfig, unknownContracts } from '../config/index.js'
import type { NodeConfig } from '../config/index.js'
import { createNode, createNodeMetrics, waitForSettings } from '../node/index.js'
import type { NodeMetrics, NodePlatform } from '../node/index.js'
import type { Logger } from '../shared/index.js'
import { EXIT, createFdSink, createLogger } from '../shared/index.js'

/** Variable that holds the path of the settings. */
const SETTINGS_VARIABLE = 'RILLSHUNT_BOOT'

function createPlatform(cfg: NodeConfig, metrics: NodeMetrics): NodePlatform {
  const onTraffic = metrics.noteCall
  const store = createStoreClient({ address: cfg.store.address, onTraffic })
  const { address: cloudAddress } = cfg.cloud
  const cloud = cloudAddress
    ? createCloudClient({ address: cloudAddress, onTraffic })
    : undefined
  const { address: adviceAddress } = cfg.advice
  const advice = adviceAddress
    ? createAdviceClient({ address: adviceAddress, onTraffic })
    : undefined
  return {
    store,
    orders: createOrdersClient({ onTraffic }),
    cloud,
    advice,
    documents: platformDocuments,
    openCallers: (jobs, maxBodyBytes) =>
      openFace(createJobFace(jobs, maxBodyBytes), cfg.listen.callers),
    openReadiness: (notReady) =>
      openFace(createReadinessFace(notReady), cfg.listen.readiness),
    openMetrics: () =>
      openFace(
        createMetricsFace(() => metrics.registry.metrics()),
        `${cfg.listen.address}:${cfg.listen.metrics_port}`,
      ),
    close() {
      store.close()
      cloud?.close()
      advice?.close()
    },
  }
}

/**
 * Reads the settings again. What they say of addresses takes effect with the next start;
 * a difference is logged, so that nobody waits for it.
 */
async function reload(file: string, cfg: NodeConfig, log: Logger): Promise<void> {
  const next = await loadNodeConfig(file)
  if (next.isErr()) return log.event('settingsRejected', { reason: next.error.message })
  const changed = Object.keys(cfg).filter(
    (name) =>
      !isDeepStrictEqual(
        cfg[name as keyof NodeConfig],
        next.value[name as keyof NodeConfig],
      ),
  )
  log.event('settingsReloaded', { file, takesEffectAtStart: changed })
}

/** Runs the node until it is told to stop. */
async function run(file: string, cfg: NodeConfig, reloads: Reloads): Promise<void> {
  const { id, hall } = cfg.node
  const { level } = cfg.log
  const stream = createFdSink(process.stdout.fd)
  const metrics = createNodeMetrics()
  const log = metrics.watch(
    createLogger({ level, bounded: true, stream, base: { node: id, hall } }),
  )
  const contracts = unknownContracts(cfg)
  if (contracts.length > 0) log.event('contractsUnknown', { contracts })
  const kernel = createNode(cfg, createPlatform(cfg, metrics), log)
  process.once('SIGTERM', () => {
    void kernel
      .stop()
      .then(() => log.close())
      .then(() => process.exit(EXIT.ok))
  })
  reloads.handler = () => void reload(file, cfg, log)
  process.on('uncaughtException', (cause) =>
    log.event('unexpectedError', { reason: cause.stack ?? String(cause) }),
  )
  const started = await kernel.start()
  if (started.isOk()) return
  await log.close()
  process.exit(EXIT.failed)
}

/** Waits until the file can be used, then runs the node. */
function runOnceUsable(file: string, reason: string, reloads: Reloads): void {
  const log = createLogger({ level: 'info', stream: createFdSink(process.stdout.fd) })
  const wait = waitForSettings(file, reason, log)
  if (!wait.serves) process.exit(EXIT.usage)
  reloads.handler = () => void wait.retry().then((cfg) => cfg && run(file, cfg, reloads))
}

/** What happens when the settings file is said to have changed. */
interface Reloads {
  handler(): void
}

async function main(): Promise<void> {
  const reloads: Reloads = { handler: () => undefined }
  // From the beginning: without a handler the signal would end the process.
  process.on('SIGHUP', () => reloads.handler())
  const file = process.argv[2] ?? process.env[SETTINGS_VARIABLE]
  if (file === undefined) {
    process.stderr.write(`usage: rillshunt-node FILE, or ${SETTINGS_VARIABLE}=FILE\n`)
    process.exitCode = EXIT.usage
    return
  }
  const cfg = await loadNodeConfig(file)
  if (cfg.isOk()) return run(file, cfg.value, reloads)
  process.stderr.write(`${cfg.error.message}\n`)
  runOnceUsable(file, cfg.error.message, reloads)
}

void main()
