/**
 * Holds jobs that cannot be admitted because one of their rows cannot be read. Admitted
 * without its progress, a job would repeat finished tasks; dropped, it would be lost. While a
 * job is held, none of its tasks starts, running tasks continue, and the reported ends of its
 * runs are kept, until the rows can be read again or the caller cancels the job.
 */
import { PROGRESS_TABLE } from '../jobs/index.js'
import type { Job, JobBook, JobSpec } from '../jobs/index.js'
import type { Authority } from '../ownership/index.js'
import type { RowStore } from '../ports/index.js'
import {
  createStopController,
  describeError,
  monotonicMs,
  sleep,
} from '../shared/index.js'
import type { Logger } from '../shared/index.js'
import {
  MAX_CLOCK_DRIFT,
  HELD_JOBS_CHECK_INTERVAL_MS,
  MAX_HELD_JOB_READS,
  LEASE_MARGIN_MS,
  TASK_LEASE_MS,
} from './constants.js'
import { readProgressOf } from './storedProgress.js'
import type { StoredProgress } from './storedProgress.js'

/**
 * Time after its admission until all runs of a job are known, in ms: targets that answer have
 * reported them by then, and the leases of the other targets have expired.
 */
const RUNS_KNOWN_MS = TASK_LEASE_MS * (1 + MAX_CLOCK_DRIFT) + LEASE_MARGIN_MS

/** The held jobs of one service. */
export interface HeldJobs {
  /** Holds a job; `spec` is undefined while the row of the job itself cannot be read. */
  hold(id: string, spec?: JobSpec): void
  /** Sets the spec of a job whose row can be read; false when the job is not held. */
  updateSpec(spec: JobSpec): boolean
  /**
   * Cancels a job. False when it is not held, or held without a spec: it then looks like a job
   * that has not arrived yet.
   * @param queue queue of the job; undefined for any
   */
  cancel(id: string, queue?: string): boolean
  /** Stops holding a job whose row has been removed. */
  drop(id: string): void
  stop(): Promise<void>
}

/** Dependencies of the handling of held jobs. */
export interface HeldJobsOptions {
  store: RowStore
  service: string
  authority: Authority
  book: JobBook
  log: Logger
  /** Whether the predecessor's runs are known. */
  isGateOpen(): boolean
}

/** Starts the checks of held jobs; no job is held at first. */
export function createHeldJobs(opts: HeldJobsOptions): HeldJobs {
  const { store, service, authority, book, log } = opts
  const stopping = createStopController()
  /** Specs by job id; undefined while the row of the job itself cannot be read. */
  const held = new Map<string, JobSpec | undefined>()
  /** Admitted jobs, with the monotonic time from which their tasks may start, in ms. */
  const gateOpensAt = new Map<Job, number>()

  /** Admits the job; its tasks wait until the targets have reported its runs. */
  function admit(spec: JobSpec, stored: StoredProgress | undefined): void {
    held.delete(spec.id)
    const job = book.add(spec, { ...stored, gated: true })
    gateOpensAt.set(job, monotonicMs() + RUNS_KNOWN_MS)
    log.event('jobTaken', { job: spec.id, queue: spec.queue, service })
  }

  /** Admits the job if its progress row can be read or has been removed. */
  async function checkProgress(spec: JobSpec): Promise<void> {
    const found = await readProgressOf(store, service, spec.id)
    if (found.isErr()) {
      const reason = describeError(found.error)
      return log.event('mirrorStale', { table: PROGRESS_TABLE, reason })
    }
    const isReadable = found.value === undefined || found.value.stored !== undefined
    if (isReadable && held.has(spec.id)) admit(spec, found.value?.stored)
  }

  /** Takes the next jobs to check and moves them to the end, so that every job is checked. */
  function nextToCheck(): JobSpec[] {
    const batch = [...held.values()]
      .flatMap((spec) => spec ?? [])
      .slice(0, MAX_HELD_JOB_READS)
    for (const spec of batch) {
      held.delete(spec.id)
      held.set(spec.id, spec)
    }
    return batch
  }

  /** Lets the tasks of admitted jobs start once all runs of these jobs are known. */
  function openDueGates(): void {
    for (const [job, at] of gateOpensAt) {
      if (monotonicMs() < at) continue
      gateOpensAt.delete(job)
      book.allowStarts(job)
    }
  }

  /**
   * Admission waits for the takeover's gate to open: the gate opens for all jobs at once, and a
   * job admitted just before would start tasks while its runs are still unknown.
   */
  const mayAdmit = (): boolean => authority.isConfirmed() && opts.isGateOpen()

  async function run(): Promise<void> {
    while (!stopping.signal.aborted) {
      await sleep(HELD_JOBS_CHECK_INTERVAL_MS, stopping.signal)
      if (stopping.signal.aborted || !mayAdmit()) continue
      for (const spec of nextToCheck()) await checkProgress(spec)
      openDueGates()
    }
  }
  const task = run()

  return {
    hold(id, spec) {
      held.set(id, spec)
      book.holdEnds(id)
      if (spec) log.event('jobHeld', { job: id, queue: spec.queue, service })
    },
    updateSpec(spec) {
      if (!held.has(spec.id)) return false
      held.set(spec.id, spec)
      return true
    },
    cancel(id, queue) {
      const spec = held.get(id)
      if (spec && queue !== undefined && spec.queue !== queue) return false
      held.delete(id)
      book.releaseEnds(id)
      if (!spec) return false
      book.add(spec)
      book.cancel(id)
      return true
    },
    drop(id) {
      if (held.delete(id)) book.releaseEnds(id)
    },
    async stop() {
      stopping.abort()
      await task
    },
  }
}
