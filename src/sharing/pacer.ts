/**
 * Paces filler tasks, which use the spare processor time of a target, so that the tasks that
 * serve users there keep their tail latency. Their pace is reduced fast and increased slowly,
 * according to the reported tail latencies.
 */

/** Shares of the latency bound above which fillers slow down and below which they speed up. */
const SLOW_DOWN_ABOVE = 0.8
const SPEED_UP_BELOW = 0.55
/** Factor of one step down: below a tenth after four steps, within the platform's 4 s. */
const STEP_DOWN_FACTOR = 0.5
/** Percentage points of one step up. */
const STEP_UP_PERCENT = 8
/** Lowest pace, in percent; below it a filler would still disturb, and is paced to 0. */
const MIN_PERCENT = 4
/** Shortest time between two steps on one target, in ms; a report covers half a second. */
const STEP_INTERVAL_MS = 500

/** A run on a target, as last reported. */
export interface SharedRun {
  name: string
  /** Upper bound of the tail latency, in ms; 0 when the task does not serve users. */
  tailMs: number
  fills: boolean
  /** Reported tail latency of a serving task, in ms. */
  load: number
}

/** An order to pace one run. */
export interface PaceOrder {
  name: string
  /** Share of its full speed, from 0 to 100. */
  percent: number
}

/** Controls the pace of the fillers on one target. */
export interface Pacer {
  /** Processes a report; returns the orders to send. */
  step(runs: readonly SharedRun[], now: number): PaceOrder[]
}

/** Creates the pacer of one target. */
export function createPacer(): Pacer {
  const orderedPercents = new Map<string, number>()
  let percent = 100
  let steppedAt = -Infinity

  /** Returns the highest tail latency of the serving tasks, as a share of its bound. */
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
