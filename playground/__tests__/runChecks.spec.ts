/**
 * The soak's checks of runs beside restarts of targets. Guards against checks that take two
 * incarnations under one id for one target, and so miss a run or count one that is over.
 */
import type { ExecutionContext } from 'ava'
import { describe, it } from '../../test/describe.js'
import type { WatchedEntry } from '../sim/runLedger.js'
import { createDisturbanceTracker } from '../soak/disturbances.js'
import { tasksOf } from '../soak/jobView.js'
import { createRunChecks } from '../soak/runChecks.js'

const JOB = 'j1'
const TASK = `${JOB}.0.0.0`
const STEPS = [{ count: 1, cpu: 100, after: [] }]

/** Applies events `what run target life` and returns the guarantees that they violate. */
function violations(t: ExecutionContext, events: string[]): string[] {
  const found: string[] = []
  const disturbances = createDisturbanceTracker()
  t.teardown(disturbances.close)
  const checks = createRunChecks(
    disturbances,
    () => true,
    () => 0,
    (promise) => void found.push(promise),
  )
  checks.jobs.set(JOB, {
    id: JOB,
    queue: { name: 'q', path: '/q/', service: 'one', maxAttempts: 3 },
    organisation: undefined,
    spec: '{}',
    steps: STEPS,
    isLasting: false,
    tasks: tasksOf(JOB, STEPS),
    mayBeTaken: true,
  })
  events.forEach((event, at) => {
    const [what, run, target, life] = event.split(' ') as [
      WatchedEntry['what'],
      ...string[],
    ]
    const lifeStartMs = Number(life)
    checks.onTargetEntry({
      at,
      what,
      task: TASK,
      run: Number(run),
      target: target!,
      lifeStartMs,
    })
  })
  return found
}

describe('checks of runs', () => {
  it('find two runs on two targets', (t) => {
    t.deepEqual(violations(t, ['start 1 a 1', 'start 2 b 1']), ['two runs at once'])
  })

  it('find two runs after a target restarted under its id', (t) => {
    const events = ['start 1 a 1', 'killed 1 a 1', 'start 2 b 1', 'start 1 a 2']
    t.deepEqual(violations(t, events), ['two runs at once'])
  })

  it('take a run for over once its incarnation has crashed', (t) => {
    t.deepEqual(violations(t, ['start 1 a 1', 'killed 1 a 1', 'start 1 a 2']), [])
  })

  it('do not take a run for over at an end of another incarnation', (t) => {
    const events = ['start 1 a 1', 'start 2 a 2', 'killed 1 a 1', 'start 3 b 1']
    t.deepEqual(violations(t, events), ['two runs at once', 'two runs at once'])
  })

  it('tell acknowledged ends of two incarnations apart', (t) => {
    const lost = ['start 1 a 1', 'done 1 a 1', 'start 1 a 2', 'done 1 a 2']
    t.deepEqual(violations(t, [...lost, 'noted 1 a 2', 'start 2 b 1']), [
      'ran after its end',
    ])
    t.deepEqual(violations(t, ['start 1 a 1', 'done 1 a 1', 'start 2 b 1']), [])
  })
})
