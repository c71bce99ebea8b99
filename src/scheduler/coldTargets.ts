/**
 * Tracks which targets are cold: slow for some time after their start. While a target is cold, tasks
 * prefer warm ones, and it gets starts at a limited rate that rises over that time (slow start). It is
 * never excluded: if all targets are cold, they are used.
 */
import { MAX_COLD_MS } from '../ports/index.js'
import type { ServicePool, Target } from '../ports/index.js'
import { monotonicMs } from '../shared/index.js'

/** Share of the limit of the service that a target gets at the beginning of its cold time. */
const INITIAL_SHARE = 0.25
/**
 * Starts per second of a cold target of a service without a limit, at the beginning and at the end of
 * its cold time. The first suffices to keep a task running, and the last is
 * about one start per second and core of the largest targets.
 */
const UNLIMITED_PER_SECOND = { initial: 2, final: 64 }
/** Period over which the starts of a second are spread, in ms: a few rounds of planning. */
const SPREAD_MS = 250
/** Shortest delay of a wake-up for starts that the limit has held back, in ms. */
const MIN_WAKE_MS = 50

/** The cold targets of one service. */
export interface ColdTargets {
  /**
   * Applies an entry of the list. Applying the same entry again has no effect.
   * @param previous entry that was applied before, if any
   */
  note(target: Target, previous?: Target): void
  /** Discards targets that are neither listed nor cold any more. */
  forgetUnlisted(isListed: (id: string) => boolean): void
  /** Whether any target is cold. If not, all other methods return at once. */
  any(): boolean
  isCold(id: string): boolean
  /** Whether the target was cold at the monotonic time `at`, in ms, or later. */
  wasColdSince(id: string, at: number): boolean
  /** Number of starts that the target may get now; Infinity if it is not cold. */
  startsLeft(id: string): number
  noteStart(id: string): void
  stop(): void
}

/** What is known of a target whose entry has named a cold time. */
interface ColdRecord {
  lifeStartMs: number
  /** Cold time in the entry, in ms. */
  coldMs: number
  /** Monotonic times between which the target is cold, in ms. */
  since: number
  until: number
  /** Monotonic times of recent starts, in ms. */
  starts: number[]
}

/** Dependencies of the cold targets. */
export interface ColdTargetsOptions {
  /** Configuration of the service, if known. */
  pool(): ServicePool | undefined
  /** Called when a cold target that was at its limit may get starts again. */
  wake(): void
  /** Returns the time of a monotonic clock, in ms. */
  now?(): number
  /** Returns the time since 1970, in ms. */
  wallMs?(): number
}

/** Number of starts allowed within a period. */
interface StartLimit {
  starts: number
  periodMs: number
}

/**
 * Starts per second that a cold target may get. Within the limit of the service the rate rises
 * linearly; without one it doubles, as in the slow start of V. Jacobson, "Congestion avoidance and
 * control", 1988.
 * @param progress share of the cold time that has passed, from 0 to 1
 */
export function coldStartRate(coldPerSecond: number, progress: number): number {
  if (coldPerSecond > 0)
    return coldPerSecond * (INITIAL_SHARE + (1 - INITIAL_SHARE) * progress)
  const { initial, final } = UNLIMITED_PER_SECOND
  return initial * (final / initial) ** progress
}

/**
 * Turns a rate into numbers of starts per period. None is zero: below one start per second the period
 * is long enough for one.
 */
export function startLimitsOf(perSecond: number): StartLimit[] {
  if (perSecond < 1) return [{ starts: 1, periodMs: 1000 / perSecond }]
  return [
    { starts: Math.floor(perSecond), periodMs: 1000 },
    { starts: Math.ceil((perSecond * SPREAD_MS) / 1000), periodMs: SPREAD_MS },
  ]
}

/** Creates the record of one service, without any cold target. */
export function createColdTargets(opts: ColdTargetsOptions): ColdTargets {
  const { now = monotonicMs, wallMs = Date.now } = opts
  const records = new Map<string, ColdRecord>()
  /** Monotonic time from which no target is cold, in ms. */
  let allWarmAt = -Infinity
  let timer: NodeJS.Timeout | undefined

  const any = (): boolean => allWarmAt > -Infinity && now() < allWarmAt

  /**
   * Time for which a target stays cold by the first entry that this owner reads of its life, in ms.
   * The entry may have been written long before, but not before the life has begun: a new owner that
   * took the value for the present one would slow down a whole pool of warm targets.
   */
  function firstColdMs({ lifeStartMs }: Target, coldMs: number): number {
    if (lifeStartMs === 0) return coldMs
    const ageMs = Math.max(0, wallMs() - lifeStartMs)
    return Math.min(coldMs, Math.max(opts.pool()?.coldStartMs ?? 0, coldMs) - ageMs)
  }

  function note(target: Target, previous?: Target): void {
    const { id, lifeStartMs } = target
    const coldMs = Math.min(target.coldMs ?? 0, MAX_COLD_MS)
    const known = records.get(id)
    if (!(coldMs > 0)) return endCold(known, lifeStartMs)
    const ofLife = known?.lifeStartMs === lifeStartMs ? known : undefined
    // A value that is written again in one life is a copy: the time left would have become less.
    if (ofLife?.coldMs === coldMs) return
    const isFirst = !ofLife && previous?.lifeStartMs !== lifeStartMs
    const at = now()
    const until = at + (isFirst ? firstColdMs(target, coldMs) : coldMs)
    // An entry that only updates the time left goes on with the rate that was reached.
    const { since, starts } =
      ofLife && at < ofLife.until ? ofLife : { since: at, starts: [] }
    records.set(id, { lifeStartMs, coldMs, since, until, starts })
    allWarmAt = Math.max(allWarmAt, until)
  }

  /** Applies an entry by which the target is not cold. */
  function endCold(record: ColdRecord | undefined, lifeStartMs: number): void {
    if (!record) return
    const until = Math.min(record.until, now())
    Object.assign(record, { lifeStartMs, coldMs: 0, until })
  }

  const coldRecordOf = (id: string): ColdRecord | undefined => {
    if (!any()) return undefined
    const record = records.get(id)
    return record && now() < record.until ? record : undefined
  }

  function limitsOf({ since, until }: ColdRecord): StartLimit[] {
    const progress = Math.min(1, (now() - since) / Math.max(1, until - since))
    return startLimitsOf(coldStartRate(opts.pool()?.coldPerSecond ?? 0, progress))
  }

  function wakeIn(ms: number): void {
    if (timer !== undefined) return
    const delayMs = Math.max(MIN_WAKE_MS, ms)
    timer = setTimeout(() => {
      timer = undefined
      opts.wake()
    }, delayMs)
    timer.unref()
  }

  return {
    note,
    forgetUnlisted(isListed) {
      for (const [id, { until }] of records) {
        // Kept for a while, as a target that lists itself again may copy its former entry.
        if (!isListed(id) && now() > until + MAX_COLD_MS) records.delete(id)
      }
    },
    any,
    isCold: (id) => coldRecordOf(id) !== undefined,
    wasColdSince(id, at) {
      if (records.size === 0) return false
      const record = records.get(id)
      return record !== undefined && at < record.until
    },
    startsLeft(id) {
      const record = coldRecordOf(id)
      if (!record) return Infinity
      const limits = limitsOf(record)
      const at = now()
      const longestMs = Math.max(...limits.map(({ periodMs }) => periodMs))
      record.starts = record.starts.filter((each) => each > at - longestMs)
      let left = Infinity
      let waitMs = 0
      for (const { starts, periodMs } of limits) {
        const recent = record.starts.filter((each) => each > at - periodMs)
        left = Math.min(left, starts - recent.length)
        const blocking = recent.at(-starts)
        if (blocking !== undefined) waitMs = Math.max(waitMs, blocking + periodMs - at)
      }
      if (left <= 0) wakeIn(waitMs)
      return Math.max(0, left)
    },
    noteStart(id) {
      coldRecordOf(id)?.starts.push(now())
    },
    stop: () => clearTimeout(timer),
  }
}
