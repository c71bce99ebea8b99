import { describe, it } from '../../../test/describe.js'
import { createFrozenJobBook } from '../../../test/fixtures.js'
import { makeJob } from '../../../test/jobRig.js'
import type { RunEndKind } from '../../ports/index.js'
import {
  createJobMemory,
  decodeProgress,
  encodeProgress,
  occurrenceBytes,
  openJobBytes,
  tasksOf,
} from '../index.js'
import type { Job, JobSpec } from '../index.js'

const INTERVAL_MS = 60_000
const DAY_MS = 24 * 3600 * 1000
const CRASH = { task: '', run: 1, kind: 'done' as RunEndKind, checkpoint: '' }

/** Creates a book whose wall clock a test sets. */
function startBook(limit = 1e9) {
  const clock = { ms: 0 }
  const memory = createJobMemory(limit)
  const book = createFrozenJobBook({
    rulesOf: () => ({ maxAttempts: 3 }),
    wallMs: () => clock.ms,
    memory,
  })
  let seq = 0
  const end = (task: string, kind: RunEndKind = 'done') =>
    book.applyEnd('t1', { ...CRASH, task, kind, seq: ++seq })
  const setTime = (ms: number): void => {
    clock.ms = ms
    book.markDue()
  }
  return { book, memory, end, setTime }
}

const recurring = (more: Partial<JobSpec> = {}, steps = [{ count: 20 }]): JobSpec =>
  makeJob({ ms: 100 }, steps, {
    repetitions: 8640,
    startAtMs: 0,
    intervalMs: INTERVAL_MS,
    ...more,
  })

const tasksIn = (job: Job): number => [...tasksOf(job)].length

describe('a job with many repetitions', () => {
  // Its owner made all tasks of all repetitions at once and ended at its heap limit.
  it('has tasks only for what is due and not done', (t) => {
    const { book, memory, end, setTime } = startBook()
    const job = book.add(recurring())
    t.is(tasksIn(job), 20)
    const before = memory.free()
    for (let number = 0; number < 5000; number++) {
      setTime(number * INTERVAL_MS)
      for (const { name } of [...tasksOf(job)]) end(name)
    }
    t.is(tasksIn(job), 0)
    t.is(memory.free(), before)
    t.deepEqual(job.doneOccurrences.ranges(), [[0, 4999]])
    t.is(job.outcome, undefined)
  })

  it('is completed with its last occurrence, in whatever order they end', (t) => {
    const { book, memory, end, setTime } = startBook()
    const job = book.add(recurring({ repetitions: 3 }, [{ count: 1 }]))
    setTime(DAY_MS)
    const names = [...tasksOf(job)].map(({ name }) => name)
    t.is(names.length, 3)
    for (const name of names.toReversed()) end(name)
    t.is(job.outcome, 'completed')
    book.remove(job.spec.id)
    t.is(memory.free(), memory.limit)
  })

  it('opens occurrences that are due only as far as there is memory for them', (t) => {
    const spec = recurring({ intervalMs: 0 })
    const { book, end, setTime } = startBook(openJobBytes(spec, 4))
    const job = book.add(spec)
    t.is(job.occurrences.length, 4)
    for (let number = 0; number < 100; number++) {
      for (let index = 0; index < 20; index++) end(`${spec.id}.${number}.0.${index}`)
      t.deepEqual(
        job.occurrences.map((each) => each.number),
        [1, 2, 3, 4].map((each) => number + each),
      )
    }
    setTime(DAY_MS)
    t.is(job.occurrences.length, 4)
  })

  it('opens one occurrence when its node has no memory left', (t) => {
    const spec = recurring()
    const { book, memory, setTime } = startBook(openJobBytes(spec))
    memory.change(memory.limit)
    const job = book.add(spec)
    setTime(DAY_MS)
    t.is(job.occurrences.length, 1)
  })

  it('takes note of a run of an occurrence that is not due by its own clock', (t) => {
    const { book, end, setTime } = startBook()
    const job = book.add(recurring({ startAtMs: DAY_MS }, [{ count: 2 }]))
    const early = book.task(`${job.spec.id}.7.0.1`)!
    t.is(early.phase, 'blocked')
    book.place(early, 't1', 1)
    end(early.name)
    t.is(early.phase, 'done')
    t.is(book.ready.size, 0)
    setTime(DAY_MS + 7 * INTERVAL_MS)
    const ready = [...book.ready].filter(({ step }) => step.occurrence === 7)
    t.deepEqual(
      ready.map(({ index }) => index),
      [0],
    )
  })

  it('shows a task of an occurrence that is done as done', (t) => {
    const { book, end } = startBook()
    const job = book.add(recurring({}, [{ count: 1 }]))
    const name = `${job.spec.id}.0.0.0`
    end(name)
    t.is(book.task(name)?.phase, 'done')
    t.is(book.task(`${job.spec.id}.0.0.1`), undefined)
    t.is(book.task(`${job.spec.id}.8640.0.0`), undefined)
    t.is(end(name, 'failed'), undefined)
  })

  it('has its progress restored without tasks for what is done', (t) => {
    const { book, end, setTime } = startBook()
    const spec = recurring({ repetitions: 50 }, [{ count: 2 }, { count: 1 }])
    const job = book.add(spec)
    setTime(40 * INTERVAL_MS)
    for (const task of [...tasksOf(job)])
      if (task.step.occurrence !== 30 || task.index === 1) end(task.name)
    const progress = decodeProgress(encodeProgress(job))!
    const next = startBook()
    next.setTime(40 * INTERVAL_MS)
    const restored = next.book.add(spec, { progress })
    t.deepEqual(restored.doneOccurrences.ranges(), [
      [0, 29],
      [31, 40],
    ])
    t.deepEqual([...next.book.ready].map(({ name }) => name).sort(), [
      `${spec.id}.30.0.0`,
      `${spec.id}.30.1.0`,
    ])
    t.is(next.memory.limit - next.memory.free(), restored.bytes)
  })
})

describe('memory of jobs', () => {
  it('is counted by their tasks, steps and texts', (t) => {
    const small = makeJob({}, [{ count: 1 }])
    const wide = makeJob({}, [{ count: 1000 }])
    const { id, queue } = wide
    t.true(occurrenceBytes(wide) > 500 * occurrenceBytes(small) * 0.5)
    const long = makeJob({}, [{ count: 1 }], { id, queue, spec: 'x'.repeat(4000) })
    t.true(openJobBytes(long) - openJobBytes(small) >= 4000)
  })

  it('is free once they have ended and their rows are removed', (t) => {
    const { book, memory, end } = startBook()
    const jobs = [1, 10, 100].map((count) => book.add(makeJob({}, [{ count }])))
    t.is(
      memory.limit - memory.free(),
      jobs.reduce((sum, { bytes }) => sum + bytes, 0),
    )
    const before = memory.free()
    for (const job of jobs) for (const { name } of [...tasksOf(job)]) end(name)
    t.true(memory.free() > before + 100 * 500)
    for (const { spec } of jobs) book.remove(spec.id)
    t.is(memory.free(), memory.limit)
  })
})
