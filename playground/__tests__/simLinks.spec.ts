import { describe, it } from '../../test/describe.js'
import { CAPACITY } from '../../test/jobRig.js'
import type { RunLedger } from '../sim/runLedger.js'
import { createSimOrders } from '../sim/simLinks.js'
import { createSimTarget } from '../sim/simTarget.js'

const TIMEOUT_MS = 100
const START = {
  task: 'a',
  run: 1,
  spec: '{"ms": 0}',
  leaseUntilMs: 5000,
  token: 1,
  checkpoint: '',
  ticket: '',
}
const POLL = { token: 1, ackedSeq: 0, leaseUntilMs: 5000, waitMs: 0 }

/** Restarts a target within a millisecond. */
function restart() {
  const ledger: RunLedger = { entries: [] }
  const create = () => createSimTarget({ id: 't1', capacity: CAPACITY, ledger })
  const earlier = create()
  earlier.crash()
  const present = create()
  const targets = new Map([['t1', present]])
  const link = createSimOrders(targets).open({ id: 't1', address: '' })
  return { earlier, present, link, ledger }
}

describe('order to a simulated target', () => {
  it('reaches whichever incarnation is there if it names none', async (t) => {
    const { link, ledger, present } = restart()
    t.true((await link.start(START, TIMEOUT_MS)).isOk())
    t.is(ledger.entries[0]?.lifeStartMs, present.lifeStartMs)
  })

  it('has no effect on another incarnation than the one that it names', async (t) => {
    const { link, ledger, earlier } = restart()
    const { lifeStartMs } = earlier
    const start = { ...START, lifeStartMs }
    const stop = { task: 'a', run: 1, token: 2, lifeStartMs }
    const results = [
      await link.start(start, TIMEOUT_MS),
      await link.stop(stop, TIMEOUT_MS),
      await link.pace({ ...stop, percent: 50 }, TIMEOUT_MS),
    ]
    for (const res of results) t.is(res.isErr() ? res.error.failure : 'done', 'notDone')
    t.deepEqual(ledger.entries, [])
    // The token of the refused orders was not taken.
    t.true((await link.start(START, TIMEOUT_MS)).isOk())
  })

  it('only reads the state of another incarnation', async (t) => {
    const { link, ledger, earlier, present } = restart()
    await link.start({ ...START, spec: '{"ms": 1}' }, TIMEOUT_MS)
    await present.waitForEnd(TIMEOUT_MS)
    const order = { ...POLL, ackedSeq: 5, lifeStartMs: earlier.lifeStartMs }
    const report = (await link.sync(order, TIMEOUT_MS))._unsafeUnwrap()
    t.is(report.lifeStartMs, present.lifeStartMs)
    t.is(report.ends.length, 1)
    t.falsy(ledger.entries.at(-1)?.isNoted)
  })

  it('has its effect on the incarnation that it names', async (t) => {
    const { link, ledger, present } = restart()
    const { lifeStartMs } = present
    const order = { ...START, lifeStartMs }
    t.true((await link.start(order, TIMEOUT_MS)).isOk())
    t.is(ledger.entries.length, 1)
  })

  it('finds later incarnations with later starts', (t) => {
    const { earlier, present } = restart()
    t.true(present.lifeStartMs > earlier.lifeStartMs)
  })
})
