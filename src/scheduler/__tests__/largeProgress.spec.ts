import { describe } from '../../../test/describe.js'
import {
  SERVICE,
  createJobRig,
  findGuaranteeViolation,
  makeJob,
} from '../../../test/jobRig.js'
import type { JobRig, RigOwner } from '../../../test/jobRig.js'
import { itInVirtualTime, runToEnd } from '../../../test/virtualTime.js'
import type { VirtualClock } from '../../../test/virtualTime.js'
import {
  PROGRESS_PARTS_TABLE,
  PROGRESS_TABLE,
  progressKey,
  progressPartKey,
} from '../../jobs/index.js'
import type { JobSpec } from '../../jobs/index.js'
import { DEFAULT_STORE_LIMITS } from '../../ports/index.js'

/** Limits under which a job of some hundred tasks is a large one. */
const SMALL_ROWS = { ...DEFAULT_STORE_LIMITS, entries: 30, rowBytes: 400 }

async function startOwner(rig: JobRig, clock: VirtualClock): Promise<RigOwner> {
  let owner: RigOwner | undefined
  void rig.startOwner().then((each) => (owner = each))
  while (!owner) await clock.advance(5)
  return owner
}

/** Ends an owner as when its process is killed. */
async function kill(owner: RigOwner, clock: VirtualClock): Promise<void> {
  owner.live = false
  owner.confirmed = false
  await runToEnd(clock, owner.stop(false))
}

const countStarts = ({ ledger }: JobRig, { id }: JobSpec): number =>
  ledger.entries.filter(({ what, task }) => what === 'start' && task.startsWith(id))
    .length

const isNoted = ({ log }: JobRig, event: string): boolean =>
  log.events.some(({ name }) => name === event)

describe('a job whose progress does not fit into one row', () => {
  // The row was refused for ever, and no end of the service was acknowledged any more.
  itInVirtualTime('is completed, and its rows are removed', async (t, clock) => {
    const rig = createJobRig()
    rig.table.faults.limits = SMALL_ROWS
    rig.addTarget('t1')
    const owner = await startOwner(rig, clock)
    const wide = makeJob({ ms: 20, cpu: 100 }, [{ count: 400 }])
    const recurring = makeJob(
      { ms: 5, cpu: 100 },
      [{ count: 1 }, { count: 1, after: [0] }],
      {
        repetitions: 300,
        startAtMs: Date.now(),
        intervalMs: 10,
      },
    )
    const small = makeJob({ ms: 5, cpu: 100 }, [{ count: 2 }])
    for (const job of [wide, recurring, small]) rig.submit(owner, job)
    await clock.advance(2000)
    t.true(rig.table.rows(PROGRESS_PARTS_TABLE).length > 0)
    await clock.advance(20_000)
    for (const job of [wide, recurring, small]) t.is(rig.outcomeOf(job), 'completed')
    t.is(findGuaranteeViolation(rig.ledger), undefined)
    t.deepEqual(rig.table.rejected, [])
    t.deepEqual(rig.table.rows(PROGRESS_PARTS_TABLE), [])
    t.deepEqual(rig.table.rows(PROGRESS_TABLE), [])
    await runToEnd(clock, rig.stop())
  })

  itInVirtualTime(
    'goes on under other owners without repeating a task',
    async (t, clock) => {
      const rig = createJobRig()
      rig.table.faults.limits = SMALL_ROWS
      rig.addTarget('t1', {}, { maxListedEnds: 20 })
      let owner = await startOwner(rig, clock)
      const wide = makeJob({ ms: 30, cpu: 200 }, [{ count: 600 }])
      rig.submit(owner, wide)
      for (let each = 0; each < 4; each++) {
        await clock.advance(700)
        await kill(owner, clock)
        owner = await startOwner(rig, clock)
      }
      await clock.advance(30_000)
      t.is(rig.outcomeOf(wide), 'completed')
      t.is(findGuaranteeViolation(rig.ledger), undefined)
      t.is(countStarts(rig, wide), 600)
      await runToEnd(clock, rig.stop())
    },
  )

  itInVirtualTime(
    'goes on after writes that are lost or carried out late',
    async (t, clock) => {
      const rig = createJobRig()
      rig.table.faults.limits = SMALL_ROWS
      let calls = 0
      rig.table.faults.random = () => ((calls++ * 7919) % 100) / 100
      rig.addTarget('t1')
      const owner = await startOwner(rig, clock)
      const wide = makeJob({ ms: 30, cpu: 200 }, [{ count: 500 }])
      rig.submit(owner, wide)
      await clock.advance(200)
      rig.table.faults.lostShare = 0.4
      rig.table.faults.lateMs = 150
      await clock.advance(2500)
      rig.table.faults.lostShare = 0
      await kill(owner, clock)
      await startOwner(rig, clock)
      await clock.advance(30_000)
      t.is(rig.outcomeOf(wide), 'completed')
      t.is(findGuaranteeViolation(rig.ledger), undefined)
      t.is(countStarts(rig, wide), 500)
      await runToEnd(clock, rig.stop())
    },
  )

  itInVirtualTime(
    'is held while the row of a segment cannot be read',
    async (t, clock) => {
      const rig = createJobRig()
      rig.table.faults.limits = SMALL_ROWS
      rig.addTarget('t1')
      const owner = await startOwner(rig, clock)
      const wide = makeJob({ ms: 30, cpu: 200 }, [{ count: 500 }])
      rig.submit(owner, wide)
      await clock.advance(2500)
      await kill(owner, clock)
      const [row] = rig.table.rows(PROGRESS_PARTS_TABLE)
      rig.table.put(row!, 'x')
      const before = countStarts(rig, wide)
      await startOwner(rig, clock)
      await clock.advance(8000)
      t.is(countStarts(rig, wide), before)
      rig.table.put(row!, row!.value)
      await clock.advance(40_000)
      t.is(rig.outcomeOf(wide), 'completed')
      t.is(findGuaranteeViolation(rig.ledger), undefined)
      await runToEnd(clock, rig.stop())
    },
  )
})

describe('rows of segments whose job is gone', () => {
  // An owner of an earlier software version removes the main row alone.
  itInVirtualTime('are removed by the next owner', async (t, clock) => {
    const rig = createJobRig()
    rig.table.put(progressPartKey(SERVICE, '00000000000000ff', '3'), '{"done":[[0,4]]}')
    await startOwner(rig, clock)
    await clock.advance(6000)
    t.deepEqual(rig.table.rows(PROGRESS_PARTS_TABLE), [])
    await runToEnd(clock, rig.stop())
  })
})

describe('a job whose progress the store can never take', () => {
  itInVirtualTime('keeps no other job from being completed', async (t, clock) => {
    const rig = createJobRig()
    rig.addTarget('t1')
    const owner = await startOwner(rig, clock)
    const odd = makeJob({ ms: 60, cpu: 100 }, [{ count: 60 }])
    const others = Array.from({ length: 60 }, () => makeJob({ ms: 40, cpu: 10 }))
    // The store refuses every row of this job but the one of its outcome.
    rig.table.faults.rejects = ({ puts }) =>
      puts.some(({ key, value }) => key === odd.id && value.includes('"0.0":['))
    for (const job of [odd, ...others]) rig.submit(owner, job)
    await clock.advance(1500)
    t.true(isNoted(rig, 'progressWithheld'))
    t.true(others.every((job) => rig.outcomeOf(job) === 'completed'))
    await clock.advance(15_000)
    t.is(rig.outcomeOf(odd), 'completed')
    await runToEnd(clock, rig.stop())
  })

  itInVirtualTime(
    'is held by the next owner, which starts no task again',
    async (t, clock) => {
      const rig = createJobRig()
      rig.addTarget('t1')
      const owner = await startOwner(rig, clock)
      const odd = makeJob({ ms: 400, cpu: 400 }, [{ count: 60 }])
      rig.table.faults.rejects = ({ puts }) =>
        puts.some(({ key, value }) => key === odd.id && value.includes('"0.0":['))
      rig.submit(owner, odd)
      await clock.advance(1200)
      t.true(isNoted(rig, 'progressWithheld'))
      await kill(owner, clock)
      await startOwner(rig, clock)
      await clock.advance(10_000)
      t.is(findGuaranteeViolation(rig.ledger), undefined)
      t.true(isNoted(rig, 'jobHeld'))
      t.truthy(rig.table.get(progressKey(SERVICE, odd.id)))
      await runToEnd(clock, rig.stop())
    },
  )
})
