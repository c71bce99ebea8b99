import fc from 'fast-check'
import { describe, it } from '../../../test/describe.js'
import { createFrozenJobBook } from '../../../test/fixtures.js'
import { QUEUE, makeJob } from '../../../test/jobRig.js'
import type { Job, JobSpec } from '../../jobs/index.js'
import { UNRESTRICTED_POLICY } from '../placementRules.js'
import { planStarts } from '../planner.js'
import { createRoom, needOf } from '../room.js'
import { createRunTimes } from '../runTimes.js'
import type { TargetAgent } from '../types.js'
import { compareUrgency, urgencyOf } from '../urgency.js'

function fakeAgent(
  id: string,
  cpu: number,
  labels = ['r1-1'],
  usable = true,
  startsLeft = Infinity,
): TargetAgent {
  const capacity = { cpu, memMb: 100_000, gpu: 0 }
  return {
    target: {
      id,
      service: 's',
      address: id,
      hall: 'h',
      draining: false,
      capacity,
      labels,
    },
    placements: new Map(),
    room: createRoom(capacity),
    startsLeft: () => startsLeft,
    isUsable: () => usable,
  } as unknown as TargetAgent
}

function readyOf(jobs: JobSpec[]) {
  const book = createFrozenJobBook()
  for (const job of jobs) book.add(job)
  return book.ready
}

const plan = (jobs: JobSpec[], agents: TargetAgent[], avoided = '') =>
  planStarts({
    ready: readyOf(jobs),
    agents,
    urgencyOf: (job) => urgencyOf(job, QUEUE, createRunTimes(), 0),
    policy: UNRESTRICTED_POLICY,
    penaltyOf: ({ target }) => (target.id === avoided ? 1 : 0),
    hasStepPolicy: () => false,
    mayTry: () => false,
    planned: () => undefined,
  })

describe('planStarts', () => {
  it('plans no more starts than may be in flight, the most urgent first', (t) => {
    const jobs = [
      makeJob({ cpu: 10 }, [{ count: 3 }]),
      makeJob({ cpu: 10 }, [{ count: 3 }]),
    ]
    const { starts, waiting } = planStarts({
      ready: readyOf(jobs),
      agents: [fakeAgent('t1', 1000)],
      urgencyOf: (job) => urgencyOf(job, QUEUE, createRunTimes(), 0),
      policy: UNRESTRICTED_POLICY,
      penaltyOf: () => 0,
      hasStepPolicy: () => false,
      mayTry: () => false,
      startsLeft: 4,
      planned: () => undefined,
    })
    t.is(starts.length, 4)
    t.is(waiting.size, 1)
  })

  it('never exceeds the room of a target', (t) => {
    const counts = fc.array(
      fc.record({
        count: fc.integer({ min: 1, max: 9 }),
        cpu: fc.integer({ min: 0, max: 3000 }),
      }),
      { maxLength: 12 },
    )
    fc.assert(
      fc.property(
        counts,
        fc.array(fc.integer({ min: 0, max: 6000 }), { maxLength: 5 }),
        (steps, rooms) => {
          const jobs = steps.map(({ count, cpu }) => makeJob({ cpu }, [{ count, cpu }]))
          const agents = rooms.map((cpu, index) => fakeAgent(`t${index}`, cpu))
          const { starts } = plan(jobs, agents)
          for (const agent of agents) {
            const here = starts.filter((start) => start.agent === agent)
            const used = here.reduce((sum, { task }) => sum + needOf(task.step).cpu, 0)
            if (used > agent.room.capacity.cpu) return false
          }
          return new Set(starts.map(({ task }) => task)).size === starts.length
        },
      ),
    )
    t.pass()
  })

  it('respects labels, limits per target and unusable targets', (t) => {
    const agents = [
      fakeAgent('t1', 9000, ['r1-1', 'x']),
      fakeAgent('t2', 9000),
      fakeAgent('t3', 9000, ['r1-1', 'x'], false),
    ]
    const labelled = plan([makeJob({ cpu: 10 }, [{ count: 3, label: 'x' }])], agents)
    t.deepEqual(
      labelled.starts.map(({ agent }) => agent.target.id),
      ['t1', 't1', 't1'],
    )
    const spread = plan([makeJob({ cpu: 10 }, [{ count: 3, maxPerTarget: 1 }])], agents)
    t.deepEqual(spread.starts.map(({ agent }) => agent.target.id).sort(), ['t1', 't2'])
    t.is(spread.waiting.size, 1)
  })

  // Ten starts on one slow target, preferred as the fullest, would wait 3 s for one another.
  it('plans no more starts on a target than it accepts at once, except for a gang', (t) => {
    const slow = fakeAgent('t1', 5000, ['r1-1'], true, 3)
    const agents = [slow, fakeAgent('t2', 9000)]
    const { starts, waiting } = plan([makeJob({ cpu: 100 }, [{ count: 10 }])], agents)
    t.is(starts.filter(({ agent }) => agent === slow).length, 3)
    t.is(starts.length, 10)
    t.is(waiting.size, 0)
    const alone = plan([makeJob({ cpu: 100 }, [{ count: 10 }])], [slow])
    t.is(alone.starts.length, 3)
    t.is(alone.waiting.size, 1)
    const gang = plan([makeJob({ cpu: 100 }, [{ count: 10, gang: true }])], [slow])
    t.is(gang.starts.length, 10)
  })

  it('prefers the rack of the data, and uses penalised targets only if no other fits', (t) => {
    const agents = [fakeAgent('t1', 2000, ['r1-1']), fakeAgent('t2', 2000, ['r1-2'])]
    const near = plan([makeJob({ cpu: 900 }, [{ count: 2, dataRack: 'r1-2' }])], agents)
    t.deepEqual(
      near.starts.map(({ agent }) => agent.target.id),
      ['t2', 't2'],
    )
    const avoided = plan([makeJob({ cpu: 1500 }, [{ count: 2 }])], agents, 't1')
    t.deepEqual(
      avoided.starts.map(({ agent }) => agent.target.id),
      ['t2', 't1'],
    )
  })

  it('starts all tasks of a gang or none, in one rack if requested and possible', (t) => {
    const agents = [
      fakeAgent('t1', 1000, ['r1-1']),
      fakeAgent('t2', 1000, ['r1-2']),
      fakeAgent('t3', 1000, ['r1-2']),
    ]
    const gang = (count: number) =>
      makeJob({ cpu: 1000 }, [{ count, gang: true, sameRack: true }])
    t.deepEqual(
      plan([gang(2)], agents).starts.map(({ agent }) => agent.target.id),
      ['t2', 't3'],
    )
    t.is(plan([gang(3)], agents).starts.length, 3)
    t.is(plan([gang(4)], agents).starts.length, 0)
  })

  // The planner skips a step that needs at least as much as one that found no target, but not if
  // the policy may treat the step differently. The second plan therefore searches all targets.
  it('plans the same starts as a search of all targets for each step', (t) => {
    const steps = fc.array(
      fc.record({
        count: fc.integer({ min: 1, max: 6 }),
        cpu: fc.integer({ min: 0, max: 3000 }),
        memMb: fc.integer({ min: 0, max: 60_000 }),
        label: fc.constantFrom('', 'a', 'b'),
        maxPerTarget: fc.constantFrom(0, 0, 0, 2),
        lasting: fc.boolean(),
      }),
      { maxLength: 30 },
    )
    const rooms = fc.array(
      fc.record({
        cpu: fc.integer({ min: 0, max: 6000 }),
        label: fc.constantFrom('a', 'b'),
      }),
      { maxLength: 6 },
    )
    fc.assert(
      fc.property(steps, rooms, (wanted, targets) => {
        const jobs = wanted.map((step) => makeJob({ cpu: step.cpu }, [step]))
        const agents = targets.map(({ cpu, label }, index) =>
          fakeAgent(`t${index}`, cpu, ['r1-1', label]),
        )
        const ready = readyOf(jobs)
        const input = {
          ready,
          agents,
          urgencyOf: (job: Job) => urgencyOf(job, QUEUE, createRunTimes(), 0),
          policy: UNRESTRICTED_POLICY,
          penaltyOf: () => 0,
          mayTry: () => false,
          planned: () => undefined,
        }
        const cached = planStarts({ ...input, hasStepPolicy: () => false })
        const uncached = planStarts({ ...input, hasStepPolicy: () => true })
        t.deepEqual(
          cached.starts.map(({ task, agent }) => [task.name, agent.target.id]),
          uncached.starts.map(({ task, agent }) => [task.name, agent.target.id]),
        )
        t.deepEqual(cached.waiting, uncached.waiting)
      }),
    )
  })
})

describe('compareUrgency', () => {
  it('orders timely jobs before late ones and late ones before useless ones', (t) => {
    const base = { priority: 0, deadline: 5 }
    const order = [
      { ...base, standing: 'useless' as const, deadline: 1 },
      { ...base, standing: 'timely' as const },
      { ...base, standing: 'late' as const, deadline: 2 },
      { ...base, standing: 'timely' as const, priority: 1 },
    ].sort(compareUrgency)
    t.deepEqual(
      order.map(({ standing }) => standing),
      ['timely', 'late', 'useless', 'timely'],
    )
  })

  it('orders jobs beyond a share after those within, and before useless ones', (t) => {
    const of = (standing: 'timely' | 'late' | 'useless', isBeyondShare: boolean) => ({
      priority: 0,
      deadline: 5,
      standing,
      isBeyondShare,
    })
    const order = [
      of('useless', false),
      of('late', true),
      of('timely', true),
      of('late', false),
      of('timely', false),
    ].sort(compareUrgency)
    t.deepEqual(
      order.map(({ standing, isBeyondShare }) => `${standing} ${isBeyondShare}`),
      ['timely false', 'late false', 'timely true', 'late true', 'useless false'],
    )
  })

  describe('with cold targets', () => {
    const planCold = (jobs: JobSpec[], agents: TargetAgent[], cold: string[]) =>
      planStarts({
        ready: readyOf(jobs),
        agents,
        urgencyOf: (job) => urgencyOf(job, QUEUE, createRunTimes(), 0),
        policy: UNRESTRICTED_POLICY,
        penaltyOf: () => 0,
        hasStepPolicy: () => false,
        mayTry: () => false,
        isCold: ({ target }) => cold.includes(target.id),
        planned: () => undefined,
      }).starts.map(({ agent }) => agent.target.id)

    it('fills warm targets first, also in another rack than the data', (t) => {
      const agents = [
        fakeAgent('c1', 200, ['r1-1']),
        fakeAgent('w1', 200, ['r1-2']),
        fakeAgent('c2', 200, ['r1-1']),
      ]
      const jobs = [makeJob({ cpu: 100 }, [{ count: 3, dataRack: 'r1-1' }])]
      t.deepEqual(planCold(jobs, agents, ['c1', 'c2']), ['w1', 'w1', 'c1'])
    })

    it('uses them if all targets are cold', (t) => {
      const agents = [fakeAgent('c1', 200), fakeAgent('c2', 200)]
      const jobs = [makeJob({ cpu: 100 }, [{ count: 4 }])]
      t.is(planCold(jobs, agents, ['c1', 'c2']).length, 4)
    })

    // A gang ends with its slowest member.
    it('starts a gang in a warm rack', (t) => {
      const agents = [
        fakeAgent('c1', 200, ['r1-1']),
        fakeAgent('w1', 100, ['r1-1']),
        fakeAgent('w2', 200, ['r1-2']),
      ]
      const jobs = [makeJob({ cpu: 100 }, [{ count: 2, gang: true, sameRack: true }])]
      t.deepEqual(planCold(jobs, agents, ['c1']), ['w2', 'w2'])
    })

    // Otherwise all lasting tasks gather on the targets that happen to be warm, for good.
    it('keeps lasting tasks spread', (t) => {
      const agents = [fakeAgent('c1', 900), fakeAgent('w1', 900)]
      const jobs = [makeJob({ cpu: 100 }, [{ count: 2, lasting: true }])]
      t.deepEqual(planCold(jobs, agents, ['c1']), ['w1', 'c1'])
    })

    // Guards deployments without cold targets.
    it('plans as before if none of the targets is cold', (t) => {
      const steps = fc.array(
        fc.record({
          count: fc.integer({ min: 1, max: 5 }),
          cpu: fc.integer({ min: 1, max: 400 }),
          lasting: fc.boolean(),
          gang: fc.boolean(),
          sameRack: fc.boolean(),
        }),
        { maxLength: 6 },
      )
      const rooms = fc.array(fc.integer({ min: 0, max: 2000 }), { maxLength: 5 })
      fc.assert(
        fc.property(steps, rooms, (drawn, cpus) => {
          const agents = cpus.map((cpu, at) => fakeAgent(`t${at}`, cpu, [`r1-${at % 2}`]))
          const jobs = drawn.map((step) => makeJob({ cpu: step.cpu }, [step]))
          const before = plan(jobs, agents).starts.map(({ agent }) => agent.target.id)
          t.deepEqual(planCold(jobs, agents, []), before)
        }),
      )
      t.pass()
    })
  })
})
