/**
 * One task per target: long polls for ends, renews leases, gives orders one after
 * another, and keeps the view of what runs there. An order without an answer may still
 * be carried out; its run stays `unsure` until the target says otherwise under a newer
 * token, which makes it refuse the old order, or until its lease is over.
 */
import type {
  OrderError,
  ReportedRun,
  StartAnswer,
  Target,
  TargetLink,
  TargetReport,
} from '../ports/index.js'
import type { JobBook, Step, Task } from '../jobs/index.js'
import type { Authority } from '../ownership/index.js'
import { createStopController, jittered, monotonicMs, sleep } from '../shared/index.js'
import type { Logger } from '../shared/index.js'
import {
  ACK_WAIT_MS,
  CLOCK_SKEW,
  FULL_PAUSE_MS,
  LEASE_MARGIN_MS,
  MAX_LISTED_ENDS,
  PACED_WAIT_MS,
  REFUSED_PAUSE_MS,
  SYNC_RETRY_MS,
  SYNC_WAIT_MS,
  TASK_LEASE_MS,
  TOKENS_PER_TERM,
} from './constants.js'
import { createPacer } from '../sharing/index.js'
import type { SharedRun } from '../sharing/index.js'
import type { ProgressWriter } from './progressWriter.js'
import { createRoom } from './room.js'
import type { Room } from './room.js'

/** What is known of a run on the target. */
export interface Placement {
  task: Task | undefined
  name: string
  run: number
  state: 'starting' | 'running' | 'unsure' | 'stopping'
  /** Target's clock when it confirmed the start, in ms. */
  confirmedClock: number
  /** Under this token or a newer one, an absent run was never started. */
  fencedBy: number
  percent: number
  /** Steady time of the report that said so, in ms; 0 before the first. */
  reportedAt: number
  load: number
  checkpoint: string
}

export interface TargetAgent {
  readonly target: Target
  readonly placements: ReadonlyMap<string, Placement>
  readonly room: Room
  /** Whether its state is known and it takes orders now. */
  isUsable(): boolean
  /** Whether it has been heard by this owner, or everything on it is surely dead. */
  isSettled(): boolean
  /** Whether it last answered. */
  isAnswering(): boolean
  /** No new starts while true: it is being emptied on purpose. */
  evacuating: boolean
  /** Whether the list of targets shows it; no new starts while it does not. */
  listed: boolean
  update(target: Target): void
  start(task: Task, run: number, ticket: string): void
  stop(name: string): void
  pace(name: string, percent: number): void
  /** Every run on it is known to be dead. */
  markGone(reason: string): void
  close(): Promise<void>
}

export interface TargetAgentOptions {
  target: Target
  link: TargetLink
  book: JobBook
  authority: Authority
  progress: ProgressWriter
  /** Time that unknown runs of the predecessor may last, in ms. */
  inheritedLeaseMs: number
  log: Logger
  /** It did not accept the ticket of a step. */
  ticketRefused(step: Step, targetId: string): void
  /** Room, state or reports have changed. */
  changed(): void
  /** A run has ended; for evidence about the target. */
  ended(agent: TargetAgent, task: Task, kind: string): void
  /** It failed an order or a sync. */
  failed(agent: TargetAgent, error: OrderError): void
  /** All on it is dead and it will not come back under this id. */
  gone(agent: TargetAgent): void
}

export function createTargetAgent(opts: TargetAgentOptions): TargetAgent {
  const { link, book, authority, progress, log } = opts
  const stopping = createStopController()
  const placements = new Map<string, Placement>()
  const bornAt = monotonicMs()
  let target = opts.target
  const room = createRoom(target.capacity)
  const pacer = createPacer()
  let bump = 0
  let clock: { clockMs: number; at: number } | undefined
  let processedSeq = 0
  let ackedSeq = 0
  let leaseOverAt = bornAt + opts.inheritedLeaseMs
  let heard = false
  let answering = true
  let gone = false
  let pausedUntil = 0
  let orders: Promise<void> = Promise.resolve()

  const token = (): number => authority.term * TOKENS_PER_TERM + bump

  /** End of a lease that begins now, on the target's clock; notes when it is over. */
  const extendLease = (): number | undefined => {
    if (!clock) return undefined
    const now = monotonicMs()
    const lasts = TASK_LEASE_MS * (1 + CLOCK_SKEW) + LEASE_MARGIN_MS
    leaseOverAt = Math.max(leaseOverAt, now + lasts)
    return Math.floor(clock.clockMs + (now - clock.at) + TASK_LEASE_MS)
  }

  const noteClock = (clockMs: number): void => {
    const now = monotonicMs()
    const expected = clock ? clock.clockMs + (now - clock.at) : -Infinity
    if (clockMs >= expected || now - (clock?.at ?? 0) > SYNC_WAIT_MS) {
      clock = { clockMs, at: now }
    }
  }

  const remove = (placement: Placement): void => {
    if (placements.get(placement.name) !== placement) return
    placements.delete(placement.name)
    if (placement.task) room.give(placement.task.step)
  }

  const add = (task: Task, run: number, state: Placement['state']): Placement => {
    const placement: Placement = {
      task,
      name: task.name,
      run,
      state,
      confirmedClock: 0,
      fencedBy: Infinity,
      percent: 0,
      reportedAt: 0,
      load: 0,
      checkpoint: '',
    }
    placements.set(task.name, placement)
    room.take(task.step)
    return placement
  }

  /** A run is over without an end being listed. */
  const vanish = (placement: Placement, reason: string): void => {
    remove(placement)
    const { task } = placement
    log.event('runVanished', {
      task: placement.name,
      run: placement.run,
      target: target.id,
      reason,
    })
    if (task?.targetId !== target.id) return
    if (placement.checkpoint !== '') task.checkpoint = placement.checkpoint
    book.runVanished(task)
  }

  function applyEnds(report: TargetReport): void {
    for (const end of [...report.ends].sort((a, b) => a.seq - b.seq)) {
      if (end.seq <= processedSeq) continue
      processedSeq = end.seq
      const placement = placements.get(end.task)
      if (placement && placement.run <= end.run) remove(placement)
      const task = book.applyEnd(target.id, end)
      log.event('runEnded', {
        task: end.task,
        run: end.run,
        target: target.id,
        kind: end.kind,
      })
      if (task) opts.ended(agent, task, end.kind)
    }
  }

  /** A run that we did not order: of our predecessor, or an order done late. */
  function adopt(run: ReportedRun): void {
    const task = book.task(run.task)
    const wanted = task && (task.phase === 'ready' || task.phase === 'blocked')
    if (task && wanted && !task.step.job.outcome) {
      const placement = add(task, run.run, 'running')
      placement.confirmedClock = Infinity
      book.place(task, target.id, Math.max(task.run, run.run))
      log.event('runAdopted', { task: run.task, run: run.run, target: target.id })
      return
    }
    log.event('runUnwanted', { task: run.task, run: run.run, target: target.id })
    enqueueStop(run.task, run.run)
  }

  function applyRuns(report: TargetReport, reportToken: number): void {
    const reported = new Map(report.runs.map((run) => [run.task, run]))
    for (const run of report.runs) {
      const placement = placements.get(run.task)
      if (!placement) adopt(run)
      else if (placement.run === run.run) {
        placement.percent = run.percent
        placement.reportedAt = monotonicMs()
        placement.load = run.load
        placement.checkpoint = run.checkpoint
        if (placement.state === 'unsure') placement.state = 'running'
      }
    }
    const complete = report.ends.length < MAX_LISTED_ENDS
    for (const placement of [...placements.values()]) {
      if (reported.has(placement.name) || !complete) continue
      const fenced = placement.state === 'unsure' && reportToken >= placement.fencedBy
      const confirmed = placement.confirmedClock > 0
      if (fenced) vanish(placement, 'never started')
      else if (confirmed && report.clockMs > placement.confirmedClock) {
        if (authority.isConfirmed()) vanish(placement, 'not listed any more')
      }
    }
  }

  /** Runs that share the target, for the pacer. */
  const sharedRuns = (): SharedRun[] =>
    [...placements.values()].flatMap(({ name, task, state, load }) => {
      if (!task || state !== 'running') return []
      const { tailMs, fills } = task.step.spec
      return [{ name, tailMs, fills, load }]
    })

  function pacePlacements(): void {
    for (const { name, percent } of pacer.step(sharedRuns(), monotonicMs())) {
      log.event('taskPaced', { task: name, target: target.id, percent })
      agent.pace(name, percent)
    }
  }

  function applyReport(report: TargetReport, reportToken: number): void {
    noteClock(report.clockMs)
    for (const run of report.runs) {
      const placement = placements.get(run.task)
      if (placement?.confirmedClock === Infinity)
        placement.confirmedClock = report.clockMs
    }
    applyEnds(report)
    applyRuns(report, reportToken)
    if (!heard) log.event('targetHeard', { target: target.id, runs: report.runs.length })
    heard = true
    answering = true
    pacePlacements()
    opts.changed()
  }

  function markGone(reason: string): void {
    if (gone) return
    gone = true
    log.event('targetGone', { target: target.id, reason })
    void forgetRuns(reason)
  }

  /**
   * Gives up everything on a target that is gone. Out of touch with the store this waits:
   * a successor may have heard from the target and taken note that its tasks were done.
   */
  async function forgetRuns(reason: string): Promise<void> {
    while (!authority.isConfirmed() && !stopping.signal.aborted) {
      await sleep(SYNC_RETRY_MS, stopping.signal)
    }
    if (stopping.signal.aborted) return
    for (const placement of [...placements.values()]) vanish(placement, reason)
    stopping.abort()
    opts.gone(agent)
    opts.changed()
  }

  function noteFailure(error: OrderError): void {
    if (error.failure === 'gone') return markGone(error.reason)
    if (answering) {
      log.event('targetSilent', { target: target.id, reason: error.reason })
    }
    answering = false
    opts.failed(agent, error)
  }

  /** Once the lease of everything on a silent target is over, nothing runs there. */
  function expireLease(): void {
    if (monotonicMs() < leaseOverAt || placements.size === 0) return
    // A successor may have renewed the leases: only an owner for certain can tell.
    if (!authority.isConfirmed()) return
    for (const placement of [...placements.values()]) vanish(placement, 'lease is over')
  }

  /** A newer owner has been here, unless it was only our own newer token. */
  function noteFenced(sentToken: number): void {
    if (sentToken === token()) authority.lost('a target has seen a newer owner')
  }

  async function syncOnce(waitMs: number): Promise<boolean> {
    const sentToken = token()
    // A silent target may get a lease that we never hear of: it is not extended, so that
    // it is over at a time that we know.
    const leaseUntilMs = answering ? extendLease() : undefined
    const order = { token: sentToken, ackedSeq, leaseUntilMs, waitMs }
    const res = await link.sync(order)
    if (gone || stopping.signal.aborted) return false
    if (res.isOk()) applyReport(res.value, sentToken)
    else if (res.error.failure === 'fenced') noteFenced(sentToken)
    else noteFailure(res.error)
    return res.isOk()
  }

  async function run(): Promise<void> {
    while (!stopping.signal.aborted) {
      expireLease()
      if (gone || !authority.mayOrder()) {
        await sleep(SYNC_RETRY_MS, stopping.signal)
        continue
      }
      if (processedSeq > ackedSeq) await progress.flushed(ACK_WAIT_MS)
      const waits = heard && processedSeq === ackedSeq
      const paced = sharedRuns().some(({ fills }) => fills)
      const waitMs = paced ? PACED_WAIT_MS : SYNC_WAIT_MS
      const done = await syncOnce(waits ? waitMs : 0)
      if (!done) await sleep(jittered(SYNC_RETRY_MS), stopping.signal)
    }
  }

  /** Orders go out one after another, so that a stop never overtakes its start. */
  const enqueue = (order: () => Promise<void>): void => {
    orders = orders.then(async () => {
      if (!stopping.signal.aborted) await order()
    })
  }

  /** Makes the target refuse all orders sent so far, then reads what became of them. */
  async function fenceUnanswered(): Promise<void> {
    bump++
    for (const placement of placements.values()) {
      if (placement.state === 'unsure')
        placement.fencedBy = Math.min(placement.fencedBy, token())
    }
    await syncOnce(0)
  }

  const START_REFUSED: Record<
    (StartAnswer & { accepted: false })['reason'],
    (placement: Placement) => void
  > = {
    fenced: () => authority.lost('a target has seen a newer owner'),
    superseded: () => undefined,
    expired: () => undefined,
    full: () => (pausedUntil = monotonicMs() + FULL_PAUSE_MS),
    ticket: ({ task }) => task && opts.ticketRefused(task.step, target.id),
  }

  async function sendStart(
    task: Task,
    placement: Placement,
    ticket: string,
  ): Promise<void> {
    const wanted = placements.get(task.name) === placement && !task.step.job.outcome
    const leaseUntilMs = wanted && authority.mayOrder() ? extendLease() : undefined
    if (leaseUntilMs === undefined || !wanted) {
      remove(placement)
      if (task.run === placement.run) book.unplace(task)
      return
    }
    const { name, run } = placement
    const { spec } = task.step.job.spec
    const sentToken = token()
    const order = { task: name, run, spec, leaseUntilMs, token: sentToken, ticket }
    const res = await link.start({ ...order, checkpoint: task.checkpoint })
    if (placements.get(name) !== placement) return
    if (res.isErr()) return startFailed(task, placement, res.error)
    noteClock(res.value.clockMs)
    if (res.value.accepted) {
      if (placement.state === 'starting') placement.state = 'running'
      placement.confirmedClock = res.value.clockMs
      return
    }
    const { reason } = res.value
    log.event('startRefused', { task: name, run, target: target.id, reason })
    remove(placement)
    book.unplace(task)
    // A refusal for a lower token than ours is only the answer to our own newer one.
    if (reason !== 'fenced' || sentToken === token()) START_REFUSED[reason](placement)
    opts.changed()
  }

  async function startFailed(
    task: Task,
    placement: Placement,
    error: OrderError,
  ): Promise<void> {
    const { name, run } = placement
    log.event('startFailed', { task: name, run, target: target.id, ...failureOf(error) })
    pausedUntil = monotonicMs() + REFUSED_PAUSE_MS
    if (error.failure === 'unanswered') {
      placement.state = 'unsure'
      opts.failed(agent, error)
      return fenceUnanswered()
    }
    if (error.failure === 'notDone') {
      remove(placement)
      book.unplace(task)
    }
    noteFailure(error)
    opts.changed()
  }

  function enqueueStop(name: string, runNumber: number): void {
    enqueue(async () => {
      if (!authority.mayOrder()) return
      const res = await link.stop(name, runNumber, token())
      if (res.isErr()) {
        log.event('stopFailed', {
          task: name,
          target: target.id,
          ...failureOf(res.error),
        })
        noteFailure(res.error)
      }
    })
  }

  const agent: TargetAgent = {
    get target() {
      return target
    },
    placements,
    room,
    evacuating: false,
    listed: true,
    isUsable: () =>
      heard &&
      agent.listed &&
      answering &&
      !gone &&
      !target.draining &&
      !agent.evacuating &&
      monotonicMs() >= pausedUntil &&
      authority.mayOrder(),
    isSettled: () => heard || gone || monotonicMs() >= leaseOverAt,
    isAnswering: () => answering && heard && !gone,
    update(next) {
      if (next.draining && !target.draining) {
        log.event('targetDraining', { target: target.id })
      }
      target = next
      room.resize(next.capacity)
    },
    start(task, runNumber, ticket) {
      const placement = add(task, runNumber, 'starting')
      book.place(task, target.id, runNumber)
      enqueue(() => sendStart(task, placement, ticket))
    },
    stop(name) {
      const placement = placements.get(name)
      if (!placement || placement.state === 'stopping') return
      placement.state = 'stopping'
      enqueueStop(name, placement.run)
    },
    pace(name, percent) {
      const placement = placements.get(name)
      if (!placement) return
      enqueue(async () => {
        if (!authority.mayOrder()) return
        const res = await link.pace(name, placement.run, percent, token())
        if (res.isErr()) noteFailure(res.error)
      })
    },
    markGone,
    async close() {
      stopping.abort()
      progress.removeSource(acks)
      link.close()
      await loop
      await orders
    },
  }

  const acks = {
    capture() {
      const seq = processedSeq
      return () => void (ackedSeq = Math.max(ackedSeq, seq))
    },
  }
  progress.addSource(acks)
  const loop = run()
  return agent
}

function failureOf(error: OrderError): { failure: string; reason: string } {
  return { failure: error.failure, reason: error.reason }
}
