import { describe, it } from '../../../test/describe.js'
import { createAdaptiveTimeout } from '../roundTrip.js'

const BOUNDS = { minMs: 100, maxMs: 700 }

describe('createRoundTrip', () => {
  it('starts with the longest time-out before the first answer', (t) => {
    t.is(createAdaptiveTimeout(BOUNDS).timeoutMs(), BOUNDS.maxMs)
  })

  it('does not treat the answers of a slow peer as missing', (t) => {
    const roundTrip = createAdaptiveTimeout(BOUNDS)
    for (const tookMs of [5, 5, 300, 320, 310, 300, 305]) roundTrip.note(tookMs)
    t.true(roundTrip.timeoutMs() > 320)
  })

  it('returns to the shortest time-out once answers are fast again', (t) => {
    const roundTrip = createAdaptiveTimeout(BOUNDS)
    for (let each = 0; each < 5; each++) roundTrip.note(300)
    for (let each = 0; each < 40; each++) roundTrip.note(3)
    t.is(roundTrip.timeoutMs(), BOUNDS.minMs)
  })

  it('doubles the time-out with each missing answer, until one arrives', (t) => {
    const roundTrip = createAdaptiveTimeout(BOUNDS)
    roundTrip.note(3)
    const waits = Array.from({ length: 4 }, () => {
      roundTrip.missed()
      return roundTrip.timeoutMs()
    })
    t.deepEqual(waits, [200, 400, 700, 700])
    roundTrip.note(3)
    t.is(roundTrip.timeoutMs(), BOUNDS.minMs)
  })
})
