import { describe, it } from '../../../test/describe.js'
import { createFrozenJobBook } from '../../../test/fixtures.js'
import { createJobRig, findGuaranteeViolation, makeJob } from '../../../test/jobRig.js'
import type { JobRig } from '../../../test/jobRig.js'
import { itInVirtualTime, runToEnd } from '../../../test/virtualTime.js'
import {
  cancelKey,
  createJobMemory,
  encodeJob,
  encodeProgress,
  intakeKey,
  openJobBytes,
  progressKey,
} from '../../jobs/index.js'
import type { JobSpec } from '../../jobs/index.js'
import { sleep } from '../../shared/index.js'

/** A job of eight tasks that each take a target of the rig for a while. */
const jobOf = (ms = 50): JobSpec => makeJob({ ms, cpu: 500 }, [{ count: 8 }])
const BYTES = openJobBytes(jobOf())

const store = ({ table }: JobRig, job: JobSpec): void =>
  void table.put(intakeKey(job.queue, job.id), encodeJob(job))

const countEvents = ({ log }: JobRig, event: string): number =>
  log.events.filter(({ name }) => name === event).length

const startsOf = ({ ledger }: JobRig, job: JobSpec): number =>
  ledger.entries.filter(({ what, task }) => what === 'start' && task.startsWith(job.id))
    .length

describe('an owner without memory for all jobs in the store', () => {
  // It read all of them and ended at its heap limit, as did each successor.
  itInVirtualTime('takes the others as these end', async (t, clock) => {
    const rig = createJobRig()
    rig.memory = createJobMemory(4 * BYTES)
    const jobs = Array.from({ length: 40 }, () => jobOf())
    for (const job of jobs) store(rig, job)
    rig.addTarget('t1')
    let most = 0
    const limit = 4 * BYTES
    void rig.startOwner().then(async (owner) => {
      for (const job of jobs.slice(0, 3)) owner.offer(job, rig.table.version())
      for (;;) {
        most = Math.max(most, limit - rig.memory!.free())
        await sleep(5)
      }
    })
    await clock.advance(20_000)
    t.true(jobs.every((job) => rig.outcomeOf(job) === 'completed'))
    t.is(findGuaranteeViolation(rig.ledger), undefined)
    t.true(countEvents(rig, 'leftJobTaken') > 0)
    t.true(most <= limit, `${most} of ${limit} bytes`)
    await runToEnd(clock, rig.stop())
  })

  itInVirtualTime('counts jobs that it has left as waiting', async (t, clock) => {
    const rig = createJobRig()
    rig.memory = createJobMemory(2 * BYTES)
    const jobs = Array.from({ length: 10 }, () => jobOf())
    for (const job of jobs) store(rig, job)
    let waiting: number | undefined
    void rig.startOwner().then((owner) => (waiting = owner.waiting('queue')))
    await clock.advance(2000)
    t.is(waiting, 10)
    await runToEnd(clock, rig.stop())
  })

  itInVirtualTime(
    'never starts a job that is cancelled while it is left',
    async (t, clock) => {
      const rig = createJobRig()
      rig.memory = createJobMemory(2 * BYTES)
      const jobs = Array.from({ length: 10 }, () => jobOf(400))
      for (const job of jobs) store(rig, job)
      rig.addTarget('t1')
      const last = jobs.at(-1)!
      void rig.startOwner().then((owner) => {
        rig.table.put(cancelKey(last.queue, last.id), '{}')
        owner.cancel(last.id, last.queue)
      })
      await clock.advance(20_000)
      t.is(rig.outcomeOf(last), 'cancelled')
      t.is(startsOf(rig, last), 0)
      t.true(jobs.slice(0, -1).every((job) => rig.outcomeOf(job) === 'completed'))
      await runToEnd(clock, rig.stop())
    },
  )

  itInVirtualTime(
    'takes jobs first that have begun, and repeats none of their tasks',
    async (t, clock) => {
      const rig = createJobRig()
      rig.addTarget('t1')
      const jobs = Array.from({ length: 12 }, () => jobOf(300))
      let first: Awaited<ReturnType<JobRig['startOwner']>> | undefined
      void rig.startOwner().then((owner) => {
        first = owner
        for (const job of jobs) rig.submit(owner, job)
      })
      await clock.advance(900)
      first!.live = false
      first!.confirmed = false
      await runToEnd(clock, first!.stop(false))
      rig.memory = createJobMemory(2 * BYTES)
      void rig.startOwner()
      await clock.advance(30_000)
      t.true(jobs.every((job) => rig.outcomeOf(job) === 'completed'))
      t.is(findGuaranteeViolation(rig.ledger), undefined)
      t.true(jobs.every((job) => startsOf(rig, job) === 8))
      await runToEnd(clock, rig.stop())
    },
  )

  itInVirtualTime('keeps what a left job has done', async (t, clock) => {
    const rig = createJobRig()
    rig.addTarget('t1')
    const jobs = Array.from({ length: 8 }, () => jobOf())
    for (const job of jobs) {
      store(rig, job)
      const book = createFrozenJobBook()
      const known = book.add(job)
      for (const index of [0, 1, 2, 3, 4, 5, 6]) {
        const task = `${job.id}.0.0.${index}`
        book.applyEnd('t', { seq: index + 1, task, run: 1, kind: 'done', checkpoint: '' })
      }
      rig.table.put(progressKey(job.service, job.id), encodeProgress(known))
    }
    rig.memory = createJobMemory(1.5 * BYTES)
    void rig.startOwner()
    await clock.advance(15_000)
    t.true(jobs.every((job) => rig.outcomeOf(job) === 'completed'))
    t.deepEqual(
      jobs.map((job) => startsOf(rig, job)),
      jobs.map(() => 1),
    )
    await runToEnd(clock, rig.stop())
  })

  // The memory of a node shrank with each service that it had handed over.
  itInVirtualTime('gives back all memory when it ends', async (t, clock) => {
    const rig = createJobRig()
    rig.memory = createJobMemory(3 * BYTES)
    for (let each = 0; each < 10; each++) store(rig, jobOf())
    void rig.startOwner()
    await clock.advance(1000)
    t.true(rig.memory.free() < rig.memory.limit)
    await runToEnd(clock, rig.stop())
    t.is(rig.memory.free(), rig.memory.limit)
    t.is(rig.memory.available(), rig.memory.limit)
  })

  it('should move to a node with memory after a while', async (t) => {
    const rig = createJobRig()
    t.teardown(() => rig.stop())
    rig.memory = createJobMemory(2 * BYTES)
    for (let each = 0; each < 5; each++) store(rig, jobOf())
    const owner = await rig.startOwner()
    t.false(owner.lacksMemory())
    await sleep(3200)
    t.true(owner.lacksMemory())
  })
})
