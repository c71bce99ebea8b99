/**
 * Guards against jobs that do not progress for 3 s or more while a target of their pool has room.
 * It happens when the link of one target delays each answer by 0.3 s and placement looks only
 * at free room, not at how soon a target takes an order: the tasks of several jobs are placed on
 * that target, as it is the fullest, and its starts are sent one at a time, so that the tenth is
 * sent after 3 s. `orderLate` then shows waits of 3,047 to 3,232 ms for all tasks of a job while
 * another target is empty.
 */
import { describe, it } from '../../../test/describe.js'
import { createJobRig, makeJob } from '../../../test/jobRig.js'
import { sleep } from '../../shared/index.js'

/** Time limit for jobs that need not wait, in ms; it is the limit that users set. */
const DONE_MS = 3000
/** Time within which a task begins if a target that answers at once has room for it, in ms. */
const BEGUN_MS = 800

describe('a target that answers late', () => {
  it('does not delay a task that another target has room for', async (t) => {
    const rig = createJobRig()
    const late = rig.addTarget('t1')
    const owner = await rig.startOwner()
    const first = makeJob({ ms: 50, cpu: 100 }, [{ count: 1 }])
    rig.submit(owner, first)
    t.true(await rig.waitForOutcomes([first], DONE_MS))
    rig.addTarget('t2')
    late.faults.delayMs = 300
    const warm = makeJob({ ms: 50, cpu: 100 }, [{ count: 1 }])
    rig.submit(owner, warm)
    t.true(await rig.waitForOutcomes([warm], DONE_MS))
    // The first job fills the order queue of the slow target, which is in use; the second follows.
    const [many, next] = [14, 2].map((count) =>
      makeJob({ ms: 800, cpu: 100 }, [{ count }]),
    )
    rig.submit(owner, many!)
    await sleep(50)
    rig.submit(owner, next!)
    await sleep(BEGUN_MS)
    t.true(rig.ledger.entries.some(({ task }) => task.startsWith(next!.id)))
    t.true(await rig.waitForOutcomes([many!, next!], DONE_MS))
    await rig.stop()
  })

  it('gets all tasks in turn if it is the only one', async (t) => {
    const rig = createJobRig()
    rig.addTarget('t1').faults.delayMs = 100
    const owner = await rig.startOwner()
    const job = makeJob({ ms: 50, cpu: 100 }, [{ count: 30 }])
    rig.submit(owner, job)
    t.true(await rig.waitForOutcomes([job], 8000))
    await rig.stop()
  })
})
