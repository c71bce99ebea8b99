/**
 * Stand-in for a target: runs tasks under leases, refuses what is fenced, superseded,
 * late or too large, and lists ends until they are acknowledged. What a task does stands
 * in its spec, as JSON: `{"ms": 50, "cpu": 1000, "fail": false}`.
 */
import type {
  ReportedEnd,
  ReportedRun,
  Resources,
  RunEndKind,
} from '../../src/ports/index.js'
import { monotonicMs } from '../../src/shared/index.js'

/** What a task does, by its spec. */
export interface SimTaskSpec {
  /** Run time in ms; 0 for a task that lasts. */
  ms?: number
  cpu?: number
  fail?: boolean
  /** Time after which the task crashes its target, in ms. */
  crashMs?: number
}

/** What became of a run; `killed`: the target's life ended with the run on it. */
export type LedgerEvent = 'start' | 'killed' | RunEndKind

/** One thing that a target has done. */
export interface LedgerEntry<What = LedgerEvent> {
  at: number
  what: What
  task: string
  run: number
  target: string
}

/** What a watcher sees; `listed`, `noted`: the owner was told of an end, has acknowledged it. */
export type WatchedEntry = LedgerEntry<LedgerEvent | 'listed' | 'noted'>

/** Everything that the targets of a test have done, for its checks. */
export interface RunLedger {
  /** Starts and ends in the order in which they happened. */
  entries: LedgerEntry[]
  /** Told of each entry and of each acknowledged end when it happens. */
  watch?(entry: WatchedEntry): void
}

/** What goes wrong. Each field can be changed at any time. */
export interface TargetFaults {
  /** Answers nothing, and does nothing that is asked. */
  silent: boolean
  /** Carries orders out and answers nothing. */
  mute: boolean
  /** Time by which the answer to each order is late, in ms. */
  delayMs: number
  /** Orders are carried out after this time and never answered, in ms; 0 for none. */
  lateMs: number
  /** Whether the next order is one of these; by default each is. */
  isLate(): boolean
  /** Every task fails at once. */
  failsAll: boolean
  /** Tasks do not get on. */
  hangs: boolean
  /** How far its tasks say that they are, in percent; undefined for what is true. */
  percent: number | undefined
  /** Tasks that are started take so many times as long. */
  slowness: number
}

/** Word of a target on a start order. */
export type StartVerdict = 'accepted' | 'fence' | 'old' | 'late' | 'room'

/** A run that is present. */
interface ActiveRun {
  task: string
  run: number
  spec: SimTaskSpec
  timer: NodeJS.Timeout | undefined
  saved: string
  /** Share of its speed that was ordered, in percent. */
  pace: number
  startedAt: number
  /** Time that it takes, in ms; Infinity for one that never ends. */
  takesMs: number
}

/** How far a run has got, in percent; tasks that last are at work at once. */
function progressPercent({ spec, startedAt, takesMs }: ActiveRun): number {
  if (spec.ms === 0) return 100
  return Math.min(100, Math.floor((100 * (monotonicMs() - startedAt)) / takesMs))
}

/** One life of a target. */
export interface SimTarget {
  readonly id: string
  /** Start of this life, in ms since 1970. */
  readonly lifeStartMs: number
  /** Start of this life on the monotonic clock, in ms. */
  readonly startedAt: number
  faults: TargetFaults
  clockMs(): number
  start(order: {
    task: string
    run: number
    spec: string
    untilMs: number
    token: number
    saved: string
  }): StartVerdict
  /** False when the token is fenced. */
  stop(task: string, run: number, token: number): boolean
  pace(task: string, run: number, percent: number, token: number): boolean
  /** Undefined when the token is fenced. */
  sync(order: {
    token: number
    lastSeen: number
    untilMs: number | undefined
  }): { runs: ReportedRun[]; ends: ReportedEnd[] } | undefined
  /** Waits for an end that is not acknowledged, at most so long. */
  waitForEnd(ms: number): Promise<void>
  /** Ends this life: everything on it dies without a word. */
  crash(): void
}

/** Starts a life without runs. */
export function createSimTarget(opts: {
  id: string
  capacity: Resources
  ledger: RunLedger
  /** Start of this life, in ms since 1970; the current time by default. */
  lifeStartMs?: number
  /** Clock of the target at the start of this life, in ms; 1000 by default. */
  initialClockMs?: number
  /** Whether starts that exceed the capacity are refused; true by default. */
  enforcesCapacity?: boolean
  /** Ms that a stop takes. */
  stopMs?: number
  /** Called when the target crashes. */
  crashed?: () => void
}): SimTarget {
  const { id, ledger } = opts
  const startedAt = monotonicMs()
  const runs = new Map<string, ActiveRun>()
  const lastRun = new Map<string, number>()
  const { stopMs = 5, enforcesCapacity = true, initialClockMs = 1000 } = opts
  let ends: ReportedEnd[] = []
  let seq = 0
  let highestToken = 0
  let leaseUntil = 0
  let leaseTimer: NodeJS.Timeout | undefined
  let usedCpu = 0
  let hasCrashed = false
  const waiters: (() => void)[] = []
  const faults: TargetFaults = {
    silent: false,
    mute: false,
    delayMs: 0,
    lateMs: 0,
    isLate: () => true,
    failsAll: false,
    hangs: false,
    percent: undefined,
    slowness: 1,
  }

  const clockMs = (): number => Math.floor(monotonicMs() - startedAt) + initialClockMs

  const record = (what: LedgerEvent, task: string, run: number): void => {
    const entry = { at: monotonicMs(), what, task, run, target: id }
    ledger.entries.push(entry)
    ledger.watch?.(entry)
  }

  const notifyWatcher = (what: 'listed' | 'noted', some: ReportedEnd[]): void => {
    for (const { task, run } of some) {
      ledger.watch?.({ at: monotonicMs(), what, task, run, target: id })
    }
  }

  const acknowledgeEnds = (lastSeen: number): void => {
    notifyWatcher(
      'noted',
      ends.filter(({ seq }) => seq <= lastSeen),
    )
    ends = ends.filter(({ seq }) => seq > lastSeen)
    notifyWatcher('listed', ends)
  }

  function end(active: ActiveRun, kind: RunEndKind): void {
    if (hasCrashed || runs.get(active.task) !== active) return
    clearTimeout(active.timer)
    runs.delete(active.task)
    usedCpu -= active.spec.cpu ?? 0
    lastRun.set(active.task, active.run)
    seq++
    ends.push({ seq, task: active.task, run: active.run, kind, checkpoint: active.saved })
    record(kind, active.task, active.run)
    for (const wake of waiters.splice(0)) wake()
  }

  const extend = (untilMs: number): void => {
    leaseUntil = Math.max(leaseUntil, untilMs)
    clearTimeout(leaseTimer)
    const left = leaseUntil - clockMs()
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
    opts.crashed?.()
    // Ends open polls, as a reset connection does.
    for (const wake of waiters.splice(0)) wake()
  }

  return {
    id,
    lifeStartMs: opts.lifeStartMs ?? Date.now(),
    startedAt,
    faults,
    clockMs,
    start({ task, run, spec, untilMs, token, saved }) {
      if (isFenced(token)) return 'fence'
      const parsed = JSON.parse(spec === '' ? '{}' : spec) as SimTaskSpec
      const present = runs.get(task)
      extend(untilMs)
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
        saved,
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
      if (untilMs !== undefined) extend(untilMs)
      acknowledgeEnds(lastSeen)
      const present = [...runs.values()].map((active) => ({
        task: active.task,
        run: active.run,
        checkpoint: active.saved,
        percent: faults.percent ?? progressPercent(active),
        load: 0,
      }))
      return { runs: present, ends: [...ends] }
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
