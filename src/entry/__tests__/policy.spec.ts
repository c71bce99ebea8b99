import fc from 'fast-check'
import { describe, it } from '../../../test/describe.js'
import { createCancellation } from '../cancellation.js'
import { POLICIES, eligibleTargets, estimatedLoad } from '../chooser.js'
import type { PolicyName } from '../chooser.js'
import { createLimiter, partOfLimit } from '../limiter.js'
import type { Limiter } from '../limiter.js'
import { createRetryBudget } from '../retryBudget.js'
import { PRIORITIES } from '../fairQueue.js'
import type { Priority } from '../fairQueue.js'
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
    isMismatched: false,
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

  it('never pick the most loaded target by two choices', (t) => {
    const light = fakeTarget({ reportedLoad: 1 })
    const heavy = fakeTarget({ reportedLoad: 9 })
    const choose = POLICIES.twoChoicesReported()
    for (let i = 0; i < 50; i++) t.is(choose([light, heavy], Math.random), light)
  })

  it('estimate the load from the last report and the requests added since', (t) => {
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

  it('leaves out targets that are leaving, full, excluded or already tried', (t) => {
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
      fakeTarget({ isMismatched: true }),
      fakeTarget({ inFlight: 8 }),
      excluded(),
    ]
    t.deepEqual(eligibleTargets(targets, new Set([tried])), [good, good2])
  })

  it('ignores exclusions when most targets are excluded', (t) => {
    t.is(eligibleTargets([fakeTarget(), excluded(), excluded()], new Set()).length, 3)
    t.is(eligibleTargets([fakeTarget(), fakeTarget(), excluded()], new Set()).length, 2)
  })
})

describe('createLimiter', () => {
  const farDeadline = () => performance.now() + 60_000
  const ask = (priority: Priority, team = 't') => {
    return { priority, team, deadline: farDeadline(), cancellation: createCancellation() }
  }
  const createTestLimiter = (maxQueue: number, weights: Record<string, number> = {}) =>
    createLimiter({ capacity: () => 1, maxQueue, weightOf: (team) => weights[team] ?? 1 })

  /** Admits one request, queues the others and returns the order in which they start. */
  async function orderOf(
    limiter: Limiter,
    waiting: [Priority, string][],
  ): Promise<number[]> {
    await limiter.admit(ask('normal'))
    const order: number[] = []
    const all = waiting.map(async ([priority, team], index) => {
      if ((await limiter.admit(ask(priority, team))) !== 'admitted') return
      order.push(index)
      limiter.release(0)
    })
    limiter.release(0)
    await Promise.all(all)
    return order
  }

  /** Naive implementation: scans all waiting requests for each turn. */
  function naiveOrder(
    waiting: [Priority, string][],
    weights: Record<string, number>,
  ): number[] {
    const left = new Set(waiting.keys())
    const had = new Map<string, number>()
    const order: number[] = []
    while (left.size > 0) {
      const band = PRIORITIES.find((p) => [...left].some((i) => waiting[i]![0] === p))!
      const inBand = [...left].filter((i) => waiting[i]![0] === band)
      const pass = (i: number) =>
        (had.get(`${band} ${waiting[i]![1]}`) ?? 0) / weights[waiting[i]![1]]!
      const least = Math.min(...inBand.map(pass))
      const teams = inBand.filter((i) => Math.abs(pass(i) - least) < 1e-9)
      const firstTeam = waiting.find(
        ([p, team]) => p === band && teams.some((i) => waiting[i]![1] === team),
      )![1]
      const next = teams.find((i) => waiting[i]![1] === firstTeam)!
      left.delete(next)
      order.push(next)
      const key = `${band} ${waiting[next]![1]}`
      had.set(key, (had.get(key) ?? 0) + 1)
    }
    return order
  }

  it('orders requests by priority, then by team weight, then by arrival, like the naive implementation', async (t) => {
    // Powers of two, so that shares add up without rounding.
    const weights = { a: 1, b: 2, c: 4 }
    const waiting = fc.array(
      fc.tuple(fc.constantFrom(...PRIORITIES), fc.constantFrom('a', 'b', 'c')),
      { maxLength: 25 },
    )
    await fc.assert(
      fc.asyncProperty(waiting, async (list) => {
        const limiter = createTestLimiter(100, weights)
        t.deepEqual(await orderOf(limiter, list), naiveOrder(list, weights))
        t.is(limiter.inFlight() + limiter.queued(), 0)
      }),
    )
  })

  it('lets a team that floods the queue lengthen only its own wait', async (t) => {
    const flood = Array.from({ length: 50 }, (): [Priority, string] => [
      'normal',
      'flood',
    ])
    const peers: [Priority, string][] = [
      ['normal', 'x'],
      ['normal', 'y'],
    ]
    const order = await orderOf(createTestLimiter(100), [...flood, ...peers])
    t.true(order.indexOf(50) <= 4 && order.indexOf(51) <= 4)
  })

  it('refuses a request of the longest team queue of the lowest priority when the queue is full', async (t) => {
    const limiter = createTestLimiter(3)
    await limiter.admit(ask('normal'))
    const flood = [1, 2, 3].map(() => limiter.admit(ask('normal', 'flood')))
    const other = limiter.admit(ask('normal', 'other'))
    t.is(await flood[2], 'queue full')
    t.is(await limiter.admit(ask('deferrable', 'other')), 'queue full')
    const urgent = limiter.admit(ask('urgent', 'flood'))
    t.is(await flood[1], 'queue full')
    limiter.release(0)
    t.is(await urgent, 'admitted')
    limiter.release(0)
    t.is(await Promise.race([flood[0], other]), 'admitted')
  })

  it('does not admit a request that is unlikely to be answered in time', async (t) => {
    const limiter = createTestLimiter(9)
    for (let i = 0; i < 200; i++) {
      await limiter.admit(ask('normal'))
      limiter.release(1000)
    }
    await limiter.admit(ask('normal'))
    const longDeadline = limiter.admit(ask('normal'))
    limiter.release(1000)
    t.is(await longDeadline, 'admitted')
    const shortDeadline = limiter.admit({
      ...ask('normal'),
      deadline: performance.now() + 1200,
    })
    await new Promise((resolve) => setTimeout(resolve, 700))
    limiter.release(1000)
    t.is(await shortDeadline, 'deadline passed')
  })

  it('removes the requests of callers that disconnect', async (t) => {
    const limiter = createTestLimiter(9)
    await limiter.admit(ask('normal'))
    const leaving = createCancellation()
    const waiting = limiter.admit({ ...ask('normal'), cancellation: leaving })
    leaving.cancel()
    t.is(await waiting, 'caller left')
    t.is(limiter.queued(), 0)
  })
})

describe('partOfLimit', () => {
  it('adds up to the limit over any number of entries', (t) => {
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
  it('never allows more retries than one plus the share of new requests', (t) => {
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
