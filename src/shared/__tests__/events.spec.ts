import { readFileSync } from 'node:fs'
import { Writable } from 'node:stream'
import { describe, it } from '../../../test/describe.js'
import { EVENTS, createLogger } from '../index.js'

describe('events', () => {
  it('have unique numbers', (t) => {
    const ids = Object.values(EVENTS).map(({ id }) => id)
    t.is(new Set(ids).size, ids.length)
    for (const id of ids) t.regex(id, /^RS-\d{4}$/)
  })

  it('are those of docs/events.md, with the same level and text', (t) => {
    const page = readFileSync('docs/events.md', 'utf8')
    const listed = [
      ...page.matchAll(/^\| (RS-\d{4}) +\| (\w+) +\| (\w+) +\| ([^|]+) \|/gm),
    ]
    const fromDocs = listed.map(
      ([, id, name, level, text]) => `${id} ${name} ${level} ${text!.trim()}`,
    )
    const fromCode = Object.entries(EVENTS).map(
      ([name, { id, level, text }]) => `${id} ${name} ${level} ${text}`,
    )
    t.deepEqual(fromDocs.sort(), fromCode.sort())
  })
})

describe('createLogger', () => {
  const linesOf = async (opts: Parameters<typeof createLogger>[0]) => {
    let text = ''
    const stream = new Writable({
      write: (chunk, _encoding, done) => ((text += String(chunk)), done()),
    })
    const log = createLogger({ ...opts, stream })
    log.event('routed', { request: 'r1' })
    log.child({ component: 'c' }).event('kernelStarted')
    await log.close()
    const lines = text.trimEnd().split('\n')
    return lines.map((line) => JSON.parse(line) as Record<string, unknown>)
  }

  it('writes one JSON line per event with its number and fields', async (t) => {
    const [routed, started] = await linesOf({ base: { node: 'e1' } })
    t.like(routed, { event: 'RS-2001', node: 'e1', request: 'r1', level: 'info' })
    t.like(started, { event: 'RS-1001', component: 'c' })
  })

  it('can leave out only the routing events', async (t) => {
    const lines = await linesOf({ routing: false })
    t.deepEqual(
      lines.map((line) => line['event']),
      ['RS-1001'],
    )
  })
})
