/**
 * Simulated target: runs tasks under leases, refuses orders that are fenced, superseded, expired
 * or exceed its capacity, and reports ends of runs until they are acknowledged. The spec of a
 * task is JSON that defines its behaviour: `{"ms": 50, "cpu": 1000, "fail": false}`.
 */
import type {
  ReportedEnd,
  Resources,
  RunEndKind,
  TargetReport,
} from '../../src/ports/index.js'
import { monotonicMs } from '../../src/shared/index.js'

/** Behaviour of a task, as given in its spec. */
export interface SimTaskSpec {
  /** Run time in ms; 0 for a task that runs until it is stopped. */
  ms?: number
  /** CPU use in thousandths of a core. */
  cpu?: number
  fail?: boolean
  /** Time after which the task crashes its target, in ms. */
  crashMs?: number
}

/** Start or end of a run; `killed`: the target crashed during the run. */
export type LedgerEvent = 'start' | 'killed' | RunEndKind

/** An event of a run on a target. */
export interface LedgerEntry<What = LedgerEvent> {
  /** Monotonic time, in ms. */
  at: number
  what: What
  task: string
  run: number
  target: string
  /** Start of the target's incarnation, in ms since 1970. */
  lifeStartMs: number
}

/** Event passed to a watcher; `listed`: an end was reported to the owner; `noted`: acknowledged. */
export type WatchedEntry = LedgerEntry<LedgerEvent | 'listed' | 'noted'>

/** The events of all targets of a test, for its checks. */
export interface RunLedger {
  /** Starts and ends in the order in which they happened. */
  entries: LedgerEntry[]
  /** Called synchronously for each entry, and for each report and acknowledgement of an end. */
  watch?(entry: WatchedEntry): void
}

/** Injected faults. Each field can be changed at any time. */
export interface TargetFaults {
  /** Orders are neither carried out nor answered. */
  silent: boolean
  /** Orders are carried out but not answered. */
  mute: boolean
  /** Delay of the answer to each order, in ms. */
  delayMs: number
  /** Whether `delayMs` applies to the next answer; by default it applies to each. */
  isDelayed(): boolean
  /** Delay after which orders are carried out without an answer, in ms; 0 switches this off. */
  lateMs: number
  /** Whether `lateMs` applies to the next order; by default it applies to each. */
  isLate(): boolean
  /** Tasks that are started end as failed after their run time. */
  failsAll: boolean
  /** Tasks that are started never end by themselves. */
  hangs: boolean
  /** Progress reported for all tasks, in percent; undefined reports the actual progress. */
  percent: number | undefined
  /** Factor by which the run time of tasks that are started is multiplied. */
  slowness: number
}

/** Answer of a target to a start order. */
export type StartVerdict = 'accepted' | 'fence' | 'old' | 'late' | 'room'

/** A run that has not ended. */
interface ActiveRun {
  task: string
  run: number
  spec: SimTaskSpec
  timer: NodeJS.Timeout | undefined
  /** Checkpoint given with the start order. */
  checkpoint: string
  /** Ordered pace, in percent of full speed. */
  pace: number
  startedAt: number
  /** Run time in ms; Infinity for a run that hangs. */
  takesMs: number
}

/** Progress of a run in percent. For tasks that run until stopped it is always 100. */
function progressPercent({ spec, startedAt, takesMs }: ActiveRun): number {
  if (spec.ms === 0) return 100
  return Math.min(100, Math.floor((100 * (monotonicMs() - startedAt)) / takesMs))
}

/** State of a target, as far as one answer lists it. */
type SimReport = Pick<TargetReport, 'runs' | 'ends' | 'listsAllEnds'>

/** Largest number of ends in one report. */
const MAX_LISTED_ENDS = 500

/** One incarnation of a target. */
export interface SimTarget {
  readonly id: string
  /** Start of this incarnation, in ms since 1970. */
  readonly lifeStartMs: number
  /** Start of this incarnation in monotonic time, in ms. */
  readonly startedAt: number
  faults: TargetFaults
  /** Clock of the target, against which leases are checked, in ms. */
  clockMs(): number
  start(order: {
    task: string
    run: number
    spec: string
    untilMs: number
    token: number
    checkpoint: string
  }): StartVerdict
  /** Stops a run after `stopMs`. False if the token is fenced. */
  stop(task: string, run: number, token: number): boolean
  /** Sets the pace of a run. False if the token is fenced. */
  pace(task: string, run: number, percent: number, token: number): boolean
  /**
   * Extends the lease to `untilMs` if given, acknowledges ends up to `lastSeen` and reports the
   * active runs and the ends left. Undefined if the token is fenced.
   */
  sync(order: {
    token: number
    lastSeen: number
    untilMs: number | undefined
  }): SimReport | undefined
  /** Resolves once an unacknowledged end exists, after a crash, or after `ms`. */
  waitForEnd(ms: number): Promise<void>
  /** Ends this incarnation and kills its runs without reporting their ends. */
  crash(): void
}

/** Starts an incarnation without runs. */
export function createSimTarget(opts: {
  id: string
  capacity: Resources
  ledger: RunLedger
  /** Start of this incarnation, in ms since 1970; the current time by default. */
  lifeStartMs?: number
  /** Clock of the target at the start of this incarnation, in ms; 1000 by default. */
  initialClockMs?: number
  /** Whether starts that exceed the capacity are refused; true by default. */
  enforcesCapacity?: boolean
  /** Time from a stop order to the end of the run, in ms; 5 by default. */
  stopMs?: number
  /** Largest number of ends in one report. */
  maxListedEnds?: number
  /** Called when the target crashes. */
  onCrash?: () => void
}): SimTarget {
  const { id, ledger } = opts
  const startedAt = monotonicMs()
  const lifeStartMs = opts.lifeStartMs ?? Date.now()
  const runs = new Map<string, ActiveRun>()
  const lastRun = new Map<string, number>()
  const { stopMs = 5, enforcesCapacity = true, initialClockMs = 1000 } = opts
  const { maxListedEnds = MAX_LISTED_ENDS } = opts
  let ends: ReportedEnd[] = []
  let seq = 0
  let highestToken = 0
  let leaseUntilMs = 0
  let leaseTimer: NodeJS.Timeout | undefined
  let usedCpu = 0
  let hasCrashed = false
  const waiters: (() => void)[] = []
  const faults: TargetFaults = {
    silent: false,
    mute: false,
    delayMs: 0,
    isDelayed: () => true,
    lateMs: 0,
    isLate: () => true,
    failsAll: false,
    hangs: false,
    percent: undefined,
    slowness: 1,
  }

  const clockMs = (): number => Math.floor(monotonicMs() - startedAt) + initialClockMs

  const record = (what: LedgerEvent, task: string, run: number): void => {
    const entry = { at: monotonicMs(), what, task, run, target: id, lifeStartMs }
    ledger.entries.push(entry)
    ledger.watch?.(entry)
  }

  const notifyWatcher = (what: 'listed' | 'noted', reported: ReportedEnd[]): void => {
    for (const { task, run } of reported) {
      ledger.watch?.({ at: monotonicMs(), what, task, run, target: id, lifeStartMs })
    }
  }

  const acknowledgeEnds = (lastSeen: number): void => {
    notifyWatcher(
      'noted',
      ends.filter(({ seq }) => seq <= lastSeen),
    )
    ends = ends.filter(({ seq }) => seq > lastSeen)
    notifyWatcher('listed', ends.slice(0, maxListedEnds))
  }

  function end(active: ActiveRun, kind: RunEndKind): void {
    if (hasCrashed || runs.get(active.task) !== active) return
    clearTimeout(active.timer)
    runs.delete(active.task)
    usedCpu -= active.spec.cpu ?? 0
    lastRun.set(active.task, active.run)
    seq++
    ends.push({
      seq,
      task: active.task,
      run: active.run,
      kind,
      checkpoint: active.checkpoint,
    })
    record(kind, active.task, active.run)
    for (const wake of waiters.splice(0)) wake()
  }

  const extendLease = (untilMs: number): void => {
    leaseUntilMs = Math.max(leaseUntilMs, untilMs)
    clearTimeout(leaseTimer)
    const left = leaseUntilMs - clockMs()
    leaseTimer = setTimeout(() => {
      for (const active of [...runs.values()]) end(active, 'lapsed')
    }, left)
    leaseTimer.unref()
  }

  const isFenced = (token: number): boolean => {
    if (token < highestToken) return true
    highestToken = token
    return false
  }

  function crash(): void {
    if (hasCrashed) return
    hasCrashed = true
    clearTimeout(leaseTimer)
    for (const active of runs.values()) {
      clearTimeout(active.timer)
      record('killed', active.task, active.run)
    }
    runs.clear()
    faults.silent = true
    opts.onCrash?.()
    // Ends pending long polls, like a connection reset.
    for (const wake of waiters.splice(0)) wake()
  }

  return {
    id,
    lifeStartMs,
    startedAt,
    faults,
    clockMs,
    start({ task, run, spec, untilMs, token, checkpoint }) {
      if (isFenced(token)) return 'fence'
      const parsed = JSON.parse(spec === '' ? '{}' : spec) as SimTaskSpec
      const present = runs.get(task)
      extendLease(untilMs)
      if (present?.run === run) return 'accepted'
      if (present || run <= (lastRun.get(task) ?? 0)) return 'old'
      if (untilMs <= clockMs()) return 'late'
      if (enforcesCapacity && usedCpu + (parsed.cpu ?? 0) > opts.capacity.cpu)
        return 'room'
      const active: ActiveRun = {
        task,
        run,
        spec: parsed,
        timer: undefined,
        checkpoint,
        pace: 100,
        startedAt: monotonicMs(),
        takesMs: faults.hangs ? Infinity : (parsed.ms ?? 10) * faults.slowness,
      }
      runs.set(task, active)
      usedCpu += parsed.cpu ?? 0
      record('start', task, run)
      if (parsed.crashMs !== undefined) setTimeout(crash, parsed.crashMs).unref()
      const kind = parsed.fail || faults.failsAll ? 'failed' : 'done'
      if (parsed.ms !== 0 && !faults.hangs) {
        active.timer = setTimeout(() => end(active, kind), active.takesMs)
        active.timer.unref()
      }
      return 'accepted'
    },
    stop(task, run, token) {
      if (isFenced(token)) return false
      const active = runs.get(task)
      if (active?.run === run) setTimeout(() => end(active, 'stopped'), stopMs).unref()
      return true
    },
    pace(task, run, percent, token) {
      if (isFenced(token)) return false
      const active = runs.get(task)
      if (active?.run === run) active.pace = percent
      return true
    },
    sync({ token, lastSeen, untilMs }) {
      if (isFenced(token)) return undefined
      if (untilMs !== undefined) extendLease(untilMs)
      acknowledgeEnds(lastSeen)
      const present = [...runs.values()].map((active) => ({
        task: active.task,
        run: active.run,
        checkpoint: active.checkpoint,
        percent: faults.percent ?? progressPercent(active),
        load: 0,
      }))
      const listsAllEnds = ends.length < maxListedEnds
      return { runs: present, ends: ends.slice(0, maxListedEnds), listsAllEnds }
    },
    async waitForEnd(ms) {
      if (hasCrashed || ends.length > 0) return
      await new Promise<void>((resolve) => {
        const timer = setTimeout(resolve, ms)
        waiters.push(() => {
          clearTimeout(timer)
          resolve()
        })
      })
    },
    crash,
  }
}
