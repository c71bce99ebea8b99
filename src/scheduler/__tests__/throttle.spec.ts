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

  it('makes up for one call during which the process was suspended', async (t) => {
    let calls = 0
    const request = createThrottled(
      () => {
        calls++
        const endsAt = monotonicMs() + (calls === 20 ? 200 : 1)
        while (monotonicMs() < endsAt);
      },
      { gapMs: 5, maxShare: 0.2 },
    )
    while (calls < 20) {
      request()
      await sleep(1)
    }
    const endsAt = monotonicMs() + 500
    while (monotonicMs() < endsAt) {
      request()
      await sleep(1)
    }
    // By the length of that call alone, the next one would come after a second.
    t.true(calls > 20)
  })
})
