/**
 * The view of what runs on one target: what was ordered there, corrected by what the
 * target reports. Ends go on to the job book, runs of the predecessor are adopted, and
 * runs that a report should list and does not are given up.
 */
import { isCrashSuspect, noteDelay } from '../jobs/index.js'
import type { JobBook, Task } from '../jobs/index.js'
import type { Authority } from '../ownership/index.js'
import type { ReportedRun, Target, TargetReport } from '../ports/index.js'
import { monotonicMs } from '../shared/index.js'
import type { Logger } from '../shared/index.js'
import type { SharedRun } from '../sharing/index.js'
import { MAX_LISTED_ENDS } from './constants.js'
import { confirmedUptimeMs, findCrashedRuns, isRecentlyStarted } from './crashSuspects.js'
import type { CrashedRun } from './crashSuspects.js'
import { createRoom } from './room.js'
import type { Room } from './room.js'

/**
 * Time after which a run that is still listed is ordered to stop again, in ms: longer than a
 * stop takes on a target that is well.
 */
const STOP_RETRY_MS = 1500

/** Reason for giving up a run that a later life of its target does not list. */
const EARLIER_INCARNATION_OVER = 'the life of the target that it was sent to is over'

/** What is known of a run on the target. */
export interface Placement {
  task: Task | undefined
  name: string
  run: number
  state: 'starting' | 'running' | 'unsure' | 'stopping'
  /** Whether its start may have reached the target. */
  mayHaveBegun: boolean
  /** Steady time of the start order, in ms. */
  sentAt: number
  /** Steady time of the last stop order, in ms. */
  stopOrderedAt: number
  /** Target's clock when it confirmed the start, in ms. */
  confirmedClockMs: number
  /** Under this token or a newer one, an absent run is over or was never started. */
  fencedByToken: number
  /** Its start was sent before the target restarted and may have reached the earlier life. */
  isOfEarlierIncarnation: boolean
  percent: number
  /** Steady time of the report that said so, in ms; 0 before the first. */
  reportedAt: number
  load: number
  checkpoint: string
}

/** What runs on one target. */
export interface TargetRuns {
  readonly placements: ReadonlyMap<string, Placement>
  readonly room: Room
  /** Highest number of an end that has been passed on. */
  lastEndSeq(): number
  /**
   * Highest number of an end that a successor need not see again once all that was passed on is
   * durable: those of jobs that are still to be read are in memory only.
   */
  ackableEndSeq(): number
  /** Runs last reported whose jobs are held; how much room they take is not known. */
  heldCount(): number
  /** Adopts those of them whose jobs have become known since. */
  adoptKnown(): void
  /** Unwanted runs last reported; they take room until they have stopped. */
  unwantedCount(): number
  add(task: Task, run: number, state: Placement['state']): Placement
  remove(placement: Placement): void
  /**
   * Takes a report, which answers a call that carried the token.
   * @param silentMs how long the target had not answered before it
   */
  apply(report: TargetReport, reportToken: number, silentMs: number): void
  /** Notes that starts without an answer are refused under the token. */
  fence(token: number): void
  /**
   * Resets what is known for another life of the target. Runs ordered before are unsure until
   * that life reports under the token; those that it does not list then are given up.
   */
  switchIncarnation(token: number): void
  /** Gives up every run that is left, except those of the kept tasks. */
  giveUpAll(reason: string, kept?: ReadonlySet<Task>): void
  /** Records the target's clock as given in an answer. */
  noteClock(clockMs: number): void
  /**
   * Runs to which a crash of the target is attributed.
   * @param disconnectedAt steady time of the first failed connection, in ms
   */
  crashedRuns(disconnectedAt: number): CrashedRun[]
  /** Whether a crash suspect is placed there. */
  isIsolated(): boolean
  /** Whether a run there is starting or not yet known to be stable. */
  hasRecentStart(): boolean
  /** Runs that share the target, for the pacer. */
  shared(): SharedRun[]
}

/** What the view of one target works with. */
export interface TargetRunsOptions {
  target: Target
  book: JobBook
  authority: Authority
  log: Logger
  /** The target has a run that is not wanted. */
  unwanted(name: string, run: number): void
  /** A run has ended. */
  ended(task: Task, kind: string): void
}

/** Creates the view; it is empty until something is added or reported. */
export function createTargetRuns(opts: TargetRunsOptions): TargetRuns {
  const { book, authority, log } = opts
  const { id: targetId, capacity } = opts.target
  const placements = new Map<string, Placement>()
  const room = createRoom(capacity)
  let lastEndSeq = 0
  /** Last known value of the target's clock, in ms. */
  let clockMs = 0
  /** Runs of the last report whose jobs are held, by name of the task. */
  const heldRuns = new Map<string, ReportedRun>()
  /** Names of the tasks whose runs in the last report are unwanted. */
  const unwantedRuns = new Set<string>()
  /** Ends that were passed on before their jobs were read. */
  let unreadEnds: { seq: number; task: string }[] = []

  function add(task: Task, run: number, state: Placement['state']): Placement {
    const placement = createPlacement(task, run, state)
    placements.set(task.name, placement)
    room.take(task.step)
    return placement
  }

  function remove(placement: Placement): void {
    if (placements.get(placement.name) !== placement) return
    placements.delete(placement.name)
    if (placement.task) room.give(placement.task.step)
  }

  /** A run is over without an end being listed. */
  function giveUp(placement: Placement, reason: string): void {
    remove(placement)
    const { task, name, run } = placement
    log.event('runVanished', { task: name, run, target: targetId, reason })
    if (task?.targetId !== targetId) return
    if (placement.checkpoint !== '') task.checkpoint = placement.checkpoint
    book.runVanished(task)
  }

  function noteUnheardDelay(name: string, silentMs: number): void {
    const task = book.task(name)
    if (task) noteDelay(task.step.job.delays, 'unheardMs', silentMs)
  }

  function applyEnds(report: TargetReport, silentMs: number): void {
    for (const end of [...report.ends].sort((a, b) => a.seq - b.seq)) {
      if (end.seq <= lastEndSeq) continue
      lastEndSeq = end.seq
      if (book.mayMissJobs && book.isHeld(end.task)) unreadEnds.push(end)
      const placement = placements.get(end.task)
      if (placement && placement.run <= end.run) remove(placement)
      noteUnheardDelay(end.task, silentMs)
      const task = book.applyEnd(targetId, end)
      const { task: name, run, kind } = end
      log.event('runEnded', { task: name, run, target: targetId, kind })
      if (task) opts.ended(task, kind)
    }
  }

  /** A run that we did not order: of our predecessor, or an order done late. */
  function adopt(reported: ReportedRun): void {
    const { task: name, run } = reported
    // Whether it is wanted is known once its job can be read; it goes on till then.
    if (book.isHeld(name)) return void heldRuns.set(name, reported)
    const task = book.task(name)
    const wanted = task && (task.phase === 'ready' || task.phase === 'blocked')
    if (task && wanted && !task.step.job.outcome) {
      const placement = add(task, run, 'running')
      placement.confirmedClockMs = Infinity
      book.place(task, targetId, Math.max(task.run, run))
      book.noteBegun(task)
      log.event('runAdopted', { task: name, run, target: targetId })
      return
    }
    log.event('runUnwanted', { task: name, run, target: targetId })
    unwantedRuns.add(name)
    opts.unwanted(name, run)
  }

  /** An adopted run counts as confirmed at the time of the next report that shows it. */
  function confirmAdopted(report: TargetReport): void {
    for (const run of report.runs) {
      const placement = placements.get(run.task)
      if (placement?.confirmedClockMs === Infinity)
        placement.confirmedClockMs = report.clockMs
    }
  }

  /** A stop that went unanswered is ordered again: else its run holds its room for ever. */
  function retryStop(placement: Placement): void {
    if (placement.state !== 'stopping') return
    if (monotonicMs() - placement.stopOrderedAt < STOP_RETRY_MS) return
    const { name, run } = placement
    placement.stopOrderedAt = monotonicMs()
    log.event('runUnwanted', { task: name, run, target: targetId })
    opts.unwanted(name, run)
  }

  function applyPresent(report: TargetReport): void {
    heldRuns.clear()
    unwantedRuns.clear()
    for (const run of report.runs) {
      const placement = placements.get(run.task)
      if (!placement) adopt(run)
      else if (placement.run === run.run) {
        updatePlacement(placement, run)
        retryStop(placement)
      }
      if (placement?.task) book.noteBegun(placement.task)
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

  /** Gives up runs that are not listed, where that shows that they are over. */
  function applyAbsent(report: TargetReport, reportToken: number): void {
    // Ends that did not fit into the report may be those of the runs that are missing.
    if (report.ends.length >= MAX_LISTED_ENDS) return
    const reported = new Set(report.runs.map(({ task }) => task))
    for (const placement of [...placements.values()]) {
      if (reported.has(placement.name)) continue
      const fenced = reportToken >= placement.fencedByToken
      const confirmed = placement.confirmedClockMs > 0
      if (fenced)
        giveUp(
          placement,
          placement.isOfEarlierIncarnation ? EARLIER_INCARNATION_OVER : 'never started',
        )
      else if (confirmed && report.clockMs > placement.confirmedClockMs) {
        if (authority.isConfirmed()) giveUp(placement, 'not listed any more')
      }
    }
  }

  return {
    placements,
    room,
    lastEndSeq: () => lastEndSeq,
    ackableEndSeq() {
      unreadEnds = unreadEnds.filter(({ task }) => book.mayMissJobs && book.isHeld(task))
      const [first] = unreadEnds
      return first ? first.seq - 1 : lastEndSeq
    },
    heldCount: () => heldRuns.size,
    adoptKnown() {
      for (const reported of [...heldRuns.values()]) {
        if (book.isHeld(reported.task)) continue
        heldRuns.delete(reported.task)
        adopt(reported)
      }
    },
    unwantedCount: () => unwantedRuns.size,
    add,
    remove,
    apply(report, reportToken, silentMs) {
      clockMs = report.clockMs
      confirmAdopted(report)
      applyEnds(report, silentMs)
      applyPresent(report)
      noteUptimes(report)
      applyAbsent(report, reportToken)
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
      for (const placement of placements.values()) {
        // Its start has not been sent yet and will go to the new life.
        if (!placement.mayHaveBegun) continue
        if (placement.state !== 'stopping') placement.state = 'unsure'
        placement.isOfEarlierIncarnation = true
        placement.confirmedClockMs = 0
        placement.fencedByToken = token
      }
    },
    giveUpAll(reason, kept) {
      for (const placement of [...placements.values()]) {
        const { task } = placement
        if (!task || !kept?.has(task)) giveUp(placement, reason)
      }
    },
    noteClock: (next) => void (clockMs = next),
    crashedRuns: (disconnectedAt) =>
      findCrashedRuns(placements.values(), clockMs, disconnectedAt),
    isIsolated: () =>
      [...placements.values()].some(({ task }) => task && isCrashSuspect(task)),
    hasRecentStart: () =>
      [...placements.values()].some(
        (each) => each.state === 'starting' || isRecentlyStarted(each, clockMs),
      ),
    shared: () => [...placements.values()].flatMap(sharedRun),
  }
}

function createPlacement(task: Task, run: number, state: Placement['state']): Placement {
  return {
    task,
    name: task.name,
    run,
    state,
    mayHaveBegun: state !== 'starting',
    sentAt: -Infinity,
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
