import { describe, it } from '../../../test/describe.js'
import { QUEUE, createJobRig, findBrokenPromise, makeJob } from '../../../test/jobRig.js'
import { sleep } from '../../shared/index.js'

describe('createServiceOwner', () => {
  it('runs steps in their order and makes outcomes durable', async (t) => {
    const rig = createJobRig()
    rig.addTarget('t1')
    rig.addTarget('t2')
    const owner = await rig.own()
    const job = makeJob({ ms: 20, cpu: 1000 }, [{ count: 6 }, { count: 3, after: [0] }])
    rig.submit(owner, job)
    t.true(await rig.settled([job], 3000))
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
    t.is(findBrokenPromise(rig.ledger), undefined)
    await rig.stop()
  })

  // Found on a day whose callers were told that no job waited while five had waited for 5 s.
  describe('jobs that wait', () => {
    it('include those whose start has only been ordered', async (t) => {
      const rig = createJobRig()
      const target = rig.addTarget('t1')
      const owner = await rig.own()
      const first = makeJob({ ms: 20, cpu: 1000 }, [{ count: 1 }])
      rig.submit(owner, first)
      t.true(await rig.settled([first], 3000))
      target.faults.silent = true
      rig.submit(owner, makeJob({ ms: 20, cpu: 1000 }, [{ count: 1 }]))
      await sleep(300)
      t.is(owner.waiting(QUEUE.name), 1)
      await rig.stop()
    })

    it('include those that came while the ownership was not confirmed', async (t) => {
      const rig = createJobRig()
      rig.addTarget('t1')
      const owner = await rig.own()
      owner.confirmed = false
      const job = makeJob({ ms: 20, cpu: 1000 }, [{ count: 1 }])
      rig.submit(owner, job)
      t.is(owner.waiting(QUEUE.name), 1)
      owner.confirmed = true
      t.true(await rig.settled([job], 3000))
      t.is(owner.waiting(QUEUE.name), 0)
      await rig.stop()
    })
  })

  it('fails a job whose task failed as often as allowed, and not before', async (t) => {
    const rig = createJobRig()
    rig.addTarget('t1')
    const owner = await rig.own()
    const job = makeJob({ ms: 5, cpu: 1000, fail: true }, [{ count: 1 }])
    rig.submit(owner, job)
    t.true(await rig.settled([job], 3000))
    t.is(rig.outcomeOf(job), 'failed')
    t.is(rig.ledger.entries.filter(({ what }) => what === 'failed').length, 2)
    await rig.stop()
  })

  it('stops the runs of a cancelled job and starts none again', async (t) => {
    const rig = createJobRig()
    rig.addTarget('t1')
    const owner = await rig.own()
    const job = makeJob({ ms: 0, cpu: 1000 }, [{ count: 3, lasting: true }])
    rig.submit(owner, job)
    const starts = () => rig.ledger.entries.filter(({ what }) => what === 'start')
    while (starts().length < 3) await sleep(10)
    t.true(owner.cancel(job.id))
    t.true(await rig.settled([job], 2000))
    await sleep(300)
    t.is(starts().length, 3)
    t.is(rig.ledger.entries.filter(({ what }) => what === 'stopped').length, 3)
    await rig.stop()
  })

  describe('order without an answer', () => {
    it('is not given again while it may still be carried out', async (t) => {
      const rig = createJobRig()
      const late = rig.addTarget('t1')
      const owner = await rig.own()
      await sleep(100)
      late.faults.lateMs = 150
      rig.addTarget('t2')
      const jobs = Array.from({ length: 8 }, () => makeJob({ ms: 300, cpu: 900 }))
      for (const job of jobs) rig.submit(owner, job)
      await sleep(500)
      late.faults.lateMs = 0
      t.true(await rig.settled(jobs, 12_000))
      t.is(findBrokenPromise(rig.ledger), undefined)
      await rig.stop()
    })
  })

  // Found by a hunt: jobs that came while the store was away were cancelled meanwhile.
  it('starts nothing of a job that was cancelled before it was taken on', async (t) => {
    const rig = createJobRig()
    rig.addTarget('t1')
    const owner = await rig.own()
    await sleep(200)
    owner.confirmed = false
    const job = makeJob({ ms: 60, cpu: 900 })
    rig.submit(owner, job)
    owner.cancel(job.id)
    owner.confirmed = true
    t.true(await rig.settled([job], 3000))
    t.is(rig.outcomeOf(job), 'cancelled')
    t.deepEqual(rig.ledger.entries, [])
    await rig.stop()
  })

  it('does not lose its place when a commit is done late', async (t) => {
    const rig = createJobRig()
    rig.addTarget('t1')
    const owner = await rig.own()
    let calls = 0
    rig.table.faults.lateMs = 250
    rig.table.faults.lostShare = 0.5
    rig.table.faults.random = () => (calls++ % 3 === 0 ? 0 : 1)
    const jobs = Array.from({ length: 10 }, () => makeJob({ ms: 10, cpu: 400 }))
    for (const job of jobs) {
      rig.submit(owner, job)
      await sleep(30)
    }
    t.true(await rig.settled(jobs, 8000))
    await sleep(400)
    for (const job of jobs) t.is(rig.outcomeOf(job), 'completed')
    t.is(owner.lostBecause, undefined)
    await rig.stop()
  })
})
