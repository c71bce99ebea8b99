/** Runs code on a clock that advances without waiting. */
import fakeTimers from '@sinonjs/fake-timers'
import type { ExecutionContext } from 'ava'
import { itAlone } from './describe.js'

/** The clock of a run. */
export interface VirtualClock {
  /** Advances the clock, and lets everything that is due by then run. */
  advance(ms: number): Promise<void>
}

/** Installs a virtual clock while `run` runs; other tests of the process must not run meanwhile. */
export async function inVirtualTime<T>(
  run: (clock: VirtualClock) => Promise<T>,
): Promise<T> {
  const clock = fakeTimers.install({
    toFake: ['setTimeout', 'clearTimeout', 'performance', 'Date'],
  })
  try {
    return await run({ advance: async (ms) => void (await clock.tickAsync(ms)) })
  } finally {
    clock.uninstall()
  }
}

/** Step in which {@link runToEnd} advances the clock, in ms. */
const STEP_MS = 5

/** Advances the clock until the run has ended, for code that waits by itself. */
export async function runToEnd(clock: VirtualClock, run: Promise<void>): Promise<void> {
  let isOver = false
  const end = run.finally(() => (isOver = true))
  while (!isOver) await clock.advance(STEP_MS)
  await end
}

/** Registers a test that runs in virtual time, and not concurrently with others of the same file. */
export function itInVirtualTime(
  title: string,
  body: (t: ExecutionContext, clock: VirtualClock) => Promise<void>,
): void {
  itAlone(title, (t) => inVirtualTime((clock) => body(t, clock)))
}
