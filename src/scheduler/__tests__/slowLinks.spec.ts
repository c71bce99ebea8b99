/**
 * What callers saw: a job stood still for 3 s and more though a target of its pool had room.
 * Order of events: the link of one target delays each answer by 0.3 s; the tasks of several
 * jobs are placed there together, because it is the fullest; its starts are sent one after
 * another, so that the tenth leaves after 3 s.
 * Cause: a target was asked for room, and not for how soon it takes an order.
 * Evidence: `orderLate` with 3,047 to 3,232 ms for all tasks of a job, while `i-00000006` was empty.
 */
import { describe, it } from '../../../test/describe.js'
import { createJobRig, makeJob } from '../../../test/jobRig.js'
import { sleep } from '../../shared/index.js'

/** Time within which something that waits for nothing is done, in ms: the users' own limit. */
const DONE_MS = 3000
/** Time within which a task begins that has room on a target which answers at once, in ms. */
const BEGUN_MS = 800

describe('a target that answers late', () => {
  it('holds up no task that another target has room for', async (t) => {
    const rig = createJobRig()
    const late = rig.addTarget('t1')
    const owner = await rig.own()
    const first = makeJob({ ms: 50, cpu: 100 }, [{ count: 1 }])
    rig.submit(owner, first)
    t.true(await rig.settled([first], DONE_MS))
    rig.addTarget('t2')
    late.faults.delayMs = 300
    const warm = makeJob({ ms: 50, cpu: 100 }, [{ count: 1 }])
    rig.submit(owner, warm)
    t.true(await rig.settled([warm], DONE_MS))
    // The first one fills the queue of the target that is used already, the second comes behind it.
    const [many, next] = [14, 2].map((count) =>
      makeJob({ ms: 800, cpu: 100 }, [{ count }]),
    )
    rig.submit(owner, many!)
    await sleep(50)
    rig.submit(owner, next!)
    await sleep(BEGUN_MS)
    t.true(rig.ledger.entries.some(({ task }) => task.startsWith(next!.id)))
    t.true(await rig.settled([many!, next!], DONE_MS))
    await rig.stop()
  })

  it('gets all tasks in turn where it is the only one', async (t) => {
    const rig = createJobRig()
    rig.addTarget('t1').faults.delayMs = 100
    const owner = await rig.own()
    const job = makeJob({ ms: 50, cpu: 100 }, [{ count: 30 }])
    rig.submit(owner, job)
    t.true(await rig.settled([job], 8000))
    await rig.stop()
  })
})
