import { describe, it } from '../../../test/describe.js'
import { createFrozenJobBook } from '../../../test/fixtures.js'
import { jobSchema } from '../../jobs/index.js'
import { createDemandMeter } from '../demand.js'
import { createRunTimes } from '../runTimes.js'
import type { TargetAgent } from '../types.js'

/** A target without runs. */
const toAgent = (fields: object): TargetAgent =>
  ({
    target: { id: 't1' },
    placements: new Map(),
    heldRuns: () => 0,
    isUsable: () => true,
    isCordoned: () => false,
    reportedCpu: () => 0,
    isAnswering: () => true,
    evacuating: false,
    ...fields,
  }) as unknown as TargetAgent

const ROOM = { cpu: 32_000, memMb: 64_000, gpu: 0 }
const TARGET = toAgent({ room: { capacity: ROOM, free: ROOM } })

const STEP = { count: 4, cpu: 1000, estimateMs: 1000 }

function startMeter(isTimely = true, isBehind = false, step: object = STEP) {
  const state = { isBehind }
  const book = createFrozenJobBook()
  const runTimes = createRunTimes()
  const demand = createDemandMeter({
    runTimes,
    isTimely: () => isTimely,
    isBehind: () => state.isBehind,
    isTakingOver: () => false,
    isSuspect: () => false,
  })
  const add = (number: number, acceptedAtMs: number) =>
    book.add(
      jobSchema.parse({
        id: `j${number}`,
        queue: 'q',
        service: 'one',
        spec: '',
        steps: [step],
        acceptedAtMs,
      }),
    )
  const reportAt = (now: number) => demand.report('one', 1, book.open, [], now)
  return { book, demand, add, reportAt, state }
}

describe('createDemandMeter', () => {
  it('detects that the need has grown since the last report', (t) => {
    const { book, demand, add, reportAt } = startMeter()
    t.false(demand.hasGrown(book.open, 0))
    demand.noteArrival(add(1, 0).spec, 0)
    t.true(demand.hasGrown(book.open, 0))
    reportAt(0)
    t.false(demand.hasGrown(book.open, 0))
  })

  it('counts only jobs that can still meet their objective as timely', (t) => {
    const timely = startMeter(true)
    timely.add(1, 0)
    t.is(timely.reportAt(0).timelyCpu, timely.reportAt(0).neededCpu)
    const late = startMeter(false)
    late.add(1, 0)
    t.is(late.reportAt(0).timelyCpu, 0)
    t.true(late.reportAt(0).neededCpu > 0)
  })

  it('limits the need to little more than the room in use while its owner is behind', (t) => {
    const { book, add, reportAt } = startMeter(true, true)
    const { steps } = add(1, 0).occurrences[0]!
    add(2, 0)
    t.is(reportAt(0).neededCpu, 0)
    for (const task of steps[0]!.tasks) book.place(task, 't1', 1)
    const { neededCpu } = reportAt(0)
    t.true(neededCpu >= 4000 && neededCpu < 8000)
  })

  // Otherwise an owner that is behind requests room for targets that it cannot use.
  it('leaves targets of cordoned halls out of the room of an owner that is behind', (t) => {
    const { book, add, demand } = startMeter(true, true)
    for (let number = 1; number <= 40; number++) add(number, 0)
    const room = { capacity: ROOM, free: ROOM }
    const cordoned = toAgent({ room, isUsable: () => false, isCordoned: () => true })
    const { neededCpu } = demand.report('one', 1, book.open, [TARGET, cordoned], 0)
    t.is(neededCpu, ROOM.cpu)
  })

  describe('of an owner that was behind', () => {
    const LONG_AFTER_MS = 20_000

    /** An owner with 20 ready tasks and four placed ones, of which the target reports one. */
    function startBehind() {
      const meter = startMeter(true, true)
      const { steps } = meter.add(1, 0).occurrences[0]!
      for (let number = 2; number <= 6; number++) meter.add(number, 0)
      const placements = new Map(
        steps[0]!.tasks.map((task) => [task.name, { task, state: 'running' }]),
      )
      for (const task of steps[0]!.tasks) meter.book.place(task, 't1', 1)
      const target = toAgent({
        room: { capacity: ROOM, free: { ...ROOM, cpu: ROOM.cpu - 4000 } },
        placements,
        reportedCpu: () => 1000,
      })
      const reportAt = (now: number) =>
        meter.demand.report('one', 1, meter.book.open, [target], now)
      return { ...meter, reportAt }
    }

    // Otherwise its pool is full of places that wait for orders and for news of ends.
    it('counts only tasks that run by the reports of their targets', (t) => {
      const { reportAt } = startBehind()
      reportAt(0)
      t.true(reportAt(LONG_AFTER_MS).neededCpu < 2000)
    })

    // Otherwise most VMs of the fleet move to its service and back with each delay of the owner.
    it('does not jump to the whole backlog when starts are answered in time again', (t) => {
      const { reportAt, state } = startBehind()
      reportAt(0)
      reportAt(LONG_AFTER_MS)
      state.isBehind = false
      t.true(reportAt(LONG_AFTER_MS + 150).neededCpu < 2000)
    })
  })

  it('derives the need from memory if that is the scarcer resource', (t) => {
    const lasting = { count: 4, cpu: 1000, memMb: 32_000, lasting: true }
    const { book, add, demand } = startMeter(true, false, lasting)
    add(1, 0)
    // Two of the tasks use all the memory of a target, and a sixteenth of its processor.
    const { neededCpu } = demand.report('one', 1, book.open, [TARGET], 0)
    t.is(Math.round(neededCpu), 2 * ROOM.cpu)
  })

  it('adds a target for each step that will probably crash one', (t) => {
    const { book, add, demand } = startMeter(false)
    const [task] = add(1, 0).occurrences[0]!.steps[0]!.tasks
    const reportNow = () => demand.report('one', 1, book.open, [TARGET], 0).neededCpu
    const before = reportNow()
    book.place(task!, 't1', 1)
    book.noteCrash(task!, 1, 'sole')
    book.runVanished(task!, 't1')
    t.is(Math.round(reportNow() - before), 32_000)
  })

  // A new owner that counted only waiting jobs would lose its VMs while its queue is still busy.
  it("expects the recent arrival rate of a predecessor's queue to continue", (t) => {
    const { book, demand, add, reportAt } = startMeter(false)
    for (let number = 0; number < 12; number++) add(number, 10_000 + number * 100)
    const before = reportAt(500).timelyCpu
    demand.noteInherited([...book.jobs.values()], 500, 11_200)
    t.is(before, 0)
    // Ten jobs per second with four core-seconds each.
    const expected = reportAt(500).timelyCpu
    t.true(expected > 25_000 && expected < 60_000, String(expected))
  })
})
