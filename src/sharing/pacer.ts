/**
 * Paces tasks that fill a target's unused processor time, so that the tasks that serve
 * users there keep their tail latency: down fast, up slowly, by the reported tails.
 */

/** Tails above this part of the bound slow the fillers; below the lower one they speed up. */
const SLOW_DOWN_ABOVE = 0.8
const SPEED_UP_BELOW = 0.55
/** Factor of one step down: under a tenth after four of them, within the platform's 4 s. */
const STEP_DOWN_FACTOR = 0.5
/** Points of one step up. */
const STEP_UP_PERCENT = 8
/** Below this percent a filler is stopped altogether: it would still disturb. */
const MIN_PERCENT = 4
/** Time between two steps on one target, in ms: a report covers half a second. */
const STEP_INTERVAL_MS = 500

/** What runs on a target, as last reported. */
export interface SharedRun {
  name: string
  /** Bound of the tail latency in ms; 0 when it serves nobody. */
  tailMs: number
  fills: boolean
  /** Reported tail in ms of a serving task. */
  load: number
}

/** A pace to order for one run. */
export interface PaceOrder {
  name: string
  /** Share of its speed, from 0 to 100. */
  percent: number
}

/** The pace of the fillers on one target. */
export interface Pacer {
  /** Takes a report; returns the orders to give. */
  step(runs: readonly SharedRun[], now: number): PaceOrder[]
}

/** Creates the pacer of one target. */
export function createPacer(): Pacer {
  const orderedPercents = new Map<string, number>()
  let percent = 100
  let steppedAt = -Infinity

  /** Worst tail of the serving tasks, as a part of its bound. */
  const worstTailRatio = (runs: readonly SharedRun[]): number =>
    Math.max(0, ...runs.map(({ tailMs, load }) => (tailMs > 0 ? load / tailMs : 0)))

  function adjustPace(tailRatio: number): void {
    if (tailRatio > SLOW_DOWN_ABOVE) {
      const next = percent * STEP_DOWN_FACTOR
      percent = next < MIN_PERCENT ? 0 : next
    } else if (tailRatio < SPEED_UP_BELOW)
      percent = Math.min(100, percent + STEP_UP_PERCENT)
  }

  return {
    step(runs, now) {
      const fillers = runs.filter(({ fills }) => fills)
      for (const name of orderedPercents.keys()) {
        if (!fillers.some((run) => run.name === name)) orderedPercents.delete(name)
      }
      if (fillers.length === 0) {
        percent = 100
        return []
      }
      if (now - steppedAt >= STEP_INTERVAL_MS) {
        steppedAt = now
        adjustPace(worstTailRatio(runs))
      }
      const rounded = Math.round(percent)
      const orders = fillers
        .filter(({ name }) => (orderedPercents.get(name) ?? 100) !== rounded)
        .map(({ name }) => ({ name, percent: rounded }))
      for (const order of orders) orderedPercents.set(order.name, order.percent)
      return orders
    },
  }
}
