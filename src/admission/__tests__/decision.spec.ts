import fc from 'fast-check'
import { describe, it } from '../../../test/describe.js'
import { QUEUE, makeJob } from '../../../test/jobRig.js'
import { decideAdmission, retryAfterMs } from '../index.js'
import type { AdmissionInput, BacklogPart, ServiceLoad } from '../index.js'

/** A job of eight tasks; with 1 s a task it is of use for 3 * (1.5 * 1.4 + 0.5) s = 7.8 s. */
const JOB = makeJob({ ms: 400, cpu: 1000 }, [{ count: 8 }])
const RUN_MS = 1000
/** Room of ten cores, so that 10,000 units of work take 1 s. */
const ATTAINABLE = 10_000

const HOT_BEYOND = [{ priority: QUEUE.priority, organisations: ['hot'] }]

const partOf = (part: Partial<BacklogPart>): BacklogPart => ({
  priority: QUEUE.priority,
  beyondShare: false,
  timelyWork: 0,
  lateWork: 0,
  timelyStarts: 0,
  lateStarts: 0,
  ...part,
})

const loadOf = (load: Partial<ServiceLoad> = {}): ServiceLoad => ({
  term: 1,
  sequence: 1,
  idleCpu: 0,
  attainableCpu: ATTAINABLE,
  runningWork: 0,
  backlog: [partOf({ timelyWork: 200_000, timelyStarts: 200 })],
  organisationsBeyond: [],
  runMs: { [QUEUE.name]: RUN_MS },
  ...load,
})

const inputOf = (input: Partial<AdmissionInput> = {}): AdmissionInput => ({
  job: JOB,
  queue: QUEUE,
  load: loadOf(),
  loadAgeMs: 100,
  jobAgeMs: 0,
  spread: 0.5,
  ...input,
})

const kindOf = (input: Partial<AdmissionInput>): string =>
  decideAdmission(inputOf(input)).kind
const withBacklog = (...backlog: Partial<BacklogPart>[]): Partial<AdmissionInput> => ({
  load: loadOf({ backlog: backlog.map(partOf) }),
})

describe('decideAdmission', () => {
  it('refuses a job behind so much work that it ends too late to be of use', (t) => {
    const decision = decideAdmission(inputOf())
    if (decision.kind !== 'refuse') return t.fail('admitted')
    t.is(decision.reason, 'backlog')
    t.is(Math.round(decision.times.waitMs), 20_000)
    t.is(Math.round(decision.times.usefulMs), 7800)
  })

  // A job that ends after its objective is still of use, so that a refusal would cost its caller.
  it('admits a job that ends late but within three times its objective', (t) => {
    t.is(kindOf(withBacklog({ timelyWork: 60_000 })), 'admit')
    t.is(kindOf(withBacklog({ timelyWork: 70_000 })), 'refuse')
  })

  // At the beginning of a peak the pool has 3 to 10 targets, and most VMs are still to be moved.
  it('counts the room that the service can get as if it were there', (t) => {
    const input = { load: loadOf({ attainableCpu: 10 * ATTAINABLE }) }
    t.is(kindOf(input), 'admit')
  })

  it('refuses a job behind more starts than its owner orders in time, beside idle room', (t) => {
    const backlog = [partOf({ timelyWork: 1, timelyStarts: 1000 })]
    const load = loadOf({ idleCpu: 50_000, startsPerSecond: 50, backlog })
    const decision = decideAdmission(inputOf({ load }))
    if (decision.kind !== 'refuse') return t.fail('admitted')
    t.is(decision.reason, 'starts')
    t.is(Math.round(decision.times.waitMs), 20_000)
  })

  it('does not have a job wait for room beside idle room', (t) => {
    const backlog = [partOf({ timelyWork: 1_000_000, timelyStarts: 10 })]
    t.is(
      kindOf({ load: loadOf({ idleCpu: 50_000, startsPerSecond: 50, backlog }) }),
      'admit',
    )
  })

  it('admits while it is unknown how much room the service can get', (t) => {
    t.is(kindOf({ load: loadOf({ attainableCpu: undefined }) }), 'admit')
    t.is(kindOf({ load: loadOf({ attainableCpu: 0 }) }), 'admit')
  })

  it('admits without a load, and by one that is older than 1 s', (t) => {
    t.is(kindOf({ load: undefined }), 'admit')
    t.is(kindOf({ loadAgeMs: 1000 }), 'refuse')
    t.is(kindOf({ loadAgeMs: 1001 }), 'admit')
    t.is(kindOf({ loadAgeMs: NaN }), 'admit')
  })

  it('admits jobs of queues whose run times are not measured', (t) => {
    t.is(kindOf({ load: loadOf({ runMs: {} }) }), 'admit')
  })

  it('admits lasting jobs, jobs that are due later and jobs that take no room', (t) => {
    const lasting = makeJob({ cpu: 1000 }, [{ count: 1, lasting: true }])
    const repeated = makeJob({ cpu: 1000 }, undefined, { repetitions: 2 })
    const filling = makeJob({ cpu: 1000 }, [{ count: 1, fills: true }])
    for (const job of [lasting, repeated, filling]) t.is(kindOf({ job }), 'admit')
  })

  describe('work that is not before the job', () => {
    it('of a lower priority does not count', (t) => {
      const behind = { priority: QUEUE.priority + 1, timelyWork: 1e6, timelyStarts: 1000 }
      t.is(kindOf(withBacklog(behind)), 'admit')
    })

    it('beyond the shares of other organisations counts for jobs beyond theirs', (t) => {
      const backlog = [partOf({ beyondShare: true, timelyWork: 200_000 })]
      const load = loadOf({ backlog, organisationsBeyond: HOT_BEYOND })
      t.is(kindOf({ load, job: { ...JOB, organisation: 'other' } }), 'admit')
      const hot = decideAdmission(inputOf({ load, job: { ...JOB, organisation: 'hot' } }))
      t.is(hot.kind === 'refuse' && hot.reason, 'beyondShare')
    })

    // Shares are kept by priority: an excess in one says nothing of the jobs of another.
    it('beyond shares does not count for one that is beyond its share in another priority', (t) => {
      const backlog = [partOf({ beyondShare: true, timelyWork: 200_000 })]
      const organisationsBeyond = [
        { priority: QUEUE.priority + 1, organisations: ['hot'] },
      ]
      const load = loadOf({ backlog, organisationsBeyond })
      t.is(kindOf({ load, job: { ...JOB, organisation: 'hot' } }), 'admit')
    })

    // Weighted shares serve the organisations by turns, so that an idle one is served next however
    // much the others have sent.
    it('of other organisations does not count for one without waiting jobs', (t) => {
      const turns = [{ priority: QUEUE.priority, organisations: ['busy'] }]
      const kindFor = (organisation: string | undefined, more: Partial<ServiceLoad>) =>
        kindOf({ load: loadOf({ turns, ...more }), job: { ...JOB, organisation } })
      t.is(kindFor('idle', {}), 'admit')
      t.is(kindFor(undefined, {}), 'admit')
      t.is(kindFor('busy', {}), 'refuse')
      t.is(kindFor('idle', { turns: undefined }), 'refuse')
      const priority = QUEUE.priority - 1
      const higher = [partOf({ priority, timelyWork: 200_000 })]
      t.is(kindFor('idle', { backlog: higher }), 'refuse')
      const otherTurns = [{ priority, organisations: ['idle'] }]
      t.is(kindFor('idle', { turns: otherTurns }), 'admit')
    })

    it('of late jobs does not count for a job that can be in time', (t) => {
      t.is(kindOf(withBacklog({ lateWork: 200_000 })), 'admit')
      const both = { lateWork: 200_000, timelyWork: 30_000 }
      t.is(kindOf(withBacklog(both)), 'refuse')
    })
  })

  it('counts the starts before the job at the rate of an owner that is behind', (t) => {
    const load = loadOf({ attainableCpu: 1e6, startsPerSecond: 10 })
    const decision = decideAdmission(inputOf({ load }))
    t.is(decision.kind === 'refuse' && decision.reason, 'starts')
  })

  it('counts the age from the first try', (t) => {
    const input = withBacklog({ timelyWork: 40_000 })
    t.is(kindOf(input), 'admit')
    t.is(kindOf({ ...input, jobAgeMs: 4000 }), 'refuse')
  })

  // Estimates of callers are far off; a large one must not admit a job to any backlog.
  it('lets a long estimate wait longer, within bounds', (t) => {
    const longJob = makeJob({ ms: 1e9, cpu: 1000 }, [{ count: 8 }])
    t.is(kindOf({ ...withBacklog({ timelyWork: 100_000 }), job: longJob }), 'admit')
    t.is(kindOf({ ...withBacklog({ timelyWork: 300_000 }), job: longJob }), 'refuse')
  })

  it('admits if the objective is shorter than the job itself, or no number', (t) => {
    for (const more of [{ stretch: 0, latencyMs: 0 }, { stretch: NaN }, { stretch: -1 }])
      t.is(kindOf({ queue: { ...QUEUE, ...more } }), 'admit')
  })

  describe('for any input', () => {
    const amounts = fc.oneof(
      fc.double(),
      fc.constantFrom(0, -1, 1e15, Infinity, -Infinity, NaN),
      fc.double({ min: 0, max: 1e6, noNaN: true }),
    )
    const parts = fc.record({
      priority: fc.integer({ min: 0, max: 3 }),
      beyondShare: fc.boolean(),
      timelyWork: amounts,
      lateWork: amounts,
      timelyStarts: amounts,
      lateStarts: amounts,
    })
    const loads = fc.record({
      term: fc.constant(1),
      sequence: fc.constant(1),
      idleCpu: amounts,
      attainableCpu: fc.option(amounts, { nil: undefined }),
      startsPerSecond: fc.option(amounts, { nil: undefined }),
      runningWork: amounts,
      backlog: fc.array(parts, { maxLength: 5 }),
      organisationsBeyond: fc.subarray(
        [0, 1, 2, 3].map((priority) => ({ priority, organisations: ['hot'] })),
      ),
      runMs: amounts.map((ms) => ({ [QUEUE.name]: ms })),
    })
    const inputs = fc.record({
      job: fc.constantFrom({ ...JOB, organisation: 'hot' }, JOB),
      queue: fc.record({
        name: fc.constant(QUEUE.name),
        priority: fc.integer({ min: 0, max: 3 }),
        stretch: amounts,
        latencyMs: amounts,
      }),
      load: fc.option(loads, { nil: undefined }),
      loadAgeMs: amounts,
      jobAgeMs: amounts,
      spread: amounts,
    })

    it('decides; a refusal has a whole number of 1 to 30 s', (t) => {
      fc.assert(
        fc.property(inputs, (input) => {
          const decision = decideAdmission(input)
          if (decision.kind === 'admit') return true
          const seconds = decision.retryAfterMs / 1000
          return Number.isInteger(seconds) && seconds >= 1 && seconds <= 30
        }),
        { numRuns: 2000 },
      )
      t.pass()
    })

    it('admits while room is idle and starts are in time, and lasting jobs and those due later always', (t) => {
      const idle = fc.double({ min: 1, max: 1e9, noNaN: true })
      fc.assert(
        fc.property(inputs, loads, idle, (input, load, idleCpu) => {
          const idleLoad = { ...load, idleCpu, startsPerSecond: undefined }
          const { kind } = decideAdmission({ ...input, load: idleLoad })
          const steps = [...JOB.steps, { ...JOB.steps[0]!, lasting: true }]
          const lasting = decideAdmission({ ...input, job: { ...JOB, steps } })
          const later = decideAdmission({ ...input, job: { ...JOB, repetitions: 1 } })
          return [kind, lasting.kind, later.kind].every((each) => each === 'admit')
        }),
        { numRuns: 2000 },
      )
      t.pass()
    })

    it('refuses with more backlog what it refuses with less', (t) => {
      const amount = fc.double({ min: 0, max: 1e6, noNaN: true })
      const part = fc.record({
        priority: fc.integer({ min: 0, max: 2 }),
        beyondShare: fc.boolean(),
        timelyWork: amount,
        lateWork: amount,
        timelyStarts: amount,
        lateStarts: amount,
      })
      fc.assert(
        fc.property(
          fc.array(part, { maxLength: 4 }),
          part,
          fc.integer({ min: 0, max: 2 }),
          fc.option(amount, { nil: undefined }),
          (backlog, more, priority, startsPerSecond) => {
            const queue = { ...QUEUE, priority }
            const load = loadOf({ backlog, startsPerSecond })
            const less = decideAdmission(inputOf({ queue, load }))
            const larger = loadOf({ backlog: [...backlog, more], startsPerSecond })
            const then = decideAdmission(inputOf({ queue, load: larger }))
            if (less.kind === 'admit') return true
            return then.kind === 'refuse' && then.retryAfterMs >= less.retryAfterMs
          },
        ),
        { numRuns: 2000 },
      )
      t.pass()
    })
  })
})

describe('time after which a refused caller should retry', () => {
  const retryOf = (input: Partial<AdmissionInput>): number => {
    const decision = decideAdmission(inputOf({ spread: 0, ...input }))
    return decision.kind === 'refuse' ? decision.retryAfterMs : 0
  }

  // With a retry after the whole wait, fewer jobs were served than with one after a second: the
  // callers returned when their jobs were of no use any more.
  it('leaves the job enough time to be of use', (t) => {
    t.is(retryOf({ load: loadOf({ attainableCpu: 10 }) }), 2000)
    t.is(retryOf({ load: loadOf({ attainableCpu: 10 }), jobAgeMs: 6000 }), 1000)
  })

  it('is longer for an organisation beyond its share', (t) => {
    const load = loadOf({ organisationsBeyond: HOT_BEYOND })
    const hot = retryOf({ load, job: { ...JOB, organisation: 'hot' } })
    t.true(hot > retryOf({ load, job: { ...JOB, organisation: 'other' } }))
  })
})

describe('retryAfterMs', () => {
  it('is no earlier than the given time, up to 30 s', (t) => {
    t.is(retryAfterMs(3500, 0), 4000)
    t.is(retryAfterMs(1e9, 1), 30_000)
    t.is(retryAfterMs(0, 0), 1000)
  })

  // Callers that return within the same second meet the same full targets again.
  it('spreads callers over several seconds, also for the longest waits', (t) => {
    for (const waitMs of [500, 4000, 1e9]) {
      const answers = new Set([0, 0.25, 0.5, 0.75, 1].map((s) => retryAfterMs(waitMs, s)))
      t.true(answers.size >= 2, `${waitMs} ms`)
    }
  })
})
