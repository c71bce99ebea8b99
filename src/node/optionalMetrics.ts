/**
 * Metrics of optional features and of cordons. Each is registered with its first value, so that the
 * metrics of a node that uses none of them do not change.
 */
import { Counter, Gauge } from 'prom-client'
import type { Metric, Registry } from 'prom-client'
import { REFUSAL_TEXTS } from '../admission/index.js'
import type { EventFields, EventName } from '../shared/index.js'

/** Most queues with a label value of their own; further ones share one. */
const MAX_QUEUE_LABELS = 200
const OTHER_QUEUES = 'other'

/** Updates metrics by event. */
type EventHandlers = Partial<Record<EventName, (fields: EventFields) => void>>

/** Registers a metric with its first use. */
type Use = <T extends Metric>(metric: T) => T

/** Label values of queues, of which only so many are distinguished. */
function createQueueLabels(): (queue: string) => string {
  const queues = new Set<string>()
  return (queue) => {
    if (queues.size < MAX_QUEUE_LABELS) queues.add(queue)
    return queues.has(queue) ? queue : OTHER_QUEUES
  }
}

function countRefusals(use: Use): EventHandlers {
  const labelOf = createQueueLabels()
  const counter = new Counter({
    name: 'rillshunt_jobs_refused_total',
    help: 'jobs refused before their rows were written, by queue and reason',
    labelNames: ['queue', 'reason'],
    registers: [],
  })
  return {
    jobRefused(fields) {
      const reason = String(fields['reason'])
      if (!Object.hasOwn(REFUSAL_TEXTS, reason)) return
      use(counter).inc({ queue: labelOf(String(fields['queue'])), reason })
    },
  }
}

function showCordons(use: Use): EventHandlers {
  const gauge = new Gauge({
    name: 'rillshunt_hall_cordoned',
    help: '1 for a data hall that is cordoned as far as this node knows, 0 once that is lifted',
    labelNames: ['hall'],
    registers: [],
  })
  const set = (fields: EventFields, value: number): void =>
    use(gauge).set({ hall: String(fields['hall']) }, value)
  return {
    hallCordoned: (fields) => set(fields, 1),
    hallUncordoned: (fields) => set(fields, 0),
  }
}

function countExceededShares(use: Use): EventHandlers {
  const counter = new Counter({
    name: 'rillshunt_share_exceeded_total',
    help: 'lines about jobs that wait beyond the share of their organisation',
    labelNames: ['organisation'],
    registers: [],
  })
  return {
    sharesExceeded(fields) {
      const organisations = fields['organisations'] as { organisation: string }[]
      for (const { organisation } of organisations) use(counter).inc({ organisation })
    },
  }
}

function countCopies(use: Use): EventHandlers {
  const ended = new Counter({
    name: 'rillshunt_copies_ended_total',
    help: 'second runs of slow tasks that ended, by outcome',
    labelNames: ['outcome'],
    registers: [],
  })
  const wasted = new Counter({
    name: 'rillshunt_copies_wasted_seconds_total',
    help: 'time of runs thrown away because of second runs of slow tasks',
    registers: [],
  })
  return {
    copyEnded(fields) {
      use(ended).inc({ outcome: String(fields['outcome']) })
      use(wasted).inc(Number(fields['wastedMs'] ?? 0) / 1000)
    },
  }
}

function showForwarders(use: Use): EventHandlers {
  const gauge = new Gauge({
    name: 'rillshunt_forwarders',
    help: 'other nodes through which this one calls its targets',
    registers: [],
  })
  return {
    forwardersChosen: (fields) =>
      use(gauge).set((fields['forwarders'] as string[]).length),
  }
}

/** Creates the metrics; returns the handlers that update them. */
export function createOptionalMetrics(registry: Registry): EventHandlers {
  const used = new Set<Metric>()
  const use: Use = (metric) => {
    if (!used.has(metric)) registry.registerMetric(metric)
    used.add(metric)
    return metric
  }
  return {
    ...countRefusals(use),
    ...showCordons(use),
    ...countExceededShares(use),
    ...countCopies(use),
    ...showForwarders(use),
  }
}
