/**
 * The row with which an owner records what its service may use of each quota, before it uses that.
 * Its successor, which does not know all runs yet, has so much reserved for them.
 */
import { z } from 'zod'
import type { Resources, RowKey, RowStore } from '../ports/index.js'
import { commitUnderEpoch } from '../ownership/index.js'
import type { Authority } from '../ownership/index.js'
import { amountsSchema } from '../quotas/index.js'
import { describeError, jittered, parseJson, sleep } from '../shared/index.js'
import type { Logger } from '../shared/index.js'

export const QUOTAS_TABLE = 'quotas'
/**
 * Shortest pause after a failed write, in ms; jittered. Runs within the last bounds go on meanwhile,
 * and writes of progress and of new targets share the part of the store.
 */
const WRITE_RETRY_MS = 300
const boundsSchema = z.record(z.string(), amountsSchema)

/** Upper bounds of what a service uses, by organisation. */
export type QuotaBounds = ReadonlyMap<string, Resources>

/** Key of the row of a service. */
export const quotaRowKey = (service: string): RowKey => ({
  table: QUOTAS_TABLE,
  part: service,
  key: 'bounds',
})

/** Decodes the row; undefined if it cannot be read, so that the bounds are unknown. */
export function decodeQuotaBounds(value: string): QuotaBounds | undefined {
  const parsed = boundsSchema.safeParse(parseJson(value))
  return parsed.success ? new Map(Object.entries(parsed.data)) : undefined
}

/** Writes the row of one service. */
export interface QuotaRowWriter {
  /** Schedules a write of the bounds that are current by then. */
  schedule(): void
  stop(): void
}

/** Creates the writer, which has nothing to write yet. */
export function createQuotaRowWriter(opts: {
  store: RowStore
  authority: Authority
  log: Logger
  /** Bounds to write. */
  bounds(): QuotaBounds
  /** Called with bounds that have become durable. */
  written(bounds: QuotaBounds): void
}): QuotaRowWriter {
  const { store, authority, log } = opts
  /** Value that the store can never take; the bounds stay as they are until others are needed. */
  let rejectedValue: string | undefined
  let isScheduled = false
  let isRunning = false
  let isStopped = false

  async function write(): Promise<boolean> {
    const bounds = opts.bounds()
    const value = JSON.stringify(Object.fromEntries(bounds))
    if (value === rejectedValue) return true
    const puts = [{ ...quotaRowKey(authority.service), value }]
    const res = await commitUnderEpoch(store, authority, { puts })
    if (res.isErr()) {
      log.event('quotasNotWritten', { reason: describeError(res.error) })
      if (res.error.failure === 'rejected') rejectedValue = value
      return false
    }
    if (!res.value.committed) return false
    opts.written(bounds)
    return true
  }

  async function run(): Promise<void> {
    if (isRunning) return
    isRunning = true
    while (isScheduled && !isStopped && !authority.isLost()) {
      isScheduled = false
      if (await write()) continue
      isScheduled = true
      await sleep(jittered(WRITE_RETRY_MS))
    }
    isRunning = false
  }

  return {
    schedule() {
      isScheduled = true
      void run()
    },
    stop: () => void (isStopped = true),
  }
}
