/** Guards against calls that are not sent to the store because one of its parts is down. */
import type { ExecutionContext } from 'ava'
import { createRowTable } from '../../../playground/sim/rowTable.js'
import { describe, it } from '../../../test/describe.js'
import type { RowStore, RowTransaction } from '../../ports/index.js'
import { createMemoryLogger, monotonicMs, sleep } from '../../shared/index.js'
import { PROBE_MS } from '../constants.js'
import { createStoreAccess } from '../index.js'

/** Time that a busy node takes to read the answer to a probe, in ms. */
const PROBE_ANSWER_MS = 150
const PROBE_TABLE = 'probe'

const putTo = (part: string): RowTransaction => ({
  conditions: [],
  puts: [{ table: 'rows', part, key: 'k', value: 'v' }],
  removals: [],
})

function startAccess(t: ExecutionContext) {
  const table = createRowTable()
  const direct = table.forNode('n')
  /** Parts of the commits that reached the store. */
  const sent: string[] = []
  const slowToProbe: RowStore = {
    ...direct,
    commit(tx) {
      sent.push(tx.puts[0]!.part)
      return direct.commit(tx)
    },
    async read(name, part, range) {
      if (name === PROBE_TABLE) await sleep(PROBE_ANSWER_MS)
      return direct.read(name, part, range)
    },
  }
  const log = createMemoryLogger()
  const access = createStoreAccess({ direct: slowToProbe, log })
  t.teardown(() => access.stop())
  return { table, access, sent, log }
}

describe('store of which a part breaks its connections', () => {
  it('is still called for all other parts', async (t) => {
    const { table, access } = startAccess(t)
    table.faults.brokenParts.add('down')
    const results = []
    for (let each = 0; each < 20; each++) {
      void access.store.commit(putTo('down'))
      await sleep(5)
      results.push(access.store.commit(putTo('p')))
      await sleep(5)
    }
    const failed = (await Promise.all(results)).filter((res) => res.isErr())
    t.is(failed.length, 0)
  })

  it('is sent no commits for the part whose outcome would be unknown', async (t) => {
    const { table, access, sent } = startAccess(t)
    table.faults.brokenParts.add('down')
    for (let each = 0; each < 20; each++) {
      await access.store.commit(putTo('down'))
      await access.store.commit(putTo('p'))
    }
    t.is(sent.filter((part) => part === 'down').length, 1)
  })

  it('is not called through a peer for the part', async (t) => {
    const { table, access } = startAccess(t)
    let relayed = 0
    access.setRelay(async () => void relayed++)
    table.faults.brokenParts.add('down')
    await access.store.commit(putTo('down'))
    const failures = []
    for (let each = 0; each < 5; each++) {
      const commit = await access.store.commit(putTo('down'))
      failures.push(commit._unsafeUnwrapErr().failure)
    }
    t.deepEqual(failures, Array<string>(5).fill('unreachable'))
    t.is(relayed, 0)
  })

  it('is called for the part again once that answers', async (t) => {
    const { table, access, log } = startAccess(t)
    table.faults.brokenParts.add('down')
    await access.store.commit(putTo('down'))
    table.faults.brokenParts.clear()
    while ((await access.store.commit(putTo('down'))).isErr()) await sleep(5)
    t.deepEqual(
      log.events.map(({ name }) => name),
      ['storePartDown', 'storePartAnswers'],
    )
  })

  // The breaker stayed open for the whole outage if the part that it probed was down.
  it('is called for the other parts whichever part the probes read', async (t) => {
    const { table, access } = startAccess(t)
    for (const part of ['', 'down', 'alsoDown']) table.faults.brokenParts.add(part)
    await access.store.commit(putTo('down'))
    await access.store.commit(putTo('alsoDown'))
    await sleep(4 * PROBE_ANSWER_MS)
    t.true((await access.store.commit(putTo('p'))).isOk())
  })

  // A probe that was sent while the part was silent is not answered once it is back.
  it('is called for a part that was silent soon after that is back', async (t) => {
    const { table, access, log } = startAccess(t)
    const others = setInterval(() => void access.store.read('rows', 'p'), 50)
    t.teardown(() => clearInterval(others))
    table.faults.silentParts.add('down')
    await access.store.read('rows', 'down')
    t.true(log.events.some(({ name }) => name === 'storePartDown'))
    t.true((await access.store.commit(putTo('down'))).isErr())
    await sleep(PROBE_ANSWER_MS + 20)
    table.faults.silentParts.clear()
    const backAt = monotonicMs()
    while ((await access.store.commit(putTo('down'))).isErr()) await sleep(20)
    t.true(monotonicMs() - backAt < 3 * PROBE_MS + PROBE_ANSWER_MS)
  })
})
