/**
 * Structured log: one JSON line per event, with its number from the catalogue.
 * Routing events can be disabled separately, because each request writes one.
 */
import winston from 'winston'
import type { EventLevel, EventName } from './events.js'
import { EVENTS } from './events.js'
import { createEventLimit } from './eventLimit.js'
import { createLineBuffer } from './lineBuffer.js'

/** Fields of an event. */
export type EventFields = Record<string, unknown>

/** Writes events. */
export interface Logger {
  /** Writes one event with its fields. */
  event(name: EventName, fields?: EventFields): void
  /** Whether the event would be written; hot paths skip building its fields otherwise. */
  enabled(name: EventName): boolean
  /** A logger that adds the fields to every event. */
  child(fields: EventFields): Logger
  /** Resolves once all lines have been passed to the output. */
  close(): Promise<void>
}

/** Options of {@link createLogger}. */
export interface LoggerOptions {
  /**
   * Least severe level that is written.
   * @default 'info'
   */
  level?: EventLevel
  /**
   * Whether per-request routing events (RS-2001 to RS-2004) are written.
   * @default true
   */
  routing?: boolean
  /**
   * Whether the rate of lines of one kind is limited; see `eventLimit.ts`.
   * @default false
   */
  bounded?: boolean
  /** Fields added to every line, such as the node and its hall. */
  base?: EventFields
  /**
   * Destination of the lines.
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

/** Symbols under which winston's transports read the level and the line. */
const LEVEL = Symbol.for('level')
const MESSAGE = Symbol.for('message')

/** Formats an event as one JSON object per line; its keys keep their order. */
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
      // Written directly to winston's stream, because `log` would copy the fields again.
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

/** Creates a logger that keeps the latest events in memory, for explanations and tests. */
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
