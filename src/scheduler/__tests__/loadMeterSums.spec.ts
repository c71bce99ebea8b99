import { describe, it } from '../../../test/describe.js'
import { QUEUE, makeJob } from '../../../test/jobRig.js'
import type { Job, Step, TaskPhase } from '../../jobs/index.js'
import type { StepSpec } from '../../jobs/index.js'
import { createLoadMeter } from '../loadMeter.js'
import type { LoadMeterOptions } from '../loadMeter.js'
import type { TargetAgent } from '../types.js'
import type { Urgency } from '../urgency.js'

const TASK_CPU = 1000
const RUN_MS = 400

interface JobInput {
  organisation?: string
  priority?: number
  standing?: Urgency['standing']
  isBeyond?: boolean
  phases?: TaskPhase[]
  targetId?: string
  step?: Partial<StepSpec>
}

/** A job with one step, as far as the meter reads it. */
function jobOf({ organisation, phases = ['ready'], targetId, step }: JobInput): Job {
  const spec = makeJob({ cpu: TASK_CPU }, [{ count: phases.length, ...step }], {
    organisation,
  })
  const tasks = phases.map((phase) => ({ phase, targetId, startedAt: 0 }))
  const job = { spec }
  const steps = [{ job, spec: spec.steps[0], tasks, doneCount: 0 }]
  const occurrences = [{ due: true, openSteps: 1, steps }]
  return Object.assign(job, { occurrences }) as unknown as Job
}

/** A target with the given idle room. */
function agentOf(id: string, isUsable = true, freeCpu = 0): TargetAgent {
  const capacity = { cpu: 4000, memMb: 4000, gpu: 0 }
  const free = { cpu: freeCpu, memMb: freeCpu, gpu: 0 }
  const agent = { target: { id }, room: { capacity, free }, isUsable: () => isUsable }
  return agent as unknown as TargetAgent
}

/** Load of a service with the given jobs and one full target. */
function loadWith(inputs: JobInput[], more: Partial<LoadMeterOptions> = {}) {
  const jobs = new Map(inputs.map((input) => [jobOf(input), input]))
  const meter = createLoadMeter({
    term: 1,
    book: { open: new Set(jobs.keys()) },
    shares: { isBeyondShare: (job) => jobs.get(job)?.isBeyond ?? false },
    areSharesWeighted: true,
    beginQuotas: () => ({ exceeds: () => false }),
    runTimes: { hasEnoughRuns: () => true, meanRunMs: () => RUN_MS },
    startWindow: { isBehind: () => false, perSecond: () => 0 },
    urgencyOf(job) {
      const { priority = QUEUE.priority, standing = 'timely' } = jobs.get(job)!
      return { priority, standing, deadline: 0 }
    },
    agents: () => [agentOf('t1')],
    isSettled: () => true,
    hasFleet: false,
    now: () => 0,
    ...more,
  })
  return meter.current()!
}

describe('sums of a load', () => {
  describe('beside idle room', () => {
    const idle = { agents: () => [agentOf('t1', true, 4000)] }

    it('name the work that waits for starts of an owner that is behind', (t) => {
      const startWindow = { isBehind: () => true, perSecond: () => 20 }
      const load = loadWith([{ phases: ['ready', 'ready'] }], { ...idle, startWindow })
      t.true(load.idleCpu > 0)
      t.is(load.startsPerSecond, 20)
      t.is(load.backlog[0]?.timelyStarts, 2)
    })

    it('are empty while the owner keeps up', (t) => {
      const load = loadWith([{ phases: ['ready', 'ready'] }], idle)
      t.true(load.idleCpu > 0)
      t.deepEqual(load.backlog, [])
    })
  })

  describe('organisations with waiting jobs', () => {
    it('are named by priority where weighted shares are in force', (t) => {
      const inputs: JobInput[] = [
        { organisation: 'a', priority: 1 },
        { organisation: 'b', priority: 1 },
        { organisation: 'a', priority: 2 },
      ]
      t.deepEqual(loadWith(inputs).turns, [
        { priority: 1, organisations: ['a', 'b'] },
        { priority: 2, organisations: ['a'] },
      ])
      t.is(loadWith(inputs, { areSharesWeighted: false }).turns, undefined)
    })

    // Such jobs do not take part in the order of the shares, so that nothing waits behind them.
    it('are not named for jobs without ready tasks, useless jobs and lasting steps', (t) => {
      const { turns } = loadWith([
        { organisation: 'blocked', phases: ['placed', 'blocked'] },
        { organisation: 'useless', standing: 'useless' },
        { organisation: 'lasting', step: { lasting: true } },
        {},
      ])
      t.deepEqual(turns, [])
    })
  })

  describe('tasks that a quota holds', () => {
    const atMaximum: JobInput = { organisation: 'a', phases: Array(8).fill('ready') }

    /** Load of jobs while a quota holds those of organisation `a`. */
    function loadWhileHeld(inputs: JobInput[], freeCpu: number, asked: Step[] = []) {
      const exceeds = (step: Step): boolean => {
        asked.push(step)
        return step.job.spec.organisation === 'a'
      }
      return loadWith(inputs, {
        beginQuotas: () => ({ exceeds }),
        agents: () => [agentOf('t1', true, freeCpu)],
      })
    }

    // Other organisations were refused while room was idle that nobody could use.
    it('take no idle room', (t) => {
      t.is(loadWhileHeld([atMaximum], 2000).idleCpu, 2000)
    })

    it('are no work before a job, but those that run are', (t) => {
      const running: JobInput = { organisation: 'a', phases: ['placed'], targetId: 't1' }
      const load = loadWhileHeld([atMaximum, running, { organisation: 'b' }], 0)
      t.deepEqual(load.turns, [{ priority: QUEUE.priority, organisations: ['b'] }])
      t.is(load.backlog[0]?.timelyStarts, 1)
      t.is(load.runningWork, RUN_MS * (TASK_CPU / 1000))
    })

    // A check of each task would cost too much at the peak of a queue.
    it('are checked once for each step with ready tasks', (t) => {
      const asked: Step[] = []
      const blocked: JobInput = { organisation: 'a', phases: ['blocked', 'placed'] }
      const load = loadWhileHeld([atMaximum, blocked, { organisation: 'b' }], 0, asked)
      t.is(load.backlog[0]?.timelyStarts, 2)
      t.is(asked.length, 2)
    })
  })

  // The room of targets that take no new tasks does not count, so that subtracting what runs there
  // would leave less room than there is.
  describe('tasks on targets that take no new ones', () => {
    const agents = () => [agentOf('t1'), agentOf('cordoned', false)]
    const onTarget = (targetId: string, lasting = false): JobInput => ({
      phases: ['placed'],
      targetId,
      step: { lasting },
    })

    it('are not subtracted from the room if they last', (t) => {
      const inputs = [onTarget('t1', true), onTarget('cordoned', true)]
      t.is(loadWith(inputs, { agents }).attainableCpu, 3000)
    })

    it('are no running work before a job', (t) => {
      const { runningWork } = loadWith([onTarget('t1'), onTarget('cordoned')], { agents })
      t.is(runningWork, RUN_MS * (TASK_CPU / 1000))
    })
  })

  describe('organisations beyond their shares', () => {
    it('are decided by their newest job of the priority', (t) => {
      const { organisationsBeyond } = loadWith([
        { organisation: 'a', priority: 1, isBeyond: true },
        { organisation: 'a', priority: 2 },
        { organisation: 'b', priority: 1, isBeyond: true },
        { organisation: 'b', priority: 1 },
      ])
      t.deepEqual(organisationsBeyond, [{ priority: 1, organisations: ['a'] }])
    })

    // A started job no longer has a place in the order and counts as within its share.
    it('are not decided by jobs without ready tasks', (t) => {
      const { organisationsBeyond } = loadWith([
        { organisation: 'a', priority: 1, isBeyond: true },
        { organisation: 'a', priority: 1, phases: ['placed'] },
        { organisation: 'b', priority: 1, isBeyond: true, phases: ['placed'] },
      ])
      t.deepEqual(organisationsBeyond, [{ priority: 1, organisations: ['a'] }])
    })
  })
})
