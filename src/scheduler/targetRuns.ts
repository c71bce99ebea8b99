/**
 * Tracks the runs on one target: those that were ordered, corrected by the target's reports.
 * Passes ended runs on to the job book, adopts runs of the previous owner, and gives up runs
 * that a report should list but does not.
 */
import { isCrashSuspect, noteDelay } from '../jobs/index.js'
import type { JobBook, Task } from '../jobs/index.js'
import type { Authority } from '../ownership/index.js'
import type { ReportedRun, Target, TargetReport } from '../ports/index.js'
import { monotonicMs } from '../shared/index.js'
import type { Logger } from '../shared/index.js'
import type { SharedRun } from '../sharing/index.js'
import { firstRunOf } from './constants.js'
import { confirmedUptimeMs, findCrashedRuns, isRecentlyStarted } from './crashSuspects.js'
import type { CrashedRun } from './crashSuspects.js'
import { createReportOrder } from './reportOrder.js'
import type { ReportedCall } from './reportOrder.js'
import { createRoom, needOf } from './room.js'
import type { Room } from './room.js'
import type { QuotaUsage } from './serviceQuotas.js'
import { allowsCopies } from './speculation.js'

/**
 * Time after which the stop of a run that is still listed is sent again, in ms. A stop on a
 * healthy target takes less.
 */
const STOP_RETRY_MS = 1500

/** Reason for giving up a run that a later incarnation of its target does not list. */
const EARLIER_INCARNATION_OVER = 'the target has restarted since the start was sent'

/** State of a run on the target, as far as the owner knows it. */
export interface Placement {
  task: Task | undefined
  name: string
  run: number
  state: 'starting' | 'running' | 'unsure' | 'stopping'
  /** Whether it was ordered as a copy. */
  isCopy: boolean
  /** Whether its start may have reached the target. */
  mayHaveBegun: boolean
  /** Monotonic time at which the start was sent, in ms; -Infinity before. */
  sentAt: number
  /** Fencing token of the start; 0 before it was sent. */
  sentToken: number
  /** Incarnation that was known to answer when the start was sent, in ms since 1970. */
  sentToLifeMs: number | undefined
  /** Nodes through which the start was sent, without direct calls. */
  forwarders: string[]
  /** Monotonic time of the last stop order, in ms; -Infinity before. */
  stopOrderedAt: number
  /** Target's clock when it confirmed the start, or listed an adopted run, in ms; 0 before. */
  confirmedClockMs: number
  /**
   * A report under this token or a higher one lists the run unless it is over or never began;
   * Infinity if there is no such token.
   */
  fencedByToken: number
  /** Whether its start was sent, and may have arrived, before the target restarted. */
  isOfEarlierIncarnation: boolean
  /** Progress in percent, as last reported. */
  percent: number
  /** Monotonic time of the last report that lists the run, in ms; 0 before. */
  reportedAt: number
  load: number
  checkpoint: string
}

/** The runs on one target. */
export interface TargetRuns {
  readonly placements: ReadonlyMap<string, Placement>
  readonly room: Room
  /** Highest sequence number of an ended run that has been passed on. */
  lastEndSeq(): number
  /**
   * Highest sequence number that may be acknowledged once everything passed on is durable. Ended
   * runs of jobs that are still to be read are kept in memory only, so a successor must get
   * them again.
   */
  ackableEndSeq(): number
  /**
   * Number of runs that are present as far as known, and whose jobs are held, as a row of theirs cannot
   * be read. The room that they take is unknown.
   */
  heldCount(): number
  /** Whether the last report has runs whose jobs are still to be read from the store. */
  hasUnread(): boolean
  /** Adopts held runs whose jobs have become known since. */
  adoptKnown(): void
  /** Number of unwanted runs in the last report; they take room until they have stopped. */
  unwantedCount(): number
  add(task: Task, run: number, state: Placement['state']): Placement
  remove(placement: Placement): void
  /**
   * Applies a report of the target. Of an overtaken one only the ends count.
   * @param call call that the report answers
   * @param silentMs time for which the target had not answered before
   * @returns whether the report is the latest one
   */
  apply(report: TargetReport, call: ReportedCall, silentMs: number): boolean
  /** Notes that the target refuses late starts of unsure runs once it has seen the token. */
  fence(token: number): void
  /**
   * Resets the state for another incarnation of the target. Runs ordered before are unsure
   * until it reports under the token; those that it does not list then are given up.
   */
  switchIncarnation(token: number): void
  /** Forgets the unwanted runs, as the target is not called any more. */
  close(): void
  /** Gives up every run except those of the kept tasks. */
  giveUpAll(reason: string, kept?: ReadonlySet<Task>): void
  /** Records the target's clock from an answer. */
  noteClock(clockMs: number): void
  /**
   * Returns the runs to which a crash of the target is attributed.
   * @param disconnectedAt monotonic time of the first failed connection, in ms
   */
  crashedRuns(disconnectedAt: number): CrashedRun[]
  /** Whether a crash suspect is placed on the target. */
  isIsolated(): boolean
  /** Whether a run is starting or not yet known to be stable. */
  hasRecentStart(): boolean
  /** Running tasks that share the target, as input of the pacer. */
  shared(): SharedRun[]
  /** Processor room of the runs in the last report without lasting ones, in thousandths of a core. */
  reportedCpu(): number
}

/** Dependencies and callbacks of the runs of one target. */
export interface TargetRunsOptions {
  target: Target
  book: JobBook
  authority: Authority
  /** Notified of every run that may be on the target. */
  quotaUsage: QuotaUsage
  /** Whether tasks may have copies; those of the previous owner are adopted and not stopped. */
  usesCopies: boolean
  log: Logger
  /** Called for a run on the target that must be stopped. */
  unwanted(name: string, run: number): void
  /** Called when a run has ended. */
  ended(task: Task, kind: string): void
}

/** Creates the runs of a target; there are none at first. */
export function createTargetRuns(opts: TargetRunsOptions): TargetRuns {
  const { book, authority, quotaUsage, log } = opts
  const { id: targetId, capacity } = opts.target
  const placements = new Map<string, Placement>()
  const room = createRoom(capacity)
  const firstRun = firstRunOf(authority.term)
  const reportOrder = createReportOrder()
  let lastEndSeq = 0
  /** Last known time of the target's clock, in ms. */
  let clockMs = 0
  /** Time of the target's clock at its latest report, in ms. */
  let reportClockMs = 0
  /** Runs that are present as far as known, and whose jobs are held, by task name. */
  const heldRuns = new Map<string, ReportedRun>()
  /** Runs in the last report that are unwanted, with their tasks as far as known. */
  const unwantedRuns: { run: number; task: Task | undefined }[] = []
  /** Processor room of the runs in the last report without lasting ones, in thousandths of a core. */
  let reportedCpu = 0
  /** Ended runs that were passed on before their jobs were read. */
  let unreadEnds: { seq: number; task: string }[] = []

  function add(task: Task, run: number, state: Placement['state']): Placement {
    const placement = createPlacement(task, run, state)
    placements.set(task.name, placement)
    room.reserve(task.step)
    quotaUsage.add(task.step, run)
    return placement
  }

  function remove(placement: Placement): void {
    if (placements.get(placement.name) !== placement) return
    placements.delete(placement.name)
    if (!placement.task) return
    room.release(placement.task.step)
    quotaUsage.remove(placement.task.step, placement.run)
  }

  /**
   * Removes a run that is over although the target has not listed its end.
   * @param evidence the report that shows it, for the log
   */
  function giveUp(placement: Placement, reason: string, evidence: object = {}): void {
    remove(placement)
    const { task, name, run } = placement
    log.event('runVanished', {
      task: name,
      run,
      target: targetId,
      reason,
      ...startFields(placement),
      ...evidence,
    })
    if (!task || (task.targetId !== targetId && task.copy?.targetId !== targetId)) return
    if (placement.checkpoint !== '') task.checkpoint = placement.checkpoint
    book.runVanished(task, targetId)
  }

  const noteClock = (next: number): void => void (clockMs = Math.max(clockMs, next))

  function noteUnheardDelay(name: string, silentMs: number): void {
    const task = book.task(name)
    if (task) noteDelay(task.step.job.delays, 'unheardMs', silentMs)
  }

  function applyEnds(report: TargetReport, silentMs: number): void {
    for (const end of [...report.ends].sort((a, b) => a.seq - b.seq)) {
      if (end.seq <= lastEndSeq) continue
      lastEndSeq = end.seq
      if (book.isUnread(end.task)) unreadEnds.push(end)
      const placement = placements.get(end.task)
      if (placement && placement.run <= end.run) remove(placement)
      const held = heldRuns.get(end.task)
      if (held && held.run <= end.run) heldRuns.delete(end.task)
      noteUnheardDelay(end.task, silentMs)
      const task = book.applyEnd(targetId, end)
      const { task: name, run, kind } = end
      log.event('runEnded', { task: name, run, target: targetId, kind })
      if (task) opts.ended(task, kind)
    }
  }

  /** Adopts or stops a run without a placement: of the previous owner, or started late. */
  function adopt(reported: ReportedRun): void {
    const { task: name, run } = reported
    // Whether it is wanted is unknown until its job can be read; it goes on until then.
    if (book.isHeld(name)) {
      book.noteReported(name)
      return void heldRuns.set(name, reported)
    }
    heldRuns.delete(name)
    const task = book.task(name)
    const wanted = task && (task.phase === 'ready' || task.phase === 'blocked')
    const isCopy = task !== undefined && isInheritedCopy(task, run)
    if (task && (wanted || isCopy) && !task.step.job.outcome) {
      const placement = add(task, run, 'running')
      placement.confirmedClockMs = reportClockMs
      if (isCopy) book.placeCopy(task, targetId, run)
      else book.place(task, targetId, run)
      book.noteBegun(task, run)
      log.event('runAdopted', {
        task: name,
        run,
        target: targetId,
        ...(isCopy && { isCopy }),
      })
      return
    }
    log.event('runUnwanted', { task: name, run, target: targetId })
    unwantedRuns.push({ run, task })
    if (task) quotaUsage.add(task.step, run)
    opts.unwanted(name, run)
  }

  /** Whether a run is the second one that the previous owner has left of the task. */
  const isInheritedCopy = (task: Task, run: number): boolean =>
    opts.usesCopies &&
    allowsCopies(task.step) &&
    task.phase === 'placed' &&
    !task.copy &&
    task.targetId !== targetId &&
    run < firstRun

  function clearUnwanted(): void {
    for (const { run, task } of unwantedRuns.splice(0)) {
      if (task) quotaUsage.remove(task.step, run)
    }
  }

  /**
   * Marks a run to be stopped if its task does not need it any more. Its start was unanswered when
   * the other run of the task ended, and it has begun nevertheless.
   */
  function noteUnneeded(placement: Placement): void {
    const { task, run, state } = placement
    if (!opts.usesCopies || !task?.step.spec.duplicates || state === 'stopping') return
    const isOpen = task.phase === 'placed' && !task.step.job.outcome
    if (isOpen && (run === task.presentRun || run === task.copy?.run)) return
    placement.state = 'stopping'
    placement.stopOrderedAt = -Infinity
  }

  /** Sends a stop again that may have been lost; otherwise its run keeps its room forever. */
  function retryStop(placement: Placement): void {
    if (placement.state !== 'stopping') return
    if (monotonicMs() - placement.stopOrderedAt < STOP_RETRY_MS) return
    const { name, run } = placement
    placement.stopOrderedAt = monotonicMs()
    log.event('runUnwanted', { task: name, run, target: targetId })
    opts.unwanted(name, run)
  }

  /**
   * Gives up a run for which the target lists another run of the task under a token that its start
   * would be refused by. Returns whether it did.
   */
  function giveUpReplaced(
    placement: Placement,
    reported: ReportedRun,
    reportToken: number,
  ): boolean {
    if (placement.run === reported.run || reportToken < placement.fencedByToken)
      return false
    giveUp(placement, 'the target has another run of the task', {
      otherRun: reported.run,
      reportToken,
    })
    return true
  }

  function applyPresent(report: TargetReport, reportToken: number): void {
    // The ends of missing runs may not have fitted into the report.
    if (report.listsAllEnds) heldRuns.clear()
    clearUnwanted()
    for (const run of report.runs) {
      const placement = placements.get(run.task)
      if (!placement || giveUpReplaced(placement, run, reportToken)) adopt(run)
      else if (placement.run === run.run) {
        updatePlacement(placement, run)
        noteUnneeded(placement)
        retryStop(placement)
      }
      if (placement?.task) book.noteBegun(placement.task, run.run)
    }
  }

  function noteUse(report: TargetReport): void {
    reportedCpu = 0
    for (const { task: name } of report.runs) {
      const step = book.task(name)?.step
      if (step && !step.spec.lasting) reportedCpu += needOf(step).cpu
    }
  }

  /** Records the uptimes of listed runs, so that stable ones are no longer suspects. */
  function noteUptimes(report: TargetReport): void {
    for (const { task: name } of report.runs) {
      const placement = placements.get(name)
      if (placement?.task)
        book.noteUptime(placement.task, confirmedUptimeMs(placement, clockMs))
    }
  }

  /** Gives up runs that the report would list if they were not over. */
  function applyAbsent(report: TargetReport, reportToken: number): void {
    // The ends of missing runs may not have fitted into the report.
    if (!report.listsAllEnds) return
    const evidence = {
      reportToken,
      reportLife: report.lifeStartMs,
      reportClockMs: report.clockMs,
      reportRuns: report.runs.length,
    }
    const reported = new Set(report.runs.map(({ task }) => task))
    for (const placement of [...placements.values()]) {
      if (reported.has(placement.name)) continue
      const fenced = reportToken >= placement.fencedByToken
      const confirmed = placement.confirmedClockMs > 0
      if (fenced)
        giveUp(
          placement,
          placement.isOfEarlierIncarnation ? EARLIER_INCARNATION_OVER : 'never started',
          evidence,
        )
      else if (confirmed && report.clockMs > placement.confirmedClockMs) {
        if (authority.isConfirmed()) giveUp(placement, 'no longer listed', evidence)
      }
    }
  }

  return {
    placements,
    room,
    lastEndSeq: () => lastEndSeq,
    ackableEndSeq() {
      unreadEnds = unreadEnds.filter(({ task }) => book.isUnread(task))
      const [first] = unreadEnds
      return first ? first.seq - 1 : lastEndSeq
    },
    heldCount: () => heldRuns.size,
    hasUnread() {
      for (const name of heldRuns.keys()) if (book.isUnread(name)) return true
      return false
    },
    adoptKnown() {
      for (const reported of [...heldRuns.values()]) {
        if (!book.isHeld(reported.task)) adopt(reported)
      }
    },
    unwantedCount: () => unwantedRuns.length,
    add,
    remove,
    apply(report, call, silentMs) {
      applyEnds(report, silentMs)
      noteClock(report.clockMs)
      if (!reportOrder.isLatest(report, call)) {
        const behindMs = Math.round(reportClockMs - report.clockMs)
        log.event('reportOvertaken', { target: targetId, behindMs, token: call.token })
        return false
      }
      reportClockMs = report.clockMs
      applyPresent(report, call.token)
      noteUptimes(report)
      noteUse(report)
      applyAbsent(report, call.token)
      return true
    },
    fence(token) {
      for (const placement of placements.values()) {
        if (placement.state === 'unsure')
          placement.fencedByToken = Math.min(placement.fencedByToken, token)
      }
    },
    switchIncarnation(token) {
      lastEndSeq = 0
      unreadEnds = []
      heldRuns.clear()
      clockMs = 0
      reportClockMs = 0
      reportOrder.reset()
      for (const placement of placements.values()) {
        // Its start has not been sent yet and will go to the new incarnation.
        if (!placement.mayHaveBegun) continue
        if (placement.state !== 'stopping') placement.state = 'unsure'
        placement.isOfEarlierIncarnation = true
        placement.confirmedClockMs = 0
        placement.fencedByToken = token
      }
    },
    giveUpAll(reason, kept) {
      clearUnwanted()
      for (const placement of [...placements.values()]) {
        const { task } = placement
        if (!task || !kept?.has(task)) giveUp(placement, reason)
      }
    },
    close: clearUnwanted,
    noteClock,
    crashedRuns: (disconnectedAt) =>
      findCrashedRuns(placements.values(), clockMs, disconnectedAt),
    isIsolated: () =>
      [...placements.values()].some(({ task }) => task && isCrashSuspect(task)),
    hasRecentStart: () =>
      [...placements.values()].some(
        (each) => each.state === 'starting' || isRecentlyStarted(each, clockMs),
      ),
    shared: () => [...placements.values()].flatMap(sharedRun),
    reportedCpu: () => reportedCpu,
  }
}

/** How the start of a run was sent, for the log; empty for a run of a previous owner. */
export function startFields(placement: Placement): object {
  const { sentAt, sentToken, sentToLifeMs, forwarders } = placement
  if (!Number.isFinite(sentAt)) return {}
  const sentMsAgo = Math.round(monotonicMs() - sentAt)
  return { token: sentToken, life: sentToLifeMs, forwarders, sentMsAgo }
}

function createPlacement(task: Task, run: number, state: Placement['state']): Placement {
  return {
    task,
    name: task.name,
    run,
    state,
    isCopy: false,
    mayHaveBegun: state !== 'starting',
    sentAt: -Infinity,
    sentToken: 0,
    sentToLifeMs: undefined,
    forwarders: [],
    stopOrderedAt: -Infinity,
    confirmedClockMs: 0,
    fencedByToken: Infinity,
    isOfEarlierIncarnation: false,
    percent: 0,
    reportedAt: 0,
    load: 0,
    checkpoint: '',
  }
}

function updatePlacement(placement: Placement, run: ReportedRun): void {
  placement.percent = run.percent
  placement.reportedAt = monotonicMs()
  placement.load = run.load
  placement.checkpoint = run.checkpoint
  if (placement.state === 'unsure') placement.state = 'running'
}

function sharedRun({ name, task, state, load }: Placement): SharedRun[] {
  if (!task || state !== 'running') return []
  const { tailMs, fills } = task.step.spec
  return [{ name, tailMs, fills, load }]
}
