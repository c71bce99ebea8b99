/**
 * Jobs that are there and cannot be taken on, because a row of theirs cannot be read. Taken
 * on without its progress a job would run anew what is done; dropped, it would be lost. So it
 * is held: nothing of it starts, what runs goes on, and its ends are kept until the rows can
 * be read again, or the caller cancels it.
 */
import { PROGRESS_TABLE, decodeProgress, progressKey } from '../jobs/index.js'
import type { Job, JobBook, JobSpec } from '../jobs/index.js'
import type { Authority } from '../ownership/index.js'
import { keyRange } from '../ports/index.js'
import type { RowStore, StoredRow } from '../ports/index.js'
import {
  createStopController,
  describeError,
  monotonicMs,
  sleep,
} from '../shared/index.js'
import type { Logger } from '../shared/index.js'
import {
  CLOCK_SKEW,
  HELD_LOOK_MS,
  HELD_READS,
  LEASE_MARGIN_MS,
  TASK_LEASE_MS,
} from './constants.js'

/**
 * Time after which all that runs of a job is known that was just added, in ms: targets that
 * answer have told it, and the leases of those that do not are over.
 */
const RUNS_KNOWN_MS = TASK_LEASE_MS * (1 + CLOCK_SKEW) + LEASE_MARGIN_MS

/** The held jobs of one service. */
export interface HeldJobs {
  /** Holds a job; without `spec` the row of the job itself cannot be read. */
  hold(id: string, spec?: JobSpec): void
  /** The row of a job can be read; false when the job is not held. */
  updateSpec(spec: JobSpec): boolean
  /** False when the job is not held, or cannot be told from one that has not come yet. */
  cancel(id: string): boolean
  /** The row of a job is gone. */
  drop(id: string): void
  stop(): Promise<void>
}

/** What the holding of jobs works with. */
export interface HeldJobsOptions {
  store: RowStore
  service: string
  authority: Authority
  book: JobBook
  log: Logger
  /** Whether the runs of the predecessor are known. */
  isGateOpen(): boolean
}

/** Starts without any job. */
export function createHeldJobs(opts: HeldJobsOptions): HeldJobs {
  const { store, service, authority, book, log } = opts
  const stopping = createStopController()
  /** By id; undefined while the row of the job itself cannot be read. */
  const held = new Map<string, JobSpec | undefined>()
  /** Jobs that were taken on, with the steady time at which their tasks may start, in ms. */
  const gateOpensAt = new Map<Job, number>()

  /** Takes the job on; its tasks wait until the targets have told what runs of it. */
  function admit(spec: JobSpec, row: StoredRow | undefined): void {
    const progress = row && decodeProgress(row.value)
    held.delete(spec.id)
    const known = progress && row ? { progress, version: row.version } : {}
    const job = book.add(spec, { ...known, gated: true })
    gateOpensAt.set(job, monotonicMs() + RUNS_KNOWN_MS)
    log.event('jobTaken', { job: spec.id, queue: spec.queue, service })
  }

  /** Looks whether the progress of the job can be read, or is not there any more. */
  async function checkProgress(spec: JobSpec): Promise<void> {
    const { part, key } = progressKey(service, spec.id)
    const rows = await store.read(PROGRESS_TABLE, part, keyRange(key))
    if (rows.isErr()) {
      const reason = describeError(rows.error)
      return log.event('mirrorStale', { table: PROGRESS_TABLE, reason })
    }
    const row = rows.value.rows[0]
    const isReadable = row === undefined || decodeProgress(row.value) !== undefined
    if (isReadable && held.has(spec.id)) admit(spec, row)
  }

  /** The next jobs to look at; they go to the end, so that each has its turn. */
  function nextToCheck(): JobSpec[] {
    const batch = [...held.values()].flatMap((spec) => spec ?? []).slice(0, HELD_READS)
    for (const spec of batch) {
      held.delete(spec.id)
      held.set(spec.id, spec)
    }
    return batch
  }

  /** Lets the tasks of jobs start that were taken on a while ago. */
  function openDueGates(): void {
    for (const [job, at] of gateOpensAt) {
      if (monotonicMs() < at) continue
      gateOpensAt.delete(job)
      book.openGate(job)
    }
  }

  /** The gate opens for all jobs that wait at it: none may be added a moment before. */
  const mayAdmit = (): boolean => authority.isConfirmed() && opts.isGateOpen()

  async function run(): Promise<void> {
    while (!stopping.signal.aborted) {
      await sleep(HELD_LOOK_MS, stopping.signal)
      if (stopping.signal.aborted || !mayAdmit()) continue
      for (const spec of nextToCheck()) await checkProgress(spec)
      openDueGates()
    }
  }
  const task = run()

  return {
    hold(id, spec) {
      held.set(id, spec)
      book.hold(id)
      if (spec) log.event('jobHeld', { job: id, queue: spec.queue, service })
    },
    updateSpec(spec) {
      if (!held.has(spec.id)) return false
      held.set(spec.id, spec)
      return true
    },
    cancel(id) {
      const spec = held.get(id)
      held.delete(id)
      book.release(id)
      if (!spec) return false
      book.add(spec)
      book.cancel(id)
      return true
    },
    drop(id) {
      if (held.delete(id)) book.release(id)
    },
    async stop() {
      stopping.abort()
      await task
    },
  }
}
