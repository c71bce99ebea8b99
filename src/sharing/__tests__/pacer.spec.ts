import { describe, it } from '../../../test/describe.js'
import { createPacer } from '../index.js'
import type { SharedRun } from '../index.js'

const serving = (load: number): SharedRun => ({
  name: 's',
  tailMs: 100,
  fills: false,
  load,
})
const filler: SharedRun = { name: 'f', tailMs: 0, fills: true, load: 0 }

describe('createPacer', () => {
  it('sends no orders to fillers while the tail latency is low', (t) => {
    const pacer = createPacer()
    for (let now = 0; now < 5000; now += 500)
      t.deepEqual(pacer.step([serving(40), filler], now), [])
  })

  it('paces fillers to 0 within 4 s of a tail latency above its bound', (t) => {
    const pacer = createPacer()
    let percent = 100
    for (let now = 0; now < 3500; now += 500) {
      for (const order of pacer.step([serving(150), filler], now)) percent = order.percent
    }
    t.is(percent, 0)
  })

  it('keeps a tail latency that depends on the pace below its bound', (t) => {
    const pacer = createPacer()
    let percent = 100
    let over = 0
    let sum = 0
    for (let now = 0; now < 120_000; now += 500) {
      const tail = 40 + percent * 0.9
      if (now > 10_000 && tail > 100) over++
      sum += percent
      for (const order of pacer.step([serving(tail), filler], now))
        percent = order.percent
    }
    t.is(over, 0)
    t.true(sum / 240 > 15, `mean pace ${sum / 240}`)
  })

  it('gives a filler that starts later the pace of the others', (t) => {
    const pacer = createPacer()
    pacer.step([serving(150), filler], 0)
    const orders = pacer.step([serving(70), filler, { ...filler, name: 'g' }], 100)
    t.deepEqual(orders, [{ name: 'g', percent: 50 }])
  })
})
