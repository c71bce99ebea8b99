/** One peer: address, client and last report. */
import type { Agent, Server } from 'node:http'
import type { Client, ConnectRouter } from '@connectrpc/connect'
import { createClient } from '@connectrpc/connect'
import { connectNodeAdapter, createConnectTransport } from '@connectrpc/connect-node'
import type { PeerAddress, ResolvedConfig } from '../config/index.js'
import type { ServerLimits } from '../limits/index.js'
import { monotonicMs } from '../shared/index.js'
import {
  SERVER_IDLE_TIMEOUT_MS,
  MAX_LEAVING_VMS,
  MAX_SERVICE_LOADS,
  MAX_MESSAGE_BYTES,
  MAX_REPORTED_JOBS,
  MAX_REACHABLE_INTERVALS,
} from './constants.js'
import { PeerService } from './gen/peer_pb.js'
import type { NodeReport } from './gen/peer_pb.js'
import { createReachability } from './reachability.js'
import type { TrafficMeter } from './traffic.js'

/** Last report of a peer and its age. */
export interface PeerState {
  id: string
  address: PeerAddress
  /** Undefined until the first report arrives. */
  report: NodeReport | undefined
  /** Ms since the last report, or since the start of this process if there is none. */
  silentForMs(): number
  /**
   * Whether a report has arrived within the last few sync intervals; time in which this
   * process could not read does not count.
   */
  isReached(): boolean
}

/** A peer with its client. */
export interface Peer extends PeerState {
  client: Client<typeof PeerService>
  isLost: boolean
  /** Stores a report and restarts the reachability time-out. */
  recordReport(report: NodeReport): void
  /** Stops the reachability timer; the peer counts as not reached from then on. */
  stopWatching(): void
}

/** Whether a list of the report is longer than a sender may make it. */
export function exceedsLimits(report: NodeReport): boolean {
  const { leaving, loads, stopping, draining } = report
  if (leaving.length > MAX_LEAVING_VMS || loads.length > MAX_SERVICE_LOADS) return true
  return stopping.length > MAX_REPORTED_JOBS || draining.length > MAX_REPORTED_JOBS
}

/**
 * Creates a peer and its client, without connecting.
 * @param intervalMs interval between syncs with the peer.
 */
export function createPeer(
  id: string,
  address: PeerAddress,
  intervalMs: number,
  agent: Agent,
): Peer {
  const host = address.host.includes(':') ? `[${address.host}]` : address.host
  const transport = createConnectTransport({
    httpVersion: '1.1',
    baseUrl: `http://${host}:${address.port}`,
    readMaxBytes: MAX_MESSAGE_BYTES,
    useBinaryFormat: true,
    nodeOptions: { agent },
  })
  const reachability = createReachability(intervalMs * MAX_REACHABLE_INTERVALS)
  let lastReportAt = monotonicMs()
  const peer: Peer = {
    id,
    address,
    report: undefined,
    client: createClient(PeerService, transport),
    isLost: false,
    silentForMs: () => monotonicMs() - lastReportAt,
    isReached: reachability.isReached,
    recordReport(report) {
      peer.report = report
      lastReportAt = monotonicMs()
      reachability.noteMessage()
    },
    stopWatching: reachability.stop,
  }
  return peer
}

/** Opens the port for peers. Rejects if it cannot be opened. */
export async function listenForPeers(
  cfg: ResolvedConfig,
  routes: (router: ConnectRouter) => void,
  meter: TrafficMeter,
  limits: ServerLimits,
): Promise<Server> {
  const adapter = connectNodeAdapter({ routes, readMaxBytes: MAX_MESSAGE_BYTES })
  const server = limits.createServer('nodes', adapter, {
    http: { keepAliveTimeout: SERVER_IDLE_TIMEOUT_MS },
  })
  server.on('connection', meter.track)
  await new Promise<void>((resolve, reject) => {
    server.once('error', reject)
    server.listen(cfg.listen.peer_port, cfg.listen.address, resolve)
  })
  return server
}
