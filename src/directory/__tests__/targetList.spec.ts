import { createRowTable } from '../../../playground/sim/rowTable.js'
import { describe, it } from '../../../test/describe.js'
import { platformDocuments } from '../../../platform/index.js'
import { createMemoryLogger, sleep } from '../../shared/index.js'
import { createTargetList } from '../index.js'

/** Time within which the list reflects a change, with a margin, in ms. */
const UPDATE_WAIT_MS = 500

const entry = (more: object = {}): string =>
  JSON.stringify({
    service: 's',
    address: '10.0.0.1:80',
    zone: 'z',
    state: 'ready',
    labels: [],
    capacity: { cpu: 1000, mem_mb: 100, gpu: 0 },
    ...more,
  })

async function start(texts: Record<string, string>) {
  const table = createRowTable()
  const log = createMemoryLogger()
  const put = (id: string, text: string) =>
    table.put({ table: 'servers', part: '', key: id }, text)
  for (const [id, text] of Object.entries(texts)) put(id, text)
  const list = createTargetList({
    store: table.forNode('n'),
    documents: platformDocuments.targets,
    log,
  })
  await list.ready
  const linesOf = (name: string) => log.events.filter((each) => each.name === name)
  return { table, put, list, linesOf, ids: () => [...list.byId().keys()].sort() }
}

describe('createTargetList', () => {
  it('holds the targets with readable entries among unreadable ones', async (t) => {
    const { list, ids } = await start({
      a: entry(),
      b: 'no JSON',
      c: entry({ state: 'warming' }),
      d: entry({ state: 'draining' }),
    })
    t.deepEqual(ids(), ['a', 'd'])
    await list.stop()
  })

  // With the old entry kept, the owner would go on starting tasks on the target.
  it('excludes a target while its entry cannot be read', async (t) => {
    const { put, list, ids } = await start({ a: entry(), b: entry() })
    for (const wrong of ['', '{}', entry({ address: 'x' }), entry({ state: 'off' })]) {
      put('a', wrong)
      await sleep(UPDATE_WAIT_MS)
      t.deepEqual(ids(), ['b'], wrong)
      t.not(list.unreadableSince('a'), undefined)
      put('a', entry())
      await sleep(UPDATE_WAIT_MS)
      t.deepEqual(ids(), ['a', 'b'])
      t.is(list.unreadableSince('a'), undefined)
    }
    await list.stop()
  })

  it('logs an unreadable entry once, however often it is written', async (t) => {
    const { put, list, linesOf } = await start({ a: entry() })
    for (let beat = 0; beat < 5; beat++) {
      put('a', entry({ state: 'off', sequence: beat }))
      await sleep(UPDATE_WAIT_MS / 2)
    }
    t.is(linesOf('rowInvalid').length, 1)
    put('a', entry())
    await sleep(UPDATE_WAIT_MS)
    t.is(linesOf('rowMended').length, 1)
    put('a', JSON.stringify({ text: 'x'.repeat(1 << 20) }))
    await sleep(UPDATE_WAIT_MS)
    t.is(linesOf('rowInvalid').length, 2)
    for (const { fields } of linesOf('rowInvalid'))
      t.true(JSON.stringify(fields).length < 700)
    await list.stop()
  })

  it('forgets an unreadable entry that is removed', async (t) => {
    const { table, list, ids, linesOf } = await start({ a: 'no JSON' })
    table.remove({ table: 'servers', part: '', key: 'a' })
    await sleep(UPDATE_WAIT_MS)
    t.deepEqual(ids(), [])
    t.is(list.unreadableSince('a'), undefined)
    t.is(linesOf('rowMended').length, 1)
    await list.stop()
  })

  // Otherwise the owners of two services call one target, and each deposes the other in turn.
  it('rejects a single entry that changes service or address within a life', async (t) => {
    const { put, list, ids } = await start({ a: entry(), b: entry() })
    for (const other of [{ service: 'other' }, { address: '10.0.0.9:81' }]) {
      put('a', entry(other))
      await sleep(UPDATE_WAIT_MS)
      t.deepEqual(ids(), ['b'])
      put('a', entry())
      await sleep(UPDATE_WAIT_MS)
      put('a', entry({ sequence: 2 }))
      await sleep(UPDATE_WAIT_MS)
      t.deepEqual(ids(), ['a', 'b'])
      t.is(list.byId().get('a')?.service, 's')
    }
    await list.stop()
  })

  it('accepts the first entry of a later life with another service and address', async (t) => {
    const { put, list, ids } = await start({ a: entry({ born: 100 }) })
    put('a', entry({ born: 200, service: 'other', address: '10.0.0.9:81' }))
    await sleep(UPDATE_WAIT_MS)
    t.deepEqual(ids(), ['a'])
    t.is(list.byId().get('a')?.service, 'other')
    t.is(list.byId().get('a')?.lifeStartMs, 200)
    await list.stop()
  })

  it('rejects a single entry of an earlier life with another service', async (t) => {
    const { put, list, ids } = await start({ a: entry({ born: 200 }) })
    put('a', entry({ born: 100, service: 'other' }))
    await sleep(UPDATE_WAIT_MS)
    t.deepEqual(ids(), [])
    await list.stop()
  })
})
