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
import { ask } from './ask.js'
import type { CrashedRun } from './crashSuspects.js'
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
import { createOrderSender } from './orderSender.js'
import type { ProgressWriter } from './progressWriter.js'
import type { Room } from './room.js'
import { createTargetLease } from './targetLease.js'
import { createTargetRuns } from './targetRuns.js'
import type { Placement } from './targetRuns.js'
import { createTargetSilence } from './targetSilence.js'

/** Why a target gets nothing new, whatever a task asks for. */
export type TargetHold =
  | 'gone'
  | 'unheard'
  | 'unlisted'
  | 'silent'
  | 'draining'
  | 'evacuating'
  | 'paused'
  | 'unread'
  | 'unwanted'
  | 'noAuthority'

/** What an owner does with one target. */
export interface TargetAgent {
  readonly target: Target
  /** What runs on it, by name of the task, as far as is known. */
  readonly placements: ReadonlyMap<string, Placement>
  readonly room: Room
  /** What keeps everything new from it; undefined when it takes orders now. */
  hold(): TargetHold | undefined
  /** Whether nothing keeps everything new from it. */
  isUsable(): boolean
  /** How often the token was raised within this term, earlier lives of the id included. */
  bump(): number
  /** Steady time up to which it is paused, in ms. */
  pausedUntil(): number
  /** Whether it has been heard by this owner, or everything on it is surely dead. */
  isSettled(): boolean
  /** Steady time by which it is settled at the latest, in ms, unless its lease is extended. */
  settledBy(): number
  /** Whether it last answered. */
  isAnswering(): boolean
  /** Whether a call has failed since the last answer, or since the first call if there was none. */
  isSilent(): boolean
  /** No new starts while true: it is being emptied on purpose. */
  evacuating: boolean
  /** Whether the list of targets shows it; no new starts while it does not. */
  listed: boolean
  /** Takes what the list says of it now. */
  update(target: Target): void
  /** Places the task there and orders its start. */
  start(task: Task, run: number, ticket: string): void
  stop(name: string): void
  /** Whether a crash suspect is placed there. */
  isIsolated(): boolean
  /** Whether a run there is starting or not yet known to be stable. */
  hasRecentStart(): boolean
  /** Starts that it takes now without letting them wait for long behind one another. */
  startsLeft(): number
  /** Runs last reported whose jobs are held, so that they have no placement. */
  heldRuns(): number
  /** Adopts those of them whose jobs have become known since. */
  adoptKnown(): void
  /** Orders how much of its usual speed a task that fills in may have, in percent. */
  pace(name: string, percent: number): void
  /** Every run on it is known to be dead. */
  markGone(reason: string): void
  close(): Promise<void>
}

/** What the agent works with. */
export interface TargetAgentOptions {
  target: Target
  link: TargetLink
  book: JobBook
  authority: Authority
  progress: ProgressWriter
  /** Time that unknown runs of the predecessor may last, in ms. */
  inheritedLeaseMs: number
  /** Initial bump of the token, above those that earlier lives of the id have seen. */
  initialBump: number
  log: Logger
  /** It did not accept the ticket of a step. */
  ticketRefused(step: Step, targetId: string): void
  /** Room, state or reports have changed. */
  changed(): void
  /** A run has ended; for evidence about the target. */
  ended(agent: TargetAgent, task: Task, kind: string): void
  /** Another life answers under its id; evidence about the earlier one no longer applies. */
  restarted(agent: TargetAgent): void
  /** The target crashed while it was isolated for a crash suspect. */
  crashedWhileIsolated(): void
  /** All on it is dead and it will not come back under this id. */
  gone(agent: TargetAgent): void
}

/** Creates the agent; it calls the target from now on, until it is closed. */
export function createTargetAgent(opts: TargetAgentOptions): TargetAgent {
  const { link, book, authority, progress, log } = opts
  const { id: targetId } = opts.target
  const stopping = createStopController()
  const { signal } = stopping
  const lease = createTargetLease(opts.inheritedLeaseMs)
  const roundTrip = createRoundTrip({ leastMs: MIN_ANSWER_MS, mostMs: ANSWER_TIMEOUT_MS })
  const pacer = createPacer()
  const silence = createTargetSilence(targetId, log)
  let target = opts.target
  /** Raised to make the target refuse orders that went unanswered. */
  let bump = opts.initialBump
  /** Start of the life that answers, in ms since 1970; undefined before the first report. */
  let lifeStartMs: number | undefined
  /** Starts of earlier lives, whose late reports are ignored. */
  const earlierLives = new Set<number>()
  /** Pending while the crash of the earlier life is recorded; reports are ignored until then. */
  let lifeSwitch: Promise<void> | undefined
  let ackedSeq = 0
  let heard = false
  let gone = false
  let pausedUntil = 0
  /** Steady time of the first failed connection, in ms; Infinity while connected. */
  let disconnectedAt = Infinity
  /** Runs whose leases ended, to which a crash is attributed if the target proves to be gone. */
  let lapsedRuns: CrashedRun[] = []

  const token = (): number => authority.term * TOKENS_PER_TERM + bump

  const runs = createTargetRuns({
    target,
    book,
    authority,
    log,
    unwanted: (name, run) => sender.stop(name, run),
    ended: (task, kind) => opts.ended(agent, task, kind),
  })
  const { placements, room } = runs

  const sender = createOrderSender({
    targetId,
    link,
    book,
    authority,
    runs,
    lease,
    roundTrip,
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
    if (lifeSwitch || earlierLives.has(report.lifeStartMs)) return
    if (lifeStartMs !== undefined && lifeStartMs !== report.lifeStartMs)
      return switchLife(report)
    lifeStartMs = report.lifeStartMs
    lease.noteClock(report.clockMs)
    const silentMs = silence.end(report.ends.length)
    lapsedRuns = []
    disconnectedAt = Infinity
    runs.apply(report, reportToken, silentMs)
    if (!heard) log.event('targetHeard', { target: targetId, runs: report.runs.length })
    heard = true
    pacePlacements()
    opts.changed()
  }

  /**
   * Switches to another life under the same id. Runs of the earlier life are over, but orders
   * sent to it may still reach the new one: a raised token makes the new life refuse them before
   * its list of runs is relied on.
   */
  function switchLife(report: TargetReport): void {
    log.event('targetReborn', { target: targetId, runs: placements.size })
    if (lifeStartMs !== undefined) earlierLives.add(lifeStartMs)
    lifeStartMs = report.lifeStartMs
    heard = false
    ackedSeq = 0
    bump++
    lease.reset(report.clockMs)
    const crashed = [...lapsedRuns, ...runs.crashedRuns(disconnectedAt)]
    lapsedRuns = []
    disconnectedAt = Infinity
    runs.switchLife(token())
    lifeSwitch = finishLifeSwitch(crashed)
  }

  async function finishLifeSwitch(crashed: CrashedRun[]): Promise<void> {
    await waitUntilConfirmed()
    if (!signal.aborted) await noteCrash('another life answers', crashed)
    if (signal.aborted) return
    lifeSwitch = undefined
    opts.restarted(agent)
    opts.changed()
  }

  function markGone(reason: string): void {
    if (gone) return
    gone = true
    log.event('targetGone', { target: targetId, reason })
    void giveUpRuns(reason)
  }

  /**
   * Records a crash of the target for the runs that may have caused it. Their tasks stay placed
   * until the record is durable, so that a later owner counts the crash too.
   */
  async function noteCrash(
    reason: string,
    crashed: CrashedRun[],
    giveUpOthers?: (kept: ReadonlySet<Task>) => void,
  ): Promise<void> {
    const isPlanned = target.draining || agent.evacuating
    if (isPlanned || crashed.length === 0) return
    const tasks = new Set(crashed.map(({ task }) => task))
    const suspects = [...tasks].map(({ name }) => name).join(' ')
    const [{ role }] = crashed as [CrashedRun]
    log.event('targetCrashed', { target: targetId, reason, role, suspects })
    if (runs.isIsolated()) opts.crashedWhileIsolated()
    for (const { task, run, role } of crashed) book.noteCrash(task, run, role)
    giveUpOthers?.(tasks)
    while (!signal.aborted && !(await progress.flushed(ACK_WAIT_MS)));
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
    const crashed = [...lapsedRuns, ...runs.crashedRuns(disconnectedAt)]
    await noteCrash(reason, crashed, (tasks) => runs.giveUpAll(reason, tasks))
    if (signal.aborted) return
    runs.giveUpAll(reason)
    stopping.abort()
    opts.gone(agent)
    opts.changed()
  }

  function noteFailure(error: OrderError): void {
    const { failure, cause } = error
    const isDisconnected = failure === 'gone' || cause.failure === 'unreachable'
    if (isDisconnected) disconnectedAt = Math.min(disconnectedAt, monotonicMs())
    if (failure === 'gone') return markGone(error.reason)
    silence.begin(error.reason)
  }

  /** Once the lease of everything on a silent target is over, nothing runs there. */
  function expireLease(): void {
    if (!lease.isOver() || placements.size === 0) return
    // A successor may have renewed the leases: only an owner for certain can tell.
    if (!authority.isConfirmed()) return
    // The target may have crashed or be unreachable; the crash is recorded once it is proven.
    lapsedRuns.push(...runs.crashedRuns(disconnectedAt))
    runs.giveUpAll('lease is over')
  }

  /** A newer owner has been here, unless it was only our own newer token. */
  function noteFenced(sentToken: number): void {
    if (sentToken === token()) authority.lost('a target has seen a newer owner')
  }

  async function syncOnce(waitMs: number): Promise<boolean> {
    let sentToken = token()
    /** False after a failed call: the target may have restarted, and another life may answer. */
    let isLifeKnown = silence.isAnswering() && !lifeSwitch
    const send = (timeoutMs: number, pollMs: number): OrderResult<TargetReport> => {
      sentToken = token()
      // A silent target may get a lease that we never hear of: it is not extended, so that
      // it is over at a time that we know.
      const leaseUntilMs = isLifeKnown ? lease.extend() : undefined
      const order = {
        token: sentToken,
        ackedSeq: isLifeKnown ? ackedSeq : 0,
        leaseUntilMs,
      }
      isLifeKnown = false
      return link.sync({ ...order, waitMs: pollMs }, timeoutMs)
    }
    const mayAskAgain = (): boolean => !gone && authority.mayOrder()
    const sentAt = monotonicMs()
    const { res, lost } = await ask({ roundTrip, send, waitMs, mayAskAgain })
    if (gone || signal.aborted) return false
    if (lost > 0 || res.isErr()) silence.missed(sentAt)
    if (res.isOk()) applyReport(res.value, sentToken)
    else if (res.error.failure === 'fenced') noteFenced(sentToken)
    else noteFailure(res.error)
    return res.isOk()
  }

  /** Time that the target may wait for an end before it answers, in ms. */
  function pollWaitMs(): number {
    if (runs.shared().some(({ fills }) => fills)) return PACED_WAIT_MS
    const isBusy = [...placements.values()].some(({ task }) => !task?.step.spec.lasting)
    return isBusy ? BUSY_WAIT_MS : SYNC_WAIT_MS
  }

  async function run(): Promise<void> {
    while (!signal.aborted) {
      await lifeSwitch
      expireLease()
      if (gone || !authority.mayOrder()) {
        await sleep(SYNC_RETRY_MS, signal)
        continue
      }
      if (runs.endsToAck() > ackedSeq) await progress.flushed(ACK_WAIT_MS)
      // It lists ends that are not acknowledged at once, so that no poll would last.
      if (runs.endsSeen() > runs.endsToAck()) await sleep(ACK_WAIT_MS, signal)
      const waits = heard && runs.endsSeen() === ackedSeq
      const done = await syncOnce(waits ? pollWaitMs() : 0)
      if (!done) await sleep(jittered(SYNC_RETRY_MS), signal)
    }
  }

  /** Syncs with the target as soon as a run of the suspect may count as stable. */
  async function checkStable(task: Task): Promise<void> {
    await sleep(stableAfterMs(task) + STABLE_CHECK_MARGIN_MS, signal)
    if (!signal.aborted && !gone && authority.mayOrder()) await syncOnce(0)
  }

  /** Makes the target refuse all orders sent so far, then reads what became of them. */
  async function fenceUnanswered(): Promise<void> {
    bump++
    runs.fence(token())
    await syncOnce(0)
  }

  /** Whether the list shows another life than the one that answers, whose room may differ. */
  const isOtherLifeListed = (): boolean =>
    lifeStartMs !== undefined &&
    target.lifeStartMs !== 0 &&
    target.lifeStartMs !== lifeStartMs

  /** In the order in which they are asked: what lasts longest comes first. */
  const HOLDS: { hold: TargetHold; holds(): boolean }[] = [
    { hold: 'gone', holds: () => gone },
    { hold: 'draining', holds: () => target.draining },
    { hold: 'unlisted', holds: () => !agent.listed || isOtherLifeListed() },
    { hold: 'unheard', holds: () => !heard },
    { hold: 'silent', holds: () => !silence.isAnswering() },
    { hold: 'evacuating', holds: () => agent.evacuating },
    // What runs there takes room that is not known before its jobs are read.
    { hold: 'unread', holds: () => book.mayMissJobs && runs.heldCount() > 0 },
    // Their tasks may be unknown: they have no placement, and their room is not counted.
    { hold: 'unwanted', holds: () => runs.unwantedCount() > 0 },
    { hold: 'paused', holds: () => monotonicMs() < pausedUntil },
    { hold: 'noAuthority', holds: () => !authority.mayOrder() },
  ]

  const agent: TargetAgent = {
    get target() {
      return target
    },
    placements,
    room,
    bump: () => bump,
    evacuating: false,
    listed: true,
    hold: () => HOLDS.find(({ holds }) => holds())?.hold,
    isUsable: () => agent.hold() === undefined,
    pausedUntil: () => pausedUntil,
    settledBy: lease.overAt,
    isSettled: () => heard || gone || lease.isOver(),
    isSilent: () => !silence.isAnswering(),
    isAnswering: () => silence.isAnswering() && heard && !gone,
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
      placement.stopAskedAt = monotonicMs()
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
      progress.removeSource(acks)
      link.close()
      await loop
      await sender.idle()
    },
  }

  const acks = {
    capture() {
      const seq = runs.endsToAck()
      const capturedLife = lifeStartMs
      return () => {
        if (capturedLife === lifeStartMs) ackedSeq = Math.max(ackedSeq, seq)
      }
    },
  }
  progress.addSource(acks)
  const loop = run()
  return agent
}
