/**
 * Keeps one row for each queue that has brought jobs to the service, written before the first
 * task of such a job starts. A successor reads the jobs of these queues first and then knows
 * every job that may have been started, including jobs of queues that have since been configured
 * for another service. Without these rows it has to read the jobs of all queues before it
 * starts any, four times as many where four services share them.
 */
import type { RowKey, RowStore } from '../ports/index.js'
import { commitUnderEpoch } from '../ownership/index.js'
import type { Authority } from '../ownership/index.js'
import { describeError, jittered, sleep } from '../shared/index.js'
import type { Logger } from '../shared/index.js'
import { createBatches } from '../storeAccess/index.js'
import { FLUSH_RETRY_MS } from './constants.js'

export const QUEUES_TABLE = 'queues'

/** The queue rows of one service. */
export interface QueueRows {
  /** Whether the queue's row is durable, so that its jobs may be started. */
  has(queue: string): boolean
  /** Queues whose rows are durable. */
  all(): ReadonlySet<string>
  /** Schedules a write of the queue's row unless it is durable. */
  add(queue: string): void
  stop(): void
}

/** Dependencies of the queue rows. */
export interface QueueRowsOptions {
  store: RowStore
  authority: Authority
  /** Queues whose rows were left by a predecessor. */
  inherited: Iterable<string>
  log: Logger
  /** Called when rows have become durable. */
  added(): void
}

/** Starts with the inherited rows. */
export function createQueueRows(opts: QueueRowsOptions): QueueRows {
  const { store, authority, log } = opts
  const durable = new Set(opts.inherited)
  const pending = new Set<string>()
  /** Queues whose rows the store can never take. */
  const rejected = new Set<string>()
  let isRunning = false
  let isStopped = false

  const key = (queue: string): RowKey => ({
    table: QUEUES_TABLE,
    part: authority.service,
    key: queue,
  })

  const putsOf = (queue: string) => ({ puts: [{ ...key(queue), value: '{}' }] })
  const batches = createBatches({
    store,
    changeOf: putsOf,
    common: () => ({ conditions: [authority.epoch()] }),
  })

  /** Leaves out the row of a queue that the store can never take, as no job of it can be stored. */
  function noteRejected(queues: readonly string[]): void {
    const atFault = batches.noteRejected(queues)
    if (atFault === undefined) return
    pending.delete(atFault)
    rejected.add(atFault)
  }

  async function write(): Promise<boolean> {
    const queues = batches.next(pending)
    const puts = queues.flatMap((queue) => putsOf(queue).puts)
    const res = await commitUnderEpoch(store, authority, { puts })
    if (res.isErr()) {
      log.event('queuesNotWritten', { reason: describeError(res.error) })
      if (res.error.failure === 'rejected') noteRejected(queues)
      return false
    }
    if (!res.value.committed) return false
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
      if (durable.has(queue) || rejected.has(queue)) return
      pending.add(queue)
      void run()
    },
    stop: () => void (isStopped = true),
  }
}
