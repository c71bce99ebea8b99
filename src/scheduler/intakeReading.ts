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
const READS_AT_ONCE = 4

/** A reading that keeps what it has read, so that a try after a failure goes on from there. */
export interface Reading<T> {
  next(): Promise<Result<T, PlatformError>>
}

/** The value of a reading that is made at most once. */
export function once<T>(
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
  unreadable(id: string): void
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
  unread: UnreadRows
  /** Whether the parts of a queue are read first. */
  comesFirst(queue: string): boolean
  handler: IntakeHandler
  /** Waits before some more parts are read; `isFirst` where they are of the first queues. */
  pace(isFirst: boolean): Promise<void>
}

/** Reads the rows of all queues, and hands on what it reads part by part. */
export function createPartsReading(opts: PartsReadingOptions): Reading<void> {
  const { store, service, unread, comesFirst, handler, pace } = opts
  let left: string[] | undefined
  const isFirst = (part: string): boolean => comesFirst(queueOfPart(part))

  function addRow(row: StoredRow): void {
    const entry = decodeIntake(row, row.value)
    if (entry.kind === 'cancel') return handler.cancel(entry.id)
    if (entry.kind === 'job') {
      unread.clear(row.key)
      if (entry.job.service === service) handler.job(entry.job)
      return
    }
    unread.note(row.key, entry.reason)
    handler.unreadable(entry.id)
  }

  /** Reads some of the parts that are left, which become fewer by those that were read. */
  async function readSome(parts: string[]): Promise<Result<void, PlatformError>> {
    const some = parts.slice(0, READS_AT_ONCE)
    await pace(some.some(isFirst))
    const found = await Promise.all(some.map((part) => store.read(INTAKE_TABLE, part)))
    let failure: PlatformError | undefined
    for (const [index, each] of found.entries()) {
      if (each.isErr()) {
        failure = each.error
        // The others do not wait for it: a part of the store may be away for seconds.
        parts.push(...parts.splice(parts.indexOf(some[index]!), 1))
        continue
      }
      for (const row of each.value.rows) addRow(row)
      parts.splice(parts.indexOf(some[index]!), 1)
    }
    handler.partsRead(new Set(parts.map(queueOfPart)))
    return failure ? err(failure) : ok(undefined)
  }

  return {
    async next() {
      if (!left) {
        const parts = await store.parts(INTAKE_TABLE)
        if (parts.isErr()) return err(parts.error)
        const others = parts.value.filter((part) => !isFirst(part))
        left = [...parts.value.filter(isFirst), ...others]
      }
      while (left.length > 0) {
        const read = await readSome(left)
        if (read.isErr()) return err(read.error)
      }
      return ok(undefined)
    },
  }
}
