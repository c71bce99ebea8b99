/** Records crashes of a target and the runs that may have caused them. */
import type { JobBook, Task } from '../jobs/index.js'
import type { OrderError } from '../ports/index.js'
import { monotonicMs } from '../shared/index.js'
import type { Logger } from '../shared/index.js'
import { MAX_ACK_WAIT_MS } from './constants.js'
import type { CrashedRun } from './crashSuspects.js'
import type { ProgressWriter } from './progressWriter.js'
import type { TargetRuns } from './targetRuns.js'

/** A confirmed crash of the target. */
export interface TargetCrash {
  reason: string
  /** Runs to which the crash is attributed. */
  crashed: CrashedRun[]
  /** Gives up all other runs; the tasks in `kept` stay placed until the record is durable. */
  giveUpOthers?(kept: ReadonlySet<Task>): void
}

/** Records the crashes of one target. */
export interface CrashRecorder {
  /** Notes a failed call; keeps the time of the first failed connection. */
  noteFailure(error: OrderError): void
  /** Discards the evidence of a crash, as the target has answered. */
  noteAnswer(): void
  /**
   * Remembers the suspected runs when the leases of all runs have expired. The target may have
   * crashed or only be unreachable, so nothing is recorded yet.
   */
  noteLeaseExpiry(): void
  /** Returns the runs to which a crash is attributed, and resets the evidence. */
  takeCrashedRuns(): CrashedRun[]
  /**
   * Records a crash of the target for the runs that may have caused it. Their tasks stay placed
   * until the record is durable, so that a later owner counts the crash too. Does nothing if
   * the target is leaving or no run is suspected.
   */
  record(crash: TargetCrash): Promise<void>
}

/** Dependencies of the recorder. */
export interface CrashRecorderOptions {
  targetId: string
  book: JobBook
  runs: TargetRuns
  progress: ProgressWriter
  /** Aborts waiting for records to become durable. */
  signal: AbortSignal
  log: Logger
  /** Whether the target is draining or being evacuated, so that its end is not a crash. */
  isLeaving(): boolean
  /** Called when a crash of the target is recorded. */
  crashed(): void
}

/** Creates the recorder; the target counts as connected until a call fails. */
export function createCrashRecorder(opts: CrashRecorderOptions): CrashRecorder {
  const { targetId, book, runs, progress, signal, log } = opts
  /** Monotonic time of the first failed connection, in ms; Infinity while connected. */
  let disconnectedAt = Infinity
  /** Suspected runs whose leases have expired, kept until a crash is confirmed or ruled out. */
  let expiredRuns: CrashedRun[] = []

  const noteAnswer = (): void => {
    expiredRuns = []
    disconnectedAt = Infinity
  }

  return {
    noteFailure({ failure, cause }) {
      const isDisconnected = failure === 'gone' || cause.failure === 'unreachable'
      if (isDisconnected) disconnectedAt = Math.min(disconnectedAt, monotonicMs())
    },
    noteAnswer,
    noteLeaseExpiry: () => void expiredRuns.push(...runs.crashedRuns(disconnectedAt)),
    takeCrashedRuns() {
      const crashed = [...expiredRuns, ...runs.crashedRuns(disconnectedAt)]
      noteAnswer()
      return crashed
    },
    async record({ reason, crashed, giveUpOthers }) {
      const [first] = crashed
      if (opts.isLeaving() || !first) return
      const tasks = new Set(crashed.map(({ task }) => task))
      const suspects = [...tasks].map(({ name }) => name).join(' ')
      const { role } = first
      log.event('targetCrashed', { target: targetId, reason, role, suspects })
      opts.crashed()
      for (const { task, run, role } of crashed) book.noteCrash(task, run, role)
      giveUpOthers?.(tasks)
      while (!signal.aborted && !(await progress.flushed(MAX_ACK_WAIT_MS)));
    },
  }
}
