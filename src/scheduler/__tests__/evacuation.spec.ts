import { describe, it } from '../../../test/describe.js'
import { createFrozenJobBook } from '../../../test/fixtures.js'
import { createJobRig, makeJob } from '../../../test/jobRig.js'
import type { Step } from '../../jobs/index.js'
import { createMemoryLogger, sleep } from '../../shared/index.js'
import { applyFleetAnswer } from '../evacuation.js'
import { createRoom } from '../room.js'
import type { TargetAgent } from '../types.js'

interface FakeAgent extends TargetAgent {
  stopped: string[]
}

/** A target on which tasks of the step have been running for long; `used` is further room in use. */
function agentWith(id: string, step: Step, indices: number[], used = 0): FakeAgent {
  const capacity = { cpu: 32_000, memMb: 128_000, gpu: 0 }
  const room = createRoom(capacity)
  room.free.cpu -= used
  const placements = new Map<string, object>()
  for (const index of indices) {
    const task = step.tasks[index]!
    Object.assign(task, { phase: 'placed', targetId: id, startedAt: -10_000 })
    room.reserve(step)
    placements.set(task.name, { task, name: task.name, state: 'running', percent: 100 })
  }
  const stopped: string[] = []
  const agent = {
    target: { id, labels: [], draining: false },
    placements,
    room,
    evacuating: false,
    isSilent: () => false,
    isAnswering: () => true,
    isUsable: () => !agent.evacuating,
    startsLeft: () => Infinity,
    stop(name: string) {
      stopped.push(name)
      Object.assign(placements.get(name)!, { state: 'stopping' })
    },
    stopped,
  }
  return agent as unknown as FakeAgent
}

const lastingStep = (count: number, mayMiss: number): Step =>
  createFrozenJobBook().add(
    makeJob({ ms: 0 }, [
      { count, cpu: 4800, memMb: 25_000, lasting: true, maxPerTarget: 3, mayMiss },
    ]),
  ).occurrences[0]!.steps[0]!

const evacuate = (agents: FakeAgent[], ids: string[]): string[] => {
  const answer = { evacuate: ids, hurry: [], ended: [] }
  applyFleetAnswer(answer, () => agents, createMemoryLogger())
  return agents.flatMap(({ stopped }) => stopped)
}

describe('applyFleetAnswer', () => {
  describe('where the other targets have room for one lasting task only', () => {
    // The tasks stopped beyond that have no target and stand still until one gets room.
    it('stops no more lasting tasks of one target than have room elsewhere', (t) => {
      const step = lastingStep(9, 3)
      const leaving = agentWith('t1', step, [0, 1, 2])
      const others = [
        agentWith('t2', step, [3, 4], 17_000),
        agentWith('t3', step, [5, 6, 7], 17_600),
      ]
      t.is(evacuate([leaving, ...others], ['t1']).length, 1)
    })

    it('stops no more lasting tasks of several targets than have room elsewhere', (t) => {
      const step = lastingStep(4, 3)
      const leaving = [agentWith('t1', step, [0]), agentWith('t2', step, [1])]
      const other = agentWith('t3', step, [2, 3], 17_000)
      t.is(evacuate([...leaving, other], ['t1', 't2']).length, 1)
    })

    it('stops no further one before the first has started again', (t) => {
      const step = lastingStep(4, 3)
      const leaving = [agentWith('t1', step, [0]), agentWith('t2', step, [1])]
      const other = agentWith('t3', step, [2, 3], 17_000)
      evacuate([...leaving, other], ['t1'])
      t.is(evacuate([...leaving, other], ['t1', 't2']).length, 1)
    })
  })
})

describe('evacuation of a target while the others are full', () => {
  // Otherwise the target is closed, so it does no other work, and its VM cannot be maintained.
  it('moves lasting tasks although waiting jobs take each room that becomes free', async (t) => {
    const rig = createJobRig()
    t.teardown(rig.stop)
    rig.addTarget('t1')
    const owner = await rig.startOwner()
    const lasting = makeJob({ ms: 0, cpu: 1500 }, [
      { count: 1, lasting: true, mayMiss: 1 },
    ])
    rig.submit(owner, lasting)
    const onFirst = (what: string) =>
      rig.ledger.entries.some((each) => each.what === what && each.target === 't1')
    while (!onFirst('start')) await sleep(5)
    rig.addTarget('t2')
    const answer = { evacuate: ['t1'], hurry: [], ended: [] }
    owner.evacuate({ ...answer, evacuate: [] })
    for (let each = 0; each < 40; each++)
      rig.submit(owner, makeJob({ ms: 100, cpu: 2000 }, [{ count: 4, estimateMs: 100 }]))
    const endsOnSecond = () =>
      rig.ledger.entries.filter(({ what, target }) => what === 'done' && target === 't2')
        .length
    while (endsOnSecond() === 0) await sleep(5)
    let after = 0
    while (endsOnSecond() < 40 && !onFirst('stopped')) {
      // Reports are independent of the ends of runs.
      if (++after % 7 === 0) owner.evacuate(answer)
      await sleep(11)
    }
    t.log(`${endsOnSecond()} ends`)
    t.true(onFirst('stopped'), `after ${endsOnSecond()} ends on the other target`)
  })
})
