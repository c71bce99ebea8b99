import fc from 'fast-check'
import { describe, it } from '../../../test/describe.js'
import { createShareLedger } from '../index.js'
import type { ShareAnswer } from '../index.js'

describe('createShareLedger', () => {
  it('tells each service what the others have given', (t) => {
    const ledger = createShareLedger(1)
    ledger.answer('a', 1, { given: { x: 0 } })
    ledger.answer('b', 1, { given: { x: 0 } })
    ledger.answer('a', 1, { given: { x: 70 } })
    t.deepEqual(ledger.answer('b', 1, { given: { x: 5 } }).given, { x: 70 })
    t.deepEqual(ledger.answer('a', 1, { given: {} }).given, { x: 5 })
  })

  it('leaves out what the report has seen', (t) => {
    const ledger = createShareLedger(3)
    ledger.answer('a', 1, { given: { x: 0, y: 0 } })
    const { version } = ledger.answer('a', 1, { given: { x: 70, y: 10 } })
    t.deepEqual(ledger.answer('b', 1, { given: {}, ledger: 3, seen: version }).given, {})
    ledger.answer('a', 1, { given: { y: 20 } })
    const seen = { given: {}, ledger: 3, seen: version }
    t.deepEqual(ledger.answer('b', 1, seen).given, { y: 20 })
  })

  it('repeats what may have been lost, until it has been seen', (t) => {
    const ledger = createShareLedger(3)
    ledger.answer('a', 1, { given: { x: 0 } })
    ledger.answer('a', 1, { given: { x: 70 } })
    const report = { given: {}, ledger: 3, seen: 0 }
    t.deepEqual(ledger.answer('b', 1, report).given, { x: 70 })
    t.deepEqual(ledger.answer('b', 1, report).given, { x: 70 })
  })

  it('sends all to an owner that has seen another ledger', (t) => {
    const ledger = createShareLedger(4)
    ledger.answer('a', 1, { given: { x: 0 } })
    ledger.answer('a', 1, { given: { x: 70 } })
    const report = { given: {}, ledger: 3, seen: 900 }
    t.deepEqual(ledger.answer('b', 1, report).given, { x: 70 })
  })

  // The total of a new owner starts again: its difference to the old one would be negative.
  it('goes on with a new owner of a service', (t) => {
    const ledger = createShareLedger(1)
    ledger.answer('a', 1, { given: { x: 0 } })
    ledger.answer('a', 1, { given: { x: 70 } })
    ledger.answer('a', 2, { given: { x: 0 } })
    ledger.answer('a', 2, { given: { x: 30 } })
    t.deepEqual(ledger.answer('b', 1, { given: {} }).given, { x: 100 })
  })

  it('does not count twice what its predecessor has passed on', (t) => {
    const ledger = createShareLedger(2)
    ledger.answer('a', 1, { given: { x: 5000 } })
    ledger.answer('a', 1, { given: { x: 5010 } })
    t.deepEqual(ledger.answer('b', 1, { given: {} }).given, { x: 10 })
  })

  it('brings every service to the same sums, whichever answers are lost', (t) => {
    const exchanges = fc.array(
      fc.record({
        service: fc.constantFrom('a', 'b', 'c'),
        organisation: fc.constantFrom('x', 'y'),
        amount: fc.integer({ min: -100, max: 1000 }),
        isLost: fc.boolean(),
      }),
      { maxLength: 60 },
    )
    fc.assert(
      fc.property(exchanges, (all) => {
        const ledger = createShareLedger(1)
        const services = ['a', 'b', 'c'].map((name) => ({
          name,
          own: { x: 0, y: 0 } as Record<string, number>,
          others: {} as Record<string, number>,
          seen: undefined as Pick<ShareAnswer, 'ledger' | 'version'> | undefined,
        }))
        const exchange = (service: (typeof services)[number], isLost: boolean): void => {
          const { name, own, others, seen } = service
          const report = { given: { ...own }, ledger: seen?.ledger, seen: seen?.version }
          const answer = ledger.answer(name, 1, report)
          if (isLost) return
          Object.assign(others, answer.given)
          service.seen = answer
        }
        for (const service of services) exchange(service, false)
        for (const { service: name, organisation, amount, isLost } of all) {
          const service = services.find((each) => each.name === name)!
          service.own[organisation]! += amount
          exchange(service, isLost)
        }
        for (const service of services) exchange(service, false)
        for (const service of services) exchange(service, false)
        return services.every(({ own, others }) =>
          ['x', 'y'].every((key) => {
            const total = services.reduce((sum, each) => sum + each.own[key]!, 0)
            return (others[key] ?? 0) === total - own[key]!
          }),
        )
      }),
    )
    t.pass()
  })

  it('keeps reports and answers small: 56 organisations fit into 2 kB', (t) => {
    const ledger = createShareLedger(1)
    const given = (total: number) =>
      Object.fromEntries(
        Array.from({ length: 56 }, (_, each) => [`organisation-${each}`, total]),
      )
    ledger.answer('a', 1, { given: given(0) })
    const report = { given: given(1e9) }
    ledger.answer('a', 1, report)
    t.true(JSON.stringify(report).length < 2000)
    t.true(JSON.stringify(ledger.answer('b', 1, { given: {} })).length < 2000)
  })
})
