/** A processor that does one piece of work after another, each for some time. */
import { monotonicMs, sleep } from '../../src/shared/index.js'

/** Time over which the use is measured, in ms. */
const WINDOW_MS = 250

/** The processor of one simulated node. */
export interface LimitedProcessor {
  /** Resolves once all work so far and further `ms` are done. */
  work(ms: number): Promise<void>
  /** Share of recent time in which it had work. */
  share(): number
}

/**
 * Creates an idle processor.
 * @param cores its speed, 1 for a whole core
 */
export function createLimitedProcessor(cores = 1): LimitedProcessor {
  /** Monotonic time at which all work is done, in ms. */
  let idleAt = 0
  /** Work as intervals of monotonic time, in ms. */
  let busy: { from: number; until: number }[] = []

  return {
    async work(ms) {
      const now = monotonicMs()
      const from = Math.max(idleAt, now)
      idleAt = from + ms / cores
      const last = busy.at(-1)
      if (last?.until === from) last.until = idleAt
      else busy.push({ from, until: idleAt })
      await sleep(idleAt - now)
    },
    share() {
      const now = monotonicMs()
      const since = now - WINDOW_MS
      busy = busy.filter(({ until }) => until > since)
      let usedMs = 0
      for (const { from, until } of busy)
        usedMs += Math.max(0, Math.min(until, now) - Math.max(from, since))
      return usedMs / WINDOW_MS
    },
  }
}
