/** Reads the rows of the intake: jobs that are waiting for an owner, and cancel requests. */
import { err, ok } from 'neverthrow'
import type { Result } from 'neverthrow'
import { INTAKE_TABLE, decodeIntake, intakeIdOf, queueOfPart } from '../jobs/index.js'
import type { JobSpec } from '../jobs/index.js'
import type { RowStore, StoredRow } from '../ports/index.js'
import type { PlatformError, InvalidRows } from '../shared/index.js'

/**
 * Parts that are read concurrently. Each read takes a connection to the store, and its reply
 * shares the node's link with the lease renewals.
 */
const MAX_CONCURRENT_READS = 4

/** Rows of a part that are read at once, so that those of a large part are not all in memory. */
const ROWS_PER_READ = 200

/** A read that keeps what it has read, so that a retry after a failure continues from there. */
export interface ResumableRead<T> {
  resume(): Promise<Result<T, PlatformError>>
}

/** Wraps a read so that its first successful result is cached. */
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

/** Handles the rows of the intake that concern a service, as they are read. */
export interface IntakeHandler {
  job(job: JobSpec): void
  /** Called for a cancel request; the job may belong to any service. */
  cancel(id: string, queue: string): void
  /** Called for a job, of any service, whose row cannot be read. */
  unreadableJob(id: string): void
  /** Called after each group of rows, before anything else is done with their jobs. */
  rowsRead(): void
  /** Called after each batch of parts, with the queues of the parts that remain. */
  partsRead(remaining: ReadonlySet<string>): void
}

/** Current version of the store; rows written later are changes after it. */
export async function intakeVersion(
  store: RowStore,
  service: string,
): Promise<Result<number, PlatformError>> {
  // An owner depends on the part of its service anyway. No queue has rows there: the reply is short.
  const res = await store.read(INTAKE_TABLE, service)
  return res.map(({ version }) => version)
}

/** Dependencies of a read of the rows of all queues. */
export interface PartsReadingOptions {
  store: RowStore
  service: string
  unreadableRows: InvalidRows
  /** Whether the parts of a queue are read before those of others. */
  isReadFirst(queue: string): boolean
  handler: IntakeHandler
  /** Waits before a batch of parts; `isFirst` if some of them belong to queues read first. */
  throttle(isFirst: boolean): Promise<void>
}

/** Creates a read of the rows of all queues, which are passed to the handler part by part. */
export function createPartsReading(opts: PartsReadingOptions): ResumableRead<void> {
  const { store, service, unreadableRows, isReadFirst, handler, throttle } = opts
  let remaining: string[] | undefined
  /** Key from which the rest of a part is read, by part. */
  const nextKeys = new Map<string, string>()
  const isFirst = (part: string): boolean => isReadFirst(queueOfPart(part))

  function handleRow(row: StoredRow): void {
    const entry = decodeIntake(row, row.value)
    if (entry.kind === 'cancel') return handler.cancel(entry.id, entry.queue)
    if (entry.kind === 'job') {
      unreadableRows.clear(row.key)
      if (entry.job.service === service) handler.job(entry.job)
      return
    }
    unreadableRows.note(row.key, entry.reason)
    handler.unreadableJob(entry.id)
  }

  /** Reads the rest of a part, a number of rows at a time. */
  async function readPart(part: string): Promise<Result<void, PlatformError>> {
    for (;;) {
      const from = nextKeys.get(part)
      const range = { ...(from !== undefined && { from }), enoughRows: ROWS_PER_READ }
      const res = await store.read(INTAKE_TABLE, part, range)
      if (res.isErr()) return err(res.error)
      const { rows } = res.value
      const last = rows.length < ROWS_PER_READ ? undefined : rows.at(-1)
      // A job and the request to cancel it are handled together, so the last job is read again.
      const lastId = last && intakeIdOf(last.key)
      for (const row of rows) if (intakeIdOf(row.key) !== lastId) handleRow(row)
      handler.rowsRead()
      if (lastId === undefined) return ok(undefined)
      nextKeys.set(part, lastId)
    }
  }

  /** Reads a batch of `parts`, and removes those that were read from the list. */
  async function readBatch(parts: string[]): Promise<Result<void, PlatformError>> {
    const batch = parts.slice(0, MAX_CONCURRENT_READS)
    await throttle(batch.some(isFirst))
    const results = await Promise.all(batch.map(readPart))
    let failure: PlatformError | undefined
    for (const [index, res] of results.entries()) {
      if (res.isErr()) {
        failure = res.error
        // Retried last: a part may be unavailable for seconds and must not delay the others.
        parts.push(...parts.splice(parts.indexOf(batch[index]!), 1))
        continue
      }
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
