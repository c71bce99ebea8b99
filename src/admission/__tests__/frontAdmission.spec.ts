import { describe, it } from '../../../test/describe.js'
import { fullLoad } from '../../../test/fixtures.js'
import { QUEUE, makeJob } from '../../../test/jobRig.js'
import { createFrontAdmission, serviceLoadSchema } from '../index.js'
import type { KnownLoad } from '../index.js'

const FULL = serviceLoadSchema.parse(fullLoad(QUEUE.name))
const makeTinyJob = () => makeJob({ cpu: 1000 })

/** An admission with a clock and a load that tests set. */
function startAdmission() {
  const state = { now: 0, known: { load: FULL, ageMs: 0 } as KnownLoad | undefined }
  const admission = createFrontAdmission({
    loadOf: () => state.known,
    now: () => state.now,
  })
  /** Tries the job once; returns the reason of the refusal. */
  function tryOnce(job: ReturnType<typeof makeTinyJob>) {
    const attempt = admission.attempt(job, QUEUE)
    if (attempt.refusal && attempt.confirmRefusal()) return attempt.refusal
    attempt.writing()
    attempt.written('notStored')
    return undefined
  }
  return { state, admission, tryOnce }
}

describe('createFrontAdmission', () => {
  it('counts the age of a retry from the first try, and marks only the first refusal', (t) => {
    const { state, tryOnce } = startAdmission()
    const job = makeTinyJob()
    t.true(tryOnce(job)?.isFirst)
    state.now = 1500
    const again = tryOnce(job)
    t.false(again?.isFirst)
    t.is(again?.inputs['jobAgeMs'], 1500)
  })

  it('does not mix up jobs of the same id of two organisations', (t) => {
    const { state, tryOnce } = startAdmission()
    const job = makeTinyJob()
    tryOnce({ ...job, organisation: 'a' })
    state.now = 1500
    t.is(tryOnce({ ...job, organisation: 'b' })?.inputs['jobAgeMs'], 0)
  })

  it('spreads the retries of callers by the ids of their jobs', (t) => {
    const { tryOnce } = startAdmission()
    const answers = Array.from({ length: 40 }, () => tryOnce(makeTinyJob()))
    t.true(new Set(answers.map((each) => each?.retryAfterMs)).size >= 2)
  })

  // The node cannot tell whether such a job is stored, and a refusal says that it never runs.
  it('never refuses a job while its row is written, or after a write of unknown outcome', (t) => {
    const { state, admission } = startAdmission()
    const job = makeTinyJob()
    state.known = undefined
    const first = admission.attempt(job, QUEUE)
    t.is(first.refusal, undefined)
    first.writing()
    state.known = { load: FULL, ageMs: 0 }
    t.is(admission.attempt(job, QUEUE).refusal, undefined)
    first.written('unknown')
    t.is(admission.attempt(job, QUEUE).refusal, undefined)
  })

  describe('with more tries than are remembered', () => {
    const MORE_THAN_REMEMBERED = 5000

    // An evicted try says nothing of the write, so that the refusal might be untrue.
    it('never refuses a job while its row is written, or after a write of unknown outcome', (t) => {
      const { state, admission, tryOnce } = startAdmission()
      const jobs = { writing: makeTinyJob(), unknown: makeTinyJob() }
      state.known = undefined
      admission.attempt(jobs.writing, QUEUE).writing()
      const unknown = admission.attempt(jobs.unknown, QUEUE)
      unknown.writing()
      unknown.written('unknown')
      state.known = { load: FULL, ageMs: 0 }
      for (let count = 0; count < MORE_THAN_REMEMBERED; count++) tryOnce(makeTinyJob())
      t.is(admission.attempt(jobs.writing, QUEUE).refusal, undefined)
      t.is(admission.attempt(jobs.unknown, QUEUE).refusal, undefined)
      state.now = 1e6
      t.is(admission.attempt(jobs.writing, QUEUE).refusal, undefined)
    })

    it('does not evict the try that returns', (t) => {
      const { state, tryOnce } = startAdmission()
      const job = makeTinyJob()
      tryOnce(job)
      for (let count = 1; count < MORE_THAN_REMEMBERED; count++) tryOnce(makeTinyJob())
      state.now = 1500
      t.is(tryOnce(job)?.inputs['jobAgeMs'], 1500)
    })
  })

  it('does not confirm a refusal if another request stored the job meanwhile', (t) => {
    const { state, admission } = startAdmission()
    const job = makeTinyJob()
    const refused = admission.attempt(job, QUEUE)
    t.truthy(refused.refusal)
    state.known = undefined
    const admitted = admission.attempt(job, QUEUE)
    admitted.writing()
    admitted.written('stored')
    t.false(refused.confirmRefusal())
  })

  describe('jobs that return after a refusal', () => {
    // Otherwise all of them reach a new owner at once, as a takeover makes the load unknown.
    it('are passed on at a bounded rate while the load is unknown', (t) => {
      const { state, tryOnce } = startAdmission()
      const jobs = Array.from({ length: 100 }, makeTinyJob)
      for (const job of jobs) t.truthy(tryOnce(job))
      state.known = undefined
      const refused = jobs.map(tryOnce).filter((each) => each !== undefined)
      t.is(refused.length, 80)
      t.true(refused.every(({ reason }) => reason === 'returning'))
      state.now = 1000
      t.is(jobs.map(tryOnce).filter((each) => each !== undefined).length, 80)
    })

    it('are all passed on while room is idle', (t) => {
      const { state, tryOnce } = startAdmission()
      const jobs = Array.from({ length: 100 }, makeTinyJob)
      for (const job of jobs) tryOnce(job)
      state.known = { load: { ...FULL, idleCpu: 1 }, ageMs: 0 }
      t.true(jobs.map(tryOnce).every((each) => each === undefined))
    })
  })

  it('does not limit jobs that it has not refused', (t) => {
    const { state, tryOnce } = startAdmission()
    state.known = undefined
    for (let count = 0; count < 100; count++) t.is(tryOnce(makeTinyJob()), undefined)
  })

  it('remembers a bounded number of tries', (t) => {
    const { state, tryOnce } = startAdmission()
    const job = makeTinyJob()
    tryOnce(job)
    for (let count = 0; count < 6000; count++) tryOnce(makeTinyJob())
    state.now = 500
    t.is(tryOnce(job)?.inputs['jobAgeMs'], 0)
  })
})
