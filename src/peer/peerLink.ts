/** One peer: its address, its client and what it last said. */
import { createServer } from 'node:http'
import type { Agent, Server } from 'node:http'
import type { Client, ConnectRouter } from '@connectrpc/connect'
import { createClient } from '@connectrpc/connect'
import { connectNodeAdapter, createConnectTransport } from '@connectrpc/connect-node'
import type { PeerAddress, ResolvedConfig } from '../config/index.js'
import { monotonicMs } from '../shared/index.js'
import {
  KEEP_ALIVE_MS,
  MAX_LEAVING,
  MAX_LOADS,
  MAX_MESSAGE_BYTES,
  MAX_STOPPING,
  REACHED_INTERVALS,
} from './constants.js'
import { PeerService } from './gen/peer_pb.js'
import type { NodeReport } from './gen/peer_pb.js'
import { createReach } from './reach.js'
import type { TrafficMeter } from './traffic.js'

/** What a peer last said, and when. */
export interface PeerState {
  id: string
  address: PeerAddress
  /** Undefined until the peer has spoken. */
  report: NodeReport | undefined
  /** Ms since the peer last spoke, or since our start when it never did. */
  silentForMs(): number
  /**
   * Whether it has spoken within a few of its intervals; time in which this process could
   * not read does not count.
   */
  isReached(): boolean
}

/** A peer with what it takes to call it. */
export interface Peer extends PeerState {
  client: Client<typeof PeerService>
  lost: boolean
  /** Notes what it says. */
  hear(report: NodeReport): void
  /** Ends what is done about it; it counts as not reached from then on. */
  leave(): void
}

/** Whether a report has more entries than a sender may name. */
export function isOverBounds(report: NodeReport): boolean {
  const { leaving, loads, stopping, draining } = report
  if (leaving.length > MAX_LEAVING || loads.length > MAX_LOADS) return true
  return stopping.length > MAX_STOPPING || draining.length > MAX_STOPPING
}

/**
 * Prepares calls to a peer; nothing is connected yet.
 * @param intervalMs time between two syncs with it.
 */
export function makePeer(
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
  const reach = createReach(intervalMs * REACHED_INTERVALS)
  let heardAt = monotonicMs()
  const peer: Peer = {
    id,
    address,
    report: undefined,
    client: createClient(PeerService, transport),
    lost: false,
    silentForMs: () => monotonicMs() - heardAt,
    isReached: reach.isReached,
    hear(report) {
      peer.report = report
      heardAt = monotonicMs()
      reach.heard()
    },
    leave: reach.stop,
  }
  return peer
}

/** Opens the port for peers. Rejects when it cannot be opened. */
export async function listenForPeers(
  cfg: ResolvedConfig,
  routes: (router: ConnectRouter) => void,
  meter: TrafficMeter,
): Promise<Server> {
  const adapter = connectNodeAdapter({ routes, readMaxBytes: MAX_MESSAGE_BYTES })
  const server = createServer({ keepAliveTimeout: KEEP_ALIVE_MS }, adapter)
  server.on('connection', meter.track)
  await new Promise<void>((resolve, reject) => {
    server.once('error', reject)
    server.listen(cfg.listen.peer_port, cfg.listen.address, resolve)
  })
  return server
}
