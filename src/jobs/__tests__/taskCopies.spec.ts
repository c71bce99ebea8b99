/** A task with two concurrent runs: which end counts, and which run is stopped. */
import fc from 'fast-check'
import { describe, it } from '../../../test/describe.js'
import { makeJob } from '../../../test/jobRig.js'
import type { RunEndKind } from '../../ports/index.js'
import { createJobBook } from '../jobBook.js'

const MAX_ATTEMPTS = 2

/** A job of one task whose runs 1 and 2 are on the targets t1 and t2. */
function startTwoRuns() {
  const stops: string[] = []
  const copyEnds: string[] = []
  const book = createJobBook({
    rulesOf: () => ({ maxAttempts: MAX_ATTEMPTS }),
    now: () => 0,
    wallMs: () => 0,
    progressChanged: () => undefined,
    runUnwanted: (_task, targetId) => void stops.push(targetId),
    copyEnded: (_task, { run }, outcome) => void copyEnds.push(`${run} ${outcome}`),
    wake: () => undefined,
    outcomeReached: () => undefined,
  })
  const job = book.add(makeJob({ ms: 1 }, [{ count: 1, duplicates: true }]))
  const task = job.occurrences[0]!.steps[0]!.tasks[0]!
  book.place(task, 't1', 1)
  book.placeCopy(task, 't2', 2)
  let seq = 0
  const end = (target: string, run: number, kind: RunEndKind): void =>
    void book.applyEnd(target, { seq: ++seq, task: task.name, run, kind, checkpoint: '' })
  return { book, job, task, stops, copyEnds, end }
}

describe('a task with a copy', () => {
  it('is done once the copy is done, and its other run is stopped', (t) => {
    const { job, task, stops, copyEnds, end } = startTwoRuns()
    end('t2', 2, 'done')
    t.is(job.outcome, 'completed')
    t.deepEqual(stops, ['t1'])
    t.deepEqual(copyEnds, ['2 won'])
    end('t1', 1, 'done')
    t.is(task.step.doneCount, 1)
  })

  it('is done once its other run is done, and the copy is stopped', (t) => {
    const { job, stops, copyEnds, end } = startTwoRuns()
    end('t1', 1, 'done')
    t.is(job.outcome, 'completed')
    t.deepEqual(stops, ['t2'])
    t.deepEqual(copyEnds, ['2 lost'])
  })

  for (const kind of ['failed', 'stopped', 'lapsed'] as const) {
    it(`is not ready while one run goes on after the other is ${kind}`, (t) => {
      for (const [target, run, left, outcome] of [
        ['t1', 1, 't2', '2 promoted'],
        ['t2', 2, 't1', '2 ended'],
      ] as const) {
        const { book, task, copyEnds, end } = startTwoRuns()
        end(target, run, kind)
        t.is(task.phase, 'placed')
        t.is(task.targetId, left)
        t.is(book.ready.size, 0)
        t.is(task.failedRuns.size, kind === 'failed' ? 1 : 0)
        t.deepEqual(copyEnds, [outcome])
        end(left, left === 't1' ? 1 : 2, 'stopped')
        t.is(task.phase, 'ready')
        t.is(task.run, 2)
      }
    })
  }

  it('is not ready while one run goes on after the target of the other is gone', (t) => {
    for (const [gone, left] of [
      ['t1', 't2'],
      ['t2', 't1'],
    ] as const) {
      const { book, task } = startTwoRuns()
      book.runVanished(task, gone)
      t.is(task.targetId, left)
      t.is(book.ready.size, 0)
      book.runVanished(task, left)
      t.is(book.ready.size, 1)
    }
  })

  it('goes on when the start of the copy or of its other run did not take place', (t) => {
    const copy = startTwoRuns()
    copy.book.unplace(copy.task, 2)
    t.is(copy.task.targetId, 't1')
    const other = startTwoRuns()
    other.book.unplace(other.task, 1)
    t.is(other.task.targetId, 't2')
    t.is(other.task.phase, 'placed')
  })

  it('stops both runs when its job is cancelled', (t) => {
    const { book, job, stops, copyEnds } = startTwoRuns()
    book.cancel(job.spec.id)
    t.deepEqual(stops.sort(), ['t1', 't2'])
    t.deepEqual(copyEnds, ['2 cancelled'])
  })

  it('stops the run that goes on when the attempts are used up', (t) => {
    const { job, stops, end } = startTwoRuns()
    end('t0', 0, 'failed')
    end('t1', 1, 'failed')
    t.is(job.outcome, 'failed')
    t.deepEqual(stops, ['t2'])
  })

  it('is never ready while a run goes on, whatever ends in which order', (t) => {
    const kinds = fc.constantFrom<RunEndKind>('done', 'failed', 'stopped', 'lapsed')
    const events = fc.array(fc.tuple(fc.constantFrom(1, 2), kinds), { maxLength: 4 })
    fc.assert(
      fc.property(events, (all) => {
        const { book, job, task, stops, copyEnds, end } = startTwoRuns()
        const running = new Set([1, 2])
        for (const [run, kind] of all) {
          if (!running.delete(run)) continue
          end(`t${run}`, run, kind)
          const stopped = new Set(stops)
          const isOpen = job.outcome === undefined
          if (isOpen && running.size > 0 && task.phase !== 'placed') return false
          if (isOpen && running.size === 0 && !book.ready.has(task)) return false
          if (!isOpen && ![...running].every((each) => stopped.has(`t${each}`)))
            return false
        }
        return copyEnds.length <= 1
      }),
    )
    t.pass()
  })
})
