import { ok } from 'neverthrow'
import { describe, it } from '../../../test/describe.js'
import { QUEUE, createJobRig, findBrokenPromise, makeJob } from '../../../test/jobRig.js'
import { sleep } from '../../shared/index.js'
import { NOTHING_TO_EMPTY } from '../../vms/index.js'

const unused = (): never => {
  throw new Error('not used in this test')
}

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
    await sleep(200)
    t.true(owner.cancel(job.id))
    t.true(await rig.settled([job], 2000))
    await sleep(300)
    t.is(rig.ledger.entries.filter(({ what }) => what === 'start').length, 3)
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

  describe('takeover', () => {
    it('keeps what runs, and repeats nothing that was done', async (t) => {
      const rig = createJobRig()
      rig.addTarget('t1')
      rig.addTarget('t2')
      const first = await rig.own()
      const jobs = Array.from({ length: 10 }, () =>
        makeJob({ ms: 150, cpu: 400 }, [{ count: 2 }, { count: 2, after: [0] }]),
      )
      for (const job of jobs) rig.submit(first, job)
      await sleep(220)
      const second = await rig.own()
      t.true(await rig.settled(jobs, 5000))
      t.is(findBrokenPromise(rig.ledger), undefined)
      t.is(rig.ledger.entries.filter(({ what }) => what === 'start').length, 40)
      // The former owner learns of it at its next write or start, not before.
      const late = makeJob({ ms: 20, cpu: 400 })
      rig.submit(first, late)
      t.true(await rig.settled([late], 5000))
      t.truthy(first.lostBecause)
      t.is(second.lostBecause, undefined)
      t.is(findBrokenPromise(rig.ledger), undefined)
      await rig.stop()
    })

    // A VM that the former owner had closed and emptied may be moved at any moment.
    it('starts nothing before the owner of the fleet has heard of it', async (t) => {
      const rig = createJobRig()
      rig.addTarget('t1')
      rig.cloud = { list: async () => ok([]), move: unused, maintain: unused }
      const owner = await rig.own()
      const job = makeJob({ ms: 20, cpu: 400 })
      rig.submit(owner, job)
      await sleep(400)
      t.deepEqual(rig.ledger.entries, [])
      owner.evacuate(NOTHING_TO_EMPTY)
      t.true(await rig.settled([job], 1000))
      await rig.stop()
    })

    it('waits for the leases of a target that it cannot hear', async (t) => {
      const rig = createJobRig()
      const cut = rig.addTarget('t1')
      const first = await rig.own()
      cut.faults.hangs = true
      const job = makeJob({ ms: 50, cpu: 400 }, [{ count: 2 }])
      rig.submit(first, job)
      await sleep(200)
      cut.faults.silent = true
      first.live = false
      rig.addTarget('t2')
      await rig.own()
      t.true(await rig.settled([job], 15_000))
      t.is(findBrokenPromise(rig.ledger), undefined)
      const again = rig.ledger.entries.filter(({ target }) => target === 't2')
      t.true(again.some(({ what }) => what === 'start'))
      await rig.stop()
    })
  })

  // Found by a hunt: each unanswered renewal put the end of the lease off, for ever.
  it('starts a task again once the lease of a silent target is over', async (t) => {
    const rig = createJobRig()
    const left = rig.addTarget('t1')
    const owner = await rig.own()
    const job = makeJob({ ms: 0, cpu: 400 }, [{ count: 1, lasting: true }])
    rig.submit(owner, job)
    await sleep(300)
    left.crash()
    rig.unlist('t1')
    rig.addTarget('t2')
    await sleep(7500)
    const again = rig.ledger.entries.filter(({ target }) => target === 't2')
    t.is(again.length, 1)
    await rig.stop()
  })

  // Found on fk-aktiv trouble-2: a hall was cut off with the owner in it; its successor
  // took note of ends that the owner could not hear, and the owner ran the tasks again.
  it('gives up no run while it is out of touch with the store', async (t) => {
    const rig = createJobRig()
    const silent = rig.addTarget('t1')
    const owner = await rig.own()
    rig.submit(owner, makeJob({ ms: 0, cpu: 400 }, [{ count: 1 }]))
    await sleep(300)
    owner.confirmed = false
    silent.crash()
    rig.addTarget('t2')
    await sleep(7500)
    t.deepEqual(
      rig.ledger.entries.map(({ what }) => what),
      ['start', 'killed'],
    )
    owner.confirmed = true
    await sleep(700)
    t.is(rig.ledger.entries.at(-1)?.target, 't2')
    await rig.stop()
  })

  it('does not wait for leases of a life that no VM has any more', async (t) => {
    const rig = createJobRig()
    const lost = rig.addTarget('t1')
    rig.cloud = { list: async () => ok([]), move: unused, maintain: unused }
    const owner = await rig.own()
    owner.evacuate(NOTHING_TO_EMPTY)
    rig.submit(owner, makeJob({ ms: 0, cpu: 400 }, [{ count: 1 }]))
    await sleep(300)
    lost.crash()
    rig.addTarget('t2')
    await sleep(2800)
    t.is(rig.ledger.entries.at(-1)?.target, 't2')
    await rig.stop()
  })

  it('stops using a target that fails what it starts', async (t) => {
    const rig = createJobRig()
    const bad = rig.addTarget('t1')
    rig.addTarget('t2')
    rig.addTarget('t3')
    const owner = await rig.own()
    bad.faults.failsAll = true
    const jobs = Array.from({ length: 30 }, () => makeJob({ ms: 60, cpu: 900 }))
    for (const job of jobs) {
      rig.submit(owner, job)
      await sleep(25)
    }
    t.true(await rig.settled(jobs, 8000))
    const failed = rig.ledger.entries.filter(({ what }) => what === 'failed')
    t.true(failed.length <= 8, `${failed.length} runs failed`)
    await rig.stop()
  })

  // Found on a drawn day of tsb-sofia: a new owner had only the callers' guesses, took
  // healthy targets for slow and stopped what ran there.
  it('calls no target slow by a guess of the run time alone', async (t) => {
    const rig = createJobRig()
    const target = rig.addTarget('t1')
    rig.addTarget('t2')
    const owner = await rig.own()
    target.faults.percent = 15
    const job = makeJob({ ms: 2600, cpu: 400 }, [{ count: 6, estimateMs: 100 }])
    rig.submit(owner, job)
    t.true(await rig.settled([job], 6000))
    const stops = rig.ledger.entries.filter(({ what }) => what === 'stopped')
    t.deepEqual(stops, [])
    await rig.stop()
  })

  it('starts tasks elsewhere that stand still', async (t) => {
    const rig = createJobRig()
    const bad = rig.addTarget('t1')
    const owner = await rig.own()
    bad.faults.hangs = true
    const job = makeJob({ ms: 60, cpu: 900 })
    rig.submit(owner, job)
    await sleep(300)
    rig.addTarget('t2')
    t.true(await rig.settled([job], 6000))
    t.is(rig.outcomeOf(job), 'completed')
    t.is(findBrokenPromise(rig.ledger), undefined)
    await rig.stop()
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

  it('moves lasting tasks off a target that drains', async (t) => {
    const rig = createJobRig()
    rig.addTarget('t1')
    const owner = await rig.own()
    const job = makeJob({ ms: 0, cpu: 400 }, [{ count: 2, lasting: true, mayMiss: 1 }])
    rig.submit(owner, job)
    await sleep(300)
    rig.addTarget('t2')
    rig.addTarget('t1-again')
    rig.listed.set('t1', { ...rig.listed.get('t1')!, draining: true })
    rig.unlist('t1-again')
    await sleep(4500)
    const elsewhere = rig.ledger.entries.filter(
      ({ target, what }) => target === 't2' && what === 'start',
    )
    t.is(elsewhere.length, 2)
    t.is(findBrokenPromise(rig.ledger), undefined)
    await rig.stop()
  })

  // An entry lapses with the store, or goes without a word of leaving before.
  describe('target that goes from the list', () => {
    /** Three lasting tasks on two targets, one of which takes up to three. */
    async function startLasting(listSteadySince: number) {
      const rig = createJobRig()
      rig.listSteadySince = listSteadySince
      rig.addTarget('t1')
      const owner = await rig.own()
      const job = makeJob({ ms: 0, cpu: 400 }, [{ count: 3, lasting: true, mayMiss: 1 }])
      rig.submit(owner, job)
      await sleep(400)
      rig.addTarget('t2')
      await sleep(200)
      rig.unlist('t1')
      return rig
    }
    const stopsOf = ({ ledger }: ReturnType<typeof createJobRig>) =>
      ledger.entries.filter(({ what }) => what === 'stopped')

    it('keeps its tasks while it may come back after an outage', async (t) => {
      const rig = await startLasting(performance.now())
      await sleep(1300)
      t.deepEqual(stopsOf(rig), [])
      rig.addTarget('t3')
      rig.listed.set('t1', { ...rig.listed.get('t3')!, id: 't1', address: 't1:1' })
      rig.unlist('t3')
      await sleep(1500)
      t.deepEqual(stopsOf(rig), [])
      await rig.stop()
    })

    it('is emptied no faster than its steps can spare', async (t) => {
      const rig = await startLasting(-Infinity)
      await sleep(6500)
      const stops = stopsOf(rig)
      t.is(stops.length, 3)
      // Each task was at work elsewhere for a while before the next one was stopped.
      for (const [index, stop] of stops.entries()) {
        const before = stops[index - 1]
        if (before) t.true(stop.at - before.at > 1000, `${stop.at - before.at} ms`)
      }
      t.is(findBrokenPromise(rig.ledger), undefined)
      await rig.stop()
    })
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
