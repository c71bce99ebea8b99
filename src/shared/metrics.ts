/** Metrics of one process, by prom-client. `docs/operators.md` lists names and meanings. */
import { Counter, Gauge, Histogram, Registry, collectDefaultMetrics } from 'prom-client'

const LATENCY_BUCKETS_S = [
  0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10, 30,
]

/** Resolution of the event loop's lag monitor, in ms; the default of 10 wakes an idle process. */
const LOOP_PRECISION_MS = 100

/** Returns a function that creates the value of each key once. */
export function memoize<T>(make: (key: string) => T): (key: string) => T {
  const made = new Map<string, T>()
  return (key) => {
    let value = made.get(key)
    if (value === undefined) {
      value = make(key)
      made.set(key, value)
    }
    return value
  }
}

/** All metrics of one process. */
export type Metrics = ReturnType<typeof createMetrics>

/** Creates metrics with a separate registry, so that one process can run several kernels. */
export function createMetrics() {
  const registry = new Registry()
  const registers = [registry]
  const counter = <T extends string>(name: string, help: string, labelNames: T[]) =>
    new Counter({ name: `rillshunt_${name}`, help, labelNames, registers })
  const gauge = <T extends string>(name: string, help: string, labelNames: T[]) =>
    new Gauge({ name: `rillshunt_${name}`, help, labelNames, registers })

  const metrics = {
    registry,
    /** Called before the metrics are rendered, to update counters. */
    beforeScrape: [] as (() => void)[],
    /** Renders all metrics in the exposition format of Prometheus. */
    async render(this: void): Promise<string> {
      for (const update of metrics.beforeScrape) update()
      return registry.metrics()
    },
    /** Adds the metrics of the Node.js runtime. */
    collectRuntime: () =>
      collectDefaultMetrics({
        register: registry,
        eventLoopMonitoringPrecision: LOOP_PRECISION_MS,
      }),
    requests: counter('requests_total', 'requests ended, by outcome', [
      'service',
      'outcome',
    ]),
    attempts: counter('attempts_total', 'attempts at targets, by result', [
      'service',
      'result',
    ]),
    latency: new Histogram({
      name: 'rillshunt_request_seconds',
      help: 'time from the request to the end of its answer',
      labelNames: ['service'],
      buckets: LATENCY_BUCKETS_S,
      registers,
    }),
    inFlight: gauge('requests_in_flight', 'requests being served', ['service']),
    queued: gauge('requests_queued', 'requests waiting for their turn', ['service']),
    targets: gauge('targets', 'targets in the view, by state', ['state']),
    epoch: gauge('table_epoch', 'epoch of the accepted table in force', []),
    platformCalls: counter('platform_calls_total', 'calls to the platform', ['step']),
    platformBytes: counter('platform_bytes_total', 'bytes to and from the platform', [
      'direction',
    ]),
    platformUp: gauge('platform_reachable', '1 while the platform answers', []),
    peerMessages: counter('peer_messages_total', 'messages to peers, by result', [
      'step',
      'result',
    ]),
    peerBytes: counter('peer_bytes_total', 'bytes to and from peers, by direction', [
      'direction',
    ]),
    leaseHeld: gauge(
      'lease_held',
      '1 while this process holds the lease of its hall',
      [],
    ),
    keeperRound: new Histogram({
      name: 'rillshunt_keeper_round_seconds',
      help: 'time of one round of decisions',
      buckets: LATENCY_BUCKETS_S,
      registers,
    }),
    moves: counter('moves_total', 'VMs and jobs moved by our decision', ['kind']),
  }
  return metrics
}
