import { describe, it } from '../../../test/describe.js'
import {
  QUEUE,
  createJobRig,
  findGuaranteeViolation,
  makeJob,
} from '../../../test/jobRig.js'
import { sleep } from '../../shared/index.js'

describe('createServiceOwner', () => {
  it('runs the steps of a job in order and makes its outcome durable', async (t) => {
    const rig = createJobRig()
    rig.addTarget('t1')
    rig.addTarget('t2')
    const owner = await rig.startOwner()
    const job = makeJob({ ms: 20, cpu: 1000 }, [{ count: 6 }, { count: 3, after: [0] }])
    rig.submit(owner, job)
    t.true(await rig.waitForOutcomes([job], 3000))
    t.is(rig.outcomeOf(job), 'completed')
    t.is(owner.status(job.id), 'completed')
    const starts = rig.ledger.entries.filter(({ what }) => what === 'start')
    t.is(starts.length, 9)
    const firstOfSecond = rig.ledger.entries.findIndex(({ task }) =>
      /\.0\.1\.\d$/.test(task),
    )
    const lastOfFirst = rig.ledger.entries.findLastIndex(
      ({ task, what }) => /\.0\.0\.\d$/.test(task) && what === 'done',
    )
    t.true(lastOfFirst < firstOfSecond)
    t.is(findGuaranteeViolation(rig.ledger), undefined)
    await rig.stop()
  })

  // Guards against a report of no waiting jobs while five have been waiting for 5 s.
  describe('number of waiting jobs', () => {
    it('includes a job whose start has been ordered but not answered', async (t) => {
      const rig = createJobRig()
      const target = rig.addTarget('t1')
      const owner = await rig.startOwner()
      const first = makeJob({ ms: 20, cpu: 1000 }, [{ count: 1 }])
      rig.submit(owner, first)
      t.true(await rig.waitForOutcomes([first], 3000))
      target.faults.silent = true
      rig.submit(owner, makeJob({ ms: 20, cpu: 1000 }, [{ count: 1 }]))
      await sleep(300)
      t.is(owner.waiting(QUEUE.name), 1)
      await rig.stop()
    })

    it('includes a job that arrives while the ownership is not confirmed', async (t) => {
      const rig = createJobRig()
      rig.addTarget('t1')
      const owner = await rig.startOwner()
      owner.confirmed = false
      const job = makeJob({ ms: 20, cpu: 1000 }, [{ count: 1 }])
      rig.submit(owner, job)
      t.is(owner.waiting(QUEUE.name), 1)
      owner.confirmed = true
      t.true(await rig.waitForOutcomes([job], 3000))
      t.is(owner.waiting(QUEUE.name), 0)
      await rig.stop()
    })
  })

  it('fails a job only after its task has failed as often as allowed', async (t) => {
    const rig = createJobRig()
    rig.addTarget('t1')
    const owner = await rig.startOwner()
    const job = makeJob({ ms: 5, cpu: 1000, fail: true }, [{ count: 1 }])
    rig.submit(owner, job)
    t.true(await rig.waitForOutcomes([job], 3000))
    t.is(rig.outcomeOf(job), 'failed')
    t.is(rig.ledger.entries.filter(({ what }) => what === 'failed').length, 2)
    await rig.stop()
  })

  it('stops the runs of a cancelled job and starts no more of them', async (t) => {
    const rig = createJobRig()
    rig.addTarget('t1')
    const owner = await rig.startOwner()
    const job = makeJob({ ms: 0, cpu: 1000 }, [{ count: 3, lasting: true }])
    rig.submit(owner, job)
    const starts = () => rig.ledger.entries.filter(({ what }) => what === 'start')
    while (starts().length < 3) await sleep(10)
    t.true(owner.cancel(job.id))
    t.true(await rig.waitForOutcomes([job], 2000))
    await sleep(300)
    t.is(starts().length, 3)
    t.is(rig.ledger.entries.filter(({ what }) => what === 'stopped').length, 3)
    await rig.stop()
  })

  describe('unanswered start order', () => {
    it('is not repeated while it may still be carried out', async (t) => {
      const rig = createJobRig()
      const late = rig.addTarget('t1')
      const owner = await rig.startOwner()
      await sleep(100)
      late.faults.lateMs = 150
      rig.addTarget('t2')
      const jobs = Array.from({ length: 8 }, () => makeJob({ ms: 300, cpu: 900 }))
      for (const job of jobs) rig.submit(owner, job)
      await sleep(500)
      late.faults.lateMs = 0
      t.true(await rig.waitForOutcomes(jobs, 12_000))
      t.is(findGuaranteeViolation(rig.ledger), undefined)
      await rig.stop()
    })
  })

  // A job that arrives during a store outage may be cancelled before it is admitted.
  it('starts no task of a job that was cancelled before it was admitted', async (t) => {
    const rig = createJobRig()
    rig.addTarget('t1')
    const owner = await rig.startOwner()
    await sleep(200)
    owner.confirmed = false
    const job = makeJob({ ms: 60, cpu: 900 })
    rig.submit(owner, job)
    owner.cancel(job.id)
    owner.confirmed = true
    t.true(await rig.waitForOutcomes([job], 3000))
    t.is(rig.outcomeOf(job), 'cancelled')
    t.deepEqual(rig.ledger.entries, [])
    await rig.stop()
  })

  it('keeps its ownership when a commit is applied late', async (t) => {
    const rig = createJobRig()
    rig.addTarget('t1')
    const owner = await rig.startOwner()
    let calls = 0
    rig.table.faults.lateMs = 250
    rig.table.faults.lostShare = 0.5
    rig.table.faults.random = () => (calls++ % 3 === 0 ? 0 : 1)
    const jobs = Array.from({ length: 10 }, () => makeJob({ ms: 10, cpu: 400 }))
    for (const job of jobs) {
      rig.submit(owner, job)
      await sleep(30)
    }
    t.true(await rig.waitForOutcomes(jobs, 8000))
    await sleep(400)
    for (const job of jobs) t.is(rig.outcomeOf(job), 'completed')
    t.is(owner.lostBecause, undefined)
    await rig.stop()
  })
})
