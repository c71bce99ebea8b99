/**
 * Queues that have brought jobs to the service, one row each, written before the first task of
 * such a job starts. A successor reads the jobs of these queues first: then it knows everything
 * that may have been started, also of queues that the configuration has given to another
 * service since. It read those of all queues before it did anything, four times as much where
 * four services share them.
 */
import type { RowKey, RowStore } from '../ports/index.js'
import type { Authority } from '../ownership/index.js'
import { describeError, jittered, sleep } from '../shared/index.js'
import type { Logger } from '../shared/index.js'
import { FLUSH_RETRY_MS } from './constants.js'
import { commitUnderEpoch } from './epochCommit.js'

export const QUEUES_TABLE = 'queues'

/** The queues of one service. */
export interface QueueRows {
  /** Whether the queue's row is durable, so that its jobs may be started. */
  has(queue: string): boolean
  all(): ReadonlySet<string>
  /** Has the row written, unless it is there. */
  add(queue: string): void
  stop(): void
}

/** What the rows are written with. */
export interface QueueRowsOptions {
  store: RowStore
  authority: Authority
  /** Queues whose rows a predecessor has left. */
  inherited: Iterable<string>
  log: Logger
  /** Rows have become durable. */
  added(): void
}

/** Starts with the rows that are there. */
export function createQueueRows(opts: QueueRowsOptions): QueueRows {
  const { store, authority, log } = opts
  const durable = new Set(opts.inherited)
  const pending = new Set<string>()
  let isRunning = false
  let isStopped = false

  const key = (queue: string): RowKey => ({
    table: QUEUES_TABLE,
    part: authority.service,
    key: queue,
  })

  async function write(): Promise<boolean> {
    const queues = [...pending]
    const puts = queues.map((queue) => ({ ...key(queue), value: '{}' }))
    const res = await commitUnderEpoch(store, authority, { puts, removals: [] })
    if (res.isErr()) log.event('queuesNotWritten', { reason: describeError(res.error) })
    if (res.isErr() || !res.value) return false
    for (const queue of queues) {
      durable.add(queue)
      pending.delete(queue)
    }
    opts.added()
    return true
  }

  async function run(): Promise<void> {
    if (isRunning) return
    isRunning = true
    while (!isStopped && !authority.isLost() && pending.size > 0) {
      if (!(await write())) await sleep(jittered(FLUSH_RETRY_MS))
    }
    isRunning = false
  }

  return {
    has: (queue) => durable.has(queue),
    all: () => durable,
    add(queue) {
      if (durable.has(queue)) return
      pending.add(queue)
      void run()
    },
    stop: () => void (isStopped = true),
  }
}
