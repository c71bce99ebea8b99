import { readFileSync } from 'node:fs'
import { describe, it } from '../../test/describe.js'
import { MARKERS, renderCapacity } from '../capacityPage.js'
import type { CapacityResults } from '../capacityPage.js'
import { fitExponent, fitLine } from '../fit.js'

/** Removes the padding of table cells that the formatter adds. */
const normalize = (text: string): string =>
  text
    .replace(/ *\| */g, '|')
    .replace(/-{3,}/g, '---')
    .replace(/\s+/g, ' ')
    .trim()

describe('docs/CAPACITY.md', () => {
  it('has the tables that are rendered from the kept results', (t) => {
    const results = JSON.parse(
      readFileSync('bench/results/capacity.json', 'utf8'),
    ) as CapacityResults
    const page = readFileSync('docs/CAPACITY.md', 'utf8')
    const block = page.split(MARKERS.begin)[1]?.split(MARKERS.end)[0] ?? ''
    t.is(normalize(block), normalize(renderCapacity(results)))
  })
})

describe('fits', () => {
  it('return the slope, base and exponent of exact points', (t) => {
    const points = [1, 2, 3, 5].map((size) => ({ size, value: 4 + 2 * size }))
    t.like(fitLine(points), { slope: 2, base: 4, r2: 1 })
    t.is(fitExponent([1, 2, 4, 8].map((size) => ({ size, value: 3 * size ** 2 }))), 2)
  })
})
