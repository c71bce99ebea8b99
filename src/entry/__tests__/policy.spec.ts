import fc from 'fast-check'
import { describe, it } from '../../../test/describe.js'
import { createCancellation } from '../cancellation.js'
import type { Cancellation } from '../cancellation.js'
import { POLICIES, eligibleTargets, estimatedLoad } from '../chooser.js'
import type { PolicyName } from '../chooser.js'
import { PRIORITIES, createLimiter, partOfLimit } from '../limiter.js'
import type { Priority } from '../limiter.js'
import { createRetryBudget } from '../retryBudget.js'
import type { Target } from '../target.js'

function fakeTarget(over: Partial<Target> = {}): Target {
  return {
    inFlight: 0,
    reportedLoad: 0,
    inFlightAtReport: 0,
    slots: 8,
    active: true,
    listedLeaving: false,
    draining: false,
    mismatched: false,
    excludedUntil: 0,
    ...over,
  } as Target
}

describe('POLICIES', () => {
  it('pick one of the candidates', (t) => {
    const load = fc.integer({ min: 0, max: 8 })
    const targets = fc.array(load, { minLength: 1, maxLength: 9 })
    const name = fc.constantFrom(...(Object.keys(POLICIES) as PolicyName[]))
    fc.assert(
      fc.property(targets, name, fc.integer(), (loads, policy, seed) => {
        const candidates = loads.map((inFlight) => fakeTarget({ inFlight }))
        let state = seed >>> 0
        const random = () => (state = (state * 1664525 + 1013904223) >>> 0) / 2 ** 32
        t.true(candidates.includes(POLICIES[policy]()(candidates, random)))
      }),
    )
  })

  it('two choices never take the strictly heaviest of at least two', (t) => {
    const light = fakeTarget({ reportedLoad: 1 })
    const heavy = fakeTarget({ reportedLoad: 9 })
    const choose = POLICIES.twoChoicesReported()
    for (let i = 0; i < 50; i++) t.is(choose([light, heavy], Math.random), light)
  })

  it('the estimate counts what was added since the report', (t) => {
    t.is(
      estimatedLoad(fakeTarget({ reportedLoad: 5, inFlightAtReport: 2, inFlight: 4 })),
      7,
    )
    t.is(
      estimatedLoad(fakeTarget({ reportedLoad: 0, inFlightAtReport: 3, inFlight: 1 })),
      1,
    )
  })
})

describe('eligibleTargets', () => {
  const excluded = () => fakeTarget({ excludedUntil: Infinity })

  it('leaves out targets that leave, are full, excluded or tried', (t) => {
    const good = fakeTarget()
    const good2 = fakeTarget()
    const tried = fakeTarget()
    const targets = [
      good,
      good2,
      tried,
      fakeTarget({ active: false }),
      fakeTarget({ listedLeaving: true }),
      fakeTarget({ draining: true }),
      fakeTarget({ mismatched: true }),
      fakeTarget({ inFlight: 8 }),
      excluded(),
    ]
    t.deepEqual(eligibleTargets(targets, new Set([tried])), [good, good2])
  })

  it('ignores exclusion when most targets are excluded', (t) => {
    t.is(eligibleTargets([fakeTarget(), excluded(), excluded()], new Set()).length, 3)
    t.is(eligibleTargets([fakeTarget(), fakeTarget(), excluded()], new Set()).length, 2)
  })
})

describe('createLimiter', () => {
  /** Naive version: a sorted list, scanned each time. */
  const naiveOrder = (waiting: Priority[]) =>
    waiting
      .map((priority, index) => ({ priority, index }))
      .sort(
        (a, b) =>
          PRIORITIES.indexOf(a.priority) - PRIORITIES.indexOf(b.priority) ||
          a.index - b.index,
      )
      .map(({ index }) => index)

  it('admits by priority, then arrival, like the naive version, within the capacity', async (t) => {
    const waiting = fc.array(fc.constantFrom(...PRIORITIES), { maxLength: 20 })
    await fc.assert(
      fc.asyncProperty(waiting, async (priorities) => {
        const limiter = createLimiter(() => 1, 100)
        const cancellation = createCancellation()
        const opts = (priority: Priority) => ({
          priority,
          deadline: performance.now() + 60_000,
          cancellation,
        })
        await limiter.admit(opts('normal'))
        const order: number[] = []
        const all = priorities.map((priority, index) =>
          limiter.admit(opts(priority)).then(() => {
            order.push(index)
            t.is(limiter.inFlight(), 1)
            limiter.leave()
          }),
        )
        limiter.leave()
        await Promise.all(all)
        t.deepEqual(order, naiveOrder(priorities))
        t.is(limiter.inFlight() + limiter.queued(), 0)
      }),
    )
  })

  it('refuses at once when the queue is full, and forgets callers that leave', async (t) => {
    const limiter = createLimiter(() => 1, 1)
    const leaving = createCancellation()
    const opts = (cancellation: Cancellation) => ({
      priority: 'normal' as const,
      deadline: Infinity,
      cancellation,
    })
    const staying = createCancellation()
    await limiter.admit(opts(staying))
    const deadline = performance.now() + 60_000
    const waiting = limiter.admit({ ...opts(leaving), deadline })
    t.is(await limiter.admit({ ...opts(staying), deadline }), 'queue full')
    leaving.cancel()
    t.is(await waiting, 'caller left')
    t.is(limiter.queued(), 0)
  })
})

describe('partOfLimit', () => {
  it('adds up to the limit over all entries, whatever their number', (t) => {
    const ids = fc.uniqueArray(fc.string({ minLength: 1 }), {
      minLength: 1,
      maxLength: 50,
    })
    fc.assert(
      fc.property(ids, fc.nat(10_000), (entries, limit) => {
        const parts = entries.map((own) => partOfLimit(limit, entries, own))
        t.is(
          parts.reduce((sum, part) => sum + part, 0),
          limit,
        )
        t.true(Math.max(...parts) - Math.min(...parts) <= 1)
      }),
    )
  })
})

describe('createRetryBudget', () => {
  it('never allows more than the share of fresh requests and one', (t) => {
    fc.assert(
      fc.property(fc.array(fc.boolean()), (steps) => {
        const budget = createRetryBudget(0.1)
        let fresh = 0
        let retries = 0
        for (const isFresh of steps) {
          if (isFresh) {
            fresh++
            budget.deposit()
          } else if (budget.withdraw()) retries++
          t.true(retries <= 1 + fresh * 0.1 + 1e-9)
        }
      }),
    )
  })
})
