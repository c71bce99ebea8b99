/** Orders to stop that a target does not answer: nothing of the run may be left in the end. */
import type { ExecutionContext } from 'ava'
import { describe, it } from '../../../test/describe.js'
import { CAPACITY, createJobRig, makeJob } from '../../../test/jobRig.js'
import { sleep } from '../../shared/index.js'

/** A job that hangs on the only target, or whose start goes unanswered. */
async function cancelHangingJob(t: ExecutionContext, startIsLost: boolean) {
  const rig = createJobRig()
  t.teardown(() => rig.stop())
  const target = rig.addTarget('t1')
  const owner = await rig.own()
  await sleep(200)
  target.faults.hangs = true
  target.faults.silent = startIsLost
  const job = makeJob({ ms: 60, cpu: 400 }, [{ count: 1 }])
  rig.submit(owner, job)
  await sleep(400)
  target.faults.silent = true
  owner.cancel(job.id)
  await sleep(1500)
  target.faults.silent = false
  const isEmpty = (): boolean => {
    const [agent] = owner.agents()
    return agent?.placements.size === 0 && agent.room.free.cpu === CAPACITY.cpu
  }
  for (let each = 0; each < 400 && !isEmpty(); each++) await sleep(20)
  return isEmpty()
}

describe('stop that goes unanswered', () => {
  // The run of a cancelled job held its room until its own end, which a lasting one has not.
  it('is ordered again while the run is listed', async (t) => {
    t.true(await cancelHangingJob(t, false))
  })

  it('leaves no room taken for a start that went unanswered too', async (t) => {
    t.true(await cancelHangingJob(t, true))
  })
})
