import fc from 'fast-check'
import { describe, it } from '../../../test/describe.js'
import { organisationsOf } from '../../../test/fixtures.js'
import { createAccounts, createShareOrder, dominantCpu, weightsOf } from '../index.js'
import type { WaitingJob, Weights } from '../index.js'

const ROOM_CPU = 10_000

type Waiting = WaitingJob<string>

const jobOf = (
  job: string,
  org: string | undefined,
  cost: number,
  more: Partial<Waiting> = {},
): Waiting => ({
  job,
  organisation: org,
  priority: 0,
  standing: 'timely',
  cost,
  ...more,
})

function startOrder(configured: Record<string, number>) {
  const weights: Weights = weightsOf(organisationsOf(configured))
  const accounts = createAccounts(weights.of)
  const order = createShareOrder(accounts)
  const begin = (jobs: Waiting[], now = 0) =>
    order.begin({ jobs, weights, roomCpu: ROOM_CPU, now })
  return { accounts, order, begin }
}

const LARGE = ROOM_CPU * 1000

describe('weightsOf', () => {
  const weights = weightsOf(organisationsOf({ a: 4, b: 2, zero: 0, broken: NaN }))

  it('gives organisations without a weight the smallest configured one', (t) => {
    t.is(weights.of('a'), 4)
    t.is(weights.of('zero'), 2)
    t.is(weights.of('broken'), 2)
    t.is(weights.of('removed'), 2)
    t.is(weights.total, 10)
  })

  it('gives them at least 1', (t) => {
    t.is(weightsOf(organisationsOf({ a: 0.1, zero: 0 })).of('zero'), 1)
    t.is(weightsOf(organisationsOf({ zero: 0 })).of('zero'), 1)
    t.is(weightsOf(new Map()).of('removed'), 1)
  })

  it('is positive for any configuration', (t) => {
    fc.assert(
      fc.property(fc.dictionary(fc.string(), fc.double()), (configured) => {
        const { of, total } = weightsOf(organisationsOf(configured))
        return [...Object.keys(configured), 'other'].every(
          (name) => of(name) > 0 && total >= of(name),
        )
      }),
    )
    t.pass()
  })
})

describe('dominantCpu', () => {
  it('counts the resource of which the task takes the larger part', (t) => {
    const capacity = { cpu: 16_000, memMb: 32_000 }
    t.is(dominantCpu({ cpu: 1000, memMb: 1000 }, capacity), 1000)
    t.is(dominantCpu({ cpu: 1000, memMb: 8000 }, capacity), 4000)
    t.is(dominantCpu({ cpu: 1000, memMb: 8000 }, { cpu: 0, memMb: 0 }), 1000)
  })
})

describe('createShareOrder', () => {
  it('puts the one that has received less by weight first', (t) => {
    const { accounts, begin } = startOrder({ a: 1, b: 2 })
    const jobs = [jobOf('a1', 'a', 1), jobOf('b1', 'b', 1)]
    begin(jobs)
    accounts.addOwn('a', LARGE)
    accounts.addOwn('b', LARGE)
    const { shares } = begin(jobs)
    t.true(shares.get('b1')!.turn < shares.get('a1')!.turn)
    t.true(shares.get('a1')!.isBeyond)
    t.false(shares.get('b1')!.isBeyond)
  })

  it('counts what an organisation receives in other services', (t) => {
    const { accounts, begin } = startOrder({ a: 1, b: 1 })
    const jobs = [jobOf('a1', 'a', 1), jobOf('b1', 'b', 1)]
    begin(jobs)
    accounts.addOthers('a', LARGE)
    const { shares } = begin(jobs)
    t.true(shares.get('a1')!.isBeyond)
    t.false(shares.get('b1')!.isBeyond)
  })

  it('does not hold against an organisation what it received while nobody waited', (t) => {
    const { accounts, order, begin } = startOrder({ a: 1, b: 1 })
    begin([jobOf('a1', 'a', 1)])
    accounts.addOwn('a', LARGE)
    order.noteDrained()
    const { shares } = begin([jobOf('a2', 'a', 1), jobOf('b1', 'b', 1)])
    t.false(shares.get('a2')!.isBeyond)
    t.false(shares.get('b1')!.isBeyond)
  })

  it('does not let an organisation save up what it left unused', (t) => {
    const { accounts, order, begin } = startOrder({ a: 1, b: 1 })
    begin([jobOf('a1', 'a', 1), jobOf('b1', 'b', 1)])
    accounts.addOwn('a', LARGE)
    order.noteDrained()
    // Both wait from now on; the former user is served again after a limited burst of the other.
    accounts.addOwn('b', 2 * ROOM_CPU * 1000)
    const { shares } = begin([jobOf('a2', 'a', LARGE), jobOf('b2', 'b', LARGE)])
    t.true(shares.get('a2')!.turn < shares.get('b2')!.turn)
  })

  it('keeps a burst of an organisation that was idle within its share', (t) => {
    const { accounts, order, begin } = startOrder({ a: 1, b: 1 })
    begin([jobOf('a1', 'a', 1), jobOf('b1', 'b', 1)])
    accounts.addOwn('a', LARGE)
    order.noteDrained()
    const second = (ROOM_CPU * 1000) / 2
    const burst = Array.from({ length: 10 }, (_, each) =>
      jobOf(`b${each}`, 'b', second / 10),
    )
    const { shares } = begin([jobOf('a2', 'a', second), ...burst])
    t.true(burst.every(({ job }) => !shares.get(job)!.isBeyond))
  })

  it('is not held back by an organisation whose tasks cannot start', (t) => {
    const { accounts, order, begin } = startOrder({ a: 1, b: 1, stuck: 1 })
    const jobs = ['a', 'b', 'stuck'].map((name) => jobOf(name, name, 1))
    for (let now = 0; now < 5000; now += 100) {
      begin(jobs, now)
      for (const name of ['a', 'b']) {
        accounts.addOwn(name, ROOM_CPU * 50)
        order.noteServed(name, 0, now)
      }
    }
    const { shares } = begin(jobs, 5000)
    t.false(shares.get('a')!.isBeyond)
    t.false(shares.get('b')!.isBeyond)
  })

  it('serves the timely jobs of an organisation before its late ones', (t) => {
    const { begin } = startOrder({ a: 1 })
    const { shares } = begin([
      jobOf('late', 'a', LARGE, { standing: 'late' }),
      jobOf('timely', 'a', LARGE),
    ])
    t.true(shares.get('timely')!.turn < shares.get('late')!.turn)
  })

  it('leaves jobs without an organisation within the share, and out of the accounts', (t) => {
    const { accounts, begin } = startOrder({ a: 1 })
    const { shares, backlogs } = begin([jobOf('none', undefined, LARGE)])
    t.deepEqual(shares.get('none'), { isBeyond: false, turn: 0 })
    t.deepEqual(backlogs.get(0), { within: LARGE, beyond: 0 })
    t.is(accounts.byOrganisation.size, 0)
  })

  it('judges each priority by the organisations that wait there', (t) => {
    const { accounts, begin } = startOrder({ a: 1, b: 1 })
    const low = { priority: 1 }
    begin([jobOf('a', 'a', 1), jobOf('b', 'b', 1), jobOf('low', 'b', 1, low)])
    accounts.addOwn('b', LARGE)
    const { shares } = begin([
      jobOf('a', 'a', 1),
      jobOf('b', 'b', 1),
      jobOf('low', 'b', 1, low),
    ])
    t.true(shares.get('b')!.isBeyond)
    t.false(shares.get('low')!.isBeyond)
  })

  it('keeps on after an organisation was removed or its weight changed', (t) => {
    const before = weightsOf(organisationsOf({ a: 4, b: 2 }))
    const after = weightsOf(organisationsOf({ b: 2 }))
    let weights = before
    const accounts = createAccounts((name) => weights.of(name))
    const order = createShareOrder(accounts)
    const jobs = [jobOf('a1', 'a', 1), jobOf('b1', 'b', 1)]
    order.begin({ jobs, weights, roomCpu: ROOM_CPU, now: 0 })
    accounts.addOwn('a', 1000)
    weights = after
    const { states } = order.begin({ jobs, weights, roomCpu: ROOM_CPU, now: 0 })
    t.deepEqual(
      states.get(0)!.map(({ organisation: name, weight }) => [name, weight]),
      [
        ['a', 2],
        ['b', 2],
      ],
    )
  })

  it('has a job within the share, and finite turns, whatever waits', (t) => {
    const waiting = fc.array(
      fc.record({
        organisation: fc.option(fc.constantFrom('a', 'b', 'c', 'removed'), {
          nil: undefined,
        }),
        priority: fc.constantFrom(0, 1),
        standing: fc.constantFrom('timely' as const, 'late' as const),
        cost: fc.double({ min: 0, max: 1e9, noNaN: true }),
        received: fc.double({ min: -1e6, max: 1e9, noNaN: true }),
      }),
      { minLength: 1, maxLength: 30 },
    )
    fc.assert(
      fc.property(fc.array(waiting, { minLength: 1, maxLength: 8 }), (rounds) => {
        const { accounts, begin } = startOrder({ a: 1, b: 3, c: 0 })
        for (const [now, jobs] of rounds.entries()) {
          const { shares, backlogs } = begin(
            jobs.map((job, index) => ({ ...job, job: String(index) })),
            now * 200,
          )
          for (const { turn } of shares.values()) if (!Number.isFinite(turn)) return false
          const total = [...backlogs.values()].reduce(
            (sum, { within, beyond }) => sum + within + beyond,
            0,
          )
          const sent = jobs.reduce((sum, { cost }) => sum + cost, 0)
          if (Math.abs(total - sent) > 1e-6 * Math.max(1, sent)) return false
          if ([...shares.values()].every(({ isBeyond }) => isBeyond)) return false
          for (const { organisation: name, received } of jobs)
            if (name !== undefined) accounts.addOwn(name, received)
        }
        return true
      }),
    )
    t.pass()
  })

  it('divides room by weight between organisations that always wait', (t) => {
    const weights = fc.array(fc.integer({ min: 1, max: 9 }), {
      minLength: 2,
      maxLength: 8,
    })
    fc.assert(
      fc.property(weights, fc.integer({ min: 1, max: 5 }), (all, batch) => {
        const names = all.map((_, index) => `o${index}`)
        const configured = Object.fromEntries(names.map((name, i) => [name, all[i]!]))
        const { accounts, order, begin } = startOrder(configured)
        const cost = ROOM_CPU
        for (let now = 0; now < 4000; now++) {
          const { shares } = begin(
            names.map((name) => jobOf(name, name, cost)),
            now,
          )
          const next = [...names].sort(
            (a, b) => shares.get(a)!.turn - shares.get(b)!.turn,
          )
          for (const name of next.slice(0, Math.min(batch, names.length - 1))) {
            accounts.addOwn(name, cost)
            order.noteServed(name, 0, now)
          }
        }
        if (batch > 1) return true
        const received = names.map((name) => accounts.of(name).virtual)
        return Math.max(...received) - Math.min(...received) < 4 * ROOM_CPU + 1000 * cost
      }),
      { numRuns: 10 },
    )
    t.pass()
  })
})
