import { err, ok } from 'neverthrow'
import { describe, it } from '../../../test/describe.js'
import { QUEUE, makeJob } from '../../../test/jobRig.js'
import { createJobBook } from '../../jobs/index.js'
import type { Task } from '../../jobs/index.js'
import type { Authority } from '../../ownership/index.js'
import type { TargetLink } from '../../ports/index.js'
import {
  PlatformError,
  createMemoryLogger,
  createStopController,
  sleep,
} from '../../shared/index.js'
import { createOrderSender } from '../orderSender.js'
import { createTargetLease } from '../targetLease.js'
import { createTargetRuns } from '../targetRuns.js'

/** Time that the target takes to answer a start, in ms. */
const ANSWER_MS = 60

const ignore = (): void => undefined

/** The sender of one target that answers slowly, and the orders that have reached it. */
function startSender(answers: () => unknown = () => ok({ accepted: true, clockMs: 2 })) {
  const sent: string[] = []
  const log = createMemoryLogger()
  const authority = {
    mayOrder: () => true,
    isConfirmed: () => true,
  } as unknown as Authority
  const book = createJobBook({
    rulesOf: () => ({ maxAttempts: QUEUE.maxAttempts }),
    now: () => performance.now(),
    wallMs: Date.now,
    changed: ignore,
    dropped: (task) => stop(task),
    wake: ignore,
    ended: ignore,
  })
  const link = {
    async start({ task }: { task: string }) {
      sent.push(`start ${task.split('.').at(-1)}`)
      await sleep(ANSWER_MS)
      return answers()
    },
    async stop(task: string) {
      sent.push(`stop ${task.split('.').at(-1)}`)
      return ok(true)
    },
  } as unknown as TargetLink
  const capacity = { cpu: 100_000, memMb: 100_000, gpu: 0 }
  const target = {
    id: 't1',
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
    log,
    unwanted: ignore,
    ended: ignore,
  })
  const lease = createTargetLease(0)
  lease.noteClock(1)
  const { signal } = createStopController()
  const sender = createOrderSender({
    targetId: 't1',
    link,
    book,
    authority,
    runs,
    lease,
    signal,
    log,
    token: () => 1,
    pause: ignore,
    failed: ignore,
    fenceUnanswered: async () => undefined,
    ticketRefused: ignore,
    changed: ignore,
  })
  const start = (task: Task): void => {
    const placement = runs.add(task, task.run + 1, 'starting')
    book.place(task, 't1', task.run + 1)
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
  return { sent, sender, book, runs, start, stop, tasks }
}

describe('createOrderSender', () => {
  // Tasks of a cancelled job worked on while the starts of others were ordered one by one.
  it('stops before it starts what waits', async (t) => {
    const { sent, sender, start, stop, tasks } = startSender()
    const [first, ...others] = tasks(4)
    start(first!)
    await sender.idle()
    for (const task of others) start(task)
    stop(first!)
    await sender.idle()
    t.deepEqual(sent, ['start 0', 'stop 0', 'start 1', 'start 2', 'start 3'])
  })

  it('sends no stop before the start that it is for has been answered', async (t) => {
    const { sent, sender, start, stop, tasks } = startSender()
    const [first] = tasks(1)
    start(first!)
    await sleep(ANSWER_MS / 3)
    stop(first!)
    t.deepEqual(sent, ['start 0'])
    await sender.idle()
    t.deepEqual(sent, ['start 0', 'stop 0'])
  })

  it('leaves out the start of what is stopped before its turn', async (t) => {
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

  it('leaves out the starts of a job that is cancelled', async (t) => {
    const { sent, sender, book, runs, start, tasks } = startSender()
    const some = tasks(3)
    for (const task of some) start(task)
    await sleep(ANSWER_MS / 3)
    book.cancel(some[0]!.step.job.spec.id)
    await sender.idle()
    t.deepEqual(sent, ['start 0', 'stop 0'])
    t.is(runs.placements.size, 1)
  })

  // Each of four starts for a silent target waited for the limits of those before it.
  it('gives back what waits for a target that does not answer', async (t) => {
    const cause = new PlatformError('no answer', {
      props: { step: 'orders.start', peer: 't1', failure: 'unknown' },
    })
    const failure = { failure: 'unanswered', reason: 'no answer', cause }
    const { sent, sender, book, runs, start, tasks } = startSender(() => err(failure))
    const some = tasks(8)
    for (const task of some) start(task)
    await sender.idle()
    t.true(sent.length < 8)
    t.is(book.ready.size, 8 - sent.length)
    t.is(runs.placements.size, sent.length)
    t.true([...runs.placements.values()].every(({ state }) => state === 'unsure'))
  })
})
