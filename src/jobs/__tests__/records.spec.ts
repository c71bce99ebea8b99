import { describe, it } from '../../../test/describe.js'
import { cancelKey, intakeKey } from '../index.js'

describe('intakeKey', () => {
  const idOf = (number: number): string => (number * 7919).toString(16).padStart(16, '0')

  // In one part, a store slowed 60 times accepts the jobs of a queue one after another.
  it('spreads the jobs of a queue over parts', (t) => {
    const counts = new Map<string, number>()
    for (let number = 0; number < 800; number++) {
      const { part } = intakeKey('q', idOf(number))
      counts.set(part, (counts.get(part) ?? 0) + 1)
    }
    t.is(counts.size, 8)
    t.true(Math.max(...counts.values()) < 200)
  })

  it('puts a job and its request to cancel in one part, and other queues in other parts', (t) => {
    const id = idOf(17)
    t.is(cancelKey('q', id).part, intakeKey('q', id).part)
    t.not(intakeKey('other', id).part, intakeKey('q', id).part)
  })
})
