/** Kernel services that only an entry needs. */
import type { ResolvedConfig } from '../config/index.js'
import {
  createAllotments,
  createFront,
  createOnce,
  createRouter,
  createTargetView,
} from '../entry/index.js'
import type { Allotments, Front, Once, Router, TargetView } from '../entry/index.js'
import { lifeKey } from '../fleet/index.js'
import { defineService } from '../kernel/index.js'
import type { PeerNetwork } from '../peer/index.js'
import { commit, newOpId } from '../platform/index.js'
import type { Platform } from '../platform/index.js'
import { createStopController, monotonicMs, sleep } from '../shared/index.js'
import type { ServiceLine } from '../table/index.js'

declare module '../kernel/kernel.js' {
  interface ServiceMap {
    view: TargetView
    once: Once & { close(): Promise<void> }
    router: Router & { allotments: Allotments }
    loans: { stop(): Promise<void> }
    front: Front
    notice: { announce(): Promise<void> }
  }
}

/** Interval between loan decisions, in ms. */
const LOAN_INTERVAL_MS = 250
/** Pause before peers are asked again for claims that were handed over, in ms. */
const RECOVERY_RETRY_MS = 1000
/** Silence after which an entry missing from the platform's list is gone, in ms. */
const GONE_AFTER_MS = 30_000

/** All entries in the settings, in every hall, and this one. */
function entriesOf(cfg: ResolvedConfig) {
  const listed = Object.entries(cfg.peers)
    .filter(([, peer]) => peer.role === 'entry')
    .map(([id, peer]) => ({ id, hall: peer.hall }))
  const known = listed.some(({ id }) => id === cfg.node.id)
  return known ? listed : [...listed, { id: cfg.node.id, hall: cfg.node.hall }]
}

function isReached(peers: PeerNetwork, entry: string): boolean {
  const peer = peers.peers().find(({ id }) => id === entry)
  return peer?.isReached() ?? false
}

function createGoneCheck(
  peers: PeerNetwork,
  view: TargetView,
): (entry: string) => boolean {
  return (entry) => {
    const peer = peers.peers().find(({ id }) => id === entry)
    const silentMs = peer?.silentForMs() ?? Infinity
    return silentMs > GONE_AFTER_MS && view.isUnlisted(entry)
  }
}

export const viewService = (cfg: ResolvedConfig) =>
  defineService({
    name: 'view',
    needs: ['platform', 'rows', 'table', 'peers', 'metrics'],
    async start({ get, log }) {
      const peers = get('peers')
      const hallEntries = entriesOf(cfg).filter(
        ({ id, hall }) => hall === cfg.node.hall && id !== cfg.node.id,
      )
      const view = createTargetView({
        cfg,
        platform: get('platform'),
        rows: get('rows'),
        table: get('table'),
        reachedEntries: () =>
          hallEntries.map(({ id }) => id).filter((id) => isReached(peers, id)),
        notifyPeers: () => void peers.syncHall(),
        log,
        metrics: get('metrics'),
      })
      peers.subscribe(() =>
        view.setPeerDraining(jobsDrainingAtPeers(peers, cfg.node.hall)),
      )
      return view
    },
    stop: (view) => view.stop(),
  })

/** Jobs whose targets other entries of the hall report as draining. */
function jobsDrainingAtPeers(peers: PeerNetwork, hall: string): Set<string> {
  const jobs = peers
    .peers()
    .filter((peer) => peer.address.hall === hall && isReached(peers, peer.id))
    .flatMap((peer) => peer.report?.draining ?? [])
  return new Set(jobs)
}

/** Keeps claims of unrepeatable requests; a planned stop hands them over to a peer. */
export const onceService = (cfg: ResolvedConfig) =>
  defineService({
    name: 'once',
    needs: ['platform', 'peers', 'view'],
    async start({ get, log }) {
      const { id, hall } = cfg.node
      const peers = get('peers')
      const once = createOnce({
        own: { id, hall },
        entries: entriesOf(cfg),
        peers: peers.oncePeers,
        memoryMs: cfg.requests.once_memory,
        isFirstLife: await isFirstIncarnation(get('platform'), id),
        isReached: (entry) => isReached(peers, entry),
        isGone: createGoneCheck(peers, get('view')),
        now: monotonicMs,
        wallSeconds: () => Date.now() / 1000,
        log,
      })
      // Peers are asked for claims handed over at the last stop before this entry grants any.
      // Those that do not answer are asked again in the background.
      const stopping = createStopController()
      let isRecovered = await once.recover()
      const recovery = (async () => {
        while (!isRecovered && !stopping.signal.aborted) {
          await sleep(RECOVERY_RETRY_MS, stopping.signal)
          if (!stopping.signal.aborted) isRecovered = await once.recover()
        }
      })()
      return {
        ...once,
        async close() {
          stopping.abort()
          await recovery
          // The claims go to a peer that is reached, so reachability must be up to date.
          await peers.syncHall()
          await once.handOverClaims()
        },
      }
    },
    stop: (once) => once.close(),
  })

/**
 * Whether the platform stores no earlier incarnation of the entry; if so, stores this one.
 * False if the read or the write fails.
 */
async function isFirstIncarnation(platform: Platform, entry: string): Promise<boolean> {
  const key = lifeKey(entry)
  const rows = await platform.read([key])
  if (rows.isErr() || rows.value.has(key)) return false
  const writes = [{ key, version: 0, value: { firstAt: new Date().toISOString() } }]
  const noted = await commit(platform, { opId: newOpId('life'), writes, guards: [] })
  return noted.isOk() && noted.value.committed
}

/**
 * A service's limit, capped at the number of slots of its targets. Beyond that, requests
 * would queue at targets, where an urgent request cannot overtake the others.
 */
function effectiveLimit(line: ServiceLine | undefined, halls: number): number {
  if (!line) return 0
  return Math.min(line.limit, line.instances * line.slots * halls)
}

/**
 * Routes requests. Its limits come from the allotments, which use its counts and are
 * updated by the loans service.
 */
export const routerService = (cfg: ResolvedConfig) =>
  defineService({
    name: 'router',
    needs: ['table', 'view', 'once', 'lifecycle', 'peers', 'metrics'],
    async start({ get, log }) {
      const view = get('view')
      const table = get('table')
      const once = get('once')
      const peers = get('peers')
      const entries = entriesOf(cfg)
      const halls = new Set(entries.map(({ hall }) => hall)).size
      const services = () => table.current()?.table.services
      const loadOf = (service: string) => router.loadOf(service)
      const allotments = createAllotments({
        own: cfg.node.id,
        life: get('lifecycle').startedAt,
        entries: entries.map(({ id }) => id),
        services: () => services()?.keys() ?? [],
        limitOf: (service) => effectiveLimit(services()?.get(service), halls),
        inFlight: (service) => loadOf(service).inFlight,
        queued: (service) => loadOf(service).queued,
        isGone: createGoneCheck(peers, view),
      })
      const router = createRouter({
        cfg,
        table,
        view,
        once,
        usable: allotments.usable,
        log,
        metrics: get('metrics'),
      })
      peers.setEntryHandlers({ loans: allotments, once: once.answer })
      peers.setReportSource(() => ({
        routes: true,
        leaving: view.leaving().map((each) => ({ $typeName: LEAVING_VM_TYPE, ...each })),
        loads: router.loads().map((each) => ({ $typeName: SERVICE_LOAD_TYPE, ...each })),
        stopping: view
          .stopping()
          .map((each) => ({ $typeName: STOPPING_JOB_TYPE, ...each })),
        draining: view.draining(),
      }))
      return { ...router, allotments }
    },
  })

const LEAVING_VM_TYPE = 'rillshunt.peer.v1.LeavingVm' as const
const SERVICE_LOAD_TYPE = 'rillshunt.peer.v1.ServiceLoad' as const
const STOPPING_JOB_TYPE = 'rillshunt.peer.v1.StoppingJob' as const

/**
 * Lends and borrows parts of service limits. While requests are queued, it syncs with
 * peers at once instead of waiting for the next regular sync.
 */
export const loansService = () =>
  defineService({
    name: 'loans',
    needs: ['router', 'peers'],
    async start({ get }) {
      const router = get('router')
      const peers = get('peers')
      const stopping = createStopController()
      async function run(): Promise<void> {
        while (!stopping.signal.aborted) {
          router.allotments.step()
          if (router.loads().some(({ queued }) => queued > 0)) await peers.syncHall()
          router.admitWaiting()
          await sleep(LOAN_INTERVAL_MS, stopping.signal)
        }
      }
      const task = run()
      return {
        async stop() {
          stopping.abort()
          await task
        },
      }
    },
    stop: (loans) => loans.stop(),
  })

export const frontService = (cfg: ResolvedConfig) =>
  defineService({
    name: 'front',
    needs: ['router', 'serverLimits'],
    start: ({ get }) =>
      createFront({
        router: get('router'),
        host: cfg.listen.address,
        port: cfg.listen.port,
        serverLimits: get('serverLimits'),
      }),
    stop: (front) => front.close(),
  })

/**
 * Starts last, so it stops first: a planned stop waits here while the load balancer still
 * sends requests.
 */
export const noticeService = (cfg: ResolvedConfig) =>
  defineService({
    name: 'notice',
    needs: ['lifecycle', 'front', 'ops'],
    async start({ get }) {
      const lifecycle = get('lifecycle')
      const front = get('front')
      return {
        async announce() {
          lifecycle.stopping = true
          front.setStopping()
          await sleep(cfg.requests.drain_notice)
        },
      }
    },
    stop: (notice) => notice.announce(),
  })
