/** How a target becomes suspect, and how it is cleared. */
import { describe, it } from '../../../test/describe.js'
import { createFrozenJobBook } from '../../../test/fixtures.js'
import { makeJob } from '../../../test/jobRig.js'
import type { Task } from '../../jobs/index.js'
import { createMemoryLogger } from '../../shared/index.js'
import { createSuspicion } from '../suspicion.js'
import type { TargetAgent } from '../types.js'

const agentOf = (id: string) => ({ target: { id } }) as TargetAgent

/** Returns the tasks of a new job, none of which has begun. */
function newTasks(): Task[] {
  const book = createFrozenJobBook()
  return book.add(makeJob({ cpu: 100 }, [{ count: 4 }])).occurrences[0]!.steps[0]!.tasks
}

function start() {
  const suspicion = createSuspicion(createMemoryLogger())
  const endTasks = (agent: TargetAgent, tasks: Task[], failed: boolean): void => {
    for (const task of tasks) suspicion.noteEnd(agent, task, failed, false)
  }
  return { suspicion, endTasks }
}

describe('createSuspicion', () => {
  it('suspects a target if tasks of several jobs fail there, not of a single job', (t) => {
    const { suspicion, endTasks } = start()
    const agent = agentOf('t1')
    endTasks(agent, newTasks(), true)
    t.is(suspicion.standingOf(agent), 'sound')
    endTasks(agent, newTasks().slice(0, 1), true)
    t.is(suspicion.standingOf(agent), 'suspect')
  })

  it('clears a target once a task that began after its exclusion succeeds', (t) => {
    const { suspicion, endTasks } = start()
    const agent = agentOf('t1')
    for (const tasks of [newTasks(), newTasks()]) endTasks(agent, tasks.slice(0, 1), true)
    const before = newTasks().slice(0, 1)
    before[0]!.startedAt = -1000
    endTasks(agent, before, false)
    t.is(suspicion.standingOf(agent), 'suspect')
    const after = newTasks().slice(0, 1)
    after[0]!.startedAt = Infinity
    endTasks(agent, after, false)
    t.is(suspicion.standingOf(agent), 'sound')
  })

  // In a pool of one target, a third of the jobs may fail wherever they run. If the target is
  // blamed, it is suspect nearly all the time, and jobs with twelve attempts do not end in 30 s.
  describe('a faulty step', () => {
    it('is detected by successes of other jobs on the only target', (t) => {
      const { suspicion, endTasks } = start()
      const agent = agentOf('t1')
      const bad = [newTasks(), newTasks()]
      for (const tasks of bad) {
        endTasks(agent, tasks.slice(0, 1), true)
        endTasks(agent, newTasks(), false)
        endTasks(agent, tasks.slice(1, 3), true)
      }
      t.is(suspicion.standingOf(agent), 'sound')
      t.true(bad.every(([task]) => suspicion.isFaulty(task!.step)))
    })

    it('is not detected by successes before the target became faulty', (t) => {
      const { suspicion, endTasks } = start()
      const agent = agentOf('t1')
      for (let each = 0; each < 2; each++) endTasks(agent, newTasks().slice(0, 2), false)
      const bad = [newTasks(), newTasks()]
      for (const tasks of bad) endTasks(agent, tasks, true)
      t.is(suspicion.standingOf(agent), 'suspect')
      t.false(bad.some(([task]) => suspicion.isFaulty(task!.step)))
    })

    it('is no evidence against a target once it has failed where others succeed', (t) => {
      const { suspicion, endTasks } = start()
      const [first, second] = [agentOf('t1'), agentOf('t2')]
      const bad = [newTasks(), newTasks()]
      for (const tasks of bad) endTasks(first, tasks.slice(0, 1), true)
      t.is(suspicion.standingOf(first), 'suspect')
      for (const tasks of bad) endTasks(second, tasks.slice(1, 2), true)
      endTasks(second, newTasks(), false)
      t.is(suspicion.standingOf(first), 'sound')
      t.is(suspicion.standingOf(second), 'sound')
    })

    it('is not detected without successes of other jobs', (t) => {
      const { suspicion, endTasks } = start()
      const agent = agentOf('t1')
      const tasks = newTasks()
      endTasks(agent, tasks, true)
      t.false(suspicion.isFaulty(tasks[0]!.step))
    })
  })
})
