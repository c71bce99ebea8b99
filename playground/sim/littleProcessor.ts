/**
 * Gives a process a share of a core: it is stopped and goes on in turn, like the virtual core
 * of a small VM that shares its host.
 */
import type { ChildProcess } from 'node:child_process'

/** Length of a turn, in ms: a host gives its guests the core in slices of this order. */
const TURN_MS = 100

/** The share, while it is kept. */
export interface LittleProcessor {
  /** Lets the process run freely again. */
  close(): void
}

/**
 * Starts stopping the process.
 * @param share part of each turn in which it runs
 */
export function giveLittleProcessor(child: ChildProcess, share: number): LittleProcessor {
  let stopTimer: NodeJS.Timeout | undefined
  const turn = setInterval(() => {
    child.kill('SIGCONT')
    stopTimer = setTimeout(() => child.kill('SIGSTOP'), TURN_MS * share)
  }, TURN_MS)
  return {
    close() {
      clearInterval(turn)
      clearTimeout(stopTimer)
      child.kill('SIGCONT')
    },
  }
}
