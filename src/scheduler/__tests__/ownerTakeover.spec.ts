/** Guards against lost or repeated tasks whose runs an owner did not start or cannot observe. */
import { ok } from 'neverthrow'
import { createSimOrders } from '../../../playground/sim/simLinks.js'
import { describe, it } from '../../../test/describe.js'
import { listOf } from '../../../test/fixtures.js'
import {
  SERVICE,
  createJobRig,
  findGuaranteeViolation,
  makeJob,
} from '../../../test/jobRig.js'
import { intakeKey } from '../../jobs/index.js'
import type { Target } from '../../ports/index.js'
import { sleep } from '../../shared/index.js'
import { NO_EVACUATION } from '../../vms/index.js'
import { ROSTER_TABLE } from '../roster.js'

const failIfCalled = (): never => {
  throw new Error('not used in this test')
}

describe('owner of a service that takes over or has lost contact', () => {
  describe('takeover', () => {
    it('keeps running tasks and repeats no finished ones', async (t) => {
      const rig = createJobRig()
      rig.addTarget('t1')
      rig.addTarget('t2')
      const first = await rig.startOwner()
      const jobs = Array.from({ length: 10 }, () =>
        makeJob({ ms: 150, cpu: 400 }, [{ count: 2 }, { count: 2, after: [0] }]),
      )
      for (const job of jobs) rig.submit(first, job)
      await sleep(220)
      const second = await rig.startOwner()
      t.true(await rig.waitForOutcomes(jobs, 5000))
      t.is(findGuaranteeViolation(rig.ledger), undefined)
      t.is(rig.ledger.entries.filter(({ what }) => what === 'start').length, 40)
      // The former owner learns of the takeover at its next write or start, not before.
      const late = makeJob({ ms: 20, cpu: 400 })
      rig.submit(first, late)
      t.true(await rig.waitForOutcomes([late], 5000))
      t.truthy(first.lostBecause)
      t.is(second.lostBecause, undefined)
      t.is(findGuaranteeViolation(rig.ledger), undefined)
      await rig.stop()
    })

    // A VM that the former owner has closed and emptied may be moved at any moment.
    it('starts nothing before the owner of the fleet has answered', async (t) => {
      const rig = createJobRig()
      rig.addTarget('t1')
      rig.cloud = {
        list: async () => ok(listOf([])),
        move: failIfCalled,
        maintain: failIfCalled,
      }
      const owner = await rig.startOwner()
      const job = makeJob({ ms: 20, cpu: 400 })
      rig.submit(owner, job)
      await sleep(400)
      t.deepEqual(rig.ledger.entries, [])
      owner.evacuate(NO_EVACUATION)
      t.true(await rig.waitForOutcomes([job], 1000))
      await rig.stop()
    })

    it('waits until the leases of an unreachable target have expired', async (t) => {
      const rig = createJobRig()
      const cut = rig.addTarget('t1')
      const first = await rig.startOwner()
      cut.faults.hangs = true
      const job = makeJob({ ms: 50, cpu: 400 }, [{ count: 2 }])
      rig.submit(first, job)
      await sleep(200)
      cut.faults.silent = true
      first.live = false
      rig.addTarget('t2')
      await rig.startOwner()
      t.true(await rig.waitForOutcomes([job], 15_000))
      t.is(findGuaranteeViolation(rig.ledger), undefined)
      const again = rig.ledger.entries.filter(({ target }) => target === 't2')
      t.true(again.some(({ what }) => what === 'start'))
      await rig.stop()
    })
  })

  describe('takeover while the entry of a target is wrong', () => {
    /** Starts a task on `t1`, replaces the entry of `t1` and starts a successor beside `t2`. */
    async function takeOver(ms: number, wrong: Partial<Target>) {
      const rig = createJobRig()
      const target = rig.addTarget('t1')
      const entry = rig.listed.get('t1')!
      const first = await rig.startOwner()
      const job = makeJob({ ms, cpu: 400 }, [{ count: 1 }])
      rig.submit(first, job)
      while (rig.ledger.entries.length === 0) await sleep(5)
      first.live = false
      rig.setListEntry({ ...entry, ...wrong })
      const { orders } = rig
      const misled = createSimOrders(new Map())
      rig.orders = {
        open: (each) => (each.address === 'wrong:1' ? misled : orders).open(each),
      }
      rig.addTarget('t2')
      await rig.startOwner()
      return { rig, job, target, entry }
    }

    it('does not start its tasks elsewhere while they run: another service', async (t) => {
      const { rig, job, entry } = await takeOver(1500, { service: 'other' })
      await sleep(500)
      rig.setListEntry(entry)
      t.true(await rig.waitForOutcomes([job], 5000))
      t.is(rig.ledger.entries.filter(({ what }) => what === 'start').length, 1)
      t.is(findGuaranteeViolation(rig.ledger), undefined)
      await rig.stop()
    })

    // The address of another writer's entry may be that of another target.
    it('does not start its tasks elsewhere while they run: an address where another answers', async (t) => {
      const address = 'wrong:1'
      const { rig, job, entry } = await takeOver(1500, { address })
      await sleep(800)
      rig.setListEntry(entry)
      t.true(await rig.waitForOutcomes([job], 10_000))
      t.is(rig.ledger.entries.filter(({ what }) => what === 'start').length, 1)
      t.is(findGuaranteeViolation(rig.ledger), undefined)
      await rig.stop()
    })

    it('keeps its agent while jobs of its runs have not been read', async (t) => {
      const rig = createJobRig()
      rig.addTarget('t1')
      const entry = rig.listed.get('t1')!
      const first = await rig.startOwner()
      const job = makeJob({ ms: 1500, cpu: 400 }, [{ count: 1 }])
      rig.submit(first, job)
      while (rig.ledger.entries.length === 0) await sleep(5)
      first.live = false
      const { part } = intakeKey(job.queue, job.id)
      rig.table.faults.refusedParts.add(part)
      const second = await rig.startOwnerWithoutWaiting()
      while (second.agents()[0]?.heldRuns() !== 1) await sleep(5)
      rig.addTarget('t2')
      rig.setListEntry({ ...entry, service: 'other' })
      rig.table.faults.refusedParts.delete(part)
      t.true(await rig.waitForOutcomes([job], 5000))
      t.is(findGuaranteeViolation(rig.ledger), undefined)
      await rig.stop()
    })

    it('starts its tasks elsewhere once the leases there have expired', async (t) => {
      const { rig, job } = await takeOver(0, { service: 'other' })
      const startsOnT2 = () =>
        rig.ledger.entries.filter(
          ({ what, target }) => what === 'start' && target === 't2',
        )
      await sleep(5000)
      t.is(startsOnT2().length, 0)
      while (startsOnT2().length === 0) await sleep(20)
      t.is(findGuaranteeViolation(rig.ledger), undefined)
      t.is(rig.outcomeOf(job), undefined)
      const row = { table: ROSTER_TABLE, part: SERVICE, key: 't1' }
      for (let tries = 0; tries < 25 && rig.table.get(row); tries++) await sleep(20)
      t.is(rig.table.get(row), undefined)
      await rig.stop()
    })
  })

  it('does not wait for leases of a target incarnation that no VM has any more', async (t) => {
    const rig = createJobRig()
    const lost = rig.addTarget('t1')
    rig.cloud = {
      list: async () => ok(listOf([])),
      move: failIfCalled,
      maintain: failIfCalled,
    }
    const owner = await rig.startOwner()
    owner.evacuate(NO_EVACUATION)
    rig.submit(owner, makeJob({ ms: 0, cpu: 400 }, [{ count: 1 }]))
    await sleep(300)
    lost.crash()
    rig.addTarget('t2')
    await sleep(2800)
    t.is(rig.ledger.entries.at(-1)?.target, 't2')
    await rig.stop()
  })

  // Unanswered renewals must not extend the lease, as it would then never expire.
  it('starts a task again once the lease of a silent target has expired', async (t) => {
    const rig = createJobRig()
    const left = rig.addTarget('t1')
    const owner = await rig.startOwner()
    const job = makeJob({ ms: 0, cpu: 400 }, [{ count: 1, lasting: true }])
    rig.submit(owner, job)
    await sleep(300)
    left.crash()
    rig.removeListEntry('t1')
    rig.addTarget('t2')
    await sleep(7500)
    const again = rig.ledger.entries.filter(({ target }) => target === 't2')
    t.is(again.length, 1)
    await rig.stop()
  })

  // An owner in a data hall that is cut off misses ends that its successor records, and must
  // not run the tasks again.
  it('gives up no run while it has no contact with the store', async (t) => {
    const rig = createJobRig()
    const silent = rig.addTarget('t1')
    const owner = await rig.startOwner()
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
})
