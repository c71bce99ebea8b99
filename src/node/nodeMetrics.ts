/**
 * Metrics of a node, with prom-client. Most are derived from logged events, so that the log and
 * the metrics always agree; calls to external services are recorded directly.
 */
import { Counter, Histogram, Registry } from 'prom-client'
import type { EventFields, EventName, Logger } from '../shared/index.js'
import { createOptionalMetrics } from './optionalMetrics.js'

/** Upper bounds of histogram buckets, in seconds: calls take some ms, jobs some seconds. */
const BUCKETS_S = [0.002, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2, 4, 8, 16, 32]

/** The metrics of one node. */
export interface NodeMetrics {
  registry: Registry
  /** Records a call to an external service: its duration in ms and the bytes of its bodies. */
  noteCall(step: string, ms: number, sent: number, received: number): void
  /** Wraps a logger, so that its events are counted. */
  watch(log: Logger): Logger
}

/** Converts a field from ms to seconds; 0 if it is absent. */
const secondsOf = (fields: EventFields, name: string): number =>
  Number(fields[name] ?? 0) / 1000

/** Creates the instruments in a registry of their own. */
function createInstruments() {
  const registry = new Registry()
  const registers = [registry]
  const events = new Counter({
    name: 'rillshunt_events_total',
    help: 'events by name; the catalogue is docs/events.md',
    labelNames: ['name'],
    registers,
  })
  const calls = new Histogram({
    name: 'rillshunt_call_seconds',
    help: 'time of calls to store, targets, cloud and advice, by step',
    labelNames: ['step'],
    buckets: BUCKETS_S,
    registers,
  })
  const bytes = new Counter({
    name: 'rillshunt_call_bytes_total',
    help: 'bytes of bodies, by step and direction',
    labelNames: ['step', 'direction'],
    registers,
  })
  const waits = new Histogram({
    name: 'rillshunt_task_wait_seconds',
    help: 'time from when a task may start to its start order',
    buckets: BUCKETS_S,
    registers,
  })
  const intake = new Histogram({
    name: 'rillshunt_intake_late_seconds',
    help: 'time from accepting a job to its owner taking it on, by how it heard of it',
    labelNames: ['from'],
    buckets: BUCKETS_S,
    registers,
  })
  const late = new Histogram({
    name: 'rillshunt_process_late_seconds',
    help: 'long delays of the process, each the longest of a second',
    buckets: BUCKETS_S,
    registers,
  })
  const jobs = new Histogram({
    name: 'rillshunt_job_seconds',
    help: 'time from taking a job on to its durable outcome, by outcome',
    labelNames: ['outcome'],
    buckets: BUCKETS_S,
    registers,
  })
  const runEnds = new Counter({
    name: 'rillshunt_runs_ended_total',
    help: 'ends of runs, by kind',
    labelNames: ['kind'],
    registers,
  })
  const configurationAge = new Histogram({
    name: 'rillshunt_configuration_age_seconds',
    help: 'age of the configuration by which a request was accepted or its caller refused',
    buckets: BUCKETS_S,
    registers,
  })
  const holds = new Counter({
    name: 'rillshunt_task_holds_total',
    help: 'lines about jobs that wait, by the rule that holds them from most targets',
    labelNames: ['hold'],
    registers,
  })
  return {
    registry,
    events,
    calls,
    bytes,
    waits,
    holds,
    intake,
    late,
    jobs,
    runEnds,
    configurationAge,
  }
}

/** Creates the metrics of a node, all at zero. */
export function createNodeMetrics(): NodeMetrics {
  const { registry, configurationAge, ...instruments } = createInstruments()
  const { events, calls, bytes, waits, holds, intake, late, jobs, runEnds } = instruments
  const noteConfigurationAge = (fields: EventFields): void =>
    configurationAge.observe(secondsOf(fields, 'configurationAgeMs'))

  /** Updates of metrics by event, in addition to the count of events. */
  const HANDLERS: Partial<Record<EventName, (fields: EventFields) => void>> = {
    ...createOptionalMetrics(registry),
    taskPlaced: (fields) => waits.observe(secondsOf(fields, 'waitedMs')),
    jobAccepted: noteConfigurationAge,
    callerRefused: noteConfigurationAge,
    taskWaits: (fields) => holds.inc({ hold: String(fields['hold']) }),
    jobTaken: (fields) =>
      intake.observe({ from: String(fields['from']) }, secondsOf(fields, 'lateMs')),
    processLate: (fields) => late.observe(secondsOf(fields, 'lateMs')),
    runEnded: (fields) => runEnds.inc({ kind: String(fields['kind']) }),
    jobSettled: (fields) =>
      jobs.observe({ outcome: String(fields['outcome']) }, secondsOf(fields, 'tookMs')),
  }

  const watch = (log: Logger): Logger => ({
    ...log,
    event(name, fields = {}) {
      events.inc({ name })
      HANDLERS[name]?.(fields)
      log.event(name, fields)
    },
    child: (fields) => watch(log.child(fields)),
  })

  return {
    registry,
    watch,
    noteCall(step, ms, sent, received) {
      calls.observe({ step }, ms / 1000)
      bytes.inc({ step, direction: 'sent' }, sent)
      bytes.inc({ step, direction: 'received' }, received)
    },
  }
}
