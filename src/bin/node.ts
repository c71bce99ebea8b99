#!/usr/bin/env node
/** `rillshunt-node`: takes jobs from callers and runs them on targets. */
import {
  createAdviceClient,
  createCloudClient,
  createJobFace,
  createOrdersClient,
  createReadinessFace,
  createStoreClient,
  openFace,
  platformDocuments,
} from '../../platform/index.js'
import { loadNodeConfig } from '../config/index.js'
import type { NodeConfig } from '../config/index.js'
import { createNode } from '../node/index.js'
import type { NodePlatform } from '../node/index.js'
import { EXIT, createLogger } from '../shared/index.js'

/** Variable that holds the path of the settings. */
const SETTINGS_VARIABLE = 'RILLSHUNT_BOOT'

function createPlatform(cfg: NodeConfig): NodePlatform {
  const store = createStoreClient({ address: cfg.store.address })
  const { address: cloudAddress } = cfg.cloud
  const cloud = cloudAddress ? createCloudClient({ address: cloudAddress }) : undefined
  const { address: adviceAddress } = cfg.advice
  const advice = adviceAddress
    ? createAdviceClient({ address: adviceAddress })
    : undefined
  return {
    store,
    orders: createOrdersClient({}),
    cloud,
    advice,
    documents: platformDocuments,
    openCallers: (jobs, maxBodyBytes) =>
      openFace(createJobFace(jobs, maxBodyBytes), cfg.listen.callers),
    openReadiness: (notReady) =>
      openFace(createReadinessFace(notReady), cfg.listen.readiness),
    close() {
      store.close()
      cloud?.close()
      advice?.close()
    },
  }
}

async function main(): Promise<void> {
  const file = process.argv[2] ?? process.env[SETTINGS_VARIABLE]
  if (file === undefined) {
    process.stderr.write(`usage: rillshunt-node FILE, or ${SETTINGS_VARIABLE}=FILE\n`)
    process.exitCode = EXIT.usage
    return
  }
  const cfg = await loadNodeConfig(file)
  if (cfg.isErr()) {
    process.stderr.write(`${cfg.error.message}\n`)
    process.exitCode = EXIT.usage
    return
  }
  const { id, hall } = cfg.value.node
  const log = createLogger({ level: cfg.value.log.level, base: { node: id, hall } })
  const kernel = createNode(cfg.value, createPlatform(cfg.value), log)
  process.once('SIGTERM', () => {
    void kernel
      .stop()
      .then(() => log.close())
      .then(() => process.exit(EXIT.ok))
  })
  process.on('SIGHUP', () => log.event('settingsReloaded', { file }))
  process.on('uncaughtException', (cause) =>
    log.event('unexpectedError', { reason: cause.stack ?? String(cause) }),
  )
  const started = await kernel.start()
  if (started.isOk()) return
  await log.close()
  process.exit(EXIT.failed)
}

void main()
