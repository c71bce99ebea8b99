import { ok } from 'neverthrow'
import { describe, it } from '../../../test/describe.js'
import { createFrozenJobBook } from '../../../test/fixtures.js'
import { SERVICE, makeJob } from '../../../test/jobRig.js'
import type { Authority } from '../../ownership/index.js'
import type { RowCommit, RowStore, StoreResult } from '../../ports/index.js'
import { createMemoryLogger, sleep } from '../../shared/index.js'
import { JOBS_PER_WRITE } from '../constants.js'
import { createProgressWriter } from '../progressWriter.js'

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

describe('createProgressWriter', () => {
  it('does not make the ends of many jobs wait for one write after another', async (t) => {
    const { writer, waiting, writes } = startWriter()
    t.teardown(() => writer.stop(false))
    const book = createFrozenJobBook()
    for (let count = 0; count < JOBS_PER_WRITE * 3; count++)
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
