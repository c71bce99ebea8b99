/**
 * Adopts the jobs left by a predecessor, part by part as the intake is read, so that each may
 * start without waiting for the rest. If all were read first, an owner with 0.12 of a core and
 * 1.4 Mbit/s, and 160 jobs of its service in 64 parts, would start nothing for 7 to 11 s. If it
 * lost its lease in that time, its successor would have to begin again.
 */
import { PROGRESS_TABLE } from '../jobs/index.js'
import type { Job, JobBook, JobSpec } from '../jobs/index.js'
import type { RowKey } from '../ports/index.js'
import type { HeldJobs } from './heldJobs.js'
import type { StoredProgress } from './storedProgress.js'
import type { InheritedProgress } from './takeover.js'

/**
 * Age at the takeover from which a job counts as inherited even if its row is new, in ms. A
 * submission takes less time than this, so a younger job is new and need not wait for the
 * predecessor's targets.
 */
const NEW_JOB_MAX_AGE_MS = 5000

/** The predecessor's jobs, while they are being read. */
export interface InheritedJobs {
  /** Whether every job that the predecessor may have started is known. */
  isKnown(): boolean
  /** Whether all jobs of the predecessor have been read. */
  isComplete(): boolean
  /** Whether a job that has not been read yet is one of the predecessor's. */
  isInherited(job: JobSpec): boolean
  /**
   * Adopts a job; its tasks wait until the predecessor's runs are known.
   * @param stored its progress, if that has been read again
   */
  adopt(job: JobSpec, stored?: StoredProgress): void
  /** Whether a job that has not been adopted has progress. */
  hasBegun(id: string): boolean
  /** Notes that a job has been read which is left in the store for now. */
  noteLeft(id: string): void
  /** Holds a job whose row cannot be read. */
  holdUnreadable(id: string): void
  /** Lets the jobs start that have been adopted since the last call. */
  flush(): void
  /** Marks that all jobs that may be running have been read; runs of other jobs are unwanted. */
  markKnown(): void
  /** Marks that all jobs have been read; a job that is still unknown has ended. */
  markComplete(): void
}

/** Dependencies of the adoption of inherited jobs. */
export interface InheritedJobsOptions extends InheritedProgress {
  book: JobBook
  held: HeldJobs
  /** Whether the predecessor's runs are known. */
  isGateOpen(): boolean
  /** Called with jobs just added to the job book; their runs are adopted before any start. */
  adopted(jobs: readonly Job[]): void
  /** Called with the keys of progress rows whose jobs have left the intake; they are obsolete. */
  orphanedProgress(keys: RowKey[]): void
}

/** Starts without jobs, and marks the job book as incomplete. */
export function createInheritedJobs(opts: InheritedJobsOptions): InheritedJobs {
  const { book, held, progress, unreadableProgress } = opts
  const startedAtMs = Date.now()
  const seenIds = new Set<string>()
  let batch: Job[] = []
  let isComplete = false
  book.mayLackJobs = true

  /** Whether the progress of a job is obsolete; a main row that cannot be read is kept. */
  const mayBeRemoved = (id: string): boolean => {
    if (seenIds.has(id)) return false
    const keys = opts.progressKeys.get(id) ?? []
    return progress.has(id) || keys.every(({ table }) => table !== PROGRESS_TABLE)
  }

  return {
    isKnown: () => !book.mayLackJobs,
    isComplete: () => isComplete,
    isInherited({ id, acceptedAtMs }) {
      if (isComplete) return false
      const isOld = acceptedAtMs < startedAtMs - NEW_JOB_MAX_AGE_MS
      return isOld || progress.has(id) || unreadableProgress.has(id)
    },
    adopt(job, stored) {
      const { id } = job
      seenIds.add(id)
      if (book.jobs.has(id) || held.updateSpec(job)) return
      // Without its progress the job would repeat finished tasks.
      if (!stored && unreadableProgress.has(id)) return held.hold(id, job)
      const gated = !opts.isGateOpen()
      batch.push(book.add(job, { ...(stored ?? progress.get(id)), gated }))
      // What it held is in the job now; its presence shows that the job is inherited.
      if (progress.has(id)) progress.set(id, undefined)
    },
    hasBegun: (id) => progress.has(id) || unreadableProgress.has(id),
    noteLeft(id) {
      seenIds.add(id)
      if (progress.has(id)) progress.set(id, undefined)
    },
    holdUnreadable(id) {
      seenIds.add(id)
      held.hold(id)
    },
    flush() {
      if (batch.length === 0) return
      opts.adopted(batch)
      batch = []
    },
    markKnown: () => void (book.mayLackJobs = false),
    markComplete() {
      if (isComplete) return
      isComplete = true
      const orphans = [...opts.progressKeys].filter(([id]) => mayBeRemoved(id))
      opts.orphanedProgress(orphans.flatMap(([, keys]) => keys))
      opts.progressKeys.clear()
    },
  }
}
