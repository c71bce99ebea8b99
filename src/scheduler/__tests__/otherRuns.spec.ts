import { describe, it } from '../../../test/describe.js'
import { createJobRig, makeJob } from '../../../test/jobRig.js'
import { sleep } from '../../shared/index.js'

/** Time within which a restarted target is heard, and a run is stopped, in ms. */
const LIMIT_MS = 3000

describe('target that runs another start of a task than its owner has ordered', () => {
  // The owner neither followed nor stopped the run: it went on after a cancel of the job.
  it('has that run stopped with the job', async (t) => {
    const rig = createJobRig()
    t.teardown(() => rig.stop())
    rig.addTarget('t1')
    const owner = await rig.startOwner()
    const job = makeJob({ ms: 0 }, [{ count: 1, lasting: true }])
    rig.submit(owner, job)
    while (rig.ledger.entries.length === 0) await sleep(5)
    await sleep(200)
    const [started] = rig.ledger.entries
    rig.targets.get('t1')!.crash()
    const next = rig.addTarget('t1')
    // An order of an owner of an earlier software version, which names no incarnation.
    const { task, run } = started!
    next.start({
      task,
      run: run + 1,
      spec: job.spec,
      untilMs: next.clockMs() + LIMIT_MS * 2,
      token: 0,
      checkpoint: '',
    })
    await sleep(LIMIT_MS)
    owner.cancel(job.id, job.queue)
    await sleep(LIMIT_MS)
    const report = next.sync({ token: Infinity, lastSeen: 0, untilMs: undefined })
    t.deepEqual(report?.runs, [])
  })
})
