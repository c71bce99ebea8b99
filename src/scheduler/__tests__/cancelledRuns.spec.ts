/** What runs of a job after its caller cancelled it, however its run came to be. */
import { describe, it } from '../../../test/describe.js'
import { createJobRig, makeJob } from '../../../test/jobRig.js'
import type { JobRig } from '../../../test/jobRig.js'
import { sleep } from '../../shared/index.js'

/** Longer than any task of these tests may run on. */
const LONG_MS = 20_000
/** Time by which an order is carried out late, in ms. */
const LATE_MS = 900
/** Time within which a run must be stopped, in ms: the platform allows 3 s and more. */
const STOP_LIMIT_MS = 2500

/** Runs that have begun and not ended. */
const countRunning = ({ ledger }: JobRig): number =>
  ledger.entries.reduce((sum, { what }) => sum + (what === 'start' ? 1 : -1), 0)

/** Whether nothing runs, now and after as long as an order may come late. */
async function allRunsStop(rig: JobRig): Promise<boolean> {
  await sleep(LATE_MS + 300)
  const endsAt = performance.now() + STOP_LIMIT_MS
  while (countRunning(rig) > 0 && performance.now() < endsAt) await sleep(20)
  return countRunning(rig) === 0
}

describe('run of a cancelled job', () => {
  it('is stopped when the target starts it late', async (t) => {
    const rig = createJobRig()
    const target = rig.addTarget('t1')
    const owner = await rig.own()
    target.faults.lateMs = LATE_MS
    const job = makeJob({ ms: LONG_MS, cpu: 1000 }, [{ count: 1 }])
    rig.submit(owner, job)
    await sleep(200)
    t.true(owner.cancel(job.id))
    target.faults.lateMs = 0
    t.true(await allRunsStop(rig))
    await rig.stop()
  })

  it('is stopped when its starter is gone', async (t) => {
    const rig = createJobRig()
    rig.addTarget('t1')
    const first = await rig.own()
    const job = makeJob({ ms: LONG_MS, cpu: 1000 }, [{ count: 2 }])
    rig.submit(first, job)
    while (rig.ledger.entries.length < 2) await sleep(20)
    first.live = false
    await first.stop(false)
    const second = await rig.own()
    second.cancel(job.id)
    t.true(await allRunsStop(rig))
    await rig.stop()
  })

  it('is stopped when it starts late and its starter is gone', async (t) => {
    const rig = createJobRig()
    const target = rig.addTarget('t1')
    const first = await rig.own()
    target.faults.lateMs = LATE_MS
    const job = makeJob({ ms: LONG_MS, cpu: 1000 }, [{ count: 1 }])
    rig.submit(first, job)
    await sleep(200)
    target.faults.lateMs = 0
    first.live = false
    const second = await rig.own()
    second.cancel(job.id)
    t.true(await allRunsStop(rig))
    await rig.stop()
  })
})
