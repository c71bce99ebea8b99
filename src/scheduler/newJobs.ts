/**
 * Admits new jobs, which arrive as offers from an entry or as rows of the intake table. A job
 * is deferred while the ownership is not confirmed, and a cancel request that arrives before
 * its job is kept until the job arrives.
 */
import { createRowMirror } from '../directory/index.js'
import type { RowMirror } from '../directory/index.js'
import { INTAKE_TABLE, decodeIntake, jobBytes } from '../jobs/index.js'
import type { JobBook, JobMemory, JobSpec } from '../jobs/index.js'
import type { Authority } from '../ownership/index.js'
import type { RowStore } from '../ports/index.js'
import {
  createStopController,
  describeError,
  jittered,
  monotonicMs,
  sleep,
} from '../shared/index.js'
import type { Logger, InvalidRows } from '../shared/index.js'
import {
  FLUSH_RETRY_MS,
  INTAKE_POLL_MS,
  MIN_LEASE_FOR_READS_MS,
  OTHER_QUEUES_READ_PAUSE_MS,
  LEASE_CHECK_INTERVAL_MS,
  MAX_LEASE_WAIT_MS,
  MAX_INTAKE_AGE_MS,
} from './constants.js'
import type { DemandMeter } from './demand.js'
import type { FairShares } from './fairShares.js'
import type { HeldJobs } from './heldJobs.js'
import type { InheritedJobs } from './inheritedJobs.js'
import type { LeftJobs, StoredJobState } from './leftJobs.js'
import type { QueueRows } from './queueRows.js'
import { createPartsReading, intakeVersion } from './intakeReading.js'
import type { IntakeHandler } from './intakeReading.js'

/**
 * Largest number of refused jobs that are remembered; callers that retry within seconds are
 * a few hundred per queue.
 */
const MAX_EXPECTED_JOBS = 5000

/** Evicts the oldest id if the set is full. */
function evictOldest(ids: Set<string>): void {
  if (ids.size < MAX_EXPECTED_JOBS) return
  for (const id of ids) return void ids.delete(id)
}

/** How the owner learned of a job or cancel: from an entry, or from a row in the store. */
type Source = 'told' | 'read'

/** Admission of the new jobs of one service. */
export interface NewJobs {
  /**
   * Admits a job whose row is durable. Ignores a row that is older than the takeover: an open
   * job of that age is read from the intake, and any other has ended and was offered late by
   * a node that had been paused.
   */
  offer(job: JobSpec, rowVersion: number): void
  /** Counts a job that was refused because of a store outage towards the demand. */
  expect(job: JobSpec): void
  /**
   * Cancels a job. False when it is not known yet; it is then cancelled on arrival.
   * @param queue queue of the job; undefined for any, as requests of earlier software versions
   */
  cancel(id: string, queue?: string): boolean
  /** Retries the admission of deferred jobs if the ownership is confirmed. */
  admitDeferred(): void
  /** Takes a job that was left in the store. */
  takeLeft(job: StoredJobState): void
  /** Number of jobs of a queue that are deferred or left in the store. */
  countDeferred(queue: string): number
  /** Whether all jobs of a queue are known, except those of the last few seconds. */
  knowsAll(queue: string): boolean
  /** Reads the predecessor's jobs, and follows the changes of the intake after `version`. */
  follow(version: number): RowMirror
}

/** Dependencies of the admission of new jobs. */
export interface NewJobsOptions {
  store: RowStore
  service: string
  authority: Authority
  book: JobBook
  demand: DemandMeter
  shares: FairShares
  held: HeldJobs
  inherited: InheritedJobs
  left: LeftJobs
  memory: JobMemory
  queueRows: QueueRows
  /** Names of the queues that are currently configured for the service. */
  queues(): string[]
  /** Whether `queueRows` has every queue from which the predecessor may have started jobs. */
  hasAllQueueRows: boolean
  /** Tracks the rows of the intake that cannot be read. */
  unreadableRows: InvalidRows
  log: Logger
  /** Called when the row of a job cannot be read; the job may be in the job book. */
  rowUnreadable(id: string): void
  /** Called after a job has been admitted. */
  admitted(): void
  /** Called after a job has added to the demand of the service. */
  demandArrived(): void
  /** Called once every job that the predecessor may have started is known. */
  inheritedKnown(): void
  /** Called once all jobs left by the predecessor have been read. */
  inheritedRead(): void
}

/** Creates the admission of one owner; it reads nothing until `follow` is called. */
export function createNewJobs(opts: NewJobsOptions): NewJobs {
  const {
    store,
    service,
    authority,
    book,
    demand,
    shares,
    held,
    inherited,
    left,
    memory,
    unreadableRows,
    log,
  } = opts
  const { queueRows } = opts
  /** Jobs that wait for the ownership to be confirmed, or for the row of their queue. */
  const deferred = new Map<string, { job: JobSpec; from: Source }>()
  /**
   * Jobs cancelled before they arrived, as `QUEUE/ID`, or `/ID` for any queue; jobs of other
   * services among them never arrive.
   */
  const cancelledEarly = new Set<string>()
  const earlyKey = (id: string, queue = ''): string => `${queue}/${id}`

  /** Whether the job was cancelled before it arrived; forgets the request. */
  function takeEarlyCancel({ id, queue }: JobSpec): boolean {
    const ofQueue = cancelledEarly.delete(earlyKey(id, queue))
    const ofAny = cancelledEarly.delete(earlyKey(id))
    return ofQueue || ofAny
  }
  /** Store version at the takeover; open jobs of older rows are read by the full read. */
  let takeoverVersion = 0
  /** Aborts the full read in progress. */
  let fullRead: AbortController | undefined
  /** Queues that the full read has yet to read; undefined until it has listed them. */
  let remainingQueues: ReadonlySet<string> | undefined
  let mirror: RowMirror | undefined
  /** Monotonic time at which the first full read began, in ms. */
  let followedAt = -Infinity
  /** Refused jobs that have not arrived yet; the demand already includes them. */
  const expected = new Set<string>()

  const isKnown = (id: string): boolean =>
    book.jobs.has(id) || book.isLeft(id) || book.isForgotten(id)

  /**
   * Admits a new job, or defers it while the ownership is not confirmed: a successor may have
   * taken over, and it starts jobs newer than its takeover without waiting for this owner.
   */
  function admit(job: JobSpec, from: Source): void {
    if (isKnown(job.id) || held.updateSpec(job)) return
    if (inherited.isInherited(job)) return adoptInherited(job)
    queueRows.add(job.queue)
    if (left.mustLeave(job, false)) return left.leave(job, false)
    if (!authority.isConfirmed() || !queueRows.has(job.queue)) return defer(job, from)
    const taken = book.add(job)
    const beyondShare = shares.note(taken, monotonicMs())
    if (!expected.delete(job.id)) demand.noteArrival(job, monotonicMs())
    if (takeEarlyCancel(job)) book.cancel(job.id)
    const lateMs = Math.max(0, Date.now() - job.acceptedAtMs)
    log.event('jobTaken', {
      job: job.id,
      queue: job.queue,
      service,
      organisation: job.organisation,
      beyondShare,
      from,
      lateMs,
    })
    opts.admitted()
    opts.demandArrived()
  }

  function defer(job: JobSpec, from: Source): void {
    if (deferred.has(job.id)) return
    deferred.set(job.id, { job, from })
    memory.change(jobBytes(job))
  }

  /** Adopts a job of the predecessor, and cancels it if a cancel request arrived first. */
  function adoptInherited(job: JobSpec): void {
    queueRows.add(job.queue)
    if (isKnown(job.id)) return
    const hasBegun = inherited.hasBegun(job.id)
    if (left.mustLeave(job, hasBegun)) {
      inherited.noteLeft(job.id)
      return left.leave(job, hasBegun)
    }
    inherited.adopt(job)
    if (takeEarlyCancel(job)) cancel(job.id, 'read', job.queue)
  }

  /**
   * Counts a job that the store could not accept towards the demand, so that VMs are ready
   * when the store is back. Otherwise only 55 of 750 jobs are in time in a burst that begins 1 s
   * before an outage of 5.6 s, because no VM is added for them.
   */
  function expect(job: JobSpec): void {
    if (book.jobs.has(job.id) || expected.has(job.id)) return
    evictOldest(expected)
    expected.add(job.id)
    demand.noteArrival(job, monotonicMs())
    log.event('jobExpected', { job: job.id, queue: job.queue, service })
    opts.demandArrived()
  }

  /** Cancels a job; false when the request arrives before the job. */
  function cancel(id: string, from: Source, queue?: string): boolean {
    if (held.cancel(id, queue)) return true
    left.need(id)
    const known = book.jobs.get(id)
    // The request may be for a job of the same id in a queue of another service.
    if (!known || (queue !== undefined && known.spec.queue !== queue)) {
      cancelledEarly.add(earlyKey(id, queue))
      return false
    }
    if (!known.cancelRequested) log.event('cancelTaken', { job: id, from })
    book.cancel(id)
    return true
  }

  function applyRow(part: string, key: string, value: string | undefined): void {
    if (value === undefined) return applyRemoval(part, key)
    const entry = decodeIntake({ part, key }, value)
    if (entry.kind === 'cancel') return void cancel(entry.id, 'read', entry.queue)
    if (entry.kind === 'invalid') {
      unreadableRows.note(key, entry.reason)
      return opts.rowUnreadable(entry.id)
    }
    unreadableRows.clear(key)
    if (entry.job.service === service) admit(entry.job, 'read')
  }

  /** Handles the removal of a row; a job whose cancel row is gone cannot arrive any more. */
  function applyRemoval(part: string, key: string): void {
    const entry = decodeIntake({ part, key }, '')
    if (entry.kind === 'cancel')
      return void cancelledEarly.delete(earlyKey(entry.id, entry.queue))
    unreadableRows.clear(key)
    held.drop(entry.id)
    left.drop(entry.id)
  }

  /**
   * Waits for a recent lease renewal, so that reading does not delay the next one by taking up
   * the process and its link. Stops waiting after {@link MAX_LEASE_WAIT_MS}, because the store
   * may refuse writes of the lease row only.
   */
  async function waitForLease(signal: AbortSignal): Promise<void> {
    const endsAt = monotonicMs() + MAX_LEASE_WAIT_MS
    while (authority.leaseLeftMs() < MIN_LEASE_FOR_READS_MS && monotonicMs() < endsAt) {
      if (signal.aborted) return
      await sleep(LEASE_CHECK_INTERVAL_MS, signal)
    }
  }

  /**
   * Notes the queues that are left to read. Once none of them is among those that are read
   * first, all jobs that may be running are known.
   */
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
   * Reads the whole intake, with retries, while the changes are followed concurrently. If the
   * changes waited for this read, an owner with a busy store would not learn of accepted and
   * cancelled jobs for 16 s.
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
      cancel(id, queue) {
        cancels++
        cancel(id, 'read', queue)
      },
      unreadableJob(id) {
        if (inherited.isComplete() || book.jobs.has(id)) opts.rowUnreadable(id)
        else inherited.holdUnreadable(id)
      },
      // Runs of these jobs that targets have listed are adopted before a task could start again.
      rowsRead: inherited.flush,
      partsRead: (remaining) => updateRemaining(remaining, isReadFirst),
    }
    const isTakeover = !inherited.isComplete()
    const first = new Set([...queueRows.all(), ...opts.queues()])
    const isReadFirst = (queue: string): boolean =>
      !opts.hasAllQueueRows || first.has(queue)
    async function throttle(isFirst: boolean): Promise<void> {
      if (isTakeover && !isFirst) await sleep(OTHER_QUEUES_READ_PAUSE_MS, signal)
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

  /** Starts a full read, which replaces one that is still in progress. */
  function startFullRead(): void {
    fullRead?.abort()
    fullRead = createStopController()
    remainingQueues = undefined
    void readAll(fullRead.signal)
  }

  /** Starts a full read; returns the version to follow changes from, undefined on failure. */
  async function restartFullRead(): Promise<number | undefined> {
    const version = await intakeVersion(store, service)
    if (version.isErr()) return undefined
    startFullRead()
    return version.value
  }

  return {
    offer(job, rowVersion) {
      if (rowVersion > takeoverVersion) admit(job, 'told')
    },
    expect,
    cancel: (id, queue) => cancel(id, 'told', queue),
    admitDeferred() {
      if (!authority.isConfirmed()) return
      const entries = [...deferred.values()]
      deferred.clear()
      for (const { job } of entries) memory.change(-jobBytes(job))
      for (const { job, from } of entries) admit(job, from)
    },
    takeLeft({ spec, isCancelled, progress }) {
      queueRows.add(spec.queue)
      inherited.adopt(spec, progress)
      inherited.flush()
      expected.delete(spec.id)
      const taken = book.jobs.get(spec.id)
      if (taken && !progress) shares.note(taken, monotonicMs())
      const isCancelledEarly = takeEarlyCancel(spec)
      if (isCancelled || isCancelledEarly) cancel(spec.id, 'read', spec.queue)
      log.event('leftJobTaken', { job: spec.id, queue: spec.queue, service })
    },
    countDeferred(queue) {
      const jobs = [...deferred.values()].map(({ job }) => job)
      const waiting = jobs.filter(({ id }) => !book.jobs.has(id))
      return waiting.filter((job) => job.queue === queue).length + left.count(queue)
    },
    knowsAll(queue) {
      const isRead = remainingQueues !== undefined && !remainingQueues.has(queue)
      const freshAt = Math.max(followedAt, mirror?.freshAt() ?? -Infinity)
      return isRead && monotonicMs() - freshAt < MAX_INTAKE_AGE_MS
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
        longPollMs: 0,
        pauseMs: INTAKE_POLL_MS,
        log,
        onRow: applyRow,
        onCompacted: restartFullRead,
      })
      mirror = changes
      return {
        ...changes,
        async stop() {
          fullRead?.abort()
          await changes.stop()
          fullRead?.abort()
          for (const { job } of deferred.values()) memory.change(-jobBytes(job))
          deferred.clear()
        },
      }
    },
  }
}
