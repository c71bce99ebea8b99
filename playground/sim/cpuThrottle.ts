/**
 * Limits the CPU time of a process by stopping and continuing it periodically, as a hypervisor
 * does with a virtual core of a shared host.
 */
import type { ChildProcess } from 'node:child_process'

/** Length of a period, in ms; of the order of a hypervisor's time slices. */
const PERIOD_MS = 100

/** A running throttle. */
export interface CpuThrottle {
  /** Ends the throttling and continues the process. */
  close(): void
}

/**
 * Throttles a process until the result is closed.
 * @param share fraction of each period during which the process runs, from 0 to 1
 */
export function throttleCpu(child: ChildProcess, share: number): CpuThrottle {
  let stopTimer: NodeJS.Timeout | undefined
  const period = setInterval(() => {
    child.kill('SIGCONT')
    stopTimer = setTimeout(() => child.kill('SIGSTOP'), PERIOD_MS * share)
  }, PERIOD_MS)
  return {
    close() {
      clearInterval(period)
      clearTimeout(stopTimer)
      child.kill('SIGCONT')
    },
  }
}
