/** What an owner does with the tasks of targets that fail, are slow, stall, drain or disappear. */
import { describe, it } from '../../../test/describe.js'
import { createJobRig, findGuaranteeViolation, makeJob } from '../../../test/jobRig.js'
import { sleep } from '../../shared/index.js'

describe('owner of a service with faulty or leaving targets', () => {
  it('stops using a target whose runs all fail', async (t) => {
    const rig = createJobRig()
    const bad = rig.addTarget('t1')
    rig.addTarget('t2')
    rig.addTarget('t3')
    const owner = await rig.startOwner()
    bad.faults.failsAll = true
    const jobs = Array.from({ length: 30 }, () => makeJob({ ms: 60, cpu: 900 }))
    for (const job of jobs) {
      rig.submit(owner, job)
      await sleep(25)
    }
    t.true(await rig.waitForOutcomes(jobs, 8000))
    const failed = rig.ledger.entries.filter(({ what }) => what === 'failed')
    t.true(failed.length <= 8, `${failed.length} runs failed`)
    await rig.stop()
  })

  // A new owner knows only the callers' estimates. Judged by these, healthy targets would seem slow
  // and the owner would stop their runs.
  it('treats no target as slow because of estimated run times alone', async (t) => {
    const rig = createJobRig()
    const target = rig.addTarget('t1')
    rig.addTarget('t2')
    const owner = await rig.startOwner()
    target.faults.percent = 15
    const job = makeJob({ ms: 2600, cpu: 400 }, [{ count: 6, estimateMs: 100 }])
    rig.submit(owner, job)
    t.true(await rig.waitForOutcomes([job], 6000))
    const stops = rig.ledger.entries.filter(({ what }) => what === 'stopped')
    t.deepEqual(stops, [])
    await rig.stop()
  })

  it('restarts stalled tasks on another target', async (t) => {
    const rig = createJobRig()
    const bad = rig.addTarget('t1')
    const owner = await rig.startOwner()
    bad.faults.hangs = true
    const job = makeJob({ ms: 60, cpu: 900 })
    rig.submit(owner, job)
    await sleep(300)
    rig.addTarget('t2')
    t.true(await rig.waitForOutcomes([job], 6000))
    t.is(rig.outcomeOf(job), 'completed')
    t.is(findGuaranteeViolation(rig.ledger), undefined)
    await rig.stop()
  })

  it('moves lasting tasks off a draining target', async (t) => {
    const rig = createJobRig()
    rig.addTarget('t1')
    const owner = await rig.startOwner()
    const job = makeJob({ ms: 0, cpu: 400 }, [{ count: 2, lasting: true, mayMiss: 1 }])
    rig.submit(owner, job)
    await sleep(300)
    rig.addTarget('t2')
    rig.addTarget('t1-again')
    rig.listed.set('t1', { ...rig.listed.get('t1')!, draining: true })
    rig.removeListEntry('t1-again')
    await sleep(4500)
    const elsewhere = rig.ledger.entries.filter(
      ({ target, what }) => target === 't2' && what === 'start',
    )
    t.is(elsewhere.length, 2)
    t.is(findGuaranteeViolation(rig.ledger), undefined)
    await rig.stop()
  })

  // The entry of a target lapses in an outage of the store, or disappears without a drain before.
  describe('target that disappears from the list', () => {
    /** Starts three lasting tasks on `t1`, adds `t2` and removes `t1` from the list. */
    async function startLasting(listSteadySince: number) {
      const rig = createJobRig()
      rig.listGapFreeSince = listSteadySince
      rig.addTarget('t1')
      const owner = await rig.startOwner()
      const job = makeJob({ ms: 0, cpu: 400 }, [{ count: 3, lasting: true, mayMiss: 1 }])
      rig.submit(owner, job)
      await sleep(400)
      rig.addTarget('t2')
      await sleep(200)
      rig.removeListEntry('t1')
      return rig
    }
    const stopsOf = ({ ledger }: ReturnType<typeof createJobRig>) =>
      ledger.entries.filter(({ what }) => what === 'stopped')

    it('keeps its tasks while it may reappear after an outage', async (t) => {
      const rig = await startLasting(performance.now())
      await sleep(1300)
      t.deepEqual(stopsOf(rig), [])
      rig.addTarget('t3')
      rig.listed.set('t1', { ...rig.listed.get('t3')!, id: 't1', address: 't1:1' })
      rig.removeListEntry('t3')
      await sleep(1500)
      t.deepEqual(stopsOf(rig), [])
      await rig.stop()
    })

    it('is emptied no faster than its steps allow', async (t) => {
      const rig = await startLasting(-Infinity)
      await sleep(6500)
      const stops = stopsOf(rig)
      t.is(stops.length, 3)
      // Each task has been running elsewhere for a while before the next one is stopped.
      for (const [index, stop] of stops.entries()) {
        const before = stops[index - 1]
        if (before) t.true(stop.at - before.at > 1000, `${stop.at - before.at} ms`)
      }
      t.is(findGuaranteeViolation(rig.ledger), undefined)
      await rig.stop()
    })
  })
})
