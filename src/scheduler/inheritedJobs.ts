/**
 * Jobs that a predecessor has left. They are adopted part by part as the intake is read, and may
 * start from then on: an owner that read all of them first, 160 jobs of a service in 64 parts
 * with 0.12 of a core and 1.4 Mbit/s, started nothing for 7 to 11 s, and one that lost its lease
 * meanwhile left nothing done to the next.
 */
import type { Job, JobBook, JobSpec } from '../jobs/index.js'
import type { HeldJobs } from './heldJobs.js'
import type { InheritedProgress } from './takeover.js'

/**
 * Age from which a job came to the predecessor, in ms, also where its row is a new one: longer
 * than a caller's handing in takes. A younger one is new, and waits for no target.
 */
const NEW_JOB_MAX_AGE_MS = 5000

/** The jobs of the predecessor, while they are read. */
export interface InheritedJobs {
  /** Whether all that the predecessor may have started is known. */
  isKnown(): boolean
  /** Whether all of them have been read. */
  isComplete(): boolean
  /** Whether a job that was not read yet came to the predecessor. */
  isInherited(job: JobSpec): boolean
  /** Adopts a job; its tasks wait until the predecessor's targets have been heard. */
  adopt(job: JobSpec): void
  /** The row of a job cannot be read: the job is held. */
  holdUnreadable(id: string): void
  /** What was taken so far may start. */
  flush(): void
  /** All that may have been started has been read: what runs of other jobs is of no use. */
  markKnown(): void
  /** All have been read; what is not known by now is over. */
  markComplete(): void
}

/** What the adopting of jobs works with. */
export interface InheritedJobsOptions extends InheritedProgress {
  book: JobBook
  held: HeldJobs
  /** Whether the runs of the predecessor are known. */
  isGateOpen(): boolean
  /** Jobs are in the book now; what runs of them is to be adopted before anything starts. */
  adopted(jobs: readonly Job[]): void
  /** Progress rows of jobs that have left the intake, so that nobody needs them. */
  orphanedProgress(ids: string[]): void
}

/** Starts without any job; the book may miss some from now on. */
export function createInheritedJobs(opts: InheritedJobsOptions): InheritedJobs {
  const { book, held, progress, unreadableProgress } = opts
  const startedAtMs = Date.now()
  const seenIds = new Set<string>()
  let batch: Job[] = []
  let isComplete = false
  book.mayMissJobs = true

  return {
    isKnown: () => !book.mayMissJobs,
    isComplete: () => isComplete,
    isInherited({ id, acceptedAtMs }) {
      if (isComplete) return false
      const isOld = acceptedAtMs < startedAtMs - NEW_JOB_MAX_AGE_MS
      return isOld || progress.has(id) || unreadableProgress.has(id)
    },
    adopt(job) {
      seenIds.add(job.id)
      if (book.jobs.has(job.id) || held.updateSpec(job)) return
      // Without its progress it would run anew what is done.
      if (unreadableProgress.has(job.id)) return held.hold(job.id, job)
      const gated = !opts.isGateOpen()
      batch.push(book.add(job, { ...progress.get(job.id), gated }))
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
    markKnown: () => void (book.mayMissJobs = false),
    markComplete() {
      if (isComplete) return
      isComplete = true
      opts.orphanedProgress([...progress.keys()].filter((id) => !seenIds.has(id)))
    },
  }
}
