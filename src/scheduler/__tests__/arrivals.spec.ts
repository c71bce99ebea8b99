import { mersenne } from 'pure-rand/generator/mersenne'
import { describe, it } from '../../../test/describe.js'
import { createArrivalMeter } from '../arrivals.js'
import type { ArrivalMeter } from '../arrivals.js'

const WORK = 8000
const SEEDS = 40

/** Generates the arrival times of a Poisson process, in ms. */
function arrivalsAt(perSecond: number, fromMs: number, untilMs: number, seed: number) {
  const generator = mersenne(seed)
  const times: number[] = []
  const gap = (): number => {
    const share = (generator.next() >>> 0) / 2 ** 32
    return (-Math.log(1 - share) * 1000) / perSecond
  }
  for (let at = fromMs + gap(); at < untilMs; at += gap()) times.push(at)
  return times
}

function meterAfter(times: number[]): ArrivalMeter {
  const meter = createArrivalMeter()
  for (const at of times) meter.note(WORK, at)
  return meter
}

/** Ratio of the expected processor capacity to what the rate takes, as a mean over seeds. */
function meanShare(perSecond: number, make: (seed: number) => number): number {
  let sum = 0
  for (let seed = 1; seed <= SEEDS; seed++) sum += make(seed)
  return sum / SEEDS / ((perSecond * WORK) / 1000)
}

describe('createArrivalMeter', () => {
  describe('at a steady rate', () => {
    for (const perSecond of [4, 20, 60]) {
      it(`is close on average to ${perSecond} jobs a second`, (t) => {
        const share = meanShare(perSecond, (seed) =>
          meterAfter(arrivalsAt(perSecond, 0, 6000, seed)).expectedCpu(6000),
        )
        t.true(share > 0.8 && share < 1.35, share.toFixed(2))
      })
    }
  })

  describe('after a jump to eighty times the rate', () => {
    const afterJump = (perSecond: number, ms: number) =>
      meanShare(perSecond, (seed) => {
        const before = arrivalsAt(perSecond / 80, 0, 10_000, seed)
        const jump = arrivalsAt(perSecond, 10_000, 10_000 + ms, seed + 1000)
        return meterAfter([...before, ...jump]).expectedCpu(10_000 + ms)
      })

    // With the same arrivals, an average over 1 to 3 s with its trend reaches 0.22 of the fast
    // rate and 0.60 of the slow one; the meter reaches 0.69 and 0.64.
    it('reaches most of a fast rate after 0.3 s', (t) => {
      const share = afterJump(20, 300)
      t.true(share > 0.65, share.toFixed(2))
    })

    it('reaches most of a slow rate after 1 s', (t) => {
      const share = afterJump(4, 1000)
      t.true(share > 0.6, share.toFixed(2))
    })
  })

  it('falls to a quarter within 2 s of the last job', (t) => {
    const meter = meterAfter(arrivalsAt(20, 0, 6000, 7))
    t.true(meter.expectedCpu(8000) < meter.expectedCpu(6000) / 4)
  })

  it('falls to a third within 1.5 s of the last job of a slow queue', (t) => {
    const meter = meterAfter(arrivalsAt(4, 0, 6000, 7))
    const last = arrivalsAt(4, 0, 6000, 7).at(-1)!
    t.true(meter.expectedCpu(last + 1500) <= (4 * WORK) / 1000 / 3 + 1)
  })

  it('expects nothing after a single job', (t) => {
    t.is(meterAfter([1000]).expectedCpu(1001), 0)
  })
})
