import { closeSync, mkdtempSync, openSync, readFileSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { describe, it } from '../../../test/describe.js'
import { createEventLimit } from '../eventLimit.js'
import { createFdSink } from '../fdSink.js'

describe('createEventLimit', () => {
  it('limits each kind separately and counts what was left out', (t) => {
    let now = 0
    const limit = createEventLimit(() => now)
    let written = 0
    for (let each = 0; each < 5000; each++) if (limit.take('a').allowed) written++
    t.is(written, 600)
    t.true(limit.take('b').allowed)
    now = 1000
    t.deepEqual(limit.take('a'), { allowed: true, leftOut: 4400 })
    t.deepEqual(limit.take('a'), { allowed: true, leftOut: 0 })
  })
})

describe('createFdSink', () => {
  it('writes everything in order', async (t) => {
    const file = join(mkdtempSync(join(tmpdir(), 'sink-')), 'log')
    const fd = openSync(file, 'w')
    const sink = createFdSink(fd)
    for (let each = 0; each < 500; each++) sink.write(`${each}\n`)
    await new Promise<void>((resolve) => sink.end(resolve))
    closeSync(fd)
    const lines = readFileSync(file, 'utf8').trimEnd().split('\n')
    t.deepEqual(
      lines,
      Array.from({ length: 500 }, (_, each) => String(each)),
    )
  })
})
