/**
 * Stores decision events in the platform's object store, so that `explain` can show the
 * decisions of successive keepers. Each flush writes at most one small batch.
 */
import { nanoid } from 'nanoid'
import type { Platform } from '../platform/index.js'
import { createStopController, EVENTS, sleep } from '../shared/index.js'
import type { EventFields, EventName, Logger } from '../shared/index.js'

const FLUSH_INTERVAL_MS = 2000
/** Events kept while the object store is unavailable; the oldest ones are dropped. */
const MAX_PENDING_EVENTS = 2000

/** Prefix of the names of stored batches; the hall follows it. */
export const DECISIONS_PREFIX = 'events/'

/** One event as stored. */
export interface StoredEvent {
  /** Wall-clock time at the keeper, shown to operators only. */
  at: string
  event: string
  name: EventName
  text: string
  fields: EventFields
}

/** A logger whose events are also stored. */
export interface DecisionLog {
  log: Logger
  stop(): Promise<void>
}

/** Wraps a logger and starts the task that stores its events. */
export function createDecisionLog(
  base: Logger,
  platform: Platform,
  hall: string,
  node: string,
): DecisionLog {
  let pending: StoredEvent[] = []
  const stopping = createStopController()

  const wrap = (inner: Logger, extra: EventFields): Logger => ({
    ...inner,
    event(name, fields) {
      inner.event(name, fields)
      const { id, text } = EVENTS[name]
      const allFields = { hall, node, ...extra, ...fields }
      pending.push({
        at: new Date().toISOString(),
        event: id,
        name,
        text,
        fields: allFields,
      })
      if (pending.length > MAX_PENDING_EVENTS)
        pending.splice(0, pending.length - MAX_PENDING_EVENTS)
    },
    child: (fields) => wrap(inner.child(fields), { ...extra, ...fields }),
  })

  async function flush(): Promise<void> {
    if (pending.length === 0) return
    const batch = pending
    pending = []
    const name = `${DECISIONS_PREFIX}${hall}/${Date.now()}-${nanoid(6)}`
    const stored = await platform.putObject(name, batch)
    if (stored.isErr()) pending = [...batch, ...pending]
  }

  async function run(): Promise<void> {
    while (!stopping.signal.aborted) {
      await sleep(FLUSH_INTERVAL_MS, stopping.signal)
      await flush()
    }
  }

  const task = run()
  return {
    log: wrap(base, {}),
    async stop() {
      stopping.abort()
      await task
    },
  }
}
