/** Which runs deserve a copy, and within which budget. */
import fc from 'fast-check'
import { describe, it } from '../../../test/describe.js'
import { makeJob } from '../../../test/jobRig.js'
import type { StepSpec } from '../../jobs/index.js'
import { createJob, openOccurrence } from '../../jobs/index.js'
import { allowsCopies, chooseCopies, paceOfStep, savedByCopyMs } from '../speculation.js'
import type { CopyBudget, CopyCandidate } from '../speculation.js'

const PACE = { expectedMs: 100, slowAfterMs: 400 }
const NEED = { cpu: 100, memMb: 0, gpu: 0 }
const NOTHING = { cpu: 0, memMb: 0, gpu: 0 }
const AMPLE: CopyBudget = {
  usedRoom: { cpu: 1e6, memMb: 1e6, gpu: 1e6 },
  copyRoom: NOTHING,
  workDone: 1e9,
  copyWork: 0,
}

const candidate = (more: Partial<CopyCandidate> = {}): CopyCandidate => ({
  elapsedMs: 1000,
  percent: 10,
  pace: PACE,
  need: NEED,
  workRate: 100,
  ...more,
})

describe('allowsCopies', () => {
  const allows = (step: Partial<StepSpec>, job = {}): boolean =>
    allowsCopies(
      openOccurrence(createJob(makeJob({ ms: 1 }, [step], job), 0), 0).steps[0]!,
    )

  it('excludes steps that do not allow parallel runs, or that have no end or no hurry', (t) => {
    const duplicates = true
    t.true(allows({ count: 4, duplicates }))
    t.false(allows({ count: 4 }))
    t.false(allows({ count: 4, duplicates, gang: true }))
    t.false(allows({ count: 4, duplicates, lasting: true }))
    t.false(allows({ count: 4, duplicates, fills: true }))
    t.false(allows({ count: 4, duplicates }, { repetitions: 2, intervalMs: 1000 }))
  })
})

describe('paceOfStep', () => {
  it('is unknown until enough tasks of the step have ended', (t) => {
    t.is(paceOfStep([], 2, 0), undefined)
    t.is(paceOfStep([100, 100], 3, 2), undefined)
    t.is(paceOfStep([100, 100, 100], 7, 3), undefined)
    t.deepEqual(paceOfStep([300, 100, 200], 6, 3), { expectedMs: 200, slowAfterMs: 400 })
  })

  it('never calls a run slow that is shorter than most ended ones, or than their double', (t) => {
    const times = fc.array(fc.integer({ min: 1, max: 10_000 }), {
      minLength: 3,
      maxLength: 50,
    })
    fc.assert(
      fc.property(times, (endedMs) => {
        const pace = paceOfStep(endedMs, endedMs.length + 1, endedMs.length)!
        const longer = endedMs.filter((ms) => ms > pace.slowAfterMs).length
        return longer <= endedMs.length * 0.1 && pace.slowAfterMs >= pace.expectedMs * 2
      }),
    )
    t.pass()
  })
})

describe('savedByCopyMs', () => {
  it('is not positive for a run that is not slow or that is nearly done', (t) => {
    t.true(savedByCopyMs(candidate({ elapsedMs: 400 })) <= 0)
    t.true(savedByCopyMs(candidate({ percent: 90 })) <= 0)
    t.true(savedByCopyMs(candidate({ percent: 100 })) <= 0)
  })

  it('expects a run without reported progress to last as long again', (t) => {
    t.is(savedByCopyMs(candidate({ percent: 0 })), 1000 - 100 - 100)
  })
})

describe('chooseCopies', () => {
  it('prefers the runs with the longest time left', (t) => {
    const nearer = candidate({ percent: 50 })
    const further = candidate({ percent: 5 })
    const workDone = (100 * 100) / 0.05
    t.deepEqual(chooseCopies([nearer, further], { ...AMPLE, workDone }), [further])
  })

  // Slow runs whose label only one target has would keep all other tasks from their copies.
  it('charges nothing for candidates that no target can take', (t) => {
    const unplaceable = candidate({ percent: 5 })
    const placeable = candidate({ percent: 50 })
    const workDone = (100 * 100) / 0.05
    const chosen = chooseCopies(
      [unplaceable, placeable],
      { ...AMPLE, workDone },
      (each) => each === placeable,
    )
    t.deepEqual(chosen, [placeable])
  })

  it('orders nothing before work has been done, or without room in use', (t) => {
    t.deepEqual(chooseCopies([candidate()], { ...AMPLE, workDone: 0 }), [])
    t.deepEqual(chooseCopies([candidate()], { ...AMPLE, usedRoom: NOTHING }), [])
  })

  it('stays within its budgets, and only chooses runs that a copy shortens', (t) => {
    const amount = fc.integer({ min: 0, max: 2000 })
    const room = fc.record({ cpu: amount, memMb: amount, gpu: fc.constant(0) })
    const candidates = fc.array(
      fc.record({
        elapsedMs: fc.integer({ min: 0, max: 5000 }),
        percent: fc.integer({ min: 0, max: 100 }),
        pace: fc.record({
          expectedMs: fc.integer({ min: 1, max: 1000 }),
          slowAfterMs: fc.integer({ min: 400, max: 2000 }),
        }),
        need: room,
        workRate: fc.integer({ min: 1, max: 1000 }),
      }),
      { maxLength: 20 },
    )
    const used = fc.integer({ min: 0, max: 60_000 })
    const budgets = fc.record({
      usedRoom: fc.record({ cpu: used, memMb: used, gpu: fc.constant(0) }),
      copyRoom: room,
      workDone: fc.integer({ min: 0, max: 20_000_000 }),
      copyWork: fc.integer({ min: 0, max: 500_000 }),
    })
    fc.assert(
      fc.property(candidates, budgets, (all, budget) => {
        const chosen = chooseCopies(all, budget)
        if (chosen.length === 0) return true
        const cpu = chosen.reduce((sum, { need }) => sum + need.cpu, 0)
        const work = chosen.reduce(
          (sum, { pace, workRate }) => sum + pace.expectedMs * workRate,
          budget.copyWork,
        )
        const fits = cpu === 0 || budget.copyRoom.cpu + cpu <= budget.usedRoom.cpu * 0.05
        return (
          fits &&
          work <= budget.workDone * 0.05 &&
          new Set(chosen).size === chosen.length &&
          chosen.every((each) => each.elapsedMs > each.pace.slowAfterMs) &&
          chosen.every((each) => savedByCopyMs(each) > 0)
        )
      }),
    )
    t.pass()
  })
})
