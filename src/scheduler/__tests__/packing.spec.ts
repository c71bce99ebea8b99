import { describe, it } from '../../../test/describe.js'
import { createFrozenJobBook } from '../../../test/fixtures.js'
import { jobSchema } from '../../jobs/index.js'
import type { Step } from '../../jobs/index.js'
import { createPacking } from '../packing.js'
import type { TargetAgent } from '../types.js'

const TARGET_CPU = 8000

const agentWith = (usedCpu: number, isUsable = true): TargetAgent =>
  ({
    isUsable: () => isUsable,
    room: { capacity: { cpu: TARGET_CPU }, free: { cpu: TARGET_CPU - usedCpu } },
  }) as unknown as TargetAgent

function stepWith(fields: object): Step {
  const job = jobSchema.parse({
    id: 'j1',
    queue: 'q',
    service: 'one',
    spec: '',
    steps: [{ count: 2, cpu: 1000, ...fields }],
  })
  return createFrozenJobBook().add(job).occurrences[0]!.steps[0]!
}

describe('createPacking', () => {
  const agents = [1000, 3000, 0, 2000].map((usedCpu) => agentWith(usedCpu))
  const surplusOf = (usableCpu: number, fields: object = {}): boolean[] => {
    const isSurplus = createPacking(agents, usableCpu, () => true)
    const step = stepWith(fields)
    return agents.map((agent) => isSurplus(agent, step))
  }

  it('keeps tasks to the fullest targets that the owner needs', (t) => {
    t.deepEqual(surplusOf(10_000), [true, false, true, false])
  })

  it('uses all targets of an owner without a limit', (t) => {
    t.deepEqual(surplusOf(Infinity), [false, false, false, false])
  })

  it('keeps one target for any need', (t) => {
    t.deepEqual(surplusOf(1), [true, false, true, true])
  })

  // Otherwise tasks wait for cold targets at their start limit beside idle warm ones.
  it('counts on cold targets last, however full they are', (t) => {
    const isCold = (agent: TargetAgent): boolean => agent === agents[1]
    const isSurplus = createPacking(agents, 10_000, () => true, isCold)
    const step = stepWith({})
    t.deepEqual(
      agents.map((agent) => isSurplus(agent, step)),
      [false, true, true, false],
    )
  })

  // Otherwise a job that suspicion keeps off all targets is not tried on any of them.
  it('keeps no task off a target that works badly', (t) => {
    const isSurplus = createPacking(agents, 1, () => false)
    for (const agent of agents) t.false(isSurplus(agent, stepWith({})))
  })

  it('counts on no target that takes no tasks or works badly', (t) => {
    const [evacuating, suspect, sound] = [
      agentWith(3000, false),
      agentWith(2000),
      agentWith(0),
    ]
    const all = [evacuating!, suspect!, sound!]
    const isSurplus = createPacking(all, 1, (agent) => agent !== suspect)
    t.false(isSurplus(sound!, stepWith({})))
  })

  describe('for steps that may not run on any target', () => {
    const CASES = {
      'lasting tasks': { lasting: true },
      'a limit for each target': { maxPerTarget: 1 },
      'a label': { label: 'gpu' },
      'a gang': { gang: true },
    }
    for (const [name, fields] of Object.entries(CASES)) {
      it(`uses all targets: ${name}`, (t) => {
        t.deepEqual(surplusOf(1, fields), [false, false, false, false])
      })
    }
  })
})
