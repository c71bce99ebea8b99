import { err } from 'neverthrow'
import { describe, it } from '../../../test/describe.js'
import { createJobRig, findGuaranteeViolation, makeJob } from '../../../test/jobRig.js'
import type { OrderResult, TargetOrders } from '../../ports/index.js'
import { callError, sleep } from '../../shared/index.js'

/** Time in which an owner hears its targets and starts tasks there, in ms. */
const HEARD_MS = 700
/** Longer than a poll that is under way when the targets are cut off, in ms. */
const POLL_MS = 1500
/** Time between the crash of a target and its restart, in ms. */
const DOWNTIME_MS = 200
/** Time in which the former owner may start tasks on the restarted target, in ms. */
const LATE_START_MS = 1500
/** Room of the restarted target: that of all tasks. */
const LARGE = { cpu: 12_000, memMb: 100_000, gpu: 0 }

/** Leaves calls to the targets of the set unanswered. */
function withCutOff(orders: TargetOrders, cutOff: ReadonlySet<string>): TargetOrders {
  const unanswered = async (timeoutMs: number): OrderResult<never> => {
    await sleep(timeoutMs)
    const cause = callError('test', 'target', 'unknown', 'cut off')
    return err({ failure: 'unanswered', reason: 'cut off', cause })
  }
  return {
    open(target) {
      const link = orders.open(target)
      const isCutOff = (): boolean => cutOff.has(target.id)
      return {
        ...link,
        start: (order, ms) => (isCutOff() ? unanswered(ms) : link.start(order, ms)),
        stop: (order, ms) => (isCutOff() ? unanswered(ms) : link.stop(order, ms)),
        sync: (order, ms) => (isCutOff() ? unanswered(ms) : link.sync(order, ms)),
      }
    },
  }
}

describe('former owner in its grace period', () => {
  // It started tasks there that its successor was running elsewhere: this incarnation had not heard
  // the successor, and the former owner had heard no earlier one that it could tell it from.
  it('starts nothing on an incarnation that it hears after its lease, if it heard none before', async (t) => {
    const rig = createJobRig()
    t.teardown(() => rig.stop())
    for (const id of ['t1', 't2', 't3']) rig.addTarget(id)
    const direct = rig.orders
    const formerCutOff = new Set(['t2', 't3'])
    const cutOff = new Set<string>()
    rig.orders = withCutOff(direct, formerCutOff)
    const former = await rig.startOwner()
    const job = makeJob({ ms: 6000, cpu: 4000 }, [{ count: 3 }])
    rig.submit(former, job)
    await sleep(HEARD_MS)
    former.confirmed = false
    formerCutOff.add('t1')
    await sleep(POLL_MS)
    rig.orders = withCutOff(direct, cutOff)
    await rig.startOwner(true)
    await sleep(HEARD_MS)
    t.is(rig.ledger.entries.filter(({ what }) => what === 'start').length, 3)
    cutOff.add('t2')
    rig.targets.get('t2')!.crash()
    await sleep(DOWNTIME_MS)
    rig.addTarget('t2', { capacity: LARGE })
    formerCutOff.delete('t2')
    await sleep(LATE_START_MS)
    cutOff.delete('t2')
    t.is(findGuaranteeViolation(rig.ledger), undefined)
  })
})
