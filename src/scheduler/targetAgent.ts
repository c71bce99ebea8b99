/**
 * The agent of one target: long polls it for ended runs, renews the leases of its runs,
 * sends it orders one at a time and tracks what runs on it. A start order without an answer
 * may still be carried out, so its run stays `unsure` until the target reports under a newer
 * fencing token, which makes it refuse the old order, or until the lease of the run expires.
 *
 * An incarnation is one start of a target under its id; no run survives into the next one.
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
  createAdaptiveTimeout,
  createStopController,
  jittered,
  monotonicMs,
  sleep,
} from '../shared/index.js'
import type { Logger } from '../shared/index.js'
import { createPacer } from '../sharing/index.js'
import { callWithRetries } from './callWithRetries.js'
import {
  MAX_ACK_WAIT_MS,
  ANSWER_TIMEOUT_MS,
  FINITE_TASK_SYNC_WAIT_MS,
  IDLE_SYNC_WAIT_MS,
  MIN_ANSWER_TIMEOUT_MS,
  PACED_SYNC_WAIT_MS,
  STABLE_CHECK_MARGIN_MS,
  SYNC_RETRY_MS,
  SYNC_WAIT_MS,
  TOKENS_PER_TERM,
} from './constants.js'
import type { ColdTargets } from './coldTargets.js'
import { createCrashRecorder } from './crashRecorder.js'
import type { CrashedRun } from './crashSuspects.js'
import { createOrderSender } from './orderSender.js'
import type { ProgressWriter } from './progressWriter.js'
import type { ReportedCall } from './reportOrder.js'
import { createTargetLease } from './targetLease.js'
import { createTargetRuns } from './targetRuns.js'
import type { QuotaUsage } from './serviceQuotas.js'
import type { StartWindow } from './startWindow.js'
import { createTargetSilence } from './targetSilence.js'
import type { TargetAgent, TargetHold } from './types.js'

/** Dependencies and callbacks of the agent. */
export interface TargetAgentOptions {
  target: Target
  link: TargetLink
  book: JobBook
  authority: Authority
  progress: ProgressWriter
  /** Starts in flight on all targets of the owner. */
  startWindow: StartWindow
  coldTargets: ColdTargets
  quotaUsage: QuotaUsage
  /** Whether operators have cordoned a data hall, as far as this node knows now. */
  isHallCordoned(hall: string): boolean
  /** Whether tasks may have copies; those of the previous owner are adopted and not stopped. */
  usesCopies: boolean
  /** Longest time for which unknown runs of the previous owner can go on, in ms. */
  inheritedLeaseMs: number
  /** Initial token offset, above those that earlier incarnations of the id have seen. */
  initialTokenOffset: number
  log: Logger
  /** Called when the target refused a ticket of the step. */
  ticketRefused(step: Step, targetId: string): void
  /** Called when the free room, the state or the reports of the target have changed. */
  changed(): void
  /** Called when a run has ended, for the health record of the target. */
  ended(agent: TargetAgent, task: Task, kind: string): void
  /** Called when another incarnation answers; the health record of the earlier one is void. */
  restarted(agent: TargetAgent): void
  /** Called when a crash of the target is recorded. */
  crashed(): void
  /** Called when the incarnation and all its runs are over; another one may follow. */
  gone(agent: TargetAgent): void
}

/** A call for a report. */
interface SentCall extends ReportedCall {
  /** Monotonic time at which it was sent, in ms. */
  sentAt: number
}

/** Creates the agent, which calls the target from now on until it is closed. */
export function createTargetAgent(opts: TargetAgentOptions): TargetAgent {
  const { link, book, authority, progress, startWindow, coldTargets, log } = opts
  const { id: targetId } = opts.target
  const stopping = createStopController()
  const { signal } = stopping
  const lease = createTargetLease(opts.inheritedLeaseMs)
  const roundTrip = createAdaptiveTimeout({
    minMs: MIN_ANSWER_TIMEOUT_MS,
    maxMs: ANSWER_TIMEOUT_MS,
  })
  const pacer = createPacer()
  const silence = createTargetSilence(targetId, log)
  let target = opts.target
  /** Added to the token of the term; raised to make the target refuse unanswered orders. */
  let tokenOffset = opts.initialTokenOffset
  /** Start of the incarnation that answers, in ms since 1970; undefined before a report. */
  let incarnationStartMs: number | undefined
  /** Monotonic time of its first answer, in ms; Infinity before. */
  let incarnationHeardAt = Infinity
  /** Starts of earlier incarnations, whose late reports are ignored. */
  const earlierIncarnations = new Set<number>()
  /**
   * Pending while the crash of the earlier incarnation is being recorded; reports are ignored
   * until it resolves.
   */
  let incarnationSwitch: Promise<void> | undefined
  let ackedSeq = 0
  /** Monotonic time of the first report of this incarnation, in ms; Infinity before. */
  let firstReportAt = Infinity
  /** Whether this incarnation has reported with all its ends, so that its runs are known. */
  let hasListedAll = false
  let isGone = false
  let isAwaitingProgress = false
  let pausedUntil = 0

  const hasReported = (): boolean => firstReportAt < Infinity
  const isCordoned = (): boolean => opts.isHallCordoned(target.hall)
  const token = (): number => authority.term * TOKENS_PER_TERM + tokenOffset

  const runs = createTargetRuns({
    target,
    book,
    authority,
    quotaUsage: opts.quotaUsage,
    usesCopies: opts.usesCopies,
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
    lifeStartMs: () => (incarnationSwitch ? undefined : incarnationStartMs),
    isCordoned,
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

  /**
   * Whether the target may be heard for the first time. Its incarnation refuses orders of this owner if a
   * successor has called it, and a successor may not have called it yet once the lease has ended.
   */
  const mayBeHeard = (): boolean =>
    incarnationStartMs !== undefined || authority.isConfirmed()

  /** Whether a report tells which incarnation it is of, if that is known of any. */
  const isNamed = ({ lifeStartMs }: TargetReport): boolean =>
    lifeStartMs !== 0 || !(incarnationStartMs || target.lifeStartMs)

  function applyReport(report: TargetReport, call: SentCall): void {
    if (incarnationSwitch || earlierIncarnations.has(report.lifeStartMs)) return
    if (incarnationStartMs !== undefined && incarnationStartMs !== report.lifeStartMs) {
      // A call sent before this incarnation was heard may have been answered by an earlier one.
      if (call.sentAt >= incarnationHeardAt) switchIncarnation(report)
      return
    }
    incarnationStartMs = report.lifeStartMs
    incarnationHeardAt = Math.min(incarnationHeardAt, monotonicMs())
    lease.noteClock(report.clockMs)
    const silentMs = silence.markAnswering(report.ends.length)
    crashRecorder.noteAnswer()
    if (!runs.apply(report, call, silentMs)) return opts.changed()
    if (!hasReported())
      log.event('targetHeard', {
        target: targetId,
        runs: report.runs.length,
        ends: report.ends.length,
        listsAllEnds: report.listsAllEnds,
      })
    firstReportAt = Math.min(firstReportAt, monotonicMs())
    hasListedAll ||= report.listsAllEnds
    pacePlacements()
    opts.changed()
  }

  /**
   * Switches to another incarnation. Runs of the earlier one are over, but orders that a node of an
   * earlier software version was sent may still reach the new one. A raised token makes the new one
   * refuse them, and only reports under that token are trusted to list all its runs.
   */
  function switchIncarnation(report: TargetReport): void {
    log.event('targetReborn', {
      target: targetId,
      runs: placements.size,
      lifeBefore: incarnationStartMs,
      life: report.lifeStartMs,
      clockMs: report.clockMs,
      reportRuns: report.runs.length,
      token: token() + 1,
    })
    if (incarnationStartMs !== undefined) earlierIncarnations.add(incarnationStartMs)
    incarnationStartMs = report.lifeStartMs
    incarnationHeardAt = monotonicMs()
    firstReportAt = Infinity
    hasListedAll = false
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
    await crashRecorder.record({ reason: 'another incarnation answers', crashed })
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
   * Waits until the ownership is confirmed by the store. Until then a successor may have taken
   * over and recorded tasks of the target as done.
   */
  async function waitUntilConfirmed(): Promise<void> {
    while (!authority.isConfirmed() && !signal.aborted) {
      await sleep(SYNC_RETRY_MS, signal)
    }
  }

  /** Records the crash of a target that is gone, gives up its runs and ends the agent. */
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
    // It tells nothing of the target.
    if (error.failure === 'notSent') return
    crashRecorder.noteFailure(error)
    if (error.failure === 'gone') return markGone(error.reason)
    silence.markSilent(error.reason)
  }

  /** Gives up all runs once their lease has expired, as a silent target has stopped them. */
  function expireLease(): void {
    if (!lease.isExpired() || placements.size === 0) return
    // A successor may have renewed the lease, so the ownership must be confirmed.
    if (!authority.isConfirmed()) return
    crashRecorder.noteLeaseExpiry()
    runs.giveUpAll('lease expired')
  }

  /**
   * Handles a refusal of the token. It shows a newer owner, unless this owner itself has raised
   * the token since the call was sent.
   */
  function noteFenced(sentToken: number): void {
    if (sentToken === token())
      authority.markLost('a target has seen a higher fencing token')
  }

  async function syncOnce(waitMs: number): Promise<boolean> {
    let call: SentCall = { token: token(), ackedSeq: 0, sentAt: monotonicMs() }
    /** False after a failed call, as the target may have restarted since. */
    let isIncarnationKnown = silence.isAnswering() && !incarnationSwitch
    const send = (timeoutMs: number, pollMs: number): OrderResult<TargetReport> => {
      // A silent target may take a lease without our seeing its answer. Not extending it
      // keeps the expiry known.
      const leaseUntilMs = isIncarnationKnown ? lease.extend() : undefined
      const lifeStartMs = isIncarnationKnown ? incarnationStartMs : undefined
      call = {
        token: token(),
        ackedSeq: isIncarnationKnown ? ackedSeq : 0,
        sentAt: monotonicMs(),
      }
      isIncarnationKnown = false
      const { token: sentToken, ackedSeq: sentSeq } = call
      return link.sync(
        {
          lifeStartMs,
          token: sentToken,
          ackedSeq: sentSeq,
          leaseUntilMs,
          waitMs: pollMs,
        },
        timeoutMs,
      )
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
    const isMissed = res.isErr() && res.error.failure !== 'notSent'
    if (unansweredCalls > 0 || isMissed) silence.noteMissed(sentAt)
    if (res.isErr()) {
      if (res.error.failure === 'fenced') noteFenced(call.token)
      else noteFailure(res.error)
      return false
    }
    if (!isNamed(res.value)) silence.markSilent('does not name its incarnation')
    if (!isNamed(res.value) || !mayBeHeard()) return false
    applyReport(res.value, call)
    return true
  }

  /** Time for which the target may hold the poll until a run ends, in ms. */
  function pollWaitMs(): number {
    if (runs.shared().some(({ fills }) => fills)) return PACED_SYNC_WAIT_MS
    const isBusy = [...placements.values()].some(({ task }) => !task?.step.spec.lasting)
    // While the owner is behind, shorter polls would take processor time from waiting starts.
    if (startWindow.isBehind())
      return placements.size === 0 ? IDLE_SYNC_WAIT_MS : SYNC_WAIT_MS
    return isBusy ? FINITE_TASK_SYNC_WAIT_MS : SYNC_WAIT_MS
  }

  async function syncUntilClosed(): Promise<void> {
    while (!signal.aborted) {
      await incarnationSwitch
      expireLease()
      if (isGone || !authority.mayOrder() || !mayBeHeard()) {
        await sleep(SYNC_RETRY_MS, signal)
        continue
      }
      isAwaitingProgress = runs.ackableEndSeq() > ackedSeq
      if (isAwaitingProgress) await progress.flushed(MAX_ACK_WAIT_MS)
      isAwaitingProgress = false
      // A target answers a poll at once while ended runs are unacknowledged, so pause here.
      if (runs.lastEndSeq() > runs.ackableEndSeq()) await sleep(MAX_ACK_WAIT_MS, signal)
      const isCaughtUp = hasReported() && runs.lastEndSeq() === ackedSeq
      const isAnswered = await syncOnce(isCaughtUp ? pollWaitMs() : 0)
      if (!isAnswered) await sleep(jittered(SYNC_RETRY_MS), signal)
    }
  }

  /** Syncs with the target as soon as the run of a crash suspect may count as stable. */
  async function checkStable(task: Task): Promise<void> {
    await sleep(stableAfterMs(task) + STABLE_CHECK_MARGIN_MS, signal)
    if (!signal.aborted && !isGone && authority.mayOrder()) await syncOnce(0)
  }

  /** Raises the token so that all orders sent so far are refused, then reads their outcome. */
  async function fenceUnanswered(): Promise<void> {
    tokenOffset++
    runs.fence(token())
    if (authority.mayOrder()) await syncOnce(0)
  }

  /** Whether the list shows an incarnation that is not the answering one; capacities may differ. */
  const isOtherIncarnationListed = (): boolean =>
    incarnationStartMs !== undefined &&
    target.lifeStartMs !== 0 &&
    target.lifeStartMs !== incarnationStartMs

  /** Rules in the order in which they are checked; those that last longest come first. */
  const HOLD_RULES: { hold: TargetHold; applies(): boolean }[] = [
    { hold: 'gone', applies: () => isGone },
    { hold: 'draining', applies: () => target.draining },
    { hold: 'unlisted', applies: () => !agent.listed || isOtherIncarnationListed() },
    { hold: 'cordoned', applies: isCordoned },
    { hold: 'unheard', applies: () => !hasReported() },
    { hold: 'silent', applies: () => !silence.isAnswering() },
    { hold: 'evacuating', applies: () => agent.evacuating },
    // The room that these runs take is unknown until their jobs have been read.
    { hold: 'unread', applies: runs.hasUnread },
    // Unwanted runs have no placement, so the room that they take is not counted.
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
    isCordoned,
    listed: true,
    hold: () => HOLD_RULES.find(({ applies }) => applies())?.hold,
    isUsable: () => agent.hold() === undefined,
    pausedUntil: () => pausedUntil,
    leaseExpiresAt: lease.expiresAt,
    firstReportAt: () => firstReportAt,
    hasListedAll: () => hasListedAll,
    isStateKnown: () => hasListedAll || isGone || lease.isExpired(),
    isSilent: () => !silence.isAnswering(),
    isAwaitingProgress: () => isAwaitingProgress,
    isAnswering: () => silence.isAnswering() && hasReported() && !isGone,
    update(next) {
      if (next.draining && !target.draining) {
        log.event('targetDraining', { target: targetId })
      }
      // The link goes on calling the address that it was opened with.
      target = { ...next, address: target.address }
      room.resize(next.capacity)
    },
    start(task, runNumber, ticket) {
      const placement = runs.add(task, runNumber, 'starting')
      book.place(task, targetId, runNumber)
      coldTargets.noteStart(targetId)
      sender.start(task, placement, ticket)
    },
    startCopy(task, runNumber, ticket) {
      const placement = runs.add(task, runNumber, 'starting')
      placement.isCopy = true
      book.placeCopy(task, targetId, runNumber)
      coldTargets.noteStart(targetId)
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
    startsLeft: () => Math.min(sender.startsLeft(), coldTargets.startsLeft(targetId)),
    heldRuns: runs.heldCount,
    reportedCpu: runs.reportedCpu,
    adoptKnown: runs.adoptKnown,
    pace(name, percent) {
      const placement = placements.get(name)
      if (placement) sender.pace(placement, percent)
    },
    markGone,
    async close() {
      stopping.abort()
      progress.removeSource(ackSource)
      runs.close()
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
