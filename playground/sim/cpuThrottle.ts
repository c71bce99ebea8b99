/**
 * Gives a process a share of a core: it is stopped and goes on in turn, like the virtual core
 * of a small VM that shares its host.
 */
import type { ChildProcess } from 'node:child_process'

/** Length of a turn, in ms: a host gives its guests the core in slices of this order. */
const PERIOD_MS = 100

/** The share, while it is kept. */
export interface CpuThrottle {
  /** Lets the process run freely again. */
  close(): void
}

/**
 * Starts stopping the process.
 * @param share part of each turn in which it runs
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
