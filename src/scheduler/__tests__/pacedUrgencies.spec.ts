import { describe, it } from '../../../test/describe.js'
import { createFrozenJobBook } from '../../../test/fixtures.js'
import { QUEUE, makeJob } from '../../../test/jobRig.js'
import type { Job } from '../../jobs/index.js'
import { createRunTimes } from '../runTimes.js'
import { compareUrgency, pacedUrgencies, urgencyOf } from '../urgency.js'

const PER_SECOND = 10

/** Computes the urgencies of jobs with four tasks each; the first job is the oldest. */
function computeUrgencies(
  count: number,
  prepare: (jobs: Job[]) => void = () => undefined,
) {
  const book = createFrozenJobBook()
  const jobs = Array.from({ length: count }, () =>
    book.add(makeJob({ ms: 500 }, [{ count: 4 }])),
  )
  for (const [index, job] of jobs.entries()) job.arrivedAt = index
  prepare(jobs)
  const runTimes = createRunTimes()
  const urgencies = pacedUrgencies({
    ready: book.ready,
    perSecond: PER_SECOND,
    urgencyOf: (job, delayMs) => urgencyOf(job, QUEUE, runTimes, count, delayMs),
  })
  return { jobs, urgencies }
}

describe('pacedUrgencies', () => {
  describe('for more jobs than their owner can order in time', () => {
    it('keeps only those timely that it can finish in time', (t) => {
      const { jobs, urgencies } = computeUrgencies(20)
      const inTime = jobs.filter((job) => urgencies.get(job)?.standing === 'timely')
      t.true(inTime.length > 0 && inTime.length < 5)
    })

    it('keeps a job that has begun timely, even if it is the newest', (t) => {
      const { jobs, urgencies } = computeUrgencies(
        20,
        (all) => (all.at(-1)!.begun = true),
      )
      const first = [...jobs].sort((a, b) =>
        compareUrgency(urgencies.get(a)!, urgencies.get(b)!),
      )
      t.is(urgencies.get(jobs.at(-1)!)?.standing, 'timely')
      t.is(urgencies.get(first[0]!)?.standing, 'timely')
    })
  })

  describe('for jobs that it cannot all finish in time', () => {
    // The oldest ones that it can still finish in time leave no room for any error.
    it('begins those first that have the most time left', (t) => {
      const { jobs, urgencies } = computeUrgencies(20)
      const timely = jobs.filter((job) => urgencies.get(job)?.standing === 'timely')
      t.deepEqual(timely, jobs.slice(-timely.length))
      const order = [...jobs].sort((a, b) =>
        compareUrgency(urgencies.get(a)!, urgencies.get(b)!),
      )
      t.is(order[0], jobs.at(-1))
    })
  })

  describe('for jobs that are too late in any case', () => {
    it('puts the longest idle one first, with one start', (t) => {
      const { jobs, urgencies } = computeUrgencies(20, (all) => {
        for (const [index, job] of all.entries()) {
          job.arrivedAt = -60_000
          job.idleSince = index
        }
        all.at(-1)!.idleSince = -60_000
        all[0]!.placed = 1
      })
      const order = [...jobs].sort((a, b) =>
        compareUrgency(urgencies.get(a)!, urgencies.get(b)!),
      )
      t.is(order[0], jobs.at(-1))
      t.is(order.at(-1), jobs[0])
      t.is(urgencies.get(order[0]!)?.maxStarts, 1)
    })
  })

  describe('for jobs that can all be ordered in time', () => {
    it('keeps all of them timely', (t) => {
      const { jobs, urgencies } = computeUrgencies(2)
      t.true(jobs.every((job) => urgencies.get(job)?.standing === 'timely'))
    })
  })
})
