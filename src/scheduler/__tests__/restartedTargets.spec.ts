import type { ExecutionContext } from 'ava'
import { describe, it } from '../../../test/describe.js'
import { createJobRig, findGuaranteeViolation, makeJob } from '../../../test/jobRig.js'
import type { JobRig } from '../../../test/jobRig.js'
import { monotonicMs, sleep } from '../../shared/index.js'

/** Time between the crash of a target and its restart, in ms. */
const DOWNTIME_MS = 300
/** Initial clock of a target that simulates a long uptime, in ms. */
const LONG_UPTIME_MS = 480_000
/** Time within which tasks must run again after a restart, in ms. */
const RECOVERY_LIMIT_MS = 3000

/** Starts an owner of targets with a long uptime that have reported the ends of 12 tasks. */
async function startWithLongUptime(t: ExecutionContext, ids: string[]) {
  const rig = createJobRig()
  t.teardown(() => rig.stop())
  for (const id of ids) rig.addTarget(id, {}, { initialClockMs: LONG_UPTIME_MS })
  const owner = await rig.startOwner()
  const finished = makeJob({ ms: 20 }, [{ count: 12 }])
  rig.submit(owner, finished)
  t.true(await rig.waitForOutcomes([finished], 5000))
  return { rig, owner }
}

/** Crashes a target and starts it again under the same id. */
async function restartTarget(rig: JobRig, id: string): Promise<void> {
  rig.targets.get(id)!.crash()
  await sleep(DOWNTIME_MS)
  rig.addTarget(id)
}

const countStarts = (rig: JobRig, id: string): number =>
  rig.ledger.entries.filter(({ what, task }) => what === 'start' && task.startsWith(id))
    .length

describe('target that restarts under its id', () => {
  it('has the ends of its new runs processed, so that no task runs twice', async (t) => {
    const { rig, owner } = await startWithLongUptime(t, ['t1'])
    await restartTarget(rig, 't1')
    const job = makeJob({ ms: 50 }, [{ count: 4 }])
    rig.submit(owner, job)
    t.true(await rig.waitForOutcomes([job], 5000))
    t.is(countStarts(rig, job.id), 4)
    t.is(findGuaranteeViolation(rig.ledger), undefined)
  })

  it('gets its lasting tasks again', async (t) => {
    const { rig, owner } = await startWithLongUptime(t, ['t1'])
    const job = makeJob({ ms: 0 }, [{ count: 2, lasting: true }])
    rig.submit(owner, job)
    while (countStarts(rig, job.id) < 2) await sleep(5)
    await sleep(200)
    await restartTarget(rig, 't1')
    const endsAt = monotonicMs() + RECOVERY_LIMIT_MS
    while (countStarts(rig, job.id) < 4 && monotonicMs() < endsAt) await sleep(5)
    t.is(countStarts(rig, job.id), 4)
  })

  it('gets tasks if its earlier incarnation was known to be gone', async (t) => {
    const { rig, owner } = await startWithLongUptime(t, ['t1'])
    rig.targets.delete('t1')
    while (owner.agents().length > 0) await sleep(5)
    rig.addTarget('t1')
    const job = makeJob({ ms: 20 }, [{ count: 1 }])
    rig.submit(owner, job)
    t.true(await rig.waitForOutcomes([job], RECOVERY_LIMIT_MS))
  })

  it('gets no tasks before its new incarnation is listed', async (t) => {
    const { rig, owner } = await startWithLongUptime(t, ['t1'])
    const oldEntry = rig.listed.get('t1')!
    await restartTarget(rig, 't1')
    const newEntry = rig.listed.get('t1')!
    rig.setListEntry(oldEntry)
    const job = makeJob({ ms: 20 }, [{ count: 1 }])
    rig.submit(owner, job)
    await sleep(2000)
    t.is(countStarts(rig, job.id), 0)
    rig.setListEntry(newEntry)
    t.true(await rig.waitForOutcomes([job], RECOVERY_LIMIT_MS))
  })

  it('keeps its runs when a VM order is reported to have ended its earlier incarnation', async (t) => {
    const { rig, owner } = await startWithLongUptime(t, ['t1', 't2'])
    await restartTarget(rig, 't1')
    rig.targets.get('t2')!.faults.silent = true
    const job = makeJob({ ms: 800 }, [{ count: 2 }])
    rig.submit(owner, job)
    while (countStarts(rig, job.id) < 2) await sleep(5)
    rig.targets.get('t2')!.faults.silent = false
    owner.evacuate({ evacuate: [], hurry: [], ended: ['t1'] })
    t.true(await rig.waitForOutcomes([job], 10_000))
    t.is(findGuaranteeViolation(rig.ledger), undefined)
  })

  it('runs a task that a late order for its earlier incarnation starts, and no other target does', async (t) => {
    const { rig, owner } = await startWithLongUptime(t, ['t1', 't2'])
    const lateMs = 2 * DOWNTIME_MS
    const faults = rig.targets.get('t1')!.faults
    faults.lateMs = lateMs
    rig.targets.get('t2')!.faults.silent = true
    const job = makeJob({ ms: 900 }, [{ count: 2 }])
    rig.submit(owner, job)
    await sleep(150)
    await restartTarget(rig, 't1')
    rig.targets.get('t2')!.faults.silent = false
    t.true(await rig.waitForOutcomes([job], 12_000))
    t.is(findGuaranteeViolation(rig.ledger), undefined)
  })
})

describe('target that is taken for gone while it is alive', () => {
  // Another writer's entry can lead calls to a wrong address, where another incarnation answers.
  it('is used again if it stays listed', async (t) => {
    const rig = createJobRig()
    t.teardown(() => rig.stop())
    const target = rig.addTarget('t1')
    const owner = await rig.startOwner()
    rig.targets.delete('t1')
    while (!rig.log.events.some(({ name }) => name === 'targetGone')) await sleep(5)
    rig.targets.set('t1', target)
    const job = makeJob({ ms: 20 }, [{ count: 1 }])
    rig.submit(owner, job)
    t.true(await rig.waitForOutcomes([job], 12_000))
    t.is(rig.outcomeOf(job), 'completed')
  })
})
