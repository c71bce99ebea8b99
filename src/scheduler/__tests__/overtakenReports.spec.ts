import { describe, it } from '../../../test/describe.js'
import { createFrozenJobBook } from '../../../test/fixtures.js'
import { CAPACITY, SERVICE, makeJob } from '../../../test/jobRig.js'
import type { Authority } from '../../ownership/index.js'
import type { ReportedEnd, ReportedRun, TargetReport } from '../../ports/index.js'
import { createMemoryLogger } from '../../shared/index.js'
import type { ReportedCall } from '../reportOrder.js'
import { createTargetRuns } from '../targetRuns.js'

const TARGET = {
  id: 't1',
  lifeStartMs: 1,
  service: SERVICE,
  address: 't1:1',
  hall: 'h1',
  draining: false,
  capacity: CAPACITY,
  labels: [],
}

/** Creates the runs of a target with one job of one task, whose first run is under way. */
function startRun() {
  const log = createMemoryLogger()
  const book = createFrozenJobBook({ rulesOf: () => ({ maxAttempts: 3 }) })
  const runs = createTargetRuns({
    target: TARGET,
    book,
    authority: { term: 1, isConfirmed: () => true } as unknown as Authority,
    quotaUsage: { add: () => undefined, remove: () => undefined },
    usesCopies: false,
    log,
    unwanted: () => undefined,
    ended: () => undefined,
  })
  const job = book.add(makeJob({ cpu: 1000 }, [{ count: 1 }]))
  const task = [...book.ready][0]!
  const placement = runs.add(task, 1, 'running')
  placement.confirmedClockMs = 10
  book.place(task, TARGET.id, 1)
  const present: ReportedRun = {
    task: task.name,
    run: 1,
    checkpoint: '',
    percent: 5,
    load: 0,
  }
  const failed: ReportedEnd = {
    seq: 1,
    task: task.name,
    run: 1,
    kind: 'failed',
    checkpoint: '',
  }
  const apply = (
    clockMs: number,
    content: Partial<TargetReport>,
    call: Partial<ReportedCall> = {},
  ): boolean =>
    runs.apply(
      { lifeStartMs: 1, clockMs, runs: [], ends: [], listsAllEnds: true, ...content },
      { token: 1, ackedSeq: 0, ...call },
      0,
    )
  return { runs, book, job, task, present, failed, apply, log }
}

describe('report of a target that another one has overtaken', () => {
  // A run that had ended counted as running for ever, so that its task never started again.
  it('does not bring back a run whose end is known', (t) => {
    const { task, runs, present, failed, apply, log } = startRun()
    t.true(apply(200, { ends: [failed] }, { token: 2 }))
    t.is(task.phase, 'ready')
    t.false(apply(100, { runs: [present] }))
    t.is(task.phase, 'ready')
    t.is(runs.placements.size, 0)
    t.is(runs.room.free.cpu, CAPACITY.cpu)
    t.deepEqual(
      log.events.filter(({ name }) => name === 'reportOvertaken').map((e) => e.fields),
      [{ target: 't1', behindMs: 100, token: 1 }],
    )
  })

  it('does not bring back such a run if both were given in the same millisecond', (t) => {
    const { task, present, failed, apply } = startRun()
    apply(100, { ends: [failed] })
    apply(100, { runs: [present] })
    t.is(task.phase, 'ready')
  })

  it('counts as the later one under the higher token in the same millisecond', (t) => {
    const { present, apply } = startRun()
    t.true(apply(100, { runs: [present] }, { token: 2 }))
    t.false(apply(100, { runs: [present] }, { token: 1 }))
    t.true(apply(100, { runs: [present] }, { token: 2 }))
  })

  it('does not give up a run that a later one lists', (t) => {
    const { task, runs, present, apply } = startRun()
    const placement = runs.placements.get(task.name)!
    placement.state = 'unsure'
    placement.confirmedClockMs = 0
    runs.fence(2)
    apply(200, { runs: [present] }, { token: 2 })
    apply(100, {}, { token: 2 })
    t.is(task.phase, 'placed')
  })

  it('has its ends counted', (t) => {
    const { task, present, failed, apply } = startRun()
    apply(200, { runs: [] })
    t.is(task.phase, 'ready')
    apply(100, { runs: [present], ends: [failed] })
    t.deepEqual([...task.failedRuns], [1])
    t.is(task.phase, 'ready')
  })
})

describe('adopted run that a later report does not list', () => {
  it('is given up', (t) => {
    const { book, task, runs, present, apply } = startRun()
    runs.remove(runs.placements.get(task.name)!)
    book.runVanished(task, TARGET.id)
    apply(100, { runs: [present] })
    t.is(task.phase, 'placed')
    apply(200, {})
    t.is(task.phase, 'ready')
  })

  it('is kept while the list of ends is full', (t) => {
    const { book, task, runs, present, failed, apply } = startRun()
    runs.remove(runs.placements.get(task.name)!)
    book.runVanished(task, TARGET.id)
    apply(100, { runs: [present] })
    apply(200, { ends: [{ ...failed, task: 'other.0.0.0' }], listsAllEnds: false })
    t.is(task.phase, 'placed')
  })
})
