import fc from 'fast-check'
import { describe, it } from '../../../test/describe.js'
import { endOfSlice } from '../pacedStream.js'

function slicesOf(bytes: Buffer): Buffer[] {
  const slices: Buffer[] = []
  for (let rest = bytes; rest.length > 0;) {
    const end = endOfSlice(rest)
    slices.push(rest.subarray(0, end))
    rest = rest.subarray(end)
  }
  return slices
}

const headsIn = (slice: Buffer): number =>
  slice.toString('latin1').match(/\n\r?\n/g)?.length ?? 0

describe('slices of what has arrived', () => {
  // The parser hands over all requests of a slice at once.
  it('hold two heads at most, however many arrive in one read', (t) => {
    for (const request of [
      'GET / HTTP/1.1\r\n\r\n',
      'GET / HTTP/1.1\n\n',
      'GET /\r\n\r\n',
    ]) {
      const slices = slicesOf(Buffer.from(request.repeat(3000)))
      t.true(slices.every((slice) => headsIn(slice) <= 2))
    }
  })

  // Each chunk becomes an object of its own.
  it('hold few chunks of a body, however small these are', (t) => {
    const slices = slicesOf(Buffer.from('1\r\nx\r\n'.repeat(10_000)))
    t.true(slices.every((slice) => slice.toString().split('x').length <= 257))
  })

  it('pass a body without chunks on in one', (t) => {
    t.is(slicesOf(Buffer.alloc(64 * 1024, 'x')).length, 1)
  })

  it('pass a small request with its body on in one', (t) => {
    const request = Buffer.from(
      'POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 2\r\n\r\n{}',
    )
    t.is(endOfSlice(request), request.length)
  })

  it('are all of the bytes in their order', (t) => {
    const text = fc.string({ unit: fc.constantFrom('\r', '\n', 'a'), maxLength: 400 })
    fc.assert(
      fc.property(text, (each) => {
        const bytes = Buffer.from(each)
        const slices = slicesOf(bytes)
        t.true(slices.every(({ length }) => length > 0))
        t.deepEqual(Buffer.concat(slices), bytes)
      }),
    )
    t.pass()
  })
})
