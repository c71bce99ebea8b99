import { ok } from 'neverthrow'
import { describe, it } from '../../../test/describe.js'
import { createFrozenJobBook } from '../../../test/fixtures.js'
import { SERVICE, makeJob } from '../../../test/jobRig.js'
import type { Authority } from '../../ownership/index.js'
import type { RowCommit, RowStore, StoreResult } from '../../ports/index.js'
import { createMemoryLogger, sleep } from '../../shared/index.js'
import { createProgressWriter } from '../progressWriter.js'

/** Jobs that take three writes, as each takes two of the 100 entries of a transaction. */
const MANY_JOBS = 135

/** Creates a writer whose store answers a write only when `answer` is called. */
function startWriter() {
  const waiting: (() => void)[] = []
  let writes = 0
  const store = {
    commit: (): StoreResult<RowCommit> =>
      new Promise((resolve) => {
        writes++
        waiting.push(() => resolve(ok({ committed: true, version: writes })))
      }),
  } as unknown as RowStore
  const epoch = { table: 'epochs', part: SERVICE, key: 'epoch', version: 1 }
  const writer = createProgressWriter({
    store,
    service: SERVICE,
    authority: { epoch: () => epoch } as unknown as Authority,
    log: createMemoryLogger(),
    settled: () => undefined,
  })
  return { writer, waiting, writes: () => writes }
}

/** Creates a writer whose writes are refused, as the service has a newer owner. */
function startSuperseded() {
  const store = {
    commit: async (): StoreResult<RowCommit> => ok({ committed: false, current: [] }),
  } as unknown as RowStore
  const authority = {
    epoch: () => ({ table: 'epochs', part: SERVICE, key: 'epoch', version: 1 }),
    adoptEpoch: () => false,
    markLost: () => undefined,
  }
  return createProgressWriter({
    store,
    service: SERVICE,
    authority: authority as unknown as Authority,
    log: createMemoryLogger(),
    settled: () => undefined,
  })
}

describe('createProgressWriter', () => {
  it('acknowledges no end that a newer owner kept from being written', async (t) => {
    const writer = startSuperseded()
    t.teardown(() => writer.stop(false))
    let acknowledged = 0
    writer.addSource({ capture: () => () => void acknowledged++ })
    writer.markDirty(createFrozenJobBook().add(makeJob({})))
    t.false(await writer.flushed(200))
    t.false(await writer.flushed(50))
    t.is(acknowledged, 0)
  })

  it('does not make the ends of many jobs wait for one write after another', async (t) => {
    const { writer, waiting, writes } = startWriter()
    t.teardown(() => writer.stop(false))
    const book = createFrozenJobBook()
    for (let count = 0; count < MANY_JOBS; count++)
      writer.markDirty(book.add(makeJob({})))
    const flushed = writer.flushed(2000)
    while (waiting.length < 2) await sleep(5)
    t.is(writes(), 2)
    for (const answer of waiting.splice(0)) answer()
    await sleep(5)
    t.is(writes(), 3)
    for (const answer of waiting.splice(0)) answer()
    t.true(await flushed)
  })
})
