import { describe } from '../../../test/describe.js'
import { createJobRig, makeJob } from '../../../test/jobRig.js'
import type { JobRig, RigOwner } from '../../../test/jobRig.js'
import { itInVirtualTime, runToEnd } from '../../../test/virtualTime.js'
import type { VirtualClock } from '../../../test/virtualTime.js'

/** Starts an owner that has raised its token at a target, whose answers it has not got. */
async function raiseToken(clock: VirtualClock) {
  const rig = createJobRig()
  const target = rig.addTarget('t1')
  let owner: RigOwner | undefined
  void rig.startOwner().then((each) => (owner = each))
  while (!owner) await clock.advance(5)
  const first = makeJob({ ms: 50 }, [{ count: 2 }])
  rig.submit(owner, first)
  target.faults.mute = true
  await clock.advance(500)
  target.faults.mute = false
  await clock.advance(3000)
  return { rig, owner, first }
}

async function checkOwner(
  rig: JobRig,
  owner: RigOwner,
  clock: VirtualClock,
): Promise<string | undefined> {
  const job = makeJob({ ms: 50 }, [{ count: 2 }])
  rig.submit(owner, job)
  await clock.advance(15_000)
  return owner.lostBecause ?? rig.outcomeOf(job)
}

describe('an owner that has raised its token at a target', () => {
  // It called the target with a lower token than before, and took its own for that of a newer owner.
  itInVirtualTime('goes on with the target once it is listed again', async (t, clock) => {
    const { rig, owner } = await raiseToken(clock)
    const target = rig.targets.get('t1')!
    const entry = rig.listed.get('t1')!
    rig.removeListEntry('t1')
    target.faults.silent = true
    while (owner.agents().length > 0) await clock.advance(50)
    await clock.advance(1500)
    // The list changes while the target is not on it.
    rig.addTarget('t2')
    target.faults.silent = false
    rig.setListEntry(entry)
    t.is(await checkOwner(rig, owner, clock), 'completed')
    await runToEnd(clock, rig.stop())
  })

  itInVirtualTime(
    'goes on with a target whose address was corrected',
    async (t, clock) => {
      const { rig, owner } = await raiseToken(clock)
      const target = rig.targets.get('t1')!
      const entry = rig.listed.get('t1')!
      target.faults.silent = true
      await clock.advance(2000)
      rig.setListEntry({ ...entry, address: 't1:2' })
      target.faults.silent = false
      t.is(await checkOwner(rig, owner, clock), 'completed')
      await runToEnd(clock, rig.stop())
    },
  )
})
