/** Runs of cancelled jobs are stopped, even if they start late or their owner has changed. */
import { describe, it } from '../../../test/describe.js'
import { createJobRig, makeJob } from '../../../test/jobRig.js'
import type { JobRig } from '../../../test/jobRig.js'
import { cancelKey } from '../../jobs/index.js'
import { sleep } from '../../shared/index.js'

/** Run time of a task, in ms; longer than any run may last after its job is cancelled. */
const LONG_MS = 20_000
/** Delay with which the target carries out an order, in ms. */
const LATE_MS = 900
/** Time within which a run must be stopped, in ms; the platform allows 3 s or more. */
const STOP_LIMIT_MS = 2500

/** Number of runs that have begun and not ended. */
const countRunning = ({ ledger }: JobRig): number =>
  ledger.entries.reduce((sum, { what }) => sum + (what === 'start' ? 1 : -1), 0)

/** Waits until no late order can arrive, then returns whether all runs stop in time. */
async function allRunsStop(rig: JobRig): Promise<boolean> {
  await sleep(LATE_MS + 300)
  const endsAt = performance.now() + STOP_LIMIT_MS
  while (countRunning(rig) > 0 && performance.now() < endsAt) await sleep(20)
  return countRunning(rig) === 0
}

describe('request to cancel a job of another queue', () => {
  // Guards against a cancel that stops the job of the same id in a queue of another service.
  it('leaves the job of the same id alone', async (t) => {
    const rig = createJobRig()
    rig.addTarget('t1')
    const owner = await rig.startOwner()
    const [early, running] = [1, 2].map(() => makeJob({ ms: 300, cpu: 500 }))
    rig.submit(owner, running!)
    for (const { id } of [early!, running!]) {
      rig.table.put(cancelKey('other', id), '{}')
      owner.cancel(id, 'other')
    }
    rig.submit(owner, early!)
    t.true(await rig.waitForOutcomes([early!, running!], 4000))
    t.deepEqual([early!, running!].map(rig.outcomeOf), ['completed', 'completed'])
    await rig.stop()
  })

  // Guards against requests of earlier versions, which name no queue, that have no effect.
  it('without a queue cancels the job, also before it arrives', async (t) => {
    const rig = createJobRig()
    rig.addTarget('t1')
    const owner = await rig.startOwner()
    const [early, running] = [1, 2].map(() => makeJob({ ms: 2000, cpu: 500 }))
    rig.submit(owner, running!)
    for (const { id } of [early!, running!]) owner.cancel(id)
    rig.submit(owner, early!)
    t.true(await rig.waitForOutcomes([early!, running!], 2000))
    t.deepEqual([early!, running!].map(rig.outcomeOf), ['cancelled', 'cancelled'])
    await rig.stop()
  })
})

describe('run of a cancelled job', () => {
  it('is stopped when the target starts it late', async (t) => {
    const rig = createJobRig()
    const target = rig.addTarget('t1')
    const owner = await rig.startOwner()
    target.faults.lateMs = LATE_MS
    const job = makeJob({ ms: LONG_MS, cpu: 1000 }, [{ count: 1 }])
    rig.submit(owner, job)
    await sleep(200)
    t.true(owner.cancel(job.id))
    target.faults.lateMs = 0
    t.true(await allRunsStop(rig))
    await rig.stop()
  })

  it('is stopped when the owner that started it is gone', async (t) => {
    const rig = createJobRig()
    rig.addTarget('t1')
    const first = await rig.startOwner()
    const job = makeJob({ ms: LONG_MS, cpu: 1000 }, [{ count: 2 }])
    rig.submit(first, job)
    while (rig.ledger.entries.length < 2) await sleep(20)
    first.live = false
    await first.stop(false)
    const second = await rig.startOwner()
    second.cancel(job.id)
    t.true(await allRunsStop(rig))
    await rig.stop()
  })

  it('is stopped when it starts late and the owner that ordered it is gone', async (t) => {
    const rig = createJobRig()
    const target = rig.addTarget('t1')
    const first = await rig.startOwner()
    target.faults.lateMs = LATE_MS
    const job = makeJob({ ms: LONG_MS, cpu: 1000 }, [{ count: 1 }])
    rig.submit(first, job)
    await sleep(200)
    target.faults.lateMs = 0
    first.live = false
    const second = await rig.startOwner()
    second.cancel(job.id)
    t.true(await allRunsStop(rig))
    await rig.stop()
  })
})
