import type { ExecutionContext } from 'ava'
import { createRowTable } from '../../../playground/sim/rowTable.js'
import { describe, it } from '../../../test/describe.js'
import { startOwnerNode } from '../../../test/ownerNodes.js'
import { createMemoryLogger, monotonicMs, sleep } from '../../shared/index.js'
import { createStoreAccess } from '../index.js'

/** Time that callers allow a job in addition to its work, in ms. */
const ALLOWANCE_MS = 600
/** Time-out of a call in the adapter, in ms. */
const CALL_TIMEOUT_MS = 1500
/** Time for which the store loses answers, in ms. */
const LOSSES_MS = 4500

/** Access to a store that runs every third commit without answering it. */
function startLossyStore(t: ExecutionContext, name: string) {
  const table = createRowTable()
  let commits = 0
  const startLosing = (): void => {
    table.faults.lostMs = CALL_TIMEOUT_MS
    table.faults.random = () => (++commits % 3 === 0 ? 0 : 1)
    table.faults.lostShare = 0.5
  }
  const log = createMemoryLogger()
  const access = createStoreAccess({ direct: table.forNode(name), log })
  t.teardown(access.stop)
  return { table, store: access.store, lose: startLosing, log }
}

describe('store that loses answers to commits', () => {
  it('does not use up the time that callers allow', async (t) => {
    const { store, lose } = startLossyStore(t, 'n1')
    lose()
    for (let each = 0; each < 6; each++) {
      const key = { table: 'rows', part: 'p', key: String(each) }
      const sentAt = monotonicMs()
      await store.commit({
        conditions: [{ ...key, version: 0 }],
        puts: [{ ...key, value: 'v' }],
        removals: [],
      })
      t.true(monotonicMs() - sentAt < ALLOWANCE_MS)
    }
  })

  it('does not cost an owner its service', async (t) => {
    const { table, store, lose } = startLossyStore(t, 'n1')
    const owner = startOwnerNode({ id: 'n1', store, services: ['a'], room: 9 })
    while (!owner.authorities.has('a')) await sleep(20)
    t.teardown(owner.stop)
    lose()
    const endsAt = monotonicMs() + LOSSES_MS
    let unconfirmed = 0
    while (monotonicMs() < endsAt) {
      await sleep(10)
      if (!owner.authorities.get('a')?.isConfirmed()) unconfirmed++
    }
    table.faults.lostShare = 0
    t.is(unconfirmed, 0)
  })

  it('is not treated as one that breaks connections', async (t) => {
    const { store, lose, log } = startLossyStore(t, 'n1')
    lose()
    const put = { table: 'rows', part: 'p', key: 'k', value: 'v' }
    for (let each = 0; each < 6; each++)
      await store.commit({ conditions: [], puts: [put], removals: [] })
    t.deepEqual(log.events, [])
  })
})
