/**
 * Exchange between rillshunt processes: a loop per peer that syncs reports, and a push of
 * the epoch to every peer when a new table comes into force.
 */
import { create } from '@bufbuild/protobuf'
import { Code, ConnectError } from '@connectrpc/connect'
import type { CallOptions, ConnectRouter } from '@connectrpc/connect'
import type { ResolvedConfig } from '../config/index.js'
import type { Allotments, Once, OncePeers } from '../entry/index.js'
import type { ServerLimits } from '../limits/index.js'
import type { Platform, RowWatch } from '../platform/index.js'
import { createStopController, describeError, jittered, sleep } from '../shared/index.js'
import type { Logger, Metrics } from '../shared/index.js'
import { offerPlatformTable } from '../table/index.js'
import type { TableHolder } from '../table/index.js'
import {
  CALL_TIMEOUT_MS,
  CLOSE_GRACE_MS,
  LOST_AFTER_MS,
  MAX_LEAVING_VMS,
  MAX_SERVICE_LOADS,
  MAX_REPORTED_JOBS,
  REMOTE_SYNC_INTERVAL_MS,
  FALLBACK_SYNC_INTERVALS,
  SYNC_INTERVAL_MS,
} from './constants.js'
import { NodeReportSchema, PeerService } from './gen/peer_pb.js'
import type { Loans, NodeReport } from './gen/peer_pb.js'
import { decodeLoans, encodeLoans } from './loans.js'
import { createOncePeers, onceRoutes } from './oncePeers.js'
import { callWithTimeout } from './callWithTimeout.js'
import { exceedsLimits, listenForPeers, createPeer } from './peerLink.js'
import type { Peer, PeerState } from './peerLink.js'
import { createDataSharing } from './sharing.js'
import { createMeteredAgent, createTrafficMeter } from './traffic.js'

/** Supplies the fields of a report that only the entry knows. */
export type ReportSource = () => Pick<
  NodeReport,
  'routes' | 'leaving' | 'loads' | 'stopping' | 'draining'
>

/** The entry's handlers for loans and claims in messages between peers. */
export interface EntryHandlers {
  loans: Pick<Allotments, 'messageFor' | 'receive'>
  once: Once['answer']
}

/** The peers of this process. */
export interface PeerNetwork {
  peers(): PeerState[]
  /** Claim calls of the entry to a peer; they reject if their effect is unknown. */
  oncePeers: OncePeers
  /** Sets the handlers of the entry. */
  setEntryHandlers(entryHandlers: EntryHandlers): void
  /** Sets the source of the entry's report fields. */
  setReportSource(reportSource: ReportSource): void
  /** Calls the listener after each report of a peer; returns the unsubscribe function. */
  subscribe(listener: () => void): () => void
  /** Syncs with all peers of the own hall at once. */
  syncHall(): Promise<void>
  /** The report of this process, for a keeper in the same process. */
  ownReport(): NodeReport
  /** Port on which this process listens for peers. */
  port: number
  stop(): Promise<void>
}

/** Options of {@link createPeerNetwork}. */
export interface PeerNetworkOptions {
  cfg: ResolvedConfig
  /** Identifies one start of the process. */
  incarnation: string
  platform: Platform
  rows: RowWatch
  table: TableHolder
  serverLimits: ServerLimits
  log: Logger
  metrics: Metrics
}

const EMPTY_REPORT_SOURCE: ReportSource = () => ({
  routes: false,
  leaving: [],
  loads: [],
  stopping: [],
  draining: [],
})

/** Opens the peer port and starts a sync loop per peer. */
export async function createPeerNetwork(opts: PeerNetworkOptions): Promise<PeerNetwork> {
  const { cfg, rows, table, log, metrics } = opts
  const stopping = createStopController()
  let reportSource = EMPTY_REPORT_SOURCE
  let entryHandlers: EntryHandlers | undefined
  const listeners = new Set<() => void>()
  const sharing = createDataSharing({ hall: cfg.node.hall, table, rows })
  const meter = createTrafficMeter(metrics)
  const agent = createMeteredAgent(meter)

  const ownReport = (): NodeReport => {
    const { routes, leaving, loads, stopping: jobs, draining } = reportSource()
    return create(NodeReportSchema, {
      node: cfg.node.id,
      hall: cfg.node.hall,
      incarnation: opts.incarnation,
      epoch: BigInt(sharing.epoch()),
      revision: BigInt(rows.revision()),
      routes,
      leaving: leaving.slice(0, MAX_LEAVING_VMS),
      loads: loads.slice(0, MAX_SERVICE_LOADS),
      stopping: jobs.slice(0, MAX_REPORTED_JOBS),
      draining: draining.slice(0, MAX_REPORTED_JOBS),
    })
  }

  const intervalOf = (hall: string): number =>
    hall === cfg.node.hall ? SYNC_INTERVAL_MS : REMOTE_SYNC_INTERVAL_MS

  const peers = new Map<string, Peer>()
  for (const [id, address] of Object.entries(cfg.peers)) {
    if (id === cfg.node.id) continue
    peers.set(id, createPeer(id, address, intervalOf(address.hall), agent))
  }

  function receiveReport(report: NodeReport | undefined): void {
    if (!report || exceedsLimits(report)) {
      log.event('peerMessageRefused', {
        peer: report?.node,
        reason: 'report exceeds the limits',
      })
      throw new ConnectError('report is over the bounds', Code.InvalidArgument)
    }
    const peer = peers.get(report.node)
    if (!peer || peer.address.hall !== report.hall) {
      log.event('peerMessageRefused', {
        peer: report.node,
        reason: 'peer is not in the settings',
      })
      throw new ConnectError(`'${report.node}' is no peer of mine`, Code.PermissionDenied)
    }
    peer.recordReport(report)
    if (peer.isLost) log.event('peerBack', { peer: peer.id, hall: report.hall })
    peer.isLost = false
    for (const listener of listeners) listener()
    const epoch = Number(report.epoch)
    if (epoch > sharing.epoch()) void fetchNewerTable(peer, epoch)
  }

  /** Fetches a newer table from the platform or, if that fails, from the peer. */
  async function fetchNewerTable(peer: Peer, epoch: number): Promise<void> {
    await offerPlatformTable(opts.platform, table)
    if (epoch <= sharing.epoch()) return
    await call(peer, 'fetchTable', (options) => sharing.fetchTable(peer.client, options))
  }

  function loansFor(peer: string): Loans | undefined {
    const message = entryHandlers?.loans.messageFor(peer)
    return message && encodeLoans(message)
  }

  function receiveLoans(peer: string, loans: Loans | undefined): void {
    if (!loans || loans.lines.length > MAX_SERVICE_LOADS) return
    entryHandlers?.loans.receive(peer, decodeLoans(loans))
  }

  async function call(
    peer: Peer,
    step: string,
    run: (options: CallOptions) => Promise<void>,
  ): Promise<void> {
    try {
      await callWithTimeout(CALL_TIMEOUT_MS, run, stopping.signal)
      metrics.peerMessages.inc({ step, result: 'ok' })
    } catch (cause) {
      metrics.peerMessages.inc({ step, result: 'failed' })
      reportIfLost(peer, describeError(cause))
    }
  }

  function reportIfLost(peer: Peer, reason: string): void {
    if (peer.isLost || stopping.signal.aborted) return
    if (peer.silentForMs() < LOST_AFTER_MS) return
    peer.isLost = true
    log.event('peerLost', { peer: peer.id, hall: peer.address.hall, reason })
  }

  const sync = (peer: Peer) =>
    call(peer, 'sync', async (options) => {
      const message = { report: ownReport(), loans: loansFor(peer.id) }
      const res = await peer.client.sync(message, options)
      receiveReport(res.report)
      receiveLoans(peer.id, res.loans)
    })

  async function runSyncLoop(peer: Peer): Promise<void> {
    const local = peer.address.hall === cfg.node.hall
    const interval = intervalOf(peer.address.hall)
    // Only one side of a pair initiates syncs, because the reply carries the report of
    // the other side. The passive side syncs only while it receives no reports.
    const initiates = cfg.node.id < peer.id
    await sync(peer)
    while (!stopping.signal.aborted) {
      if (initiates || peer.silentForMs() > interval * FALLBACK_SYNC_INTERVALS)
        await sync(peer)
      if (local && rows.revision() === 0) {
        await call(peer, 'fetchRows', (options) =>
          sharing.fetchRows(peer.client, options),
        )
      }
      await sleep(jittered(interval), stopping.signal)
    }
  }

  const unsubscribe = table.subscribe(({ epoch }) => {
    const message = { node: cfg.node.id, epoch: BigInt(epoch) }
    for (const peer of peers.values()) {
      if (Number(peer.report?.epoch ?? 0) >= epoch) continue
      void call(peer, 'pushHead', async (options) => {
        await peer.client.pushHead(message, options)
      })
    }
  })

  const routes = (router: ConnectRouter) =>
    router.service(PeerService, {
      sync(req) {
        receiveReport(req.report)
        receiveLoans(req.report!.node, req.loans)
        return { report: ownReport(), loans: loansFor(req.report!.node) }
      },
      pushHead(req) {
        const peer = peers.get(req.node)
        if (!peer) throw new ConnectError('not in the settings', Code.PermissionDenied)
        if (peer.report) peer.report.epoch = req.epoch
        if (Number(req.epoch) > sharing.epoch())
          void fetchNewerTable(peer, Number(req.epoch))
        return { epoch: BigInt(sharing.epoch()) }
      },
      ...onceRoutes(
        () => entryHandlers?.once,
        (id) => peers.has(id),
      ),
      ...sharing.routes,
    })

  const server = await listenForPeers(cfg, routes, meter, opts.serverLimits)
  metrics.beforeScrape.push(meter.collect)
  const syncLoops = [...peers.values()].map(runSyncLoop)

  return {
    peers: () => [...peers.values()],
    ownReport,
    oncePeers: createOncePeers(cfg.node.id, (id) => peers.get(id)?.client),
    setEntryHandlers: (next) => (entryHandlers = next),
    setReportSource: (next) => (reportSource = next),
    subscribe(listener) {
      listeners.add(listener)
      return () => listeners.delete(listener)
    },
    async syncHall() {
      const hall = [...peers.values()].filter(
        (each) => each.address.hall === cfg.node.hall,
      )
      await Promise.all(hall.map(sync))
    },
    port: (server.address() as { port: number }).port,
    async stop() {
      unsubscribe()
      stopping.abort()
      const closed = new Promise((resolve) => server.close(resolve))
      server.closeIdleConnections()
      // Lets replies under way go out, then closes connections that peers keep open.
      await Promise.race([closed, sleep(CLOSE_GRACE_MS)])
      agent.destroy()
      server.closeAllConnections()
      await closed
      await Promise.all(syncLoops)
      for (const peer of peers.values()) peer.stopWatching()
    },
  }
}
