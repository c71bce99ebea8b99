/** Guards against new targets that stand empty while the part with their service's rows is down. */
import type { ExecutionContext } from 'ava'
import { describe, it } from '../../../test/describe.js'
import {
  NODE,
  SERVICE,
  createJobRig,
  findGuaranteeViolation,
  makeJob,
} from '../../../test/jobRig.js'
import type { JobRig, RigOwner } from '../../../test/jobRig.js'
import { monotonicMs, sleep } from '../../shared/index.js'

const startsOn = ({ ledger }: JobRig, target: string): number =>
  ledger.entries.filter((each) => each.what === 'start' && each.target === target).length

/** Targets whose runs a successor has adopted. */
const adoptedRuns = ({ log }: JobRig): unknown[] =>
  log.events
    .filter(({ name }) => name === 'runAdopted')
    .map(({ fields }) => fields['target'])

async function waitFor(condition: () => boolean, ms: number): Promise<boolean> {
  const endsAt = monotonicMs() + ms
  while (!condition() && monotonicMs() < endsAt) await sleep(20)
  return condition()
}

describe('service whose part of the store is down', () => {
  const OUTAGES = {
    refuses: 'refusedParts',
    resets: 'brokenParts',
    'is silent': 'silentParts',
  } as const

  for (const [how, parts] of Object.entries(OUTAGES)) {
    it(`starts tasks on new targets while the part ${how}`, async (t) => {
      const rig = createJobRig()
      t.teardown(() => {
        rig.table.faults[parts].clear()
        return rig.stop()
      })
      rig.addTarget('t1')
      const owner = await rig.startOwner()
      rig.submit(owner, makeJob({ ms: 8000, cpu: 1000 }, [{ count: 8 }]))
      await sleep(500)
      rig.table.faults[parts].add(SERVICE)
      rig.addTarget('t2')
      await sleep(1500)
      t.is(startsOn(rig, 't2'), 4)
    })
  }

  /**
   * Starts an owner with one task running and one that waits for a new target, whose row cannot be
   * written to the part of the service.
   */
  async function startOnNewTarget(
    t: ExecutionContext,
    prepare: (rig: JobRig, owner: RigOwner) => void = () => undefined,
  ) {
    const rig = createJobRig()
    t.teardown(() => {
      rig.table.faults.brokenParts.clear()
      return rig.stop()
    })
    rig.addTarget('t1')
    const owner = await rig.startOwner()
    rig.submit(owner, makeJob({ ms: 4000, cpu: 4000 }, [{ count: 2 }]))
    await sleep(300)
    prepare(rig, owner)
    rig.table.faults.brokenParts.add(SERVICE)
    const target = rig.addTarget('t2')
    await sleep(600)
    return { rig, owner, target }
  }

  describe('with tasks on a new target that is no longer listed', () => {
    it('does not run them twice after a takeover', async (t) => {
      const { rig, owner, target } = await startOnNewTarget(t)
      t.is(startsOn(rig, 't2'), 1)
      await owner.stop(false)
      rig.removeListEntry('t2')
      target.faults.silent = true
      rig.table.faults.brokenParts.clear()
      await rig.startOwner()
      rig.addTarget('t3')
      await sleep(1000)
      t.is(startsOn(rig, 't3'), 0)
      target.faults.silent = false
      t.true(await waitFor(() => adoptedRuns(rig).includes('t2'), 2000))
      t.is(findGuaranteeViolation(rig.ledger), undefined)
    })

    it('does not run them twice while a successor cannot read their rows', async (t) => {
      const { rig, owner, target } = await startOnNewTarget(t)
      await owner.stop(false)
      rig.removeListEntry('t2')
      target.faults.silent = true
      rig.table.faults.brokenParts.clear()
      rig.table.faults.brokenParts.add(NODE)
      await rig.startOwner()
      rig.addTarget('t3')
      await sleep(1000)
      t.is(startsOn(rig, 't3'), 0)
      rig.table.faults.brokenParts.clear()
      target.faults.silent = false
      t.true(await waitFor(() => adoptedRuns(rig).includes('t2'), 2000))
      t.is(findGuaranteeViolation(rig.ledger), undefined)
    })
  })

  it('keeps its rows in one place once the part is back', async (t) => {
    const { rig } = await startOnNewTarget(t)
    t.is(rig.table.rows('nodeRoster').length, 1)
    rig.table.faults.brokenParts.clear()
    t.true(await waitFor(() => rig.table.rows('nodeRoster').length === 0, 1500))
    t.is(rig.table.rows('roster').length, 2)
  })

  it('removes rows in the part of a node that its predecessor has left', async (t) => {
    const { rig, owner } = await startOnNewTarget(t)
    const [left] = rig.table.rows('nodeRoster')
    rig.table.faults.brokenParts.clear()
    t.true(await waitFor(() => rig.table.rows('roster').length === 2, 1500))
    await owner.stop(false)
    rig.table.put(left!, left!.value)
    await rig.startOwner()
    t.true(await waitFor(() => rig.table.rows('nodeRoster').length === 0, 1500))
  })

  describe('starts nothing on new targets', () => {
    const HINDRANCES: Record<string, (rig: JobRig, owner: RigOwner) => void> = {
      'while a node of an earlier version may take over': (rig) =>
        void (rig.areNodeRostersRead = false),
      'while its lease is not confirmed': (_rig, owner) => void (owner.confirmed = false),
    }

    for (const [when, hinder] of Object.entries(HINDRANCES)) {
      it(when, async (t) => {
        const { rig } = await startOnNewTarget(t, hinder)
        await sleep(200)
        t.is(startsOn(rig, 't2'), 0)
      })
    }
  })

  // The owner read the store's version in a part that no row of any service is in.
  it('is taken over while a part without its rows is down', async (t) => {
    const rig = createJobRig()
    t.teardown(() => {
      rig.table.faults.brokenParts.clear()
      return rig.stop()
    })
    rig.addTarget('t1')
    rig.table.faults.brokenParts.add('')
    const owner = rig.startOwner()
    t.true(await Promise.race([owner.then(() => true), sleep(1000).then(() => false)]))
  })
})
