import { describe, it } from '../../../test/describe.js'
import { createSlowOrders } from '../../../playground/sim/slowOrders.js'
import { createJobRig, makeJob } from '../../../test/jobRig.js'
import { sleep } from '../../shared/index.js'

const TASKS = 20
/** Processor time that the owner takes for each start, in ms. */
const START_MS = 100
/** Room of all tasks, in thousandths of a core. */
const TASK = { ms: 100, cpu: 100 }

describe('run times of an owner with little processor time', () => {
  // Requested room follows the backlog times the run time of its tasks.
  it('do not contain the time that starts wait for the owner', async (t) => {
    const rig = createJobRig()
    t.teardown(() => rig.stop())
    rig.orders = createSlowOrders(rig.orders, { startMs: START_MS, reportMs: 0 })
    for (let count = 0; count < TASKS; count++) rig.addTarget(`t${count}`)
    const owner = await rig.startOwner()
    const first = makeJob(TASK, [{ count: TASKS, maxPerTarget: 1 }])
    rig.submit(owner, first)
    t.true(await rig.waitForOutcomes([first], 5000))
    const unplaceable = makeJob({ ms: 0, cpu: 1000 }, [{ count: 4, label: 'none' }])
    rig.submit(owner, unplaceable)
    await sleep(1500)
    const { neededCpu } = owner.report()
    const meanRunMs = (neededCpu * 1500) / 4000
    t.log({ meanRunMs })
    t.true(meanRunMs < TASK.ms + START_MS)
  })
})
