/** Reads the rows of the intake: the jobs that wait for owners, and the requests to cancel. */
import { err, ok } from 'neverthrow'
import type { Result } from 'neverthrow'
import { INTAKE_TABLE, decodeIntake, queueOfPart } from '../jobs/index.js'
import type { JobSpec } from '../jobs/index.js'
import type { RowStore, StoredRow } from '../ports/index.js'
import type { PlatformError, UnreadRows } from '../shared/index.js'

/**
 * Parts that are read at the same time. Each takes a connection to the store, whose answers
 * share the node's link with the renewals of its lease.
 */
const MAX_CONCURRENT_READS = 4

/** A reading that keeps what it has read, so that a try after a failure goes on from there. */
export interface ResumableRead<T> {
  resume(): Promise<Result<T, PlatformError>>
}

/** The value of a reading that is made at most once. */
export function cacheSuccess<T>(
  read: () => Promise<Result<T, PlatformError>>,
): () => Promise<Result<T, PlatformError>> {
  let known: Result<T, PlatformError> | undefined
  return async () => {
    const res = known ?? (await read())
    if (res.isOk()) known = res
    return res
  }
}

/** What is done with the rows of the intake that concern a service, as they are read. */
export interface IntakeHandler {
  job(job: JobSpec): void
  /** A job of whichever service is to be cancelled. */
  cancel(id: string): void
  /** The row of a job, of whichever service, cannot be read. */
  unreadableJob(id: string): void
  /** Some parts have been handed on; the queues of those that are left may have more. */
  partsRead(left: ReadonlySet<string>): void
}

/** Version of the store now: what is written later is a change after it. */
export async function intakeVersion(
  store: RowStore,
): Promise<Result<number, PlatformError>> {
  // No rows lie in this part, so that the answer is short.
  const res = await store.read(INTAKE_TABLE, '')
  return res.map(({ version }) => version)
}

/** A reading of the rows of all queues. */
export interface PartsReadingOptions {
  store: RowStore
  service: string
  unreadableRows: UnreadRows
  /** Whether the parts of a queue are read first. */
  isReadFirst(queue: string): boolean
  handler: IntakeHandler
  /** Waits before some more parts are read; `isFirst` where they are of the first queues. */
  throttle(isFirst: boolean): Promise<void>
}

/** Reads the rows of all queues, and hands on what it reads part by part. */
export function createPartsReading(opts: PartsReadingOptions): ResumableRead<void> {
  const { store, service, unreadableRows, isReadFirst, handler, throttle } = opts
  let remaining: string[] | undefined
  const isFirst = (part: string): boolean => isReadFirst(queueOfPart(part))

  function handleRow(row: StoredRow): void {
    const entry = decodeIntake(row, row.value)
    if (entry.kind === 'cancel') return handler.cancel(entry.id)
    if (entry.kind === 'job') {
      unreadableRows.clear(row.key)
      if (entry.job.service === service) handler.job(entry.job)
      return
    }
    unreadableRows.note(row.key, entry.reason)
    handler.unreadableJob(entry.id)
  }

  /** Reads some of the parts that are left, which become fewer by those that were read. */
  async function readBatch(parts: string[]): Promise<Result<void, PlatformError>> {
    const batch = parts.slice(0, MAX_CONCURRENT_READS)
    await throttle(batch.some(isFirst))
    const results = await Promise.all(batch.map((part) => store.read(INTAKE_TABLE, part)))
    let failure: PlatformError | undefined
    for (const [index, res] of results.entries()) {
      if (res.isErr()) {
        failure = res.error
        // The others do not wait for it: a part of the store may be away for seconds.
        parts.push(...parts.splice(parts.indexOf(batch[index]!), 1))
        continue
      }
      for (const row of res.value.rows) handleRow(row)
      parts.splice(parts.indexOf(batch[index]!), 1)
    }
    handler.partsRead(new Set(parts.map(queueOfPart)))
    return failure ? err(failure) : ok(undefined)
  }

  return {
    async resume() {
      if (!remaining) {
        const parts = await store.parts(INTAKE_TABLE)
        if (parts.isErr()) return err(parts.error)
        const others = parts.value.filter((part) => !isFirst(part))
        remaining = [...parts.value.filter(isFirst), ...others]
      }
      while (remaining.length > 0) {
        const read = await readBatch(remaining)
        if (read.isErr()) return err(read.error)
      }
      return ok(undefined)
    },
  }
}
