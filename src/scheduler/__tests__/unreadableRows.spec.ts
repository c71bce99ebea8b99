/** What a new owner does about rows of its predecessor that it cannot read. */
import { describe, it } from '../../../test/describe.js'
import {
  SERVICE,
  createJobRig,
  findBrokenPromise,
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

/** Whether a line of the kind tells of the key. */
const hasEvent = ({ log }: JobRig, name: string, key: string): boolean =>
  log.events.some(
    (each) =>
      each.name === name && (each.fields['key'] === key || each.fields['job'] === key),
  )

/** A rig whose owner is gone, with a job of which the first of two steps is done. */
async function startWithHalfDoneJob() {
  const rig = createJobRig()
  rig.addTarget('t1')
  rig.addTarget('t2')
  const first = await rig.own()
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

/** Replaces a row by a text, and gives back what it was. */
function corruptRow(rig: JobRig, key: RowKey, text = '{"done":7}'): string {
  const before = rig.table.get(key)!.value
  rig.table.put(key, text)
  return before
}

const firstStep = ({ id }: JobSpec): string[] => [0, 1, 2, 3].map((i) => `${id}.0.0.${i}`)

describe('progress that cannot be read', () => {
  // The new owner took the job for one that had not begun, and ran all of it again.
  it('holds its job, which runs nothing anew and is shown as not over', async (t) => {
    const { rig, job, key } = await startWithHalfDoneJob()
    corruptRow(rig, key)
    const other = makeJob({ ms: 30, cpu: 400 })
    const owner = await rig.own()
    rig.submit(owner, other)
    t.true(await rig.settled([other], 3000))
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
    await rig.own()
    await sleep(1200)
    rig.table.put(key, before)
    t.true(await rig.settled([job], 14_000))
    t.is(rig.outcomeOf(job), 'completed')
    for (const task of firstStep(job)) t.is(startsOf(rig, task), 1, task)
    t.is(findBrokenPromise(rig.ledger), undefined)
    await rig.stop()
  })

  it('has its job begin anew when it is removed by hand', async (t) => {
    const { rig, job, key } = await startWithHalfDoneJob()
    corruptRow(rig, key)
    await rig.own()
    await sleep(1200)
    rig.table.remove(key)
    t.true(await rig.settled([job], 14_000))
    t.is(rig.outcomeOf(job), 'completed')
    await rig.stop()
  })

  it('does not keep its job from being cancelled', async (t) => {
    const { rig, job, key } = await startWithHalfDoneJob()
    corruptRow(rig, key)
    const owner = await rig.own()
    await sleep(300)
    t.true(owner.cancel(job.id))
    t.true(await rig.settled([job], 3000))
    t.is(rig.outcomeOf(job), 'cancelled')
    await rig.stop()
  })
})

describe('row of a job that cannot be read', () => {
  // Its progress was removed as that of a job that is over: read again, it ran anew.
  it('keeps the progress, and the job goes on once it can be read', async (t) => {
    const { rig, job, key } = await startWithHalfDoneJob()
    const intake = intakeKey(job.queue, job.id)
    corruptRow(rig, intake, '\uFFFD')
    await rig.own()
    await sleep(7500)
    t.truthy(rig.table.get(key))
    t.true(hasEvent(rig, 'rowInvalid', job.id))
    rig.table.put(intake, encodeJob(job))
    t.true(await rig.settled([job], 14_000))
    t.is(rig.outcomeOf(job), 'completed')
    for (const task of firstStep(job)) t.is(startsOf(rig, task), 1, task)
    t.is(findBrokenPromise(rig.ledger), undefined)
    await rig.stop()
  })

  it('runs nothing of a job that was cancelled meanwhile', async (t) => {
    const { rig, job } = await startWithHalfDoneJob()
    const intake = intakeKey(job.queue, job.id)
    corruptRow(rig, intake, 'null')
    rig.table.put(cancelKey(job.queue, job.id), '{}')
    const startsBefore = startsOf(rig, `${job.id}.0.1.0`)
    await rig.own()
    await sleep(1200)
    rig.table.put(intake, encodeJob(job))
    t.true(await rig.settled([job], 5000))
    t.is(rig.outcomeOf(job), 'cancelled')
    t.is(startsOf(rig, `${job.id}.0.1.0`), startsBefore)
    await rig.stop()
  })

  // The owner went on with the job, and its successor could not read it.
  it('is written anew by an owner that knows the job', async (t) => {
    const rig = createJobRig()
    rig.addTarget('t1')
    const owner = await rig.own()
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
    t.true(await rig.settled([job], 6000))
    t.is(rig.outcomeOf(job), 'completed')
    t.is(findBrokenPromise(rig.ledger), undefined)
    await rig.stop()
  })

  it('costs no other row of its part', async (t) => {
    const rig = createJobRig()
    rig.addTarget('t1')
    const jobs = Array.from({ length: 16 }, () => makeJob({ ms: 20, cpu: 100 }))
    for (const job of jobs) {
      const key = intakeKey(job.queue, job.id)
      rig.table.put(key, encodeJob(job))
      rig.table.put({ ...key, key: `${job.id}x` }, '{"id":')
      rig.table.put({ ...key, key: `0${job.id}` }, encodeJob(job))
    }
    await rig.own()
    t.true(await rig.settled(jobs, 5000))
    t.is(findBrokenPromise(rig.ledger), undefined)
    await rig.stop()
  })
})

describe('row of the roster that cannot be read', () => {
  /** A target out of reach with a run on it, whose row in the roster is spoilt. */
  async function startWithUnreachableTarget(spoilt: string, listed: boolean) {
    const rig = createJobRig()
    const cut = rig.addTarget('t1')
    const first = await rig.own()
    cut.faults.hangs = true
    const job = makeJob({ ms: 50, cpu: 400 }, [{ count: 2 }])
    rig.submit(first, job)
    await sleep(200)
    cut.faults.silent = true
    first.live = false
    if (!listed) rig.unlist('t1')
    rig.addTarget('t2')
    corruptRow(rig, { table: ROSTER_TABLE, part: SERVICE, key: 't1' }, spoilt)
    return { rig, job }
  }

  // The new owner did not know of the target, and started its tasks a second time at once.
  for (const listed of [true, false]) {
    for (const text of ['{}', '\uFFFD', '{"address":"t1:70000"}']) {
      const where = listed ? 'that is listed' : 'that is not listed'
      it(`lets no inherited task start early, of a target ${where}: ${text}`, async (t) => {
        const { rig, job } = await startWithUnreachableTarget(text, listed)
        await rig.own()
        await sleep(2000)
        t.deepEqual(
          rig.ledger.entries.filter(({ target }) => target === 't2'),
          [],
        )
        t.true(await rig.settled([job], 15_000))
        t.is(findBrokenPromise(rig.ledger), undefined)
        await rig.stop()
      })
    }
  }

  it('is removed once all that may run there is over', async (t) => {
    const { rig, job } = await startWithUnreachableTarget('{}', false)
    await rig.own()
    t.true(await rig.settled([job], 15_000))
    await sleep(500)
    t.is(rig.table.get({ table: ROSTER_TABLE, part: SERVICE, key: 't1' }), undefined)
    await rig.stop()
  })
})
