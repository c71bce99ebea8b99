/** Measures what an owner does with its processor time between two log lines. */
import { monotonicMs } from '../shared/index.js'

/** Work of an owner since the last line. */
export interface OwnerLoad {
  /** Length of the period, in ms. */
  periodMs: number
  /** Processor time of the whole process, all threads together, in ms. */
  cpuMs: number
  /** Time spent in planning, in ms. */
  planMs: number
  /** Number of starts that were ordered. */
  ordered: number
}

/** Counts the work of one owner. */
export interface OwnerLoadMeter {
  /** Runs a plan and adds its time. */
  measurePlan(plan: () => void): void
  noteOrdered(starts: number): void
  /** Returns the work since the last call and begins a new period. */
  take(): OwnerLoad
}

const cpuTimeMs = (): number => {
  const { user, system } = process.cpuUsage()
  return (user + system) / 1000
}

/** Creates a meter whose first period begins now. */
export function createOwnerLoadMeter(): OwnerLoadMeter {
  let since = monotonicMs()
  let cpuBefore = cpuTimeMs()
  let planMs = 0
  let ordered = 0

  return {
    measurePlan(plan) {
      const startedAt = monotonicMs()
      plan()
      planMs += monotonicMs() - startedAt
    },
    noteOrdered: (starts) => void (ordered += starts),
    take() {
      const now = monotonicMs()
      const cpu = cpuTimeMs()
      const load = {
        periodMs: Math.round(now - since),
        cpuMs: Math.round(cpu - cpuBefore),
        planMs: Math.round(planMs),
        ordered,
      }
      since = now
      cpuBefore = cpu
      planMs = 0
      ordered = 0
      return load
    },
  }
}
