/**
 * Queues the orders for one target, sends them one after another, or a few starts at a time, and
 * records the outcome of each start. Stops are sent first: queued behind starts on a loaded owner,
 * they were 1.3 s late.
 * A stop never overtakes the start of its run: a start that is still queued is cancelled
 * instead, and one that has been sent is answered before the stop is sent.
 */
import { isCrashSuspect, noteDelay } from '../jobs/index.js'
import type { JobBook, Task } from '../jobs/index.js'
import type { Authority } from '../ownership/index.js'
import type {
  OrderError,
  OrderResult,
  StartAnswer,
  StartRefusal,
  TargetLink,
} from '../ports/index.js'
import { monotonicMs } from '../shared/index.js'
import type { Logger, AdaptiveTimeout } from '../shared/index.js'
import { callWithRetries } from './callWithRetries.js'
import type { CallResult } from './callWithRetries.js'
import { FULL_PAUSE_MS, REFUSED_PAUSE_MS } from './constants.js'
import type { TargetLease } from './targetLease.js'
import type { StartWindow } from './startWindow.js'
import { startFields } from './targetRuns.js'
import type { Placement, TargetRuns } from './targetRuns.js'

/** Wait in the queue above which an order is logged as late, in ms: a few typical answer times. */
const LATE_ORDER_MS = 300

/**
 * Longest expected wait of a queued start, in ms. Beyond it, tasks stay unplaced, so that another
 * target can take them. On a link that delays each answer by 0.3 s, the tenth queued start waited
 * 3 s while another target of the pool had room.
 */
const MAX_START_WAIT_MS = 600
/** Starts that may be queued on any target, so that a slow one gets its next start at once. */
const MIN_QUEUED_STARTS = 3
/** Weight of the newest start in the mean time that a start takes. */
const NEWEST_START_WEIGHT = 0.3

/** Kinds of orders, by descending priority. */
const ORDER_KINDS = ['stop', 'start', 'pace'] as const
type OrderKind = (typeof ORDER_KINDS)[number]

/** An order that has not been sent yet. */
interface QueuedOrder {
  task: string
  queuedAt: number
  send(): Promise<void>
}

/** Orders for one target. Each is sent once the one before it is answered or has failed. */
export interface OrderSender {
  start(task: Task, placement: Placement, ticket: string): void
  stop(name: string, run: number): void
  pace(placement: Placement, percent: number): void
  /** Number of starts that can be queued now without a long wait. */
  startsLeft(): number
  /** Resolves once all queued orders are sent and answered, or dropped. */
  idle(): Promise<void>
}

/** Dependencies and callbacks of the sender. */
export interface OrderSenderOptions {
  targetId: string
  link: TargetLink
  book: JobBook
  authority: Authority
  runs: TargetRuns
  lease: TargetLease
  roundTrip: AdaptiveTimeout
  /** Starts in flight on all targets of the owner. */
  startWindow: StartWindow
  /** Aborts sending; queued orders are dropped. */
  signal: AbortSignal
  log: Logger
  /** Returns the current fencing token. */
  token(): number
  /**
   * Start of the incarnation that may get starts, in ms since 1970; undefined while there is none
   * whose runs are known.
   */
  lifeStartMs(): number | undefined
  /** Whether the target's data hall is cordoned, so that no start may be sent. */
  isCordoned(): boolean
  /** Called when the target must get no new tasks for the given time, in ms. */
  pause(ms: number): void
  /** Called when an order has failed for a reason that lies with the target. */
  failed(error: OrderError): void
  /** Makes the target refuse unanswered starts that arrive late; resolves after the call. */
  fenceUnanswered(): Promise<void>
  /** Called when the start of a crash suspect is confirmed. */
  suspectStarted(task: Task): void
  /** Called when the target refused the ticket of the task's step. */
  ticketRefused(task: Task): void
  /** Called when the free room or the state of the target have changed. */
  changed(): void
}

/** Creates the sender of one target, with empty queues. */
export function createOrderSender(opts: OrderSenderOptions): OrderSender {
  const { targetId, link, book, authority, runs, lease, roundTrip, token, log } = opts
  const { startWindow } = opts
  const queues: Record<OrderKind, QueuedOrder[]> = { stop: [], start: [], pace: [] }
  /** Resolves once the queues are empty; undefined while nothing is sent. */
  let sending: Promise<void> | undefined
  /** Moving average of the time that a start takes, in ms. */
  let meanStartMs = 0

  const startsLeft = (): number => {
    const fitting = Math.floor(MAX_START_WAIT_MS / Math.max(1, meanStartMs))
    const queueSlots = Math.max(MIN_QUEUED_STARTS, fitting) - queues.start.length
    return Math.min(queueSlots, startWindow.available())
  }

  async function sendNext(kind: OrderKind): Promise<void> {
    const next = queues[kind].shift()
    if (!next) return
    if (opts.signal.aborted) {
      if (kind === 'start') startWindow.noteEnded()
      return
    }
    const { task, queuedAt, send } = next
    const waitedMs = Math.round(monotonicMs() - queuedAt)
    if (waitedMs > LATE_ORDER_MS)
      log.event('orderLate', { order: kind, task, target: targetId, waitedMs })
    const sentAt = monotonicMs()
    await send()
    if (kind !== 'start') return
    const tookMs = monotonicMs() - sentAt
    meanStartMs =
      meanStartMs === 0
        ? tookMs
        : meanStartMs + (tookMs - meanStartMs) * NEWEST_START_WEIGHT
    // Tasks may have stayed unplaced because the queue was full.
    if (queues.start.length === 0) opts.changed()
  }

  async function drainQueues(): Promise<void> {
    // Lets the caller finish its synchronous work before the first order is sent.
    await Promise.resolve()
    for (;;) {
      const kind = ORDER_KINDS.find((each) => queues[each].length > 0)
      if (kind === undefined) break
      // Starts of different tasks may overtake each other; a stop waits for those before it.
      const atOnce = kind === 'start' ? (link.startsAtOnce?.() ?? 1) : 1
      const count = Math.min(atOnce, queues[kind].length)
      await Promise.all(Array.from({ length: count }, () => sendNext(kind)))
    }
    sending = undefined
  }

  const enqueue = (kind: OrderKind, task: string, send: QueuedOrder['send']): void => {
    queues[kind].push({ task, queuedAt: monotonicMs(), send })
    sending ??= drainQueues()
  }

  /** Cancels the queued start of a run; returns false when there is none. */
  function cancelQueuedStart(name: string, run: number): boolean {
    const index = queues.start.findIndex(({ task }) => task === name)
    const placement = runs.placements.get(name)
    if (index < 0 || placement?.run !== run) return false
    queues.start.splice(index, 1)
    startWindow.noteEnded()
    undoPlacement(placement)
    opts.changed()
    return true
  }

  /** Cancels all queued starts after a failed one, so that their tasks are placed elsewhere. */
  function cancelQueuedStarts(): void {
    for (const { task } of queues.start.splice(0)) {
      startWindow.noteEnded()
      const placement = runs.placements.get(task)
      if (placement) undoPlacement(placement)
    }
  }

  /** Removes the placement of a start that was not sent, and makes its task ready again. */
  function undoPlacement(placement: Placement): void {
    const { task, run } = placement
    runs.remove(placement)
    if (task) book.unplace(task, run)
  }

  const refusalHandlers: Record<StartRefusal, (task: Task) => void> = {
    fenced: () => authority.markLost('a target has seen a higher fencing token'),
    superseded: () => undefined,
    expired: () => undefined,
    full: () => opts.pause(FULL_PAUSE_MS),
    other: () => opts.pause(REFUSED_PAUSE_MS),
    ticket: (task) => opts.ticketRefused(task),
  }

  /**
   * Whether the start of a run, if it is a copy, may be sent: its task still needs it, and no
   * successor may have recorded the end of the task.
   */
  const mayStartCopy = ({ task, state, isCopy }: Placement): boolean =>
    !isCopy ||
    (task?.phase === 'placed' && state !== 'stopping' && authority.isConfirmed())

  async function sendStart(
    task: Task,
    placement: Placement,
    ticket: string,
  ): Promise<void> {
    const { name, run } = placement
    const lifeStartMs = opts.lifeStartMs()
    // A hall may be cordoned while the start waits in the queue or for its answer.
    const maySend = (): boolean =>
      runs.placements.get(name) === placement &&
      authority.mayOrder() &&
      !opts.isCordoned() &&
      opts.lifeStartMs() === lifeStartMs &&
      mayStartCopy(placement)
    const isWanted = lifeStartMs !== undefined && maySend() && !task.step.job.outcome
    const leaseUntilMs = isWanted ? lease.extend() : undefined
    if (leaseUntilMs === undefined) return undoPlacement(placement)
    const { spec } = task.step.job.spec
    const sentToken = token()
    const { checkpoint } = task
    placement.mayHaveBegun = true
    placement.sentAt = monotonicMs()
    placement.sentToken = sentToken
    placement.sentToLifeMs = lifeStartMs
    const order = {
      lifeStartMs,
      task: name,
      run,
      spec,
      token: sentToken,
      checkpoint,
      ticket,
    }
    const result = await callWithRetries({
      roundTrip,
      send(timeoutMs) {
        noteForwarder(placement)
        const until = lease.extend() ?? leaseUntilMs
        return link.start({ ...order, leaseUntilMs: until }, timeoutMs)
      },
      mayRetry: maySend,
    })
    // A report may have shown the end of the run meanwhile.
    if (runs.placements.get(name) === placement)
      await noteAnswer(task, placement, result, sentToken)
  }

  function noteForwarder({ forwarders }: Placement): void {
    const forwarder = link.forwarder?.()
    if (forwarder !== undefined && !forwarders.includes(forwarder))
      forwarders.push(forwarder)
  }

  async function noteAnswer(
    task: Task,
    placement: Placement,
    { res, unansweredCalls }: CallResult<StartAnswer>,
    sentToken: number,
  ): Promise<void> {
    task.step.job.delays.unanswered += unansweredCalls
    if (res.isErr()) return startFailed(task, placement, res.error, unansweredCalls)
    // Either incarnation may have answered an order that was sent before the target restarted.
    const isOfPresentClock = !placement.isOfEarlierIncarnation
    if (isOfPresentClock) {
      lease.noteClock(res.value.clockMs)
      runs.noteClock(res.value.clockMs)
    }
    if (!res.value.accepted)
      return noteRefusal(task, placement, res.value.reason, sentToken, unansweredCalls)
    log.event('startAccepted', {
      task: task.name,
      run: placement.run,
      target: targetId,
      term: authority.term,
      ...startFields(placement),
      lost: unansweredCalls,
      clockMs: res.value.clockMs,
    })
    book.noteBegun(task, placement.run)
    if (!isOfPresentClock) return
    if (placement.state === 'starting') placement.state = 'running'
    placement.confirmedClockMs = res.value.clockMs
    if (isCrashSuspect(task)) opts.suspectStarted(task)
  }

  function noteRefusal(
    task: Task,
    placement: Placement,
    reason: StartRefusal,
    sentToken: number,
    unansweredCalls: number,
  ): void | Promise<void> {
    const { name, run } = placement
    log.event('startRefused', {
      task: name,
      run,
      target: targetId,
      reason,
      term: authority.term,
      ...startFields(placement),
      lost: unansweredCalls,
    })
    // If the token was raised since the start was sent, this owner itself fenced it.
    if (reason !== 'fenced' || sentToken === token()) refusalHandlers[reason](task)
    if (unansweredCalls > 0) return markUnsure(placement)
    runs.remove(placement)
    book.unplace(task, run)
    opts.changed()
  }

  /** Marks a run whose start went unanswered: it may run, be over, or arrive late. */
  function markUnsure(placement: Placement): Promise<void> {
    placement.state = 'unsure'
    return opts.fenceUnanswered()
  }

  async function startFailed(
    task: Task,
    placement: Placement,
    error: OrderError,
    unansweredCalls: number,
  ): Promise<void> {
    const { name, run } = placement
    if (error.failure === 'notSent' && unansweredCalls === 0) {
      placement.mayHaveBegun = false
      undoPlacement(placement)
      return opts.changed()
    }
    const failure = failureFields(error)
    log.event('startFailed', {
      task: name,
      run,
      target: targetId,
      ...failure,
      term: authority.term,
      ...startFields(placement),
      lost: unansweredCalls,
    })
    opts.pause(REFUSED_PAUSE_MS)
    cancelQueuedStarts()
    if (error.failure === 'unanswered') task.step.job.delays.unanswered++
    const mayArrive = error.failure === 'unanswered' || unansweredCalls > 0
    placement.mayHaveBegun = mayArrive
    if (mayArrive && error.failure !== 'gone') return markUnsure(placement)
    if (error.failure === 'notDone') {
      runs.remove(placement)
      book.unplace(task, run)
    }
    opts.failed(error)
    opts.changed()
  }

  /** Retries the call while this owner may give orders. */
  async function callAsOwner(
    send: (timeoutMs: number) => OrderResult<boolean>,
  ): OrderResult<boolean> {
    const { res } = await callWithRetries({
      roundTrip,
      send,
      mayRetry: authority.mayOrder,
    })
    return res
  }

  async function sendStop(name: string, run: number): Promise<void> {
    if (!authority.mayOrder()) return
    const order = { lifeStartMs: opts.lifeStartMs(), task: name, run, token: token() }
    const res = await callAsOwner((timeoutMs) => link.stop(order, timeoutMs))
    if (res.isOk()) return
    log.event('stopFailed', { task: name, target: targetId, ...failureFields(res.error) })
    opts.failed(res.error)
  }

  async function sendPace({ name, run }: Placement, percent: number): Promise<void> {
    if (!authority.mayOrder()) return
    const lifeStartMs = opts.lifeStartMs()
    const order = { lifeStartMs, task: name, run, percent, token: token() }
    const res = await callAsOwner((timeoutMs) => link.pace(order, timeoutMs))
    if (res.isErr()) opts.failed(res.error)
  }

  return {
    start(task, placement, ticket) {
      const orderedAt = monotonicMs()
      startWindow.noteOrdered()
      enqueue('start', task.name, async () => {
        await sendStart(task, placement, ticket)
        const now = monotonicMs()
        const wasSent = Number.isFinite(placement.sentAt)
        startWindow.noteEnded(wasSent ? now - orderedAt : undefined)
        noteDelay(task.step.job.delays, 'startMs', now - orderedAt)
      })
    },
    stop(name, run) {
      if (!cancelQueuedStart(name, run)) enqueue('stop', name, () => sendStop(name, run))
    },
    pace: (placement, percent) =>
      enqueue('pace', placement.name, () => sendPace(placement, percent)),
    startsLeft,
    idle: () => sending ?? Promise.resolve(),
  }
}

function failureFields(error: OrderError): { failure: string; reason: string } {
  return { failure: error.failure, reason: error.reason }
}
