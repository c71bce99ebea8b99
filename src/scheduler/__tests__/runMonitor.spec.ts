/** Detection of stalled and slow runs, and of the cause: the target or the job. */
import { describe, it } from '../../../test/describe.js'
import { createFrozenJobBook } from '../../../test/fixtures.js'
import { makeJob } from '../../../test/jobRig.js'
import type { Task } from '../../jobs/index.js'
import { createMemoryLogger } from '../../shared/index.js'
import { createRunMonitor } from '../runMonitor.js'
import { createRunTimes } from '../runTimes.js'
import { createSuspicion } from '../suspicion.js'
import type { TargetAgent } from '../types.js'
import type { Placement } from '../targetRuns.js'

/** Observed run time of the queue's tasks, in ms. */
const USUAL_MS = 1000

function newTasks(count: number): Task[] {
  const book = createFrozenJobBook()
  return book.add(makeJob({ cpu: 100 }, [{ count }])).occurrences[0]!.steps[0]!.tasks
}

/** Returns a target whose tasks have been running since time 0. */
function agentWith(id: string, tasks: Task[]): TargetAgent {
  const placements = new Map<string, Partial<Placement>>()
  for (const task of tasks) {
    task.startedAt = 0
    placements.set(task.name, { task, name: task.name, state: 'running', percent: 0 })
  }
  return { target: { id }, placements, isAnswering: () => true } as unknown as TargetAgent
}

function report(agent: TargetAgent, reportedAt: number, percent: number): void {
  for (const placement of agent.placements.values())
    Object.assign(placement, { reportedAt, percent })
}

function start(wasColdSince = (_id: string, _at: number): boolean => false) {
  const runTimes = createRunTimes()
  const suspicion = createSuspicion(createMemoryLogger())
  for (const task of newTasks(20)) runTimes.note(task, USUAL_MS)
  return {
    suspicion,
    runMonitor: createRunMonitor(runTimes, suspicion, { wasColdSince }),
  }
}

describe('createRunMonitor', () => {
  it('finds a stalled run and counts it against its target only once', (t) => {
    const { suspicion, runMonitor } = start()
    const agent = agentWith('t1', newTasks(1))
    report(agent, 1000, 80)
    t.deepEqual(runMonitor.sweep([agent]), [])
    report(agent, 3400, 80)
    t.is(runMonitor.sweep([agent]).length, 1)
    t.is(suspicion.standingOf(agent), 'suspect')
    suspicion.retractEvidence(() => true)
    t.is(runMonitor.sweep([agent]).length, 1)
    t.is(suspicion.standingOf(agent), 'sound')
  })

  it('scales the stall limit with the time that a run needs per percent', (t) => {
    const { runMonitor } = start()
    const agent = agentWith('t1', newTasks(1))
    report(agent, 30_000, 3)
    runMonitor.sweep([agent])
    report(agent, 50_000, 3)
    t.false(runMonitor.sweep([agent]).some(({ mayRestartInPlace }) => mayRestartInPlace))
    report(agent, 61_000, 3)
    t.true(runMonitor.sweep([agent]).some(({ mayRestartInPlace }) => mayRestartInPlace))
  })

  describe('slow run', () => {
    it('is moved if the same step is faster on another target', (t) => {
      const { suspicion, runMonitor } = start()
      const tasks = newTasks(4)
      const slow = agentWith('t1', tasks.slice(0, 2))
      const quick = agentWith('t2', tasks.slice(2))
      report(slow, 2000, 10)
      report(quick, 2000, 60)
      const found = runMonitor.sweep([slow, quick])
      t.deepEqual(new Set(found.map(({ agent }) => agent)), new Set([slow]))
      t.is(suspicion.standingOf(slow), 'suspect')
    })

    it('is not moved if other jobs have a normal pace on its target', (t) => {
      const { suspicion, runMonitor } = start()
      const long = newTasks(2)
      const agent = agentWith('t1', [...long, ...newTasks(3)])
      report(agent, 1300, 90)
      for (const task of long)
        Object.assign(agent.placements.get(task.name)!, { percent: 10 })
      t.deepEqual(runMonitor.sweep([agent]), [])
      t.is(suspicion.standingOf(agent), 'sound')
    })

    it('is moved only once if the cause is unclear', (t) => {
      const { runMonitor } = start()
      const agent = agentWith('t1', newTasks(2))
      report(agent, 2000, 10)
      const found = runMonitor.sweep([agent])
      t.is(found.length, 2)
      for (const run of found) runMonitor.noteMoved(run)
      t.deepEqual(runMonitor.sweep([agent]), [])
    })
  })

  describe('on a target that was cold', () => {
    const COLD_UNTIL = 4000
    const startCold = () => start((id, at) => id === 'c1' && at < COLD_UNTIL)

    // Otherwise each target that has just started is excluded, and its runs are stopped.
    it('takes slow runs for no evidence', (t) => {
      const { suspicion, runMonitor } = startCold()
      const tasks = newTasks(4)
      const cold = agentWith('c1', tasks.slice(0, 2))
      const quick = agentWith('t2', tasks.slice(2))
      report(cold, 2000, 10)
      report(quick, 2000, 60)
      t.deepEqual(runMonitor.sweep([cold, quick]), [])
      t.is(suspicion.standingOf(cold), 'sound')
      const [task] = newTasks(1)
      task!.startedAt = performance.now() - 10 * USUAL_MS
      t.true(runMonitor.noteDone(quick, task!))
      task!.startedAt = 0
      t.false(runMonitor.noteDone(cold, task!))
    })

    it('finds runs that began after the cold time', (t) => {
      const { suspicion, runMonitor } = startCold()
      const tasks = newTasks(4)
      const cold = agentWith('c1', tasks.slice(0, 2))
      const quick = agentWith('t2', tasks.slice(2))
      for (const task of tasks) task.startedAt = COLD_UNTIL
      report(cold, COLD_UNTIL + 2000, 10)
      report(quick, COLD_UNTIL + 2000, 60)
      t.is(runMonitor.sweep([cold, quick]).length, 2)
      t.is(suspicion.standingOf(cold), 'suspect')
    })

    it('finds a stalled run, but later than elsewhere', (t) => {
      const { suspicion, runMonitor } = startCold()
      const cold = agentWith('c1', newTasks(1))
      report(cold, 100, 0)
      runMonitor.sweep([cold])
      report(cold, 9000, 0)
      t.deepEqual(runMonitor.sweep([cold]), [])
      t.is(suspicion.standingOf(cold), 'sound')
      report(cold, 9400, 0)
      t.is(runMonitor.sweep([cold]).length, 1)
    })
  })
})
