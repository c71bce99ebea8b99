/**
 * Guards against jobs that start too late because a target leaves an order of the owner
 * unanswered, and against a second run when the order is carried out late.
 */
import type { ExecutionContext } from 'ava'
import { createOrdersClient } from '../../platform/index.js'
import { monotonicMs, sleep } from '../../src/shared/index.js'
import { describe, it } from '../../test/describe.js'
import { createJobRig, findGuaranteeViolation, makeJob } from '../../test/jobRig.js'
import type { JobRig, RigOwner } from '../../test/jobRig.js'
import { targetHandlers } from '../sim/targetHandlers.js'
import type { SimVm } from '../sim/simFleet.js'
import { HOST, listen, portOf } from '../sim/wire.js'
import type { Handler } from '../sim/wire.js'

/** Time that callers allow a job in addition to its run time, in ms. */
const MAX_START_DELAY_MS = 600
/** Run time of a task, in ms. */
const TASK_MS = 50
/** Delay after which unanswered orders are carried out, in ms. */
const LATE_MS = 1500
/** Time after which a poll that was sent to an idle target has ended, in ms. */
const IDLE_POLL_MS = 1100
const START = '/run-start'
const POLL = '/hold'

/** An HTTP target that leaves some orders unanswered and carries them out late. */
interface LossyTarget {
  /** Number of further orders that the target leaves unanswered, by path. */
  losses: Map<string, number>
}

async function addLossyTarget(
  t: ExecutionContext,
  rig: JobRig,
  id: string,
): Promise<LossyTarget> {
  const losses = new Map<string, number>()
  const vm = { target: undefined } as unknown as SimVm
  const handlers = Object.entries(targetHandlers(vm)).map(
    ([name, handler]): [string, Handler] => {
      const path = name.split(' ')[1]!
      return [
        name,
        async (req) => {
          const left = losses.get(path) ?? 0
          if (left === 0) return handler(req)
          losses.set(path, left - 1)
          await sleep(LATE_MS)
          void handler(req)
          return new Promise<never>(() => undefined)
        },
      ]
    },
  )
  const server = await listen(Object.fromEntries(handlers))
  t.teardown(() => {
    server.close()
    server.closeAllConnections()
  })
  vm.target = rig.addTarget(id, { address: `${HOST}:${portOf(server)}` })
  return { losses }
}

/** Starts an owner with one target and completes a first job on it. */
async function startOwnerWithTarget(t: ExecutionContext) {
  const rig = createJobRig()
  rig.orders = createOrdersClient({})
  const target = await addLossyTarget(t, rig, 't1')
  const owner = await rig.startOwner()
  t.teardown(() => rig.stop())
  const firstJob = makeJob({ ms: TASK_MS, cpu: 100 }, [{ count: 4 }])
  rig.submit(owner, firstJob)
  t.true(await rig.waitForOutcomes([firstJob], 3000))
  return { rig, owner, target }
}

/** Submits a job and returns the time until its last task has started, in ms. */
async function timeToLastStart(
  rig: JobRig,
  owner: RigOwner,
  steps: Parameters<typeof makeJob>[1],
): Promise<number> {
  const job = makeJob({ ms: TASK_MS, cpu: 100 }, steps)
  const submittedAt = monotonicMs()
  rig.submit(owner, job)
  await rig.waitForOutcomes([job], 5000)
  const starts = rig.ledger.entries.filter(
    ({ what, task }) => what === 'start' && task.startsWith(job.id),
  )
  return Math.max(...starts.map(({ at }) => at)) - submittedAt
}

describe('target that leaves orders unanswered', () => {
  describe('a start without an answer', () => {
    it('does not use up the time that callers allow', async (t) => {
      const { rig, owner, target } = await startOwnerWithTarget(t)
      target.losses.set(START, 1)
      const tookMs = await timeToLastStart(rig, owner, [{ count: 1 }])
      t.true(tookMs < MAX_START_DELAY_MS, `begun after ${Math.round(tookMs)} ms`)
    })

    it('does not hold up the starts behind it', async (t) => {
      const { rig, owner, target } = await startOwnerWithTarget(t)
      target.losses.set(START, 1)
      const tookMs = await timeToLastStart(rig, owner, [{ count: 8 }])
      t.true(tookMs < MAX_START_DELAY_MS, `begun after ${Math.round(tookMs)} ms`)
    })

    it('runs its task once, also when it is carried out late', async (t) => {
      const { rig, owner, target } = await startOwnerWithTarget(t)
      target.losses.set(START, 2)
      await timeToLastStart(rig, owner, [{ count: 4 }])
      await sleep(LATE_MS * 2)
      t.is(findGuaranteeViolation(rig.ledger), undefined)
    })
  })

  describe('a poll without an answer', () => {
    it('does not use up the time that callers allow while tasks run', async (t) => {
      const { rig, owner, target } = await startOwnerWithTarget(t)
      const longer = makeJob({ ms: 4000, cpu: 100 }, [{ count: 1 }])
      rig.submit(owner, longer)
      await sleep(IDLE_POLL_MS)
      target.losses.set(POLL, 1)
      while (target.losses.get(POLL) !== 0) await sleep(1)
      const tookMs = await timeToLastStart(rig, owner, [
        { count: 1 },
        { count: 1, after: [0] },
      ])
      t.true(
        tookMs < MAX_START_DELAY_MS + TASK_MS,
        `begun after ${Math.round(tookMs)} ms`,
      )
    })
  })
})
