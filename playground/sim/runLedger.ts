/** Record of what the targets of a test have run. */
import type { RunEndKind } from '../../src/ports/index.js'

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
  /** Start of the incarnation of the target, in ms since 1970. */
  lifeStartMs: number
  /** Whether an owner has acknowledged this end. */
  isNoted?: boolean
}

/** The crash of one incarnation of a target. */
export interface LifeCrash {
  /** Monotonic time, in ms. */
  at: number
  target: string
  lifeStartMs: number
}

/** Event passed to a watcher; `listed`: an end was reported to the owner; `noted`: acknowledged. */
export type WatchedEntry = LedgerEntry<LedgerEvent | 'listed' | 'noted'>

/** The events of all targets of a test, for its checks. */
export interface RunLedger {
  /** Starts and ends in the order in which they happened. */
  entries: LedgerEntry[]
  /** Crashes in the order in which they happened; undefined before the first. */
  crashes?: LifeCrash[]
  /** Called synchronously for each entry, and for each report and acknowledgement of an end. */
  watch?(entry: WatchedEntry): void
}

/** Latest incarnation of each target of a test, in ms since 1970, by id. */
const latestLives = new WeakMap<RunLedger, Map<string, number>>()

/** Returns the start of a new incarnation, which is after that of any earlier one of the target. */
export function nextLifeStartMs(
  ledger: RunLedger,
  id: string,
  lifeStartMs = Date.now(),
): number {
  const lives = latestLives.get(ledger) ?? new Map<string, number>()
  latestLives.set(ledger, lives)
  const next = Math.max(lifeStartMs, (lives.get(id) ?? -Infinity) + 1)
  lives.set(id, next)
  return next
}
