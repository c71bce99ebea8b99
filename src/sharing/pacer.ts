/**
 * Paces tasks that fill a target's unused processor time, so that the tasks that serve
 * users there keep their tail latency: down fast, up slowly, by the reported tails.
 */

/** Tails above this part of the bound slow the fillers; below the lower one they speed up. */
const SLOW_ABOVE = 0.8
const SPEED_BELOW = 0.55
/** Factor of one step down: under a tenth after four of them, within the platform's 4 s. */
const STEP_DOWN = 0.5
/** Points of one step up. */
const STEP_UP = 8
/** Below this percent a filler is stopped altogether: it would still disturb. */
const LOWEST_PERCENT = 4
/** Time between two steps on one target, in ms: a report covers half a second. */
const STEP_MS = 500

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
  const given = new Map<string, number>()
  let percent = 100
  let steppedAt = -Infinity

  /** Worst tail of the serving tasks, as a part of its bound. */
  const pressureOf = (runs: readonly SharedRun[]): number =>
    Math.max(0, ...runs.map(({ tailMs, load }) => (tailMs > 0 ? load / tailMs : 0)))

  function adjust(pressure: number): void {
    if (pressure > SLOW_ABOVE) {
      const next = percent * STEP_DOWN
      percent = next < LOWEST_PERCENT ? 0 : next
    } else if (pressure < SPEED_BELOW) percent = Math.min(100, percent + STEP_UP)
  }

  return {
    step(runs, now) {
      const fillers = runs.filter(({ fills }) => fills)
      for (const name of given.keys()) {
        if (!fillers.some((run) => run.name === name)) given.delete(name)
      }
      if (fillers.length === 0) {
        percent = 100
        return []
      }
      if (now - steppedAt >= STEP_MS) {
        steppedAt = now
        adjust(pressureOf(runs))
      }
      const rounded = Math.round(percent)
      const orders = fillers
        .filter(({ name }) => (given.get(name) ?? 100) !== rounded)
        .map(({ name }) => ({ name, percent: rounded }))
      for (const order of orders) given.set(order.name, order.percent)
      return orders
    },
  }
}
