/** Counts bytes to and from peers, also on sockets that stay open. */
import { Agent } from 'node:http'
import { createConnection } from 'node:net'
import type { NetConnectOpts, Socket } from 'node:net'
import type { Metrics } from '../shared/index.js'
import { CLIENT_IDLE_TIMEOUT_MS } from './constants.js'

/** Counts the bytes of tracked sockets. */
export interface TrafficMeter {
  track(socket: Socket): void
  /** Adds the bytes since the last call to the metrics. */
  collect(): void
}

/** Creates a meter for one process. */
export function createTrafficMeter(metrics: Metrics): TrafficMeter {
  const counts = new Map<Socket, { received: number; sent: number }>()

  function recordTraffic(socket: Socket): void {
    const before = counts.get(socket)
    if (!before) return
    const { bytesRead: received, bytesWritten: sent } = socket
    metrics.peerBytes.inc({ direction: 'received' }, received - before.received)
    metrics.peerBytes.inc({ direction: 'sent' }, sent - before.sent)
    counts.set(socket, { received, sent })
  }

  return {
    track(socket) {
      counts.set(socket, { received: 0, sent: 0 })
      socket.once('close', () => {
        recordTraffic(socket)
        counts.delete(socket)
      })
    },
    collect() {
      for (const socket of counts.keys()) recordTraffic(socket)
    },
  }
}

/** Creates a keep-alive agent whose sockets are tracked by the meter. */
export function createMeteredAgent(meter: TrafficMeter): Agent {
  const agent = new Agent({ keepAlive: true, timeout: CLIENT_IDLE_TIMEOUT_MS })
  const connect = (options: NetConnectOpts): Socket => {
    const socket = createConnection(options)
    meter.track(socket)
    return socket
  }
  return Object.assign(agent, { createConnection: connect })
}
