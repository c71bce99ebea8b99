import { describe, it } from '../../../test/describe.js'
import { createPageSizes } from '../index.js'

/** Reads twelve pages of a table over a link, so that the page size settles. */
function readPagesOver(bytesPerMs: number, bytesPerRow: number, latencyMs = 8) {
  const sizes = createPageSizes()
  const times: number[] = []
  for (let page = 0; page < 12; page++) {
    const rows = sizes.nextPageRows('t')
    const tookMs = latencyMs + (rows * bytesPerRow) / bytesPerMs
    sizes.note('t', rows, tookMs)
    times.push(tookMs)
  }
  return { rows: sizes.nextPageRows('t'), times }
}

describe('createPageSizes', () => {
  it('grows to the largest page on a fast link', (t) => {
    t.is(readPagesOver(17_500, 1500).rows, 500)
  })

  it('keeps the time of a page on a slow link to a fraction of the lease', (t) => {
    const { times } = readPagesOver(175, 5000)
    t.true(
      times.slice(1).every((ms) => ms <= 150),
      times.join(' '),
    )
  })

  it('does not grow after a page that was not full', (t) => {
    const sizes = createPageSizes()
    sizes.note('t', 1, 5)
    t.is(sizes.nextPageRows('t'), 16)
  })

  it('adapts each table separately, and never asks for fewer than four rows', (t) => {
    const sizes = createPageSizes()
    for (let each = 0; each < 5; each++) sizes.note('t', 16, 60_000)
    t.is(sizes.nextPageRows('t'), 4)
    t.is(sizes.nextPageRows('other'), 16)
  })
})
