/** A stop order without an answer must not leave its run behind, or the room that it takes. */
import type { ExecutionContext } from 'ava'
import { describe, it } from '../../../test/describe.js'
import { CAPACITY, createJobRig, makeJob } from '../../../test/jobRig.js'
import { sleep } from '../../shared/index.js'

/**
 * Cancels a job whose task hangs on the only target, or whose start went unanswered, while the
 * target is silent. Returns whether the target has no runs and all its room in the end.
 */
async function cancelHangingJob(t: ExecutionContext, startIsLost: boolean) {
  const rig = createJobRig()
  t.teardown(() => rig.stop())
  const target = rig.addTarget('t1')
  const owner = await rig.startOwner()
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
  // Otherwise the run of a cancelled job takes room until it ends; a lasting run never does.
  it('is sent again while the run is listed', async (t) => {
    t.true(await cancelHangingJob(t, false))
  })

  it('frees the room of a run whose start went unanswered too', async (t) => {
    t.true(await cancelHangingJob(t, true))
  })
})
