import fc from 'fast-check'
import { z } from 'zod'
import { describe, it } from '../../../test/describe.js'
import { createFrozenJobBook } from '../../../test/fixtures.js'
import { makeJob } from '../../../test/jobRig.js'
import { DEFAULT_STORE_LIMITS } from '../../ports/index.js'
import type { RunEndKind, StoreLimits } from '../../ports/index.js'
import { createRandom } from '../../../playground/random.js'
import { decodeProgress, decodeSegment, progressKey, tasksOf } from '../../jobs/index.js'
import type { Job, JobSpec, SegmentProgress, StepSpec } from '../../jobs/index.js'
import { takeProgressWrites } from '../progressWrites.js'

/** Creates a book on whose clock every occurrence is due. */
function startBook(maxAttempts = Infinity) {
  const book = createFrozenJobBook({
    rulesOf: () => ({ maxAttempts }),
    wallMs: () => Number.MAX_SAFE_INTEGER,
  })
  let seq = 0
  const end = (task: string, kind: RunEndKind = 'done', run = 1, checkpoint = '') =>
    void book.applyEnd('t1', { seq: ++seq, task, run, kind, checkpoint })
  return { book, end }
}

/** Rows as a store holds them, by table and key. */
function createRows(limits: StoreLimits) {
  const rows = new Map<string, string>()
  let largest = 0
  /** Carries out the writes of a job; returns the bytes that they have. */
  function save(job: Job): number {
    let bytes = 0
    for (const { puts, removals } of takeProgressWrites(job, limits)) {
      for (const { table, key, value } of puts) {
        rows.set(`${table} ${key}`, value)
        bytes += value.length
        largest = Math.max(largest, Buffer.byteLength(value))
      }
      for (const { table, key } of removals) rows.delete(`${table} ${key}`)
    }
    return bytes
  }
  /** Adds the job to an empty book as its rows have it. */
  function takeOver(spec: JobSpec) {
    const main = progressKey(spec.service, spec.id)
    const progress = decodeProgress(rows.get(`${main.table} ${main.key}`)!)!
    const segments = new Map<string, SegmentProgress>()
    const prefix = `progressParts ${spec.id}/`
    for (const [name, value] of rows)
      if (name.startsWith(prefix))
        segments.set(name.slice(prefix.length), decodeSegment(value)!)
    const next = startBook()
    return { ...next, job: next.book.add(spec, { progress, segments }) }
  }
  const load = (spec: JobSpec): Job => takeOver(spec).job
  return { rows, save, takeOver, load, largest: () => largest }
}

/** What must survive a takeover. */
function contentOf(job: Job) {
  const tasks = [...tasksOf(job)].filter(({ phase }) => phase !== 'done')
  return {
    done: job.doneOccurrences.ranges().map(([first, last]) => [first, last]),
    open: tasks.map(({ name }) => name),
    details: tasks.flatMap(({ name, failedRuns, crashes, checkpoint }) =>
      failedRuns.size + crashes.size > 0 || checkpoint !== ''
        ? [[name, [...failedRuns], [...crashes], checkpoint]]
        : [],
    ),
  }
}

const recurring = (
  repetitions: number,
  steps: readonly Partial<StepSpec>[] = [{ count: 1 }],
): JobSpec => makeJob({ ms: 1 }, [...steps], { repetitions, startAtMs: 0, intervalMs: 1 })

const SMALL_LIMITS: StoreLimits = {
  entries: 20,
  transactionBytes: 40_000,
  rowBytes: 2000,
  nameBytes: 200,
}

describe('progress of a job with many tasks', () => {
  // Its row grew by an entry for each step of each repetition, until the store refused it for ever.
  it('has small rows, and a write costs what has changed', (t) => {
    const { book, end } = startBook()
    const steps = [
      { count: 1 },
      ...[0, 1, 2, 3].map((after) => ({ count: 1, after: [after] })),
    ]
    const spec = recurring(8000, steps)
    const job = book.add(spec)
    const { save, load, largest } = createRows(DEFAULT_STORE_LIMITS)
    let most = 0
    for (let number = 0; number < 8000; number++) {
      for (const index of steps.keys()) end(`${spec.id}.${number}.${index}.0`)
      if (number % 4 !== 3) continue
      const bytes = save(job)
      if (number > 4000) most = Math.max(most, bytes)
      if (number === 6003) t.deepEqual(contentOf(load(spec)), contentOf(job))
    }
    t.is(job.outcome, 'completed')
    t.true(most < 2000, `${most} bytes`)
    t.true(largest() <= 16 * 1024)
  })

  it('has small rows while one wide step is open', (t) => {
    const { book, end } = startBook()
    const spec = makeJob({ ms: 1 }, [{ count: 20_000 }])
    const job = book.add(spec)
    const { save, load, largest } = createRows(DEFAULT_STORE_LIMITS)
    const rng = createRandom(7)
    const names = [...tasksOf(job)].map(({ name }) => name)
    for (let index = names.length - 1; index > 0; index--) {
      const other = Math.floor(rng() * (index + 1))
      ;[names[index], names[other]] = [names[other]!, names[index]!]
    }
    for (const [index, name] of names.slice(0, 18_000).entries()) {
      end(name)
      if (index % 60 !== 59) continue
      const bytes = save(job)
      // Each of the 60 tasks may be in a segment of its own.
      if (index > 6000) t.true(bytes < 60 * 300 + 4000, `${bytes} bytes`)
    }
    t.true(largest() <= 16 * 1024)
    t.deepEqual(contentOf(load(spec)), contentOf(job))
  })

  it('is restored with failed runs, crashes and checkpoints, however long', (t) => {
    const { book, end } = startBook()
    const spec = makeJob({ ms: 1 }, [{ count: 300 }])
    const job = book.add(spec)
    const { rows, save, load, largest } = createRows(DEFAULT_STORE_LIMITS)
    for (let index = 0; index < 200; index++) {
      const name = `${spec.id}.0.0.${index}`
      if (index % 3 === 0) end(name)
      for (let run = 1; run < 40 && index % 3 === 1; run++) end(name, 'failed', run)
      if (index % 3 === 2) end(name, 'stopped', 1, `${index}`.repeat(15_000))
    }
    book.noteCrash(book.task(`${spec.id}.0.0.4`)!, 99, 'present')
    save(job)
    t.true(largest() <= DEFAULT_STORE_LIMITS.rowBytes)
    t.deepEqual(contentOf(load(spec)), contentOf(job))
    for (const { name } of [...tasksOf(job)].slice(0, 64)) end(name, 'done', 50)
    save(job)
    t.deepEqual(contentOf(load(spec)), contentOf(job))
    t.false(
      [...rows.keys()].some((name) => /\/0(\.|$)/.test(name)),
      'no row of segment 0',
    )
  })

  it('loses a checkpoint that no row can hold, and nothing else', (t) => {
    const { book, end } = startBook()
    const spec = makeJob({ ms: 1 }, [{ count: 3 }])
    const job = book.add(spec)
    const { save, load, largest } = createRows(DEFAULT_STORE_LIMITS)
    end(`${spec.id}.0.0.0`)
    end(`${spec.id}.0.0.1`, 'failed', 1, 'x'.repeat(70_000))
    save(job)
    t.true(largest() <= DEFAULT_STORE_LIMITS.rowBytes)
    const restored = load(spec)
    t.deepEqual(
      [...tasksOf(restored)].map(({ phase, failedRuns, checkpoint }) => [
        phase,
        failedRuns.size,
        checkpoint.length,
      ]),
      [
        ['done', 0, 0],
        ['ready', 1, 0],
        ['ready', 0, 0],
      ],
    )
  })

  it('is the same after any ends, writes and takeovers, within any limits', (t) => {
    const action = fc.record({
      kind: fc.constantFrom('done', 'done', 'done', 'failed', 'stopped', 'save', 'load'),
      pick: fc.nat(),
    })
    fc.assert(
      fc.property(
        fc.array(action, { minLength: 20, maxLength: 200 }),
        fc.constantFrom(SMALL_LIMITS, DEFAULT_STORE_LIMITS),
        fc.constantFrom([{ count: 5 }, { count: 90 }], [{ count: 3 }], [{ count: 200 }]),
        (actions, limits, steps) => {
          const spec = recurring(6, steps)
          let { book, end } = startBook()
          let job = book.add(spec)
          const { save, takeOver, largest } = createRows(limits)
          let run = 0
          for (const { kind, pick } of actions) {
            if (job.outcome) break
            const tasks = [...tasksOf(job)].filter(({ phase }) => phase !== 'done')
            // Tasks that end are near each other, as tasks start in order.
            const task = tasks[pick % Math.min(tasks.length, 150)]!
            if (kind === 'save') save(job)
            else if (kind === 'load') {
              save(job)
              const expected = contentOf(job)
              ;({ book, end, job } = takeOver(spec))
              t.deepEqual(contentOf(job), expected)
              t.is(book.jobs.size, 1)
            } else
              end(
                task.name,
                kind as RunEndKind,
                ++run,
                kind === 'stopped' ? `c${run}` : '',
              )
          }
          t.true(largest() <= limits.rowBytes)
        },
      ),
      { numRuns: 60 },
    )
  })

  it('keeps a job held at earlier software versions, once it does not fit into their row', (t) => {
    // The schema of the row before there were segments.
    const earlier = z.object({
      done: z.record(z.string(), z.union([z.literal('all'), z.array(z.int().min(0))])),
      failedRuns: z.record(z.string(), z.array(z.int().min(0))),
      checkpoints: z.record(z.string(), z.string()),
      outcome: z.enum(['completed', 'failed', 'cancelled']).optional(),
    })
    const { book, end } = startBook()
    const spec = recurring(4000)
    const job = book.add(spec)
    const { rows, save } = createRows(DEFAULT_STORE_LIMITS)
    const main = (): unknown => JSON.parse(rows.get(`progress ${spec.id}`)!) as unknown
    const isReadable = (): boolean => earlier.safeParse(main()).success
    end(`${spec.id}.0.0.0`)
    save(job)
    t.deepEqual(main(), {
      done: { '0.0': 'all' },
      failedRuns: {},
      crashes: {},
      checkpoints: {},
    })
    t.true(isReadable())
    for (let number = 1; number < 3000; number++) end(`${spec.id}.${number}.0.0`)
    save(job)
    t.false(isReadable())
    for (let number = 3000; number < 4000; number++) end(`${spec.id}.${number}.0.0`)
    save(job)
    t.true(isReadable(), 'the outcome is')
  })
})
