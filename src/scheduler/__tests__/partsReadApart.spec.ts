import { describe } from '../../../test/describe.js'
import { createJobRig, findGuaranteeViolation, makeJob } from '../../../test/jobRig.js'
import type { RigOwner } from '../../../test/jobRig.js'
import { itInVirtualTime, runToEnd } from '../../../test/virtualTime.js'
import { encodeJob, intakeKey } from '../../jobs/index.js'

describe('a new owner that reads one part of a queue long after another', () => {
  // The jobs of the first part were ready before their runs were adopted, and started again.
  itInVirtualTime('starts no task that runs', async (t, clock) => {
    const rig = createJobRig()
    rig.addTarget('t1')
    rig.addTarget('t2')
    let owner: RigOwner | undefined
    void rig.startOwner().then((each) => (owner = each))
    while (!owner) await clock.advance(5)
    const running = makeJob({ ms: 4000, cpu: 500 }, [{ count: 6 }])
    rig.submit(owner, running)
    await clock.advance(500)
    owner.live = false
    owner.confirmed = false
    await runToEnd(clock, owner.stop(false))
    const { part } = intakeKey(running.queue, running.id)
    let other = makeJob({})
    while (intakeKey(other.queue, other.id).part === part) other = makeJob({})
    const { part: otherPart, ...otherKey } = intakeKey(other.queue, other.id)
    rig.table.put({ ...otherKey, part: otherPart }, encodeJob(other))
    rig.table.faults.silentParts.add(otherPart)
    // The targets report before the first part has been read.
    rig.table.faults.delayMs = 100
    void rig.startOwnerWithoutWaiting()
    await clock.advance(1400)
    t.is(findGuaranteeViolation(rig.ledger), undefined)
    t.is(rig.log.events.filter(({ name }) => name === 'taskPlaced').length, 6)
    rig.table.faults.silentParts.clear()
    rig.table.faults.delayMs = 0
    await clock.advance(10_000)
    t.is(findGuaranteeViolation(rig.ledger), undefined)
    t.is(rig.outcomeOf(running), 'completed')
    t.is(rig.outcomeOf(other), 'completed')
    await runToEnd(clock, rig.stop())
  })
})
