/** Guards against lost jobs and repeated tasks when a predecessor's rows cannot be read. */
import { describe, it } from '../../../test/describe.js'
import {
  SERVICE,
  createJobRig,
  findGuaranteeViolation,
  makeJob,
} from '../../../test/jobRig.js'
import type { JobRig } from '../../../test/jobRig.js'
import { cancelKey, encodeJob, intakeKey, progressKey } from '../../jobs/index.js'
import type { JobSpec } from '../../jobs/index.js'
import type { RowKey } from '../../ports/index.js'
import { sleep } from '../../shared/index.js'
import { ROSTER_TABLE } from '../roster.js'

const startsOf = (rig: JobRig, task: string): number =>
  rig.ledger.entries.filter((each) => each.what === 'start' && each.task === task).length

const doneOf = (rig: JobRig): string[] =>
  rig.ledger.entries.flatMap(({ what, task }) => (what === 'done' ? task : []))

/** Whether an event of this name has been logged for the key or job. */
const hasEvent = ({ log }: JobRig, name: string, key: string): boolean =>
  log.events.some(
    (each) =>
      each.name === name && (each.fields['key'] === key || each.fields['job'] === key),
  )

/** Starts a rig with a job whose first of two steps is done and whose owner has stopped. */
async function startWithHalfDoneJob() {
  const rig = createJobRig()
  rig.addTarget('t1')
  rig.addTarget('t2')
  const first = await rig.startOwner()
  const job = makeJob({ ms: 30, cpu: 400 }, [{ count: 4 }, { count: 2, after: [0] }])
  for (const target of rig.targets.values()) target.faults.hangs = false
  rig.submit(first, job)
  while (doneOf(rig).length < 4) await sleep(5)
  for (const target of rig.targets.values()) target.faults.hangs = true
  const key = progressKey(SERVICE, job.id)
  for (
    let tries = 0;
    tries < 100 && !/"all"/.test(rig.table.get(key)?.value ?? '');
    tries++
  )
    await sleep(10)
  first.live = false
  await first.stop(false)
  for (const target of rig.targets.values()) target.faults.hangs = false
  return { rig, job, key }
}

/** Overwrites a row, and returns its previous value. */
function corruptRow(rig: JobRig, key: RowKey, text = '{"done":7}'): string {
  const before = rig.table.get(key)!.value
  rig.table.put(key, text)
  return before
}

const firstStep = ({ id }: JobSpec): string[] => [0, 1, 2, 3].map((i) => `${id}.0.0.${i}`)

describe('progress that cannot be read', () => {
  // Without progress a new owner would take the job for one that has not begun, and repeat it.
  it('holds its job, which repeats no task and is not reported as finished', async (t) => {
    const { rig, job, key } = await startWithHalfDoneJob()
    corruptRow(rig, key)
    const other = makeJob({ ms: 30, cpu: 400 })
    const owner = await rig.startOwner()
    rig.submit(owner, other)
    t.true(await rig.waitForOutcomes([other], 3000))
    await sleep(1500)
    for (const task of firstStep(job)) t.is(startsOf(rig, task), 1, task)
    t.is(owner.status(job.id), undefined)
    t.is(rig.outcomeOf(job), undefined)
    t.true(hasEvent(rig, 'rowInvalid', job.id))
    t.true(hasEvent(rig, 'jobHeld', job.id))
    await rig.stop()
  })

  it('is used once it can be read again', async (t) => {
    const { rig, job, key } = await startWithHalfDoneJob()
    const before = corruptRow(rig, key)
    await rig.startOwner()
    await sleep(1200)
    rig.table.put(key, before)
    t.true(await rig.waitForOutcomes([job], 14_000))
    t.is(rig.outcomeOf(job), 'completed')
    for (const task of firstStep(job)) t.is(startsOf(rig, task), 1, task)
    t.is(findGuaranteeViolation(rig.ledger), undefined)
    await rig.stop()
  })

  it('lets its job start from the beginning when it is removed by hand', async (t) => {
    const { rig, job, key } = await startWithHalfDoneJob()
    corruptRow(rig, key)
    await rig.startOwner()
    await sleep(1200)
    rig.table.remove(key)
    t.true(await rig.waitForOutcomes([job], 14_000))
    t.is(rig.outcomeOf(job), 'completed')
    await rig.stop()
  })

  it('does not prevent its job from being cancelled', async (t) => {
    const { rig, job, key } = await startWithHalfDoneJob()
    corruptRow(rig, key)
    const owner = await rig.startOwner()
    await sleep(300)
    t.true(owner.cancel(job.id))
    t.true(await rig.waitForOutcomes([job], 3000))
    t.is(rig.outcomeOf(job), 'cancelled')
    await rig.stop()
  })
})

describe('row of a job that cannot be read', () => {
  // If its progress were removed like that of a finished job, the job would run again later.
  it('keeps its progress, and the job continues once the row can be read', async (t) => {
    const { rig, job, key } = await startWithHalfDoneJob()
    const intake = intakeKey(job.queue, job.id)
    corruptRow(rig, intake, '\uFFFD')
    await rig.startOwner()
    await sleep(7500)
    t.truthy(rig.table.get(key))
    t.true(hasEvent(rig, 'rowInvalid', job.id))
    rig.table.put(intake, encodeJob(job))
    t.true(await rig.waitForOutcomes([job], 14_000))
    t.is(rig.outcomeOf(job), 'completed')
    for (const task of firstStep(job)) t.is(startsOf(rig, task), 1, task)
    t.is(findGuaranteeViolation(rig.ledger), undefined)
    await rig.stop()
  })

  it('starts no task if the job was cancelled in the meantime', async (t) => {
    const { rig, job } = await startWithHalfDoneJob()
    const intake = intakeKey(job.queue, job.id)
    corruptRow(rig, intake, 'null')
    rig.table.put(cancelKey(job.queue, job.id), '{}')
    const startsBefore = startsOf(rig, `${job.id}.0.1.0`)
    await rig.startOwner()
    await sleep(1200)
    rig.table.put(intake, encodeJob(job))
    t.true(await rig.waitForOutcomes([job], 5000))
    t.is(rig.outcomeOf(job), 'cancelled')
    t.is(startsOf(rig, `${job.id}.0.1.0`), startsBefore)
    await rig.stop()
  })

  // The owner can go on with the job, but its successor could not read it.
  it('is restored by an owner that knows the job', async (t) => {
    const rig = createJobRig()
    rig.addTarget('t1')
    const owner = await rig.startOwner()
    const job = makeJob({ ms: 3500, cpu: 400 })
    const key = intakeKey(job.queue, job.id)
    rig.submit(owner, job)
    await sleep(100)
    for (const text of ['null', '\uFFFD']) {
      corruptRow(rig, key, text)
      await sleep(1500)
      t.is(rig.table.get(key)?.value, encodeJob(job), text)
    }
    t.true(hasEvent(rig, 'rowInvalid', job.id))
    t.true(hasEvent(rig, 'rowRestored', job.id))
    t.true(await rig.waitForOutcomes([job], 6000))
    t.is(rig.outcomeOf(job), 'completed')
    t.is(findGuaranteeViolation(rig.ledger), undefined)
    await rig.stop()
  })

  it('does not affect other rows of its part', async (t) => {
    const rig = createJobRig()
    rig.addTarget('t1')
    const jobs = Array.from({ length: 16 }, () => makeJob({ ms: 20, cpu: 100 }))
    for (const job of jobs) {
      const key = intakeKey(job.queue, job.id)
      rig.table.put(key, encodeJob(job))
      rig.table.put({ ...key, key: `${job.id}x` }, '{"id":')
      rig.table.put({ ...key, key: `0${job.id}` }, encodeJob(job))
    }
    await rig.startOwner()
    t.true(await rig.waitForOutcomes(jobs, 5000))
    t.is(findGuaranteeViolation(rig.ledger), undefined)
    await rig.stop()
  })
})

describe('row of the roster that cannot be read', () => {
  /** Starts a run on a target, makes it unreachable and corrupts its row in the roster. */
  async function startWithUnreachableTarget(text: string, listed: boolean) {
    const rig = createJobRig()
    const cut = rig.addTarget('t1')
    const first = await rig.startOwner()
    cut.faults.hangs = true
    const job = makeJob({ ms: 50, cpu: 400 }, [{ count: 2 }])
    rig.submit(first, job)
    await sleep(200)
    cut.faults.silent = true
    first.live = false
    if (!listed) rig.removeListEntry('t1')
    rig.addTarget('t2')
    corruptRow(rig, { table: ROSTER_TABLE, part: SERVICE, key: 't1' }, text)
    return { rig, job }
  }

  // A new owner that ignored such a row would start the target's tasks a second time at once.
  for (const listed of [true, false]) {
    for (const text of ['{}', '\uFFFD', '{"address":"t1:70000"}']) {
      const where = listed ? 'that is listed' : 'that is not listed'
      it(`keeps inherited tasks of a target ${where} from starting early: ${text}`, async (t) => {
        const { rig, job } = await startWithUnreachableTarget(text, listed)
        await rig.startOwner()
        await sleep(2000)
        t.deepEqual(
          rig.ledger.entries.filter(({ target }) => target === 't2'),
          [],
        )
        t.true(await rig.waitForOutcomes([job], 15_000))
        t.is(findGuaranteeViolation(rig.ledger), undefined)
        await rig.stop()
      })
    }
  }

  it('is removed once all runs on the target have ended', async (t) => {
    const { rig, job } = await startWithUnreachableTarget('{}', false)
    await rig.startOwner()
    t.true(await rig.waitForOutcomes([job], 15_000))
    await sleep(500)
    t.is(rig.table.get({ table: ROSTER_TABLE, part: SERVICE, key: 't1' }), undefined)
    await rig.stop()
  })
})
