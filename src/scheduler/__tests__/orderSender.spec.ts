import { err, ok } from 'neverthrow'
import { describe, it } from '../../../test/describe.js'
import { QUEUE, makeJob } from '../../../test/jobRig.js'
import { createJobBook } from '../../jobs/index.js'
import type { Task } from '../../jobs/index.js'
import type { Authority } from '../../ownership/index.js'
import type { ReportedEnd, TargetLink } from '../../ports/index.js'
import {
  PlatformError,
  createMemoryLogger,
  createAdaptiveTimeout,
  createStopController,
  sleep,
} from '../../shared/index.js'
import { createOrderSender } from '../orderSender.js'
import { createStartWindow } from '../startWindow.js'
import { createTargetLease } from '../targetLease.js'
import { createTargetRuns } from '../targetRuns.js'

/** Time that the target takes to answer a start, in ms. */
const ANSWER_MS = 60

const noop = (): void => undefined

const NO_ANSWER = new PlatformError('no answer', {
  props: { step: 'orders.start', peer: 't1', failure: 'unknown' },
})

/** Creates the sender of a target that answers slowly, and records the orders that reach it. */
function startSender(answers: () => unknown = () => ok({ accepted: true, clockMs: 2 })) {
  const sent: string[] = []
  const state = { isCordoned: false }
  let fences = 0
  let isConfirmed = true
  const log = createMemoryLogger()
  const authority = {
    mayOrder: () => true,
    isConfirmed: () => isConfirmed,
  } as unknown as Authority
  const book = createJobBook({
    rulesOf: () => ({ maxAttempts: QUEUE.maxAttempts }),
    now: () => performance.now(),
    wallMs: Date.now,
    progressChanged: noop,
    runUnwanted: (task) => stop(task),
    wake: noop,
    outcomeReached: noop,
  })
  const link = {
    async start({ task }: { task: string }) {
      sent.push(`start ${task.split('.').at(-1)}`)
      await sleep(ANSWER_MS)
      return answers()
    },
    async stop({ task }: { task: string }) {
      sent.push(`stop ${task.split('.').at(-1)}`)
      return ok(true)
    },
  } as unknown as TargetLink
  const capacity = { cpu: 100_000, memMb: 100_000, gpu: 0 }
  const target = {
    id: 't1',
    lifeStartMs: 0,
    service: 'svc',
    address: '',
    hall: 'h1',
    draining: false,
    capacity,
    labels: [],
  }
  const runs = createTargetRuns({
    target,
    book,
    authority,
    quotaUsage: { add: noop, remove: noop },
    usesCopies: false,
    log,
    unwanted: noop,
    ended: noop,
  })
  const lease = createTargetLease(0)
  lease.noteClock(1)
  const { signal } = createStopController()
  const roundTrip = createAdaptiveTimeout({ minMs: 100, maxMs: 700 })
  roundTrip.note(1)
  const sender = createOrderSender({
    targetId: 't1',
    link,
    book,
    authority,
    runs,
    lease,
    roundTrip,
    startWindow: createStartWindow({ freed: noop, log }),
    signal,
    log,
    token: () => 1,
    lifeStartMs: () => 1,
    isCordoned: () => state.isCordoned,
    pause: noop,
    failed: noop,
    async fenceUnanswered() {
      fences++
    },
    suspectStarted: noop,
    ticketRefused: noop,
    changed: noop,
  })
  const start = (task: Task): void => {
    const placement = runs.add(task, task.run + 1, 'starting')
    book.place(task, 't1', task.run + 1)
    sender.start(task, placement, '')
  }
  /** Starts a copy of a task whose present run is on another target. */
  const startCopy = (task: Task): void => {
    book.place(task, 't2', 1)
    const placement = runs.add(task, 2, 'starting')
    placement.isCopy = true
    book.placeCopy(task, 't1', 2)
    sender.start(task, placement, '')
  }
  const stop = (task: Task): void => {
    const placement = runs.placements.get(task.name)
    if (!placement) return
    placement.state = 'stopping'
    sender.stop(task.name, placement.run)
  }
  const tasks = (count: number): Task[] =>
    book.add(makeJob({}, [{ count }])).occurrences[0]!.steps[0]!.tasks
  return {
    state,
    sent,
    sender,
    book,
    runs,
    start,
    startCopy,
    stop,
    tasks,
    fences: () => fences,
    setConfirmed: (confirmed: boolean) => void (isConfirmed = confirmed),
  }
}

describe('createOrderSender', () => {
  // Otherwise tasks of a cancelled job go on while the starts of others are sent one by one.
  it('sends stops before queued starts', async (t) => {
    const { sent, sender, start, stop, tasks } = startSender()
    const [first, ...others] = tasks(4)
    start(first!)
    await sender.idle()
    for (const task of others) start(task)
    stop(first!)
    await sender.idle()
    t.deepEqual(sent, ['start 0', 'stop 0', 'start 1', 'start 2', 'start 3'])
  })

  it('sends a stop only after the start of its run has been answered', async (t) => {
    const { sent, sender, start, stop, tasks } = startSender()
    const [first] = tasks(1)
    start(first!)
    await sleep(ANSWER_MS / 3)
    stop(first!)
    t.deepEqual(sent, ['start 0'])
    await sender.idle()
    t.deepEqual(sent, ['start 0', 'stop 0'])
  })

  it('cancels a queued start when its run is stopped', async (t) => {
    const { sent, sender, book, runs, start, stop, tasks } = startSender()
    const [first, second] = tasks(2)
    start(first!)
    start(second!)
    await sleep(ANSWER_MS / 3)
    stop(second!)
    await sender.idle()
    t.deepEqual(sent, ['start 0'])
    t.false(runs.placements.has(second!.name))
    t.true(book.ready.has(second!))
  })

  it('cancels the queued starts of a cancelled job', async (t) => {
    const { sent, sender, book, runs, start, tasks } = startSender()
    const some = tasks(3)
    for (const task of some) start(task)
    await sleep(ANSWER_MS / 3)
    book.cancel(some[0]!.step.job.spec.id)
    await sender.idle()
    t.deepEqual(sent, ['start 0', 'stop 0'])
    t.is(runs.placements.size, 1)
  })

  describe('a start that is refused after an unanswered call', () => {
    for (const reason of ['superseded', 'full', 'expired', 'ticket', 'other']) {
      it(`keeps its task from other targets until it is fenced: ${reason}`, async (t) => {
        const results = [
          err({ failure: 'unanswered', reason: 'no answer', cause: NO_ANSWER }),
          ok({ accepted: false, clockMs: 2, reason }),
        ]
        const { sent, sender, book, runs, start, tasks, fences } = startSender(() =>
          results.shift(),
        )
        const [first] = tasks(1)
        start(first!)
        await sender.idle()
        t.deepEqual(sent, ['start 0', 'start 0'])
        t.is(fences(), 1)
        t.is(runs.placements.get(first!.name)?.state, 'unsure')
        t.false(book.ready.has(first!))
      })
    }

    it('makes its task ready at once if the first call was refused', async (t) => {
      const refused = ok({ accepted: false, clockMs: 2, reason: 'full' })
      const { sender, book, start, tasks, fences } = startSender(() => refused)
      const [first] = tasks(1)
      start(first!)
      await sender.idle()
      t.is(fences(), 0)
      t.true(book.ready.has(first!))
    })
  })

  describe('a cordoned hall', () => {
    // Otherwise starts that wait behind others reach the target after the bound.
    it('gets no queued start; the tasks are ready for other targets', async (t) => {
      const { state, sent, sender, book, runs, start, tasks } = startSender()
      for (const task of tasks(4)) start(task)
      await sleep(ANSWER_MS / 3)
      state.isCordoned = true
      await sender.idle()
      t.deepEqual(sent, ['start 0'])
      t.is(runs.placements.size, 1)
      t.is(book.ready.size, 3)
    })

    // The first call may have been carried out, so the task must not start elsewhere yet.
    it('gets no unanswered start again, and the start is fenced', async (t) => {
      const unanswered = err({
        failure: 'unanswered',
        reason: 'no answer',
        cause: NO_ANSWER,
      })
      const rig = startSender(() => unanswered)
      const [first] = rig.tasks(1)
      rig.start(first!)
      await sleep(ANSWER_MS / 3)
      rig.state.isCordoned = true
      await rig.sender.idle()
      t.deepEqual(rig.sent, ['start 0'])
      t.is(rig.fences(), 1)
      t.is(rig.runs.placements.get(first!.name)?.state, 'unsure')
      t.false(rig.book.ready.has(first!))
    })

    it('still gets stops', async (t) => {
      const { state, sent, sender, start, stop, tasks } = startSender()
      const [first] = tasks(1)
      start(first!)
      await sender.idle()
      state.isCordoned = true
      stop(first!)
      await sender.idle()
      t.deepEqual(sent, ['start 0', 'stop 0'])
    })

    it('gets starts again once the cordon is lifted', async (t) => {
      const { state, sent, sender, start, tasks } = startSender()
      const [first] = tasks(1)
      state.isCordoned = true
      start(first!)
      await sender.idle()
      t.deepEqual(sent, [])
      state.isCordoned = false
      start(first!)
      await sender.idle()
      t.deepEqual(sent, ['start 0'])
    })
  })

  describe('the start of a copy', () => {
    const failure = { failure: 'unanswered', reason: 'no answer', cause: NO_ANSWER }

    // Otherwise the task runs again after its end was recorded.
    it('is fenced and not sent again once the task is done', async (t) => {
      const { sent, sender, book, startCopy, tasks, fences } = startSender(() =>
        err(failure),
      )
      const [first] = tasks(2)
      startCopy(first!)
      await sleep(ANSWER_MS / 3)
      const end = { seq: 1, task: first!.name, run: 1, kind: 'done', checkpoint: '' }
      book.applyEnd('t2', end as ReportedEnd)
      t.is(first!.phase, 'done')
      await sender.idle()
      t.deepEqual(sent, ['start 0', 'stop 0'])
      t.is(fences(), 1)
    })

    // A successor may have recorded that the task is done.
    it('is not sent while the owner is not confirmed, and the other run goes on', async (t) => {
      const { sent, sender, runs, startCopy, tasks, setConfirmed } = startSender()
      const [first] = tasks(1)
      setConfirmed(false)
      startCopy(first!)
      await sender.idle()
      t.deepEqual(sent, [])
      t.is(runs.placements.size, 0)
      t.is(first!.copy, undefined)
      t.is(first!.targetId, 't2')
      t.is(first!.phase, 'placed')
    })
  })

  // Otherwise each of four queued starts for a silent target waits for the time-outs before it.
  it('makes the tasks of queued starts ready when the target does not answer', async (t) => {
    const failure = { failure: 'unanswered', reason: 'no answer', cause: NO_ANSWER }
    const { sent, sender, book, runs, start, tasks } = startSender(() => err(failure))
    const some = tasks(8)
    for (const task of some) start(task)
    await sender.idle()
    const sentCount = new Set(sent).size
    t.true(sentCount < 8)
    t.is(book.ready.size, 8 - sentCount)
    t.is(runs.placements.size, sentCount)
    t.true([...runs.placements.values()].every(({ state }) => state === 'unsure'))
  })
})
