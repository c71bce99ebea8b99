/**
 * Guards against VMs that are requested too late because an outage of the store hides the demand.
 *
 * When the need was computed from accepted jobs alone, a queue whose load began 1 s before an
 * outage requested no VMs for 8 s, as all its jobs were rightly refused. The VMs stayed with the
 * queue that had been busy before. After the outage 59 jobs per second were accepted and one VM
 * arrived; a network cut of the cloud's data hall delayed the others. A tenth of the queue's jobs
 * were in time. Of 750 jobs 132 were refused, and 368 were accepted and ended too late.
 */
import { describe, it } from '../../../test/describe.js'
import { createJobRig, makeJob } from '../../../test/jobRig.js'
import type { JobRig, RigOwner } from '../../../test/jobRig.js'

const makeJobs = (count: number) =>
  Array.from({ length: count }, () => makeJob({ ms: 400, cpu: 2000 }, [{ count: 8 }]))

async function withOwner(
  use: (owner: RigOwner, rig: JobRig) => void | Promise<void>,
): Promise<void> {
  const rig = createJobRig()
  rig.addTarget('t1')
  await use(await rig.startOwner(), rig)
  await rig.stop()
}

describe('jobs refused during an outage of the store', () => {
  it('count as expected work, with confirmed ownership or without', async (t) => {
    for (const confirmed of [true, false]) {
      await withOwner((owner) => {
        owner.confirmed = confirmed
        t.is(owner.report().neededCpu, 0)
        for (const job of makeJobs(10)) owner.expect(job)
        t.true(owner.report().timelyCpu > 0)
      })
    }
  })

  it('are neither run nor counted as waiting', async (t) => {
    await withOwner(async (owner, rig) => {
      const [job] = makeJobs(1)
      owner.expect(job!)
      t.is(owner.status(job!.id), undefined)
      t.is(owner.waiting(job!.queue), 0)
      t.false(await rig.waitForOutcomes([job!], 300))
      t.deepEqual(rig.ledger.entries, [])
    })
  })

  it('count once, however often their callers retry', async (t) => {
    await withOwner((owner) => {
      const jobs = makeJobs(10)
      for (const job of jobs) owner.expect(job)
      const once = owner.report().neededCpu
      for (const job of jobs) owner.expect(job)
      for (const job of jobs) owner.expect(job)
      t.true(owner.report().neededCpu <= once)
    })
  })

  it('are no new arrivals when they are accepted', async (t) => {
    await withOwner(async (owner, rig) => {
      const job = makeJob({ ms: 10, cpu: 2000 }, [{ count: 1 }])
      owner.expect(job)
      rig.submit(owner, job)
      t.true(await rig.waitForOutcomes([job], 2000))
      t.is(rig.outcomeOf(job), 'completed')
    })
  })
})
