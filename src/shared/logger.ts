/**
 * Structured log: one JSON line per event, with the number from the catalogue.
 * Routing events have a switch of their own, because there is one per request.
 */
import winston from 'winston'
import type { EventLevel, EventName } from './events.js'
import { EVENTS } from './events.js'
import { createEventLimit } from './eventLimit.js'
import { createLineBuffer } from './lineBuffer.js'

/** Values that an event may carry. */
export type EventFields = Record<string, unknown>

/** Writes events. */
export interface Logger {
  /** Writes one event with its inputs. */
  event(name: EventName, fields?: EventFields): void
  /** Whether the event would be written; lets hot paths skip building the fields. */
  enabled(name: EventName): boolean
  /** A logger that adds the fields to every event. */
  child(fields: EventFields): Logger
  /** Resolves once all lines are handed to the output. */
  close(): Promise<void>
}

/** Options of {@link createLogger}. */
export interface LoggerOptions {
  /**
   * Lowest level that is written.
   * @default 'info'
   */
  level?: EventLevel
  /**
   * Whether per-request routing events (RS-2001 to RS-2004) are written.
   * @default true
   */
  routing?: boolean
  /**
   * Whether lines of one kind are bounded; see `eventLimit.ts`.
   * @default false
   */
  bounded?: boolean
  /** Fields of every line, such as the node and its hall. */
  base?: EventFields
  /**
   * Where the lines go.
   * @default process.stdout
   */
  stream?: NodeJS.WritableStream
}

const LEVEL_ORDER: Record<EventLevel, number> = { error: 0, warn: 1, info: 2, debug: 3 }
const ROUTING_EVENTS = new Set<EventName>([
  'routed',
  'notRouted',
  'attemptFailed',
  'requestEnded',
])

const UNLIMITED = { allowed: true, leftOut: 0 }

/** winston's names of the properties that its transports read. */
const LEVEL = Symbol.for('level')
const MESSAGE = Symbol.for('message')

/** One JSON object per line; its keys keep the order in which they were given. */
const jsonLine = winston.format((info) => {
  const timestamp = new Date().toISOString()
  info[MESSAGE] = JSON.stringify({ timestamp, ...info })
  return info
})

/** Creates a logger that writes JSON lines through winston. */
export function createLogger(opts: LoggerOptions = {}): Logger {
  const level = opts.level ?? 'info'
  const routing = opts.routing ?? true
  const lines = createLineBuffer(opts.stream ?? process.stdout)
  const sink = winston.createLogger({
    level,
    levels: LEVEL_ORDER,
    format: jsonLine(),
    transports: [new winston.transports.Stream({ stream: lines })],
  })
  const enabled = (name: EventName): boolean => {
    if (!routing && ROUTING_EVENTS.has(name)) return false
    return LEVEL_ORDER[EVENTS[name].level] <= LEVEL_ORDER[level]
  }
  const limit = opts.bounded ? createEventLimit() : undefined
  const withFields = (extra: EventFields): Logger => ({
    enabled,
    event(name, fields) {
      if (!enabled(name)) return
      const { allowed, leftOut } = limit?.take(name) ?? UNLIMITED
      if (!allowed) return
      const { id, level, text } = EVENTS[name]
      // Straight into winston's stream: `log` would copy the fields once more.
      sink.write({
        level,
        [LEVEL]: level,
        event: id,
        name,
        message: text,
        ...(leftOut > 0 && { leftOut }),
        ...extra,
        ...fields,
      })
    },
    child: (fields) => withFields({ ...extra, ...fields }),
    close: () =>
      new Promise((resolve) => {
        lines.once('finish', () => resolve())
        sink.once('finish', () => lines.end())
        sink.end()
      }),
  })
  return withFields(opts.base ?? {})
}

/** One event as kept by {@link createMemoryLogger}. */
export interface LoggedEvent {
  name: EventName
  fields: EventFields
}

/** A logger that keeps the last events in memory, for explanations and tests. */
export function createMemoryLogger(
  limit = 10_000,
): Logger & { readonly events: LoggedEvent[] } {
  const events: LoggedEvent[] = []
  const withFields = (extra: EventFields): Logger => ({
    enabled: () => true,
    event(name, fields) {
      events.push({ name, fields: { ...extra, ...fields } })
      if (events.length > limit) events.splice(0, events.length - limit)
    },
    child: (fields) => withFields({ ...extra, ...fields }),
    close: async () => {},
  })
  return { ...withFields({}), events }
}
