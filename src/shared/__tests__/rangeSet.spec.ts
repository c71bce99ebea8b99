import fc from 'fast-check'
import { describe, it } from '../../../test/describe.js'
import { createRangeSet } from '../rangeSet.js'

describe('createRangeSet', () => {
  it('holds the same numbers as a set, in the fewest ranges', (t) => {
    const change = fc.tuple(fc.nat({ max: 40 }), fc.nat({ max: 6 }))
    fc.assert(
      fc.property(fc.array(change), (changes) => {
        const ranges = createRangeSet()
        const expected = new Set<number>()
        for (const [first, length] of changes) {
          if (length === 0) {
            t.is(ranges.add(first), !expected.has(first))
            expected.add(first)
            continue
          }
          ranges.addRange([first, first + length])
          for (let each = 0; each <= length; each++) expected.add(first + each)
        }
        t.is(ranges.size, expected.size)
        for (let value = 0; value < 50; value++)
          t.is(ranges.has(value), expected.has(value))
        const starts = [...expected].filter((value) => !expected.has(value - 1))
        t.deepEqual(
          ranges.ranges().map(([first]) => first),
          starts.sort((a, b) => a - b),
        )
      }),
    )
  })

  it('takes ranges that overlap', (t) => {
    const ranges = createRangeSet([
      [4, 9],
      [1, 4],
      [11, 12],
      [10, 10],
    ])
    t.deepEqual(ranges.ranges(), [[1, 12]])
    t.is(ranges.size, 12)
  })
})
