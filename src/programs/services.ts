/** Kernel services that all programs or the keeper need. */
import { nanoid } from 'nanoid'
import type { ResolvedConfig } from '../config/index.js'
import { createOps } from '../entry/index.js'
import type { Ops } from '../entry/index.js'
import { createDecisionLog, createKeeper, keeperPrefixes } from '../keeper/index.js'
import type { Keeper } from '../keeper/index.js'
import { defineService } from '../kernel/index.js'
import { jobPrefix, vmPrefix } from '../fleet/index.js'
import { createServerLimits } from '../limits/index.js'
import type { ServerLimits } from '../limits/index.js'
import { createPeerNetwork } from '../peer/index.js'
import type { PeerNetwork } from '../peer/index.js'
import { createHttpPlatform, createRowWatch } from '../platform/index.js'
import type { Platform, RowWatch } from '../platform/index.js'
import { createMetrics } from '../shared/index.js'
import type { Metrics } from '../shared/index.js'
import { HEAD_KEY, createTableHolder, followHead } from '../table/index.js'
import type { TableHolder } from '../table/index.js'

/** Identity of this incarnation and whether it is stopping, shared by other services. */
interface Lifecycle {
  incarnation: string
  /** Wall-clock time of the start, in ms; orders the incarnations of a process. */
  startedAt: number
  /** Whether a planned stop has begun. */
  stopping: boolean
}

declare module '../kernel/kernel.js' {
  interface ServiceMap {
    lifecycle: Lifecycle
    metrics: Metrics
    platform: Platform
    rows: RowWatch
    table: TableHolder & { stop(): void }
    peers: PeerNetwork
    serverLimits: ServerLimits
    ops: Ops
    keeper: Keeper
  }
}

/** Length of an incarnation id, in characters. */
const INCARNATION_LENGTH = 8

export const lifecycleService = () =>
  defineService({
    name: 'lifecycle',
    needs: [],
    start: async () => ({
      incarnation: nanoid(INCARNATION_LENGTH),
      startedAt: Date.now(),
      stopping: false,
    }),
  })

export const metricsService = () =>
  defineService({ name: 'metrics', needs: [], start: async () => createMetrics() })

/** Limits what clients can take of the process. */
export const serverLimitsService = (cfg: ResolvedConfig) =>
  defineService({
    name: 'serverLimits',
    needs: ['metrics'],
    start: async ({ get, log }) =>
      createServerLimits({ vm: cfg.limits, log, registry: get('metrics').registry }),
    stop: async (limits) => limits.close(),
  })

export const platformService = (cfg: ResolvedConfig) =>
  defineService({
    name: 'platform',
    needs: ['metrics'],
    async start({ get }) {
      const { platformCalls, platformBytes } = get('metrics')
      return createHttpPlatform({
        url: cfg.platform.url,
        timeoutMs: cfg.platform.timeout,
        node: cfg.node.id,
        onTraffic(step, sent, received) {
          platformCalls.inc({ step })
          platformBytes.inc({ direction: 'sent' }, sent)
          platformBytes.inc({ direction: 'received' }, received)
        },
      })
    },
    stop: (platform) => platform.close(),
  })

export const rowsService = (cfg: ResolvedConfig, runsKeeper: boolean) =>
  defineService({
    name: 'rows',
    needs: ['platform', 'metrics'],
    async start({ get, log }) {
      const { hall } = cfg.node
      const fleetPrefixes = runsKeeper
        ? keeperPrefixes(hall)
        : [vmPrefix(hall), jobPrefix(hall)]
      const rows = createRowWatch({
        platform: get('platform'),
        prefixes: [HEAD_KEY, ...fleetPrefixes],
        pollMs: cfg.platform.poll,
        maxBackoffMs: cfg.platform.max_backoff,
        log,
        metrics: get('metrics'),
      })
      return rows
    },
    stop: (rows) => rows.stop(),
  })

export const tableService = () =>
  defineService({
    name: 'table',
    needs: ['platform', 'rows', 'metrics'],
    async start({ get, log }) {
      const holder = createTableHolder(log)
      const rows = get('rows')
      holder.subscribe(({ epoch }) => get('metrics').epoch.set(epoch))
      const stop = followHead(get('platform'), rows, holder)
      rows.start()
      return { ...holder, stop }
    },
    stop: async (table) => table.stop(),
  })

export const peersService = (cfg: ResolvedConfig) =>
  defineService({
    name: 'peers',
    needs: ['lifecycle', 'platform', 'rows', 'table', 'metrics', 'serverLimits'],
    start: ({ get, log }) =>
      createPeerNetwork({
        cfg,
        incarnation: get('lifecycle').incarnation,
        platform: get('platform'),
        rows: get('rows'),
        table: get('table'),
        serverLimits: get('serverLimits'),
        log,
        metrics: get('metrics'),
      }),
    stop: (peers) => peers.stop(),
  })

/**
 * Answers readiness checks. It starts after the services it reports on and stops before
 * them, so that the load balancer learns of a stop before they end.
 */
export const opsService = (cfg: ResolvedConfig, needsFront: boolean) =>
  defineService({
    name: 'ops',
    needs: [
      'lifecycle',
      'metrics',
      'table',
      'rows',
      'serverLimits',
      ...(needsFront ? ['front' as const] : []),
    ],
    async start({ get }) {
      const lifecycle = get('lifecycle')
      const table = get('table')
      get('metrics').collectRuntime()
      return createOps({
        state: {
          stopping: () => lifecycle.stopping,
          notReady: () => (table.current() ? undefined : 'no table is in force'),
        },
        metrics: get('metrics'),
        host: cfg.listen.address,
        port: cfg.listen.ops_port,
        serverLimits: get('serverLimits'),
      })
    },
    stop: (ops) => ops.close(),
  })

export const keeperService = (cfg: ResolvedConfig) =>
  defineService({
    name: 'keeper',
    needs: ['lifecycle', 'platform', 'rows', 'table', 'peers', 'metrics'],
    async start({ get, log }) {
      const { hall, id } = cfg.node
      const platform = get('platform')
      const decisions = createDecisionLog(log, platform, hall, id)
      const keeper = createKeeper({
        hall,
        holder: `${id}#${get('lifecycle').incarnation}`,
        platform,
        rows: get('rows'),
        table: get('table'),
        peers: get('peers'),
        leaseMs: cfg.keeper.lease,
        cycleMs: cfg.keeper.cycle,
        rebootTimeoutMs: cfg.keeper.reboot_timeout,
        log: decisions.log,
        metrics: get('metrics'),
      })
      return {
        holdsLease: keeper.holdsLease,
        async stop() {
          await keeper.stop()
          await decisions.stop()
        },
      }
    },
    stop: (keeper) => keeper.stop(),
  })
