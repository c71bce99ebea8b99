import { describe } from '../../../test/describe.js'
import { createJobRig, findGuaranteeViolation, makeJob } from '../../../test/jobRig.js'
import type { JobRig, RigOwner } from '../../../test/jobRig.js'
import { itInVirtualTime } from '../../../test/virtualTime.js'
import type { VirtualClock } from '../../../test/virtualTime.js'
import { intakeKey } from '../../jobs/index.js'

/** Time in which all tasks of a job have started, in ms. */
const STARTING_MS = 4000
/** Run time of a task, in ms. */
const TASK_MS = 4500
/** Time from the start of an owner until it has taken note of all ends, in ms. */
const NOTING_MS = 6000

const startsOf = ({ ledger }: JobRig): number =>
  ledger.entries.filter(({ what }) => what === 'start').length

/** Runs the clock until a promise has resolved. */
async function resolved<T>(clock: VirtualClock, promise: Promise<T>): Promise<T> {
  let isPending = true
  void promise.finally(() => (isPending = false))
  while (isPending) await clock.advance(5)
  return promise
}

/** Has an owner start a job on one target, and end without taking note of the ends of its runs. */
async function startAndLeave(clock: VirtualClock, maxListedEnds: number, tasks: number) {
  const rig = createJobRig()
  rig.addTarget('t1', {}, { maxListedEnds })
  const owner = await resolved(clock, rig.startOwner())
  const job = makeJob({ ms: TASK_MS, cpu: 1 }, [{ count: tasks }])
  rig.submit(owner, job)
  await clock.advance(STARTING_MS)
  await resolved(clock, leave(owner))
  await clock.advance(TASK_MS - STARTING_MS + 1000)
  return { rig, job }
}

/** Ends an owner as when its process is killed. */
async function leave(owner: RigOwner): Promise<void> {
  owner.live = false
  owner.confirmed = false
  await owner.stop(false)
}

describe('takeover of a target with more ends than it lists at once', () => {
  // Tasks whose ends were not in the first report were started again.
  itInVirtualTime('starts no task again that is done', async (t, clock) => {
    const { rig, job } = await startAndLeave(clock, 10, 100)
    t.is(startsOf(rig), 100)
    void rig.startOwner()
    await clock.advance(NOTING_MS)
    t.is(findGuaranteeViolation(rig.ledger), undefined)
    t.is(startsOf(rig), 100)
    t.is(rig.outcomeOf(job), 'completed')
    await resolved(clock, rig.stop())
  })

  itInVirtualTime(
    'starts other tasks of the job once all ends are known',
    async (t, clock) => {
      const { rig, job } = await startAndLeave(clock, 10, 100)
      const unfinished = makeJob({ ms: 10 }, [{ count: 50 }, { count: 50, after: [0] }])
      rig.table.put(
        intakeKey(unfinished.queue, unfinished.id),
        JSON.stringify(unfinished),
      )
      void rig.startOwner()
      await clock.advance(NOTING_MS + 4000)
      t.is(findGuaranteeViolation(rig.ledger), undefined)
      t.is(rig.outcomeOf(job), 'completed')
      t.is(rig.outcomeOf(unfinished), 'completed')
      await resolved(clock, rig.stop())
    },
  )

  itInVirtualTime('knows all ends although jobs are read late', async (t, clock) => {
    const { rig, job } = await startAndLeave(clock, 10, 100)
    const { part } = intakeKey(job.queue, job.id)
    rig.table.faults.refusedParts.add(part)
    void rig.startOwner()
    await clock.advance(3000)
    t.is(startsOf(rig), 100)
    rig.table.faults.refusedParts.delete(part)
    await clock.advance(NOTING_MS)
    t.is(startsOf(rig), 100)
    t.is(rig.outcomeOf(job), 'completed')
    await resolved(clock, rig.stop())
  })

  // A run was known from the first report; a later one had room for neither the run nor its end.
  itInVirtualTime(
    'starts no task again whose end is not listed while its job is unread',
    async (t, clock) => {
      const rig = createJobRig()
      rig.addTarget('t1', {}, { maxListedEnds: 3 })
      const owner = await resolved(clock, rig.startOwner())
      const jobs = [
        makeJob({ ms: 3000, cpu: 1 }, [{ count: 3 }]),
        makeJob({ ms: 4000, cpu: 1 }, [{ count: 1 }]),
      ]
      for (const job of jobs) rig.submit(owner, job)
      await clock.advance(500)
      t.is(startsOf(rig), 4)
      await resolved(clock, leave(owner))
      const { refusedParts } = rig.table.faults
      for (const { queue, id } of jobs) refusedParts.add(intakeKey(queue, id).part)
      void rig.startOwner()
      await clock.advance(4500)
      refusedParts.clear()
      await clock.advance(NOTING_MS)
      t.is(findGuaranteeViolation(rig.ledger), undefined)
      t.is(startsOf(rig), 4)
      await resolved(clock, rig.stop())
    },
  )

  itInVirtualTime('starts a task again that vanished', async (t, clock) => {
    const { rig, job } = await startAndLeave(clock, 10, 100)
    rig.targets.delete('t1')
    rig.removeListEntry('t1')
    rig.addTarget('t2')
    void rig.startOwner()
    await clock.advance(STARTING_MS + TASK_MS + NOTING_MS + 8000)
    t.is(startsOf(rig), 200)
    t.is(rig.outcomeOf(job), 'completed')
    await resolved(clock, rig.stop())
  })
})
