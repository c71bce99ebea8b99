import type { ExecutionContext } from 'ava'
import { describe, it } from '../../../test/describe.js'
import { createJobRig, findBrokenPromise, makeJob } from '../../../test/jobRig.js'
import type { JobRig } from '../../../test/jobRig.js'
import { monotonicMs, sleep } from '../../shared/index.js'

/** Time for which a target is away between two lives, in ms. */
const AWAY_MS = 300
/** Clock of a target that has run for long, in ms. */
const LATE_CLOCK_MS = 480_000
/** Time within which what died with a life runs again, in ms. */
const BACK_WITHIN_MS = 3000

/** An owner with targets that have run for long. */
async function startLong(t: ExecutionContext, ids: string[]) {
  const rig = createJobRig()
  t.teardown(() => rig.stop())
  for (const id of ids) rig.addTarget(id, {}, { firstClockMs: LATE_CLOCK_MS })
  const owner = await rig.own()
  const before = makeJob({ ms: 20 }, [{ count: 12 }])
  rig.submit(owner, before)
  t.true(await rig.settled([before], 5000))
  return { rig, owner }
}

/** Ends the life of a target without a word, and begins another under its id. */
async function restart(rig: JobRig, id: string): Promise<void> {
  rig.targets.get(id)!.crash()
  await sleep(AWAY_MS)
  rig.addTarget(id)
}

const startsIn = (rig: JobRig, id: string): number =>
  rig.ledger.entries.filter(({ what, task }) => what === 'start' && task.startsWith(id))
    .length

describe('target that begins another life under its id', () => {
  it('has the ends of that life heard, so that nothing runs twice', async (t) => {
    const { rig, owner } = await startLong(t, ['t1'])
    await restart(rig, 't1')
    const job = makeJob({ ms: 50 }, [{ count: 4 }])
    rig.submit(owner, job)
    t.true(await rig.settled([job], 5000))
    t.is(startsIn(rig, job.id), 4)
    t.is(findBrokenPromise(rig.ledger), undefined)
  })

  it('starts again what has died with the life before', async (t) => {
    const { rig, owner } = await startLong(t, ['t1'])
    const job = makeJob({ ms: 0 }, [{ count: 2, lasting: true }])
    rig.submit(owner, job)
    while (startsIn(rig, job.id) < 2) await sleep(5)
    await sleep(200)
    await restart(rig, 't1')
    const endsAt = monotonicMs() + BACK_WITHIN_MS
    while (startsIn(rig, job.id) < 4 && monotonicMs() < endsAt) await sleep(5)
    t.is(startsIn(rig, job.id), 4)
  })

  it('gets work when the life before was known to be over', async (t) => {
    const { rig, owner } = await startLong(t, ['t1'])
    rig.targets.delete('t1')
    while (owner.agents().length > 0) await sleep(5)
    rig.addTarget('t1')
    const job = makeJob({ ms: 20 }, [{ count: 1 }])
    rig.submit(owner, job)
    t.true(await rig.settled([job], BACK_WITHIN_MS))
  })

  it('gets nothing before the list shows what it has become', async (t) => {
    const { rig, owner } = await startLong(t, ['t1'])
    const before = rig.listed.get('t1')!
    await restart(rig, 't1')
    const now = rig.listed.get('t1')!
    rig.listed.set('t1', before)
    const job = makeJob({ ms: 20 }, [{ count: 1 }])
    rig.submit(owner, job)
    await sleep(2000)
    t.is(startsIn(rig, job.id), 0)
    rig.listed.set('t1', now)
    t.true(await rig.settled([job], BACK_WITHIN_MS))
  })

  it('runs what an order to the life before has started late, and nobody else does', async (t) => {
    const { rig, owner } = await startLong(t, ['t1', 't2'])
    const lateMs = 2 * AWAY_MS
    const faults = rig.targets.get('t1')!.faults
    faults.lateMs = lateMs
    rig.targets.get('t2')!.faults.silent = true
    const job = makeJob({ ms: 900 }, [{ count: 2 }])
    rig.submit(owner, job)
    await sleep(150)
    await restart(rig, 't1')
    rig.targets.get('t2')!.faults.silent = false
    t.true(await rig.settled([job], 12_000))
    t.is(findBrokenPromise(rig.ledger), undefined)
  })
})
