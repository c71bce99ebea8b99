/** Runs code on a clock that advances without waiting. */
import fakeTimers from '@sinonjs/fake-timers'

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
