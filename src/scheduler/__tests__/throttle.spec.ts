import { describe, it } from '../../../test/describe.js'
import { monotonicMs, sleep } from '../../shared/index.js'
import { createThrottled } from '../throttle.js'

const RUN_MS = 1000

/** Requests a call that takes `callMs` of processor time over and over; returns the share of time it took. */
async function measureShare(callMs: number, maxShare: number): Promise<number> {
  let busyMs = 0
  const request = createThrottled(
    () => {
      const endsAt = monotonicMs() + callMs
      while (monotonicMs() < endsAt);
      busyMs += callMs
    },
    { gapMs: 5, maxShare },
  )
  const endsAt = monotonicMs() + RUN_MS
  while (monotonicMs() < endsAt) {
    request()
    await sleep(1)
  }
  return busyMs / RUN_MS
}

describe('createThrottled', () => {
  it('leaves the rest of the time to other work, however long its calls take', async (t) => {
    t.true((await measureShare(20, 0.2)) <= 0.25)
  })
})
