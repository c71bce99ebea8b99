import type { IncomingMessage } from 'node:http'
import { Readable } from 'node:stream'
import { describe, it } from '../../../test/describe.js'
import { BODY_TOO_LARGE, CALLER_LEFT, readBody } from '../readBody.js'

/** A request whose body comes in these chunks. */
const requestOf = (chunks: Buffer[], headers = {}): IncomingMessage =>
  Object.assign(Readable.from(chunks), { headers }) as unknown as IncomingMessage

const bytesOf = (text: string): Buffer[] =>
  [...Buffer.from(text)].map((byte) => Buffer.from([byte]))

describe('the body of a request', () => {
  it('is whole, whatever the chunks it comes in', async (t) => {
    const text = 'é{"a":1}'.repeat(5000)
    for (const chunks of [
      bytesOf(text),
      [Buffer.from(text)],
      [Buffer.from('é'), ...bytesOf('x')],
    ]) {
      const expected = Buffer.concat(chunks)
      t.deepEqual(await readBody(requestOf(chunks), expected.length), expected)
    }
  })

  it('is empty if none comes', async (t) => {
    t.deepEqual(await readBody(requestOf([]), 10), Buffer.alloc(0))
  })

  // A chunked body declares no length.
  it('is too large if its bytes are, without a declared length', async (t) => {
    t.is(await readBody(requestOf(bytesOf('x'.repeat(11))), 10), BODY_TOO_LARGE)
  })

  it('is measured in bytes, not in characters', async (t) => {
    t.is(await readBody(requestOf([Buffer.from('é'.repeat(6))]), 10), BODY_TOO_LARGE)
  })

  it('is too large at once if it declares so', async (t) => {
    const endless = requestOf([], { 'content-length': '11' })
    t.is(await readBody(endless, 10), BODY_TOO_LARGE)
  })

  it('is incomplete if the caller leaves', async (t) => {
    const req = requestOf([Buffer.from('x')])
    const body = readBody(req, 10)
    req.destroy()
    t.is(await body, CALLER_LEFT)
  })
})
