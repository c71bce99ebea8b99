/**
 * Takes new jobs on: those that callers hand in, and those that only the rows of the
 * intake tell of. A job waits while the ownership is not confirmed, and a request to
 * cancel is kept until its job comes.
 */
import { createRowMirror } from '../directory/index.js'
import type { RowMirror } from '../directory/index.js'
import { INTAKE_TABLE, createJob, decodeIntake } from '../jobs/index.js'
import type { JobBook, JobSpec } from '../jobs/index.js'
import type { Authority } from '../ownership/index.js'
import type { RowStore } from '../ports/index.js'
import {
  createStopController,
  describeError,
  jittered,
  monotonicMs,
  sleep,
} from '../shared/index.js'
import type { Logger, UnreadRows } from '../shared/index.js'
import {
  FLUSH_RETRY_MS,
  INTAKE_POLL_MS,
  READ_LEASE_MS,
  READ_OTHERS_PAUSE_MS,
  READ_PACE_MS,
  READ_PATIENCE_MS,
  WAITING_FRESH_MS,
} from './constants.js'
import type { DemandMeter } from './demand.js'
import type { HeldJobs } from './heldJobs.js'
import type { InheritedJobs } from './inheritedJobs.js'
import type { QueueRows } from './queueRows.js'
import { createPartsReading, intakeVersion } from './intakeReading.js'
import type { IntakeHandler } from './intakeReading.js'

/**
 * Refused jobs that are remembered at most; callers that come back within seconds are some
 * hundred a queue.
 */
const MAX_EXPECTED_JOBS = 5000

/** Makes room for one more. */
function evictOldest(ids: Set<string>): void {
  if (ids.size < MAX_EXPECTED_JOBS) return
  for (const id of ids) return void ids.delete(id)
}

/** How the owner heard of something: at once from the entry, or by its rows in the store. */
type Source = 'told' | 'read'

/** New jobs of one service. */
export interface NewJobs {
  /**
   * Takes on a job whose row is durable. One whose row is older than the takeover and was
   * not among the open ones is over: an offer that a paused node sends late is for nothing.
   */
  offer(job: JobSpec, rowVersion: number): void
  /** Notes the work of a job that was refused for an outage of the store. */
  expect(job: JobSpec): void
  /** False when the job is not known yet; it is cancelled when it comes. */
  cancel(id: string): boolean
  /** Takes on the jobs that came while the ownership was not confirmed. */
  admitDeferred(): void
  /** Jobs of a queue that came while it was not; the book does not have them yet. */
  countDeferred(queue: string): number
  /** Whether all jobs of a queue are known, but for the newest. */
  knowsAll(queue: string): boolean
  /** Reads what the predecessor has left, and follows the intake from the version on. */
  follow(version: number): RowMirror
}

/** What the taking on of new jobs works with. */
export interface NewJobsOptions {
  store: RowStore
  service: string
  authority: Authority
  book: JobBook
  demand: DemandMeter
  held: HeldJobs
  inherited: InheritedJobs
  queueRows: QueueRows
  /** Queues whose jobs the service gets, as configured now. */
  queues(): string[]
  /** Whether `queueRows` has all queues of which the predecessor may have started jobs. */
  hasAllQueueRows: boolean
  /** Rows of the intake that cannot be read. */
  unreadableRows: UnreadRows
  log: Logger
  /** The row of a job, which the book may have, cannot be read. */
  rowUnreadable(id: string): void
  /** A job has been taken on. */
  admitted(): void
  /** More is asked of the service than before. */
  demandArrived(): void
  /** All that the predecessor may have started is known. */
  inheritedKnown(): void
  /** All that it has left has been read. */
  inheritedRead(): void
}

/** Creates the intake of one owner; nothing is followed yet. */
export function createNewJobs(opts: NewJobsOptions): NewJobs {
  const {
    store,
    service,
    authority,
    book,
    demand,
    held,
    inherited,
    unreadableRows,
    log,
  } = opts
  const { queueRows } = opts
  /** Jobs that came while the ownership was not confirmed, or the row of their queue missing. */
  const deferred = new Map<string, { job: JobSpec; from: Source }>()
  /** Jobs that were cancelled before they came; of any service, so some never do. */
  const cancelledEarly = new Set<string>()
  /** Up to here all open jobs were read when the service was taken over. */
  let takeoverVersion = 0
  /** Ends the whole reading that is under way. */
  let fullRead: AbortController | undefined
  /** Queues that the whole reading has still to read; undefined before it knows. */
  let remainingQueues: ReadonlySet<string> | undefined
  let mirror: RowMirror | undefined
  /** Steady time at which the first reading began, in ms. */
  let followedAt = -Infinity
  /** Jobs that were refused and have not come yet; their arrival is noted. */
  const expected = new Set<string>()

  /**
   * Takes a new job on. Out of touch with the store it waits: a successor may have it,
   * and does not wait for this owner with jobs that came after the takeover.
   */
  function admit(job: JobSpec, from: Source): void {
    if (book.jobs.has(job.id) || held.updateSpec(job)) return
    if (inherited.isInherited(job)) return adoptInherited(job)
    queueRows.add(job.queue)
    if (!authority.isConfirmed() || !queueRows.has(job.queue)) {
      deferred.set(job.id, { job, from })
      return
    }
    const taken = book.add(job)
    if (!expected.delete(job.id)) demand.arrived(taken, monotonicMs())
    if (cancelledEarly.delete(job.id)) book.cancel(job.id)
    const lateMs = Math.max(0, Date.now() - job.acceptedAtMs)
    log.event('jobTaken', { job: job.id, queue: job.queue, service, from, lateMs })
    opts.admitted()
    opts.demandArrived()
  }

  /** Takes a job of the predecessor on, and the request to cancel it if that came before. */
  function adoptInherited(job: JobSpec): void {
    queueRows.add(job.queue)
    inherited.adopt(job)
    if (cancelledEarly.delete(job.id)) cancel(job.id, 'read')
  }

  /**
   * Notes the work of a job that the store could not take, so that VMs are there when it
   * can again: of a turn of 750 jobs that began a second before an outage of 5.6 s, 55 were
   * in time, because no VM had come for it.
   */
  function expect(job: JobSpec): void {
    if (book.jobs.has(job.id) || expected.has(job.id)) return
    evictOldest(expected)
    expected.add(job.id)
    const now = monotonicMs()
    demand.arrived(createJob(job, now), now)
    log.event('jobExpected', { job: job.id, queue: job.queue, service })
    opts.demandArrived()
  }

  /** A request to cancel may come before the job that it is for; false in that case. */
  function cancel(id: string, from: Source): boolean {
    if (held.cancel(id)) return true
    const known = book.jobs.get(id)
    if (!known) {
      cancelledEarly.add(id)
      return false
    }
    if (!known.cancelRequested) log.event('cancelTaken', { job: id, from })
    book.cancel(id)
    return true
  }

  function applyRow(part: string, key: string, value: string | undefined): void {
    if (value === undefined) return applyRemoval(part, key)
    const entry = decodeIntake({ part, key }, value)
    if (entry.kind === 'cancel') return void cancel(entry.id, 'read')
    if (entry.kind === 'invalid') {
      unreadableRows.note(key, entry.reason)
      return opts.rowUnreadable(entry.id)
    }
    unreadableRows.clear(key)
    if (entry.job.service === service) admit(entry.job, 'read')
  }

  /** A request whose row has been cleared is for no job that may still come. */
  function applyRemoval(part: string, key: string): void {
    const entry = decodeIntake({ part, key }, '')
    if (entry.kind === 'cancel') return void cancelledEarly.delete(entry.id)
    unreadableRows.clear(key)
    held.drop(entry.id)
  }

  /**
   * Waits until the lease was renewed lately, so that a reading does not keep the process and its
   * link from that. It goes on without after a while: the store may refuse our own row alone.
   */
  async function waitForLease(signal: AbortSignal): Promise<void> {
    const endsAt = monotonicMs() + READ_PATIENCE_MS
    while (authority.leaseLeftMs() < READ_LEASE_MS && monotonicMs() < endsAt) {
      if (signal.aborted) return
      await sleep(READ_PACE_MS, signal)
    }
  }

  /** Lets the queues whose parts are left tell whether all that may run is known. */
  function updateRemaining(
    remaining: ReadonlySet<string>,
    isReadFirst: (queue: string) => boolean,
  ): void {
    remainingQueues = remaining
    inherited.flush()
    const isKnown = ![...remaining].some(isReadFirst)
    if (!isKnown || inherited.isKnown()) return
    inherited.markKnown()
    opts.inheritedKnown()
  }

  /**
   * Reads the whole intake beside the changes that come meanwhile, and goes on until it is
   * done. Read before the changes, the parts of a busy store kept an owner from hearing of
   * what was accepted and cancelled for 16 s.
   */
  async function readAll(signal: AbortSignal): Promise<void> {
    const beganAt = monotonicMs()
    let jobs = 0
    let cancels = 0
    const handler: IntakeHandler = {
      job(job) {
        jobs++
        const isInherited = !inherited.isKnown() && queueRows.has(job.queue)
        if (isInherited) adoptInherited(job)
        else admit(job, 'read')
      },
      cancel(id) {
        cancels++
        cancel(id, 'read')
      },
      unreadableJob(id) {
        if (inherited.isComplete() || book.jobs.has(id)) opts.rowUnreadable(id)
        else inherited.holdUnreadable(id)
      },
      partsRead: (left) => updateRemaining(left, isReadFirst),
    }
    const isTakeover = !inherited.isComplete()
    const first = new Set([...queueRows.all(), ...opts.queues()])
    const isReadFirst = (queue: string): boolean =>
      !opts.hasAllQueueRows || first.has(queue)
    async function throttle(isFirst: boolean): Promise<void> {
      if (isTakeover && !isFirst) await sleep(READ_OTHERS_PAUSE_MS, signal)
      await waitForLease(signal)
    }
    const reading = createPartsReading({
      store,
      service,
      unreadableRows,
      isReadFirst,
      handler,
      throttle,
    })
    while (!signal.aborted) {
      const res = await reading.resume()
      if (res.isOk()) break
      if (isTakeover)
        log.event('takeoverWaits', { service, reason: describeError(res.error) })
      await sleep(jittered(FLUSH_RETRY_MS), signal)
    }
    if (signal.aborted) return
    updateRemaining(new Set(), isReadFirst)
    inherited.markComplete()
    opts.inheritedRead()
    if (isTakeover) return
    const tookMs = Math.round(monotonicMs() - beganAt)
    log.event('intakeRead', { service, tookMs, jobs, cancels })
  }

  /** Begins a whole reading; what an earlier one has still to read, this one reads. */
  function startFullRead(): void {
    fullRead?.abort()
    fullRead = createStopController()
    remainingQueues = undefined
    void readAll(fullRead.signal)
  }

  /** Begins a whole reading; the version to follow the changes from, undefined on failure. */
  async function restartFullRead(): Promise<number | undefined> {
    const version = await intakeVersion(store)
    if (version.isErr()) return undefined
    startFullRead()
    return version.value
  }

  return {
    offer(job, rowVersion) {
      if (rowVersion > takeoverVersion) admit(job, 'told')
    },
    expect,
    cancel: (id) => cancel(id, 'told'),
    admitDeferred() {
      if (!authority.isConfirmed()) return
      const entries = [...deferred.values()]
      deferred.clear()
      for (const { job, from } of entries) admit(job, from)
    },
    countDeferred(queue) {
      const jobs = [...deferred.values()].map(({ job }) => job)
      const waiting = jobs.filter(({ id }) => !book.jobs.has(id))
      return waiting.filter((job) => job.queue === queue).length
    },
    knowsAll(queue) {
      const isRead = remainingQueues !== undefined && !remainingQueues.has(queue)
      const freshAt = Math.max(followedAt, mirror?.freshAt() ?? -Infinity)
      return isRead && monotonicMs() - freshAt < WAITING_FRESH_MS
    },
    follow(version) {
      takeoverVersion = version
      followedAt = monotonicMs()
      startFullRead()
      const changes = createRowMirror({
        store,
        table: INTAKE_TABLE,
        part: undefined,
        after: version,
        waitMs: 0,
        pauseMs: INTAKE_POLL_MS,
        log,
        onRow: applyRow,
        onGap: restartFullRead,
      })
      mirror = changes
      return {
        ...changes,
        async stop() {
          fullRead?.abort()
          await changes.stop()
          fullRead?.abort()
        },
      }
    },
  }
}
