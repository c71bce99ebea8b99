/**
 * Guards against a takeover that must be complete before the owner starts anything. After a
 * power loss of all nodes on slow links, five services get new owners on nodes with 0.12 of a
 * core and 1.4 Mbit/s, and each reads the intake of all services: 64 parts, four at a time. If
 * it calls no target and starts nothing until the last part is read, it needs 6.4 to 11 s,
 * against a lease of 1.2 s, and when it loses the lease the next owner begins again. Accepted
 * jobs then do not run although targets have room. The log shows `ownerStarted` that long after
 * `ownershipTaken`, and the first `targetHeard` only after it.
 */
import { describe, it } from '../../../test/describe.js'
import { SERVICE, createJobRig, makeJob } from '../../../test/jobRig.js'
import type { JobRig } from '../../../test/jobRig.js'
import { decodeProgress, encodeJob, intakeKey, progressKey } from '../../jobs/index.js'
import type { JobSpec } from '../../jobs/index.js'
import { sleep } from '../../shared/index.js'
import { QUEUES_TABLE } from '../queueRows.js'

/** Time within which a job must start if nothing holds it up, in ms; the limit of the users. */
const START_LIMIT_MS = 3000

const partOf = (job: JobSpec): string => intakeKey(job.queue, job.id).part

const putJob = ({ table }: JobRig, job: JobSpec): number =>
  table.put(intakeKey(job.queue, job.id), encodeJob(job))

const startsOf = ({ ledger }: JobRig, job: JobSpec): number =>
  ledger.entries.filter(({ what, task }) => what === 'start' && task.startsWith(job.id))
    .length

async function until(check: () => boolean, ms = START_LIMIT_MS): Promise<boolean> {
  const endsAt = performance.now() + ms
  while (!check() && performance.now() < endsAt) await sleep(20)
  return check()
}

/** Starts a job on `t1` and stops its owner while the tasks run. */
async function leaveRunningJob(rig: JobRig, ms: number): Promise<JobSpec> {
  rig.addTarget('t1')
  const first = await rig.startOwner()
  const job = makeJob({ ms, cpu: 1000 })
  rig.submit(first, job)
  await until(() => startsOf(rig, job) === 2)
  first.live = false
  await first.stop(false)
  return job
}

describe('owner that is still reading the jobs of its predecessor', () => {
  it('starts a job that it has read', async (t) => {
    const rig = createJobRig()
    rig.addTarget('t1')
    const [known, missing] = [makeJob({ ms: 100 }), makeJob({ ms: 100 })]
    putJob(rig, known)
    putJob(rig, missing)
    rig.table.faults.refusedParts.add(partOf(missing))
    await rig.startOwnerWithoutWaiting()
    t.true(await until(() => startsOf(rig, known) === 2))
    t.is(startsOf(rig, missing), 0)
    rig.table.faults.refusedParts.clear()
    t.true(await rig.waitForOutcomes([known, missing], START_LIMIT_MS))
    await rig.stop()
  })

  it('starts a job that arrives in the meantime', async (t) => {
    const rig = createJobRig()
    rig.addTarget('t1')
    const [missing, later] = [makeJob({ ms: 100 }), makeJob({ ms: 100 })]
    putJob(rig, missing)
    rig.table.faults.refusedParts.add(partOf(missing))
    await rig.startOwnerWithoutWaiting()
    await sleep(300)
    putJob(rig, later)
    t.true(await until(() => startsOf(rig, later) === 2))
    rig.table.faults.refusedParts.clear()
    t.true(await rig.waitForOutcomes([missing, later], START_LIMIT_MS))
    await rig.stop()
  })

  it('keeps a run whose job it has not read, and does not start it again', async (t) => {
    const rig = createJobRig()
    const job = await leaveRunningJob(rig, 2500)
    rig.table.faults.refusedParts.add(partOf(job))
    await rig.startOwnerWithoutWaiting()
    await sleep(1500)
    rig.table.faults.refusedParts.clear()
    t.true(await rig.waitForOutcomes([job], 6000))
    t.deepEqual(
      rig.ledger.entries.map(({ what }) => what),
      ['start', 'start', 'done', 'done'],
    )
    await rig.stop()
  })

  it('leaves the ends of jobs that it has not read to its successor', async (t) => {
    const rig = createJobRig()
    const job = await leaveRunningJob(rig, 600)
    const { part } = intakeKey(job.queue, job.id)
    rig.table.faults.refusedParts.add(part)
    const second = await rig.startOwnerWithoutWaiting()
    await sleep(1500)
    // The owner is superseded before it has read the job.
    second.live = false
    await second.stop(false)
    rig.table.faults.refusedParts.clear()
    await rig.startOwner()
    t.true(await rig.waitForOutcomes([job], 6000))
    t.is(startsOf(rig, job), 2)
    await rig.stop()
  })

  it('starts nothing on a target with runs of unknown size', async (t) => {
    const rig = createJobRig()
    const job = await leaveRunningJob(rig, 4000)
    // Two tasks of 1,000 each run on the target, which has 4,000: three more do not fit.
    const next = makeJob({ ms: 100, cpu: 1000 }, [{ count: 4 }])
    rig.table.faults.refusedParts.add(partOf(job))
    await rig.startOwnerWithoutWaiting()
    await sleep(300)
    putJob(rig, next)
    await sleep(1500)
    t.is(startsOf(rig, next), 0)
    rig.table.faults.refusedParts.clear()
    t.true(await rig.waitForOutcomes([job, next], 8000))
    t.is(startsOf(rig, job), 2)
    await rig.stop()
  })

  it('starts no job of a queue without a row, which a successor would not read first', async (t) => {
    const rig = createJobRig()
    rig.addTarget('t1')
    const owner = await rig.startOwner()
    rig.table.faults.delayMs = 300
    const job = makeJob({ ms: 100 })
    rig.submit(owner, job)
    t.true(await until(() => startsOf(rig, job) > 0))
    const row = { table: QUEUES_TABLE, part: SERVICE, key: job.queue }
    t.truthy(rig.table.get(row))
    await rig.stop()
  })

  it('does not repeat finished tasks', async (t) => {
    const rig = createJobRig()
    rig.addTarget('t1')
    const first = await rig.startOwner()
    const job = makeJob({ ms: 100, cpu: 1000 }, [{ count: 2 }, { count: 1, after: [0] }])
    rig.submit(first, job)
    const key = progressKey(SERVICE, job.id)
    const isFirstDone = (): boolean => {
      const row = rig.table.get(key)
      return decodeProgress(row?.value ?? '')?.done['0.0'] === 'all'
    }
    t.true(await until(isFirstDone))
    first.live = false
    await first.stop(false)
    rig.table.faults.refusedParts.add(partOf(job))
    await rig.startOwnerWithoutWaiting()
    await sleep(500)
    // Written again, as an owner does to restore an unreadable row: the job is not a new one.
    putJob(rig, job)
    await sleep(1500)
    rig.table.faults.refusedParts.clear()
    t.true(await rig.waitForOutcomes([job], 6000))
    t.is(startsOf(rig, job), 3)
    await rig.stop()
  })
})

describe('owner whose predecessor wrote no queue rows', () => {
  // An older software version writes none; its jobs may belong to queues that are configured for
  // another service by now.
  it('keeps the progress of jobs that it reads last', async (t) => {
    const rig = createJobRig()
    rig.addTarget('t1')
    const first = await rig.startOwner()
    const job = makeJob({ ms: 100, cpu: 1000 }, [{ count: 2 }, { count: 1, after: [0] }])
    rig.submit(first, job)
    t.true(await until(() => startsOf(rig, job) === 3))
    first.live = false
    await first.stop(false)
    rig.table.remove({ table: QUEUES_TABLE, part: SERVICE, key: job.queue })
    rig.table.faults.refusedParts.add(partOf(job))
    await rig.startOwnerWithoutWaiting()
    await sleep(3500)
    rig.table.faults.refusedParts.clear()
    t.true(await rig.waitForOutcomes([job], 6000))
    t.is(rig.outcomeOf(job), 'completed')
    const doneFirst = rig.ledger.entries.filter(
      ({ what, task }) => what === 'start' && task.startsWith(`${job.id}.0.0.`),
    )
    t.is(doneFirst.length, 2)
    await rig.stop()
  })
})

describe('number of waiting jobs', () => {
  it('is not reported before all jobs of the queue are known', async (t) => {
    const rig = createJobRig()
    const job = makeJob({ ms: 100 })
    putJob(rig, job)
    rig.table.faults.refusedParts.add(partOf(job))
    const owner = await rig.startOwnerWithoutWaiting()
    await sleep(500)
    t.is(owner.waiting(job.queue), undefined)
    rig.table.faults.refusedParts.clear()
    t.true(await until(() => owner.waiting(job.queue) === 1))
    await rig.stop()
  })

  // An outdated read of the store gives too low a number: 53 where 124 had waited for 5 s.
  it('is not reported by an owner that has not read the store recently', async (t) => {
    const rig = createJobRig()
    const owner = await rig.startOwner()
    const job = makeJob({ ms: 100 })
    rig.submit(owner, job)
    t.true(await until(() => owner.waiting(job.queue) === 1))
    rig.table.faults.down = true
    putJob(rig, makeJob({ ms: 100 }))
    await sleep(4500)
    t.is(owner.waiting(job.queue), undefined)
    rig.table.faults.down = false
    t.true(await until(() => owner.waiting(job.queue) === 2))
    await rig.stop()
  })
})
