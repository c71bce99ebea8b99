/**
 * Guards against starts that wait for roster rows: a target needs a durable row before anything
 * starts on it.
 */
import { ok } from 'neverthrow'
import { createRowTable } from '../../../playground/sim/rowTable.js'
import { describe, it } from '../../../test/describe.js'
import type { Authority } from '../../ownership/index.js'
import type { RowStore } from '../../ports/index.js'
import { createMemoryLogger, createStopController, sleep } from '../../shared/index.js'
import { createRoster } from '../roster.js'

const EPOCH = { table: 'epochs', part: 'svc', key: 'epoch' }

/** Creates a roster whose store neither applies nor answers the first commits. */
function startRoster(silentCommits: number) {
  const table = createRowTable()
  const version = table.put(EPOCH, '1')
  const store = table.forNode('n1')
  const stopping = createStopController()
  let commits = 0
  const silent: RowStore = {
    ...store,
    async commit(tx) {
      commits++
      if (commits > silentCommits) return store.commit(tx)
      await sleep(20_000, stopping.signal)
      return ok({ committed: false, current: [] })
    },
  }
  const authority = {
    service: 'svc',
    epoch: () => ({ ...EPOCH, version }),
    adoptEpoch: () => true,
  } as unknown as Authority
  const roster = createRoster({
    store: silent,
    authority,
    entries: [],
    log: createMemoryLogger(),
    added: () => undefined,
  })
  return { roster, table, commits: () => commits, stop: () => stopping.abort() }
}

async function waitFor(condition: () => boolean): Promise<boolean> {
  for (let each = 0; each < 300 && !condition(); each++) await sleep(20)
  return condition()
}

describe('createRoster', () => {
  // Jobs would wait for up to 7 s for ready VMs if the writes of their rows went unanswered.
  it('writes new targets again while the store does not answer', async (t) => {
    const { roster, table, stop } = startRoster(2)
    roster.add({ id: 't1', address: 't1:1' })
    t.true(await waitFor(() => roster.has('t1')))
    t.is(table.rows('roster').length, 1)
    roster.stop()
    stop()
  })

  it('sends a silent store no more than three writes at a time', async (t) => {
    const { roster, commits, stop } = startRoster(100)
    roster.add({ id: 't1', address: 't1:1' })
    await sleep(2500)
    t.is(commits(), 3)
    t.false(roster.has('t1'))
    roster.stop()
    stop()
  })
})
