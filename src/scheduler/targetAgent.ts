/**
 * One task per target: long polls for ends, renews leases, gives orders one after
 * another, and keeps the view of what runs there. An order without an answer may still
 * be carried out; its run stays `unsure` until the target says otherwise under a newer
 * token, which makes it refuse the old order, or until its lease is over.
 */
import type {
  OrderError,
  OrderResult,
  Target,
  TargetLink,
  TargetReport,
} from '../ports/index.js'
import { stableAfterMs } from '../jobs/index.js'
import type { JobBook, Step, Task } from '../jobs/index.js'
import type { Authority } from '../ownership/index.js'
import {
  createRoundTrip,
  createStopController,
  jittered,
  monotonicMs,
  sleep,
} from '../shared/index.js'
import type { Logger } from '../shared/index.js'
import { createPacer } from '../sharing/index.js'
import { callWithRetries } from './ask.js'
import {
  ACK_WAIT_MS,
  ANSWER_TIMEOUT_MS,
  BUSY_WAIT_MS,
  MIN_ANSWER_MS,
  PACED_WAIT_MS,
  STABLE_CHECK_MARGIN_MS,
  SYNC_RETRY_MS,
  SYNC_WAIT_MS,
  TOKENS_PER_TERM,
} from './constants.js'
import { createCrashRecorder } from './crashRecorder.js'
import type { CrashedRun } from './crashSuspects.js'
import { createOrderSender } from './orderSender.js'
import type { ProgressWriter } from './progressWriter.js'
import { createTargetLease } from './targetLease.js'
import { createTargetRuns } from './targetRuns.js'
import type { StartWindow } from './startWindow.js'
import { createTargetSilence } from './targetSilence.js'
import type { TargetAgent, TargetHold } from './types.js'

/** What the agent works with. */
export interface TargetAgentOptions {
  target: Target
  link: TargetLink
  book: JobBook
  authority: Authority
  progress: ProgressWriter
  /** Starts in flight on all targets of the owner. */
  startWindow: StartWindow
  /** Time that unknown runs of the predecessor may last, in ms. */
  inheritedLeaseMs: number
  /** Initial bump of the token, above those that earlier lives of the id have seen. */
  initialTokenOffset: number
  log: Logger
  /** It did not accept the ticket of a step. */
  ticketRefused(step: Step, targetId: string): void
  /** Room, state or reports have changed. */
  changed(): void
  /** A run has ended; for evidence about the target. */
  ended(agent: TargetAgent, task: Task, kind: string): void
  /** Another life answers under its id; evidence about the earlier one no longer applies. */
  restarted(agent: TargetAgent): void
  /** A crash of the target has been recorded. */
  crashed(): void
  /** The life is over and every run on it is dead; another life may come under the id. */
  gone(agent: TargetAgent): void
}

/** Creates the agent; it calls the target from now on, until it is closed. */
export function createTargetAgent(opts: TargetAgentOptions): TargetAgent {
  const { link, book, authority, progress, startWindow, log } = opts
  const { id: targetId } = opts.target
  const stopping = createStopController()
  const { signal } = stopping
  const lease = createTargetLease(opts.inheritedLeaseMs)
  const roundTrip = createRoundTrip({ leastMs: MIN_ANSWER_MS, mostMs: ANSWER_TIMEOUT_MS })
  const pacer = createPacer()
  const silence = createTargetSilence(targetId, log)
  let target = opts.target
  /** Raised to make the target refuse orders that went unanswered. */
  let tokenOffset = opts.initialTokenOffset
  /** Start of the life that answers, in ms since 1970; undefined before the first report. */
  let incarnationStartMs: number | undefined
  /** Starts of earlier lives, whose late reports are ignored. */
  const earlierIncarnations = new Set<number>()
  /** Pending while the crash of the earlier life is recorded; reports are ignored until then. */
  let incarnationSwitch: Promise<void> | undefined
  let ackedSeq = 0
  /** Steady time of the first report of this life, in ms; Infinity before. */
  let firstReportAt = Infinity
  let isGone = false
  let pausedUntil = 0

  const hasReported = (): boolean => firstReportAt < Infinity
  const token = (): number => authority.term * TOKENS_PER_TERM + tokenOffset

  const runs = createTargetRuns({
    target,
    book,
    authority,
    log,
    unwanted: (name, run) => sender.stop(name, run),
    ended: (task, kind) => opts.ended(agent, task, kind),
  })
  const { placements, room } = runs

  const crashRecorder = createCrashRecorder({
    targetId,
    book,
    runs,
    progress,
    signal,
    log,
    isLeaving: () => target.draining || agent.evacuating,
    crashed: opts.crashed,
  })

  const sender = createOrderSender({
    targetId,
    link,
    book,
    authority,
    runs,
    lease,
    roundTrip,
    startWindow,
    signal,
    log,
    token,
    pause: (ms) => void (pausedUntil = monotonicMs() + ms),
    failed: noteFailure,
    fenceUnanswered,
    suspectStarted: (task) => void checkStable(task),
    ticketRefused: ({ step }) => opts.ticketRefused(step, targetId),
    changed: opts.changed,
  })

  function pacePlacements(): void {
    for (const { name, percent } of pacer.step(runs.shared(), monotonicMs())) {
      log.event('taskPaced', { task: name, target: targetId, percent })
      agent.pace(name, percent)
    }
  }

  function applyReport(report: TargetReport, reportToken: number): void {
    if (incarnationSwitch || earlierIncarnations.has(report.lifeStartMs)) return
    if (incarnationStartMs !== undefined && incarnationStartMs !== report.lifeStartMs)
      return switchIncarnation(report)
    incarnationStartMs = report.lifeStartMs
    lease.noteClock(report.clockMs)
    const silentMs = silence.end(report.ends.length)
    crashRecorder.noteAnswer()
    runs.apply(report, reportToken, silentMs)
    if (!hasReported())
      log.event('targetHeard', { target: targetId, runs: report.runs.length })
    firstReportAt = Math.min(firstReportAt, monotonicMs())
    pacePlacements()
    opts.changed()
  }

  /**
   * Switches to another life under the same id. Runs of the earlier life are over, but orders
   * sent to it may still reach the new one: a raised token makes the new life refuse them before
   * its list of runs is relied on.
   */
  function switchIncarnation(report: TargetReport): void {
    log.event('targetReborn', { target: targetId, runs: placements.size })
    if (incarnationStartMs !== undefined) earlierIncarnations.add(incarnationStartMs)
    incarnationStartMs = report.lifeStartMs
    firstReportAt = Infinity
    ackedSeq = 0
    tokenOffset++
    lease.reset(report.clockMs)
    const crashed = crashRecorder.takeCrashedRuns()
    runs.switchIncarnation(token())
    incarnationSwitch = finishIncarnationSwitch(crashed)
  }

  async function finishIncarnationSwitch(crashed: CrashedRun[]): Promise<void> {
    await waitUntilConfirmed()
    if (signal.aborted) return
    await crashRecorder.record({ reason: 'another life answers', crashed })
    if (signal.aborted) return
    incarnationSwitch = undefined
    opts.restarted(agent)
    opts.changed()
  }

  function markGone(reason: string): void {
    if (isGone) return
    isGone = true
    log.event('targetGone', { target: targetId, reason })
    void giveUpRuns(reason)
  }

  /**
   * Waits while this owner is out of touch with the store: a successor may have heard from the
   * target and recorded its tasks as done.
   */
  async function waitUntilConfirmed(): Promise<void> {
    while (!authority.isConfirmed() && !signal.aborted) {
      await sleep(SYNC_RETRY_MS, signal)
    }
  }

  /** Gives up everything on a target that is gone. */
  async function giveUpRuns(reason: string): Promise<void> {
    await waitUntilConfirmed()
    if (signal.aborted) return
    await crashRecorder.record({
      reason,
      crashed: crashRecorder.takeCrashedRuns(),
      giveUpOthers: (kept) => runs.giveUpAll(reason, kept),
    })
    if (signal.aborted) return
    runs.giveUpAll(reason)
    stopping.abort()
    opts.gone(agent)
    opts.changed()
  }

  function noteFailure(error: OrderError): void {
    crashRecorder.noteFailure(error)
    if (error.failure === 'gone') return markGone(error.reason)
    silence.begin(error.reason)
  }

  /** Once the lease of everything on a silent target is over, nothing runs there. */
  function expireLease(): void {
    if (!lease.isExpired() || placements.size === 0) return
    // A successor may have renewed the leases: only an owner for certain can tell.
    if (!authority.isConfirmed()) return
    crashRecorder.noteLeaseExpiry()
    runs.giveUpAll('lease is over')
  }

  /** A newer owner has been here, unless it was only our own newer token. */
  function noteFenced(sentToken: number): void {
    if (sentToken === token()) authority.lost('a target has seen a newer owner')
  }

  async function syncOnce(waitMs: number): Promise<boolean> {
    let sentToken = token()
    /** False after a failed call: the target may have restarted, and another life may answer. */
    let isIncarnationKnown = silence.isAnswering() && !incarnationSwitch
    const send = (timeoutMs: number, pollMs: number): OrderResult<TargetReport> => {
      sentToken = token()
      // A silent target may get a lease that we never hear of: it is not extended, so that
      // it is over at a time that we know.
      const leaseUntilMs = isIncarnationKnown ? lease.extend() : undefined
      const order = {
        token: sentToken,
        ackedSeq: isIncarnationKnown ? ackedSeq : 0,
        leaseUntilMs,
      }
      isIncarnationKnown = false
      return link.sync({ ...order, waitMs: pollMs }, timeoutMs)
    }
    const mayRetry = (): boolean => !isGone && authority.mayOrder()
    const sentAt = monotonicMs()
    const { res, unansweredCalls } = await callWithRetries({
      roundTrip,
      send,
      waitMs,
      mayRetry,
    })
    if (isGone || signal.aborted) return false
    if (unansweredCalls > 0 || res.isErr()) silence.noteMissed(sentAt)
    if (res.isOk()) applyReport(res.value, sentToken)
    else if (res.error.failure === 'fenced') noteFenced(sentToken)
    else noteFailure(res.error)
    return res.isOk()
  }

  /** Time that the target may wait for an end before it answers, in ms. */
  function pollWaitMs(): number {
    if (runs.shared().some(({ fills }) => fills)) return PACED_WAIT_MS
    const isBusy = [...placements.values()].some(({ task }) => !task?.step.spec.lasting)
    // Polls that end sooner would take processor time from the starts that wait for it.
    return isBusy && !startWindow.isBehind() ? BUSY_WAIT_MS : SYNC_WAIT_MS
  }

  async function syncUntilClosed(): Promise<void> {
    while (!signal.aborted) {
      await incarnationSwitch
      expireLease()
      if (isGone || !authority.mayOrder()) {
        await sleep(SYNC_RETRY_MS, signal)
        continue
      }
      if (runs.ackableEndSeq() > ackedSeq) await progress.flushed(ACK_WAIT_MS)
      // It lists ends that are not acknowledged at once, so that no poll would last.
      if (runs.lastEndSeq() > runs.ackableEndSeq()) await sleep(ACK_WAIT_MS, signal)
      const isCaughtUp = hasReported() && runs.lastEndSeq() === ackedSeq
      const isAnswered = await syncOnce(isCaughtUp ? pollWaitMs() : 0)
      if (!isAnswered) await sleep(jittered(SYNC_RETRY_MS), signal)
    }
  }

  /** Syncs with the target as soon as a run of the suspect may count as stable. */
  async function checkStable(task: Task): Promise<void> {
    await sleep(stableAfterMs(task) + STABLE_CHECK_MARGIN_MS, signal)
    if (!signal.aborted && !isGone && authority.mayOrder()) await syncOnce(0)
  }

  /** Makes the target refuse all orders sent so far, then reads what became of them. */
  async function fenceUnanswered(): Promise<void> {
    tokenOffset++
    runs.fence(token())
    await syncOnce(0)
  }

  /** Whether the list shows another life than the one that answers, whose room may differ. */
  const isOtherIncarnationListed = (): boolean =>
    incarnationStartMs !== undefined &&
    target.lifeStartMs !== 0 &&
    target.lifeStartMs !== incarnationStartMs

  /** In the order in which they are asked: what lasts longest comes first. */
  const HOLD_RULES: { hold: TargetHold; applies(): boolean }[] = [
    { hold: 'gone', applies: () => isGone },
    { hold: 'draining', applies: () => target.draining },
    { hold: 'unlisted', applies: () => !agent.listed || isOtherIncarnationListed() },
    { hold: 'unheard', applies: () => !hasReported() },
    { hold: 'silent', applies: () => !silence.isAnswering() },
    { hold: 'evacuating', applies: () => agent.evacuating },
    // What runs there takes room that is not known before its jobs are read.
    { hold: 'unread', applies: () => book.mayMissJobs && runs.heldCount() > 0 },
    // Their tasks may be unknown: they have no placement, and their room is not counted.
    { hold: 'unwanted', applies: () => runs.unwantedCount() > 0 },
    { hold: 'paused', applies: () => monotonicMs() < pausedUntil },
    { hold: 'noAuthority', applies: () => !authority.mayOrder() },
  ]

  const agent: TargetAgent = {
    get target() {
      return target
    },
    placements,
    room,
    tokenOffset: () => tokenOffset,
    evacuating: false,
    listed: true,
    hold: () => HOLD_RULES.find(({ applies }) => applies())?.hold,
    isUsable: () => agent.hold() === undefined,
    pausedUntil: () => pausedUntil,
    settledBy: lease.expiresAt,
    firstReportAt: () => firstReportAt,
    isSettled: () => hasReported() || isGone || lease.isExpired(),
    isSilent: () => !silence.isAnswering(),
    isAnswering: () => silence.isAnswering() && hasReported() && !isGone,
    update(next) {
      if (next.draining && !target.draining) {
        log.event('targetDraining', { target: targetId })
      }
      // The link keeps the address that it was opened with.
      target = { ...next, address: target.address }
      room.resize(next.capacity)
    },
    start(task, runNumber, ticket) {
      const placement = runs.add(task, runNumber, 'starting')
      book.place(task, targetId, runNumber)
      sender.start(task, placement, ticket)
    },
    stop(name) {
      const placement = placements.get(name)
      if (!placement || placement.state === 'stopping') return
      placement.state = 'stopping'
      placement.stopOrderedAt = monotonicMs()
      sender.stop(name, placement.run)
    },
    isIsolated: runs.isIsolated,
    hasRecentStart: runs.hasRecentStart,
    startsLeft: sender.startsLeft,
    heldRuns: runs.heldCount,
    adoptKnown: runs.adoptKnown,
    pace(name, percent) {
      const placement = placements.get(name)
      if (placement) sender.pace(placement, percent)
    },
    markGone,
    async close() {
      stopping.abort()
      progress.removeSource(ackSource)
      link.close()
      await loop
      await sender.idle()
    },
  }

  const ackSource = {
    capture() {
      const seq = runs.ackableEndSeq()
      const capturedStartMs = incarnationStartMs
      return () => {
        if (capturedStartMs === incarnationStartMs) ackedSeq = Math.max(ackedSeq, seq)
      }
    },
  }
  progress.addSource(ackSource)
  const loop = syncUntilClosed()
  return agent
}
