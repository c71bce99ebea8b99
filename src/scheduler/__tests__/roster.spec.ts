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
import { createNodeRoster } from '../nodeRoster.js'
import { createRoster } from '../roster.js'

const EPOCH = { table: 'epochs', part: 'svc', key: 'epoch' }

/**
 * Creates a roster whose store neither applies nor answers the first commits.
 * @param firstAnswerMs time from the application of the first commit to its answer, in ms
 */
function startRoster(silentCommits: number, firstAnswerMs = 0) {
  const table = createRowTable()
  const version = table.put(EPOCH, '1')
  const store = table.forNode('n1')
  const stopping = createStopController()
  let commits = 0
  const silent: RowStore = {
    ...store,
    async commit(tx) {
      commits++
      const answerMs = commits === 1 ? firstAnswerMs : 0
      if (commits > silentCommits) {
        const res = await store.commit(tx)
        await sleep(answerMs)
        return res
      }
      await sleep(20_000, stopping.signal)
      return ok({ committed: false, current: [] })
    },
  }
  const authority = {
    service: 'svc',
    node: 'n1',
    isConfirmed: () => true,
    areNodeRostersRead: () => true,
    epoch: () => ({ ...EPOCH, version }),
    adoptEpoch: () => true,
  } as unknown as Authority
  const log = createMemoryLogger()
  const roster = createRoster({
    store: silent,
    authority,
    entries: [],
    nodeRoster: createNodeRoster({ store: silent, authority, log }),
    log,
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

  // A successor would not know of the tasks on a target that was removed and added again.
  describe('target that is added again', () => {
    const ENTRY = { id: 't1', address: 't1:1' }

    it('keeps its row when its removal is still to be written', async (t) => {
      const { roster, table, stop } = startRoster(0)
      roster.add(ENTRY)
      t.true(await waitFor(() => roster.has('t1')))
      table.faults.down = true
      roster.remove('t1')
      await sleep(200)
      roster.add(ENTRY)
      table.faults.down = false
      t.true(await waitFor(() => roster.has('t1')))
      await sleep(500)
      t.is(table.rows('roster').length, 1)
      roster.stop()
      stop()
    })

    it('keeps its row when its removal is carried out late', async (t) => {
      const { roster, table, stop } = startRoster(0)
      roster.add(ENTRY)
      t.true(await waitFor(() => roster.has('t1')))
      Object.assign(table.faults, { lostShare: 1, lateMs: 600 })
      roster.remove('t1')
      await sleep(50)
      table.faults.lostShare = 0
      roster.add(ENTRY)
      t.true(await waitFor(() => roster.has('t1')))
      await sleep(1000)
      t.is(table.rows('roster').length, 1)
      roster.stop()
      stop()
    })

    it('gets a row when the first write of its earlier row is answered late', async (t) => {
      const { roster, table, stop } = startRoster(0, 900)
      roster.add(ENTRY)
      t.true(await waitFor(() => roster.has('t1')))
      roster.remove('t1')
      await sleep(1000)
      t.is(table.rows('roster').length, 0)
      roster.add(ENTRY)
      t.true(await waitFor(() => roster.has('t1')))
      t.is(table.rows('roster').length, 1)
      roster.stop()
      stop()
    })
  })

  it('removes the row of a target that is gone although another write has changed it', async (t) => {
    const { roster, table, stop } = startRoster(0)
    roster.add({ id: 't1', address: 't1:1' })
    t.true(await waitFor(() => roster.has('t1')))
    table.put({ table: 'roster', part: 'svc', key: 't1' }, '{}')
    roster.remove('t1')
    t.true(await waitFor(() => table.rows('roster').length === 0))
    roster.stop()
    stop()
  })
})
