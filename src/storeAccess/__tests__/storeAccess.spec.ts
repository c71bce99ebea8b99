import type { ExecutionContext } from 'ava'
import { createRowTable } from '../../../playground/sim/rowTable.js'
import { describe, it } from '../../../test/describe.js'
import type { RowTransaction } from '../../ports/index.js'
import { createMemoryLogger, sleep } from '../../shared/index.js'
import { answerPeerCall, createPeerRelay, createStoreAccess } from '../index.js'

const KEY = { table: 'rows', part: 'p', key: 'k' }
const PUT: RowTransaction = {
  conditions: [{ ...KEY, version: 0 }],
  puts: [{ ...KEY, value: 'v' }],
  removals: [],
}
/** Short times keep the tests fast. */
const TIMES = { silentMs: 60, probeMs: 20 }

/** Access of several nodes to one table; each calls the store under its own name. */
function startNodes(t: ExecutionContext, names: string[]) {
  const table = createRowTable()
  const log = createMemoryLogger()
  const nodes = new Map(
    names.map((name) => [
      name,
      createStoreAccess({ direct: table.forNode(name), log, ...TIMES }),
    ]),
  )
  for (const [name, access] of nodes) {
    const relay = createPeerRelay({
      peers: () => names.filter((other) => other !== name),
      send: (peer, call) => answerPeerCall(nodes.get(peer)!, call),
      log,
    })
    access.setRelay(relay)
  }
  t.teardown(() => {
    for (const access of nodes.values()) access.stop()
  })
  const storeOf = (name: string) => nodes.get(name)!.store
  const loggedNames = () => log.events.map(({ name }) => name)
  return { table, storeOf, loggedNames }
}

describe('createStoreAccess', () => {
  describe('store that refuses one node', () => {
    it('is called through a peer, and directly again once it accepts the node', async (t) => {
      const { table, storeOf, loggedNames } = startNodes(t, ['a', 'b'])
      table.faults.refusedNodes.add('a')
      const commit = await storeOf('a').commit(PUT)
      t.true(commit.isOk() && commit.value.committed)
      const read = await storeOf('a').read('rows', 'p')
      t.is(read._unsafeUnwrap().rows[0]?.value, 'v')
      t.deepEqual((await storeOf('a').parts('rows'))._unsafeUnwrap(), ['p'])
      const changes = await storeOf('a').changes('rows', 0, 0)
      t.is(changes._unsafeUnwrap().changes.length, 1)
      table.faults.refusedNodes.clear()
      await storeOf('a').read('rows', 'p')
      t.deepEqual(loggedNames(), ['storePeerFound', 'storeRelayed', 'storeDirect'])
    })

    it('reports compacted history through a peer too', async (t) => {
      const { table, storeOf } = startNodes(t, ['a', 'b'])
      await storeOf('a').commit(PUT)
      table.compact()
      table.faults.refusedNodes.add('a')
      const changes = await storeOf('a').changes('rows', 0, 0)
      t.is(changes._unsafeUnwrapErr().failure, 'compacted')
    })
  })

  describe('store whose answer takes long on the link of the node', () => {
    it('is not considered silent while bytes arrive', async (t) => {
      const table = createRowTable()
      table.faults.delayMs = 400
      const log = createMemoryLogger()
      let noteBytes = (): void => undefined
      const onBytes = (listener: () => void): void => void (noteBytes = listener)
      const direct = { ...table.forNode('a'), onBytes }
      const access = createStoreAccess({ direct, log, ...TIMES })
      const read = access.store.read('rows', 'p')
      await sleep(20)
      noteBytes()
      t.true((await read).isOk())
      t.deepEqual(log.events, [])
      access.stop()
    })
  })

  it('fails fast and without effect if no peer reaches the store either', async (t) => {
    const { table, storeOf } = startNodes(t, ['a', 'b', 'c'])
    table.faults.down = true
    const began = performance.now()
    const commit = await storeOf('a').commit(PUT)
    t.is(commit._unsafeUnwrapErr().failure, 'refused')
    t.true(performance.now() - began < 400)
    t.is(table.get(KEY), undefined)
  })

  it('does not relay a commit that may have taken effect', async (t) => {
    const { table, storeOf } = startNodes(t, ['a', 'b'])
    table.faults.lostShare = 1
    table.faults.random = () => 0
    const commit = await storeOf('a').commit(PUT)
    t.is(commit._unsafeUnwrapErr().failure, 'unknown')
    t.is(table.version(), 1)
  })

  describe('silent store', () => {
    it('is detected early; commits in flight fail as unknown', async (t) => {
      const { table, storeOf, loggedNames } = startNodes(t, ['a'])
      table.faults.delayMs = 1500
      const commit = await storeOf('a').commit(PUT)
      t.is(commit._unsafeUnwrapErr().failure, 'unknown')
      t.deepEqual(loggedNames(), ['storeSilent'])
    })

    it('receives no calls until a probe is answered', async (t) => {
      const { table, storeOf, loggedNames } = startNodes(t, ['a'])
      table.faults.delayMs = 1500
      await storeOf('a').read('rows', 'p')
      const refused = await storeOf('a').commit(PUT)
      t.is(refused._unsafeUnwrapErr().failure, 'unreachable')
      table.faults.delayMs = 0
      await sleep(100)
      t.true((await storeOf('a').commit(PUT)).isOk())
      t.deepEqual(loggedNames(), ['storeSilent', 'storeAnswers'])
    })

    it('is told apart from a slow store that answers', async (t) => {
      const { table, storeOf } = startNodes(t, ['a'])
      table.faults.delayMs = 40
      const reads = setInterval(() => void storeOf('a').read('rows', 'p'), 20)
      await sleep(300)
      clearInterval(reads)
      t.true((await storeOf('a').commit(PUT)).isOk())
    })
  })

  // Guards against commits that are sent while the store resets connections: for 3.5 s each new
  // job ran into the next reset, and 155 callers were told that their job may have been stored.
  describe('store that breaks connections', () => {
    it('is sent no commits whose outcome would be unknown', async (t) => {
      const { table, storeOf } = startNodes(t, ['a'])
      table.faults.broken = true
      t.is((await storeOf('a').commit(PUT))._unsafeUnwrapErr().failure, 'unknown')
      for (let tries = 0; tries < 5; tries++) {
        const commit = await storeOf('a').commit(PUT)
        t.is(commit._unsafeUnwrapErr().failure, 'unreachable')
      }
      table.faults.broken = false
      await sleep(2 * TIMES.probeMs)
      t.true((await storeOf('a').commit(PUT)).isOk())
    })

    it('is sent no commits to further parts after those to two parts were lost', async (t) => {
      const { table, storeOf, loggedNames } = startNodes(t, ['a'])
      table.faults.broken = true
      const failures: string[] = []
      for (const part of ['p1', 'p2', 'p3', 'p4', 'p5']) {
        const puts = [{ ...KEY, part, value: 'v' }]
        const commit = await storeOf('a').commit({ conditions: [], puts, removals: [] })
        failures.push(commit._unsafeUnwrapErr().failure)
      }
      t.deepEqual(failures, [
        'unknown',
        'unknown',
        'unreachable',
        'unreachable',
        'unreachable',
      ])
      table.faults.broken = false
      while (!loggedNames().includes('storeAnswers')) await sleep(5)
      t.true((await storeOf('a').commit(PUT)).isOk())
    })

    it('delays calls only by a probe if a single connection broke', async (t) => {
      const { table, storeOf } = startNodes(t, ['a'])
      table.faults.broken = true
      const broken = storeOf('a').read('rows', 'p')
      setImmediate(() => (table.faults.broken = false))
      await broken
      t.true((await storeOf('a').commit(PUT)).isOk())
      t.is(table.version(), 1)
    })
  })

  it('refuses a call of a peer that has the wrong shape', async (t) => {
    const access = createStoreAccess({
      direct: createRowTable().forNode('a'),
      log: createMemoryLogger(),
    })
    for (const text of ['', '{"method":"drop"}', '[]']) {
      const answer = JSON.parse(await answerPeerCall(access, text)) as object
      t.like(answer, { failure: 'refused' })
    }
  })
})
