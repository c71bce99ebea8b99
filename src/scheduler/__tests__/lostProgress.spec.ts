import type { ExecutionContext } from 'ava'
import { describe, it } from '../../../test/describe.js'
import { createJobRig, makeJob } from '../../../test/jobRig.js'
import { PROGRESS_TABLE } from '../../jobs/index.js'
import type { RowStore } from '../../ports/index.js'
import { createMemoryLogger, monotonicMs, sleep } from '../../shared/index.js'
import { createStoreAccess } from '../../storeAccess/index.js'

/** Time that callers allow beyond the duration of a job's work, in ms. */
const ALLOWANCE_MS = 600
/** Time-out of a store call in the adapter, in ms. */
const CALL_TIMEOUT_MS = 1500
const TASK_MS = 50

/** Starts an owner whose store applies some progress writes without answering in time. */
async function startOwner(t: ExecutionContext) {
  const rig = createJobRig()
  const direct = rig.table.forNode
  const losses = { left: 0 }
  const writes: string[][] = []
  rig.table.forNode = (name): RowStore => {
    const store = direct(name)
    const lossy: RowStore = {
      ...store,
      async commit(tx) {
        const res = await store.commit(tx)
        const progress = tx.puts.filter(({ table }) => table === PROGRESS_TABLE)
        if (progress.length === 0) return res
        writes.push(progress.map(({ value }) => value))
        if (losses.left === 0) return res
        losses.left--
        await sleep(CALL_TIMEOUT_MS)
        return res
      },
    }
    const access = createStoreAccess({ direct: lossy, log: createMemoryLogger() })
    t.teardown(access.stop)
    return access.store
  }
  rig.addTarget('t1')
  const owner = await rig.startOwner()
  t.teardown(() => rig.stop())
  const warm = makeJob({ ms: TASK_MS }, [{ count: 1 }])
  rig.submit(owner, warm)
  while (owner.status(warm.id) !== 'completed') await sleep(5)
  writes.length = 0
  return { rig, owner, losses, writes }
}

describe('progress write that is applied but not answered', () => {
  it('does not delay the job beyond what callers allow', async (t) => {
    const { rig, owner, losses } = await startOwner(t)
    losses.left = 2
    const job = makeJob({ ms: TASK_MS }, [{ count: 1 }])
    const submittedAt = monotonicMs()
    rig.submit(owner, job)
    while (owner.status(job.id) !== 'completed') await sleep(5)
    t.true(monotonicMs() - submittedAt - TASK_MS < ALLOWANCE_MS)
  })

  it('is not sent a third time once its rows are found in the store', async (t) => {
    const { rig, owner, losses, writes } = await startOwner(t)
    losses.left = 1
    const job = makeJob({ ms: TASK_MS }, [{ count: 1 }])
    rig.submit(owner, job)
    while (owner.status(job.id) !== 'completed') await sleep(5)
    t.is(writes.length, 2)
  })
})
