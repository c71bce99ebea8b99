import { describe, it } from '../../../test/describe.js'
import { createMemoryLogger } from '../../shared/index.js'
import { createStartWindow } from '../startWindow.js'

/** Simulates an owner whose starts are answered one after another at the given rate. */
function createOwner(startsPerSecond: number) {
  let now = 0
  let freed = 0
  const window = createStartWindow({
    freed: () => void freed++,
    log: createMemoryLogger(),
    now: () => now,
  })
  const inFlight: number[] = []
  return {
    window,
    freed: () => freed,
    /** Orders as many starts as the window allows for `ms` of simulated time. */
    run(ms: number): void {
      const endsAt = now + ms
      while (now < endsAt) {
        while (window.available() > 0) {
          window.noteOrdered()
          inFlight.push(now)
        }
        now += 1000 / startsPerSecond
        const orderedAt = inFlight.shift()
        if (orderedAt !== undefined) window.noteEnded(now - orderedAt)
      }
    },
    inFlight: () => inFlight.length,
    idle: (ms: number) => void (now += ms),
  }
}

/** Number of starts in flight of an owner that handles every answer late, however few there are. */
function countInFlightOfLateOwner(lateMs: number, forMs: number): number {
  let now = 0
  const window = createStartWindow({
    freed: () => undefined,
    log: createMemoryLogger(),
    now: () => now,
  })
  const orderedAt: number[] = []
  for (; now < forMs; now += 5) {
    while (orderedAt.length > 0 && now - orderedAt[0]! >= lateMs)
      window.noteEnded(now - orderedAt.shift()!)
    while (window.available() > 0) {
      window.noteOrdered()
      orderedAt.push(now)
    }
  }
  return orderedAt.length
}

describe('createStartWindow', () => {
  describe('for an owner whose event loop is late for other reasons than its starts', () => {
    it('orders no fewer starts than at first', (t) => {
      t.true(countInFlightOfLateOwner(600, 10_000) >= countInFlightOfLateOwner(600, 500))
    })
  })

  describe('for an owner with little processor time', () => {
    it('keeps so few starts in flight that none waits for seconds', (t) => {
      const owner = createOwner(15)
      owner.run(6000)
      t.true(owner.inFlight() <= 8)
      t.true(owner.window.isBehind())
    })

    it('measures the rate of its starts', (t) => {
      const owner = createOwner(15)
      owner.run(6000)
      t.true(Math.abs(owner.window.perSecond() - 15) < 5)
    })

    it('reports when a full window has space again', (t) => {
      const owner = createOwner(15)
      owner.run(1000)
      t.true(owner.freed() > 0)
    })
  })

  describe('for an owner with many targets', () => {
    it('does not grow beyond what is answered soon', (t) => {
      const owner = createOwner(200)
      owner.run(6000)
      // Starts that wait for half a second when ordered.
      t.true(owner.inFlight() <= 100)
      t.true(owner.window.delayMs() <= 500)
    })

    it('counts it as behind for as long as starts wait for the window', (t) => {
      const owner = createOwner(200)
      owner.run(3000)
      for (let second = 0; second < 10; second++) {
        owner.run(1000)
        t.true(owner.window.isBehind())
      }
    })
  })

  describe('for an owner whose starts are answered at once', () => {
    it('does not limit its starts', (t) => {
      const owner = createOwner(2000)
      owner.run(2000)
      t.true(owner.window.perSecond() > 1900)
      t.false(owner.window.isBehind())
    })
  })

  describe('after an owner was behind', () => {
    it('no longer counts it as behind after a time without late answers', (t) => {
      const owner = createOwner(15)
      owner.run(6000)
      owner.idle(3000)
      t.false(owner.window.isBehind())
    })
  })

  describe('with starts that were not sent', () => {
    it('counts them as ended and ignores them for the rate', (t) => {
      const { window } = createOwner(15)
      const before = window.available()
      window.noteOrdered()
      window.noteEnded()
      t.is(window.available(), before)
      t.is(window.perSecond(), 0)
    })
  })
})
