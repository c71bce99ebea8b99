/** Decoding of job rows that no node wrote, or that were truncated or swapped. */
import fc from 'fast-check'
import { describe, it } from '../../../test/describe.js'
import { makeJob } from '../../../test/jobRig.js'
import {
  cancelKey,
  createJob,
  decodeEnded,
  decodeIntake,
  decodeProgress,
  encodeJob,
  intakeKey,
  restoreProgress,
} from '../index.js'

const JOB = makeJob({ ms: 10 }, [{ count: 2 }, { count: 1, after: [0] }])
const KEY = intakeKey(JOB.queue, JOB.id)
const kindOf = (change: object, key = KEY): string =>
  decodeIntake(key, JSON.stringify({ ...JOB, ...change })).kind

describe('row of the intake', () => {
  it('is read as it was written', (t) => {
    t.deepEqual(decodeIntake(KEY, encodeJob(JOB)), { kind: 'job', id: JOB.id, job: JOB })
    t.is(decodeIntake(cancelKey(JOB.queue, JOB.id), 'anything').kind, 'cancel')
  })

  // Guards against jobs that lose their settings as an owner of another build reads their row.
  it('is read with and without the settings of its queue', (t) => {
    const settings = { priority: 1, maxAttempts: 4, stretch: 2, latencyMs: 300 }
    const decoded = decodeIntake(KEY, encodeJob({ ...JOB, settings }))
    t.deepEqual(decoded, { kind: 'job', id: JOB.id, job: { ...JOB, settings } })
    t.is(JOB.settings, undefined)
  })

  const step = JOB.steps[0]!
  const wrong: [what: string, change: object][] = [
    ['the id of another job', { id: '00000000000000ff' }],
    ['the queue of another job', { queue: 'other' }],
    ['a dot in the id', { id: 'a.b' }],
    ['no steps', { steps: [] }],
    ['a step that waits for a later one', { steps: [{ ...step, after: [0] }] }],
    // An owner that adds such a job runs out of memory, and so does each successor.
    ['a billion repetitions', { repetitions: 1e9 }],
    ['millions of tasks', { steps: Array(200).fill({ ...step, count: 20_000 }) }],
    ['half a task', { steps: [{ ...step, count: 0.5 }] }],
    ['a text of a megabyte', { spec: 'x'.repeat(1 << 20) }],
  ]
  for (const [what, change] of wrong) {
    it(`is invalid with ${what}`, (t) => void t.is(kindOf(change), 'invalid'))
  }

  it('is invalid in a part that is not its own', (t) => {
    t.is(kindOf({}, { ...KEY, part: 'queue/x' }), 'invalid')
  })
})

describe('progress row with crashes of a done task', () => {
  // A suspect that remains would keep the other tasks of the step from starting.
  it('restores no crash suspect for the done task', (t) => {
    const job = createJob(JOB, 0)
    restoreProgress(job, {
      done: { '0.0': [0] },
      failedRuns: {},
      crashes: { '0.0.0': [[1, 'sole']] },
      checkpoints: {},
    })
    t.is(job.occurrences[0]!.steps[0]!.crashSuspects.size, 0)
  })
})

describe('rows of jobs', () => {
  it('are decoded without an exception, whatever their text', (t) => {
    const text = fc.oneof(
      fc.json(),
      fc.string(),
      fc.constant(encodeJob(JOB).slice(0, 60)),
    )
    fc.assert(
      fc.property(text, (value) => {
        decodeIntake(KEY, value)
        decodeEnded(value)
        decodeProgress(value)
      }),
    )
    t.pass()
  })

  // Passed as the arguments of one call, 200 000 numbers exceed the stack, which aborts a takeover.
  it('are rejected with more failed runs than there can be', (t) => {
    const runs = Array.from({ length: 200_000 }, (_, run) => run)
    const value = { done: {}, failedRuns: { '0.0.0': runs }, checkpoints: {} }
    t.is(decodeProgress(JSON.stringify(value)), undefined)
    const few = { ...value, failedRuns: { '0.0.0': runs.slice(0, 5), '7.7.7': [1] } }
    const job = createJob(JOB, 0)
    restoreProgress(job, decodeProgress(JSON.stringify(few))!)
    t.is(job.occurrences[0]?.steps[0]?.tasks[0]?.failedRuns.size, 5)
  })

  it('are rejected with a run number that is not a safe non-negative integer', (t) => {
    for (const run of [1e300, -1, 0.5, '1']) {
      const value = { done: {}, failedRuns: { '0.0.0': [run] }, checkpoints: {} }
      t.is(decodeProgress(JSON.stringify(value)), undefined)
    }
  })
})
