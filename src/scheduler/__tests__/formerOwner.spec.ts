import { err } from 'neverthrow'
import { describe, it } from '../../../test/describe.js'
import { createJobRig, findGuaranteeViolation, makeJob } from '../../../test/jobRig.js'
import type { OrderError, TargetOrders } from '../../ports/index.js'
import { callError, sleep } from '../../shared/index.js'

/** Time in which an owner hears a target that is added, and starts a task there, in ms. */
const HEARD_MS = 800
/** Calls in that time: one for each pause after a call that failed, which is 150 ms. */
const MAX_CALLS = 6
/** Time within which jobs end, in ms. */
const LIMIT_MS = 12_000

/** Leaves calls to one target unanswered while `faults.isBlocked` is set. */
function withBlocked(orders: TargetOrders, id: string, faults: { isBlocked: boolean }) {
  const unanswered = (): OrderError => {
    const cause = callError('test', id, 'unknown', 'blocked')
    return { failure: 'unanswered', reason: 'blocked', cause }
  }
  return {
    open(target: Parameters<TargetOrders['open']>[0]) {
      const link = orders.open(target)
      if (target.id !== id) return link
      return {
        ...link,
        async sync(...[order, timeoutMs]: Parameters<typeof link.sync>) {
          if (!faults.isBlocked) return link.sync(order, timeoutMs)
          await sleep(timeoutMs)
          return err(unanswered())
        },
      }
    },
  } satisfies TargetOrders
}

describe('former owner in its grace period', () => {
  // It started a task there that its successor, which had not called the target yet, started too.
  it('starts nothing on a target that it has first heard after its lease', async (t) => {
    const rig = createJobRig()
    t.teardown(() => rig.stop())
    rig.addTarget('t1')
    const former = await rig.startOwner()
    const job = makeJob({ ms: 2500, cpu: 4000 }, [{ count: 2 }])
    rig.submit(former, job)
    while (rig.ledger.entries.length === 0) await sleep(5)
    former.confirmed = false
    const faults = { isBlocked: true }
    rig.orders = withBlocked(rig.orders, 't2', faults)
    await rig.startOwner(true)
    await sleep(HEARD_MS)
    rig.addTarget('t2')
    await sleep(HEARD_MS)
    rig.addTarget('t3')
    await sleep(HEARD_MS)
    faults.isBlocked = false
    t.true(await rig.waitForOutcomes([job], LIMIT_MS))
    t.is(findGuaranteeViolation(rig.ledger), undefined)
  })

  // It called the target again as soon as each answer had come, as no answer counted.
  it('does not call such a target without a pause', async (t) => {
    const rig = createJobRig()
    t.teardown(() => rig.stop())
    const direct = rig.orders
    let calls = 0
    rig.orders = {
      open(target) {
        const link = direct.open(target)
        const sync: typeof link.sync = (order, timeoutMs) => {
          calls++
          return link.sync(order, timeoutMs)
        }
        return { ...link, sync }
      },
    }
    const former = await rig.startOwner()
    former.confirmed = false
    rig.addTarget('t1')
    await sleep(HEARD_MS)
    t.true(calls <= MAX_CALLS)
  })
})
