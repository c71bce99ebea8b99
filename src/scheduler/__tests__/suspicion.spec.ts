/** What brings a target under suspicion, and what takes it back. */
import { describe, it } from '../../../test/describe.js'
import { createStillBook } from '../../../test/fixtures.js'
import { makeJob } from '../../../test/jobRig.js'
import type { Task } from '../../jobs/index.js'
import { createMemoryLogger } from '../../shared/index.js'
import { createSuspicion } from '../suspicion.js'
import type { TargetAgent } from '../types.js'

const agentOf = (id: string) => ({ target: { id } }) as TargetAgent

/** The tasks of a new job, none of which has begun. */
function newTasks(): Task[] {
  const book = createStillBook()
  return book.add(makeJob({ cpu: 100 }, [{ count: 4 }])).occurrences[0]!.steps[0]!.tasks
}

function start() {
  const suspicion = createSuspicion(createMemoryLogger())
  const end = (agent: TargetAgent, tasks: Task[], failed: boolean): void => {
    for (const task of tasks) suspicion.noteEnd(agent, task, failed, false)
  }
  return { suspicion, end }
}

describe('createSuspicion', () => {
  it('suspects a target where tasks of several jobs fail, not of one', (t) => {
    const { suspicion, end } = start()
    const agent = agentOf('t1')
    end(agent, newTasks(), true)
    t.is(suspicion.standingOf(agent), 'sound')
    end(agent, newTasks().slice(0, 1), true)
    t.is(suspicion.standingOf(agent), 'suspect')
  })

  it('trusts a target again where a task that began under suspicion was done', (t) => {
    const { suspicion, end } = start()
    const agent = agentOf('t1')
    for (const tasks of [newTasks(), newTasks()]) end(agent, tasks.slice(0, 1), true)
    const before = newTasks().slice(0, 1)
    before[0]!.startedAt = -1000
    end(agent, before, false)
    t.is(suspicion.standingOf(agent), 'suspect')
    const after = newTasks().slice(0, 1)
    after[0]!.startedAt = Infinity
    end(agent, after, false)
    t.is(suspicion.standingOf(agent), 'sound')
  })

  // In a pool of one target a third of the jobs failed wherever they ran: the target was under
  // suspicion nearly all the time, and jobs that had twelve attempts had no end after 30 s.
  describe('a step that fails by itself', () => {
    it('is told by other jobs that are done on the only target', (t) => {
      const { suspicion, end } = start()
      const agent = agentOf('t1')
      const bad = [newTasks(), newTasks()]
      for (const tasks of bad) {
        end(agent, tasks.slice(0, 1), true)
        end(agent, newTasks(), false)
        end(agent, tasks.slice(1, 3), true)
      }
      t.is(suspicion.standingOf(agent), 'sound')
      t.true(bad.every(([task]) => suspicion.failsByItself(task!.step)))
    })

    it('is not told by what was done before the target turned bad', (t) => {
      const { suspicion, end } = start()
      const agent = agentOf('t1')
      for (let each = 0; each < 2; each++) end(agent, newTasks().slice(0, 2), false)
      const bad = [newTasks(), newTasks()]
      for (const tasks of bad) end(agent, tasks, true)
      t.is(suspicion.standingOf(agent), 'suspect')
      t.false(bad.some(([task]) => suspicion.failsByItself(task!.step)))
    })

    it('is no evidence once it has failed where others are done', (t) => {
      const { suspicion, end } = start()
      const [first, second] = [agentOf('t1'), agentOf('t2')]
      const bad = [newTasks(), newTasks()]
      for (const tasks of bad) end(first, tasks.slice(0, 1), true)
      t.is(suspicion.standingOf(first), 'suspect')
      for (const tasks of bad) end(second, tasks.slice(1, 2), true)
      end(second, newTasks(), false)
      t.is(suspicion.standingOf(first), 'sound')
      t.is(suspicion.standingOf(second), 'sound')
    })

    it('is not told where nothing else is done', (t) => {
      const { suspicion, end } = start()
      const agent = agentOf('t1')
      const tasks = newTasks()
      end(agent, tasks, true)
      t.false(suspicion.failsByItself(tasks[0]!.step))
    })
  })
})
