import { describe, it } from '../../../test/describe.js'
import { createJobRig, findGuaranteeViolation, makeJob } from '../../../test/jobRig.js'
import type { TargetOrders } from '../../ports/index.js'
import { sleep } from '../../shared/index.js'

/** Time within which jobs end, in ms. */
const LIMIT_MS = 12_000

/** Leaves the incarnation out of the reports while `faults.isUnnamed` is set. */
function withUnnamedReports(orders: TargetOrders, faults: { isUnnamed: boolean }) {
  return {
    open(target: Parameters<TargetOrders['open']>[0]) {
      const link = orders.open(target)
      return {
        ...link,
        async sync(...call: Parameters<typeof link.sync>) {
          const res = await link.sync(...call)
          return res.map((report) =>
            faults.isUnnamed ? { ...report, lifeStartMs: 0 } : report,
          )
        },
      }
    },
  } satisfies TargetOrders
}

describe('report that does not name its incarnation', () => {
  // It was taken for that of another incarnation; what ran was given up and started elsewhere.
  it('ends no run of the incarnation that is known', async (t) => {
    const rig = createJobRig()
    t.teardown(() => rig.stop())
    const faults = { isUnnamed: false }
    rig.orders = withUnnamedReports(rig.orders, faults)
    rig.addTarget('t1')
    rig.addTarget('t2')
    const owner = await rig.startOwner()
    const job = makeJob({ ms: 3000 }, [{ count: 4 }])
    rig.submit(owner, job)
    while (rig.ledger.entries.length < 4) await sleep(5)
    faults.isUnnamed = true
    await sleep(1200)
    faults.isUnnamed = false
    t.true(await rig.waitForOutcomes([job], LIMIT_MS))
    t.is(rig.ledger.entries.filter(({ what }) => what === 'start').length, 4)
    t.is(findGuaranteeViolation(rig.ledger), undefined)
  })

  // The next one, which named it, counted as that of another incarnation: a crash of the target.
  it('is not the first one of a target whose incarnation is listed', async (t) => {
    const rig = createJobRig()
    t.teardown(() => rig.stop())
    const faults = { isUnnamed: true }
    rig.orders = withUnnamedReports(rig.orders, faults)
    rig.addTarget('t1')
    const owner = await rig.startOwner()
    await sleep(500)
    faults.isUnnamed = false
    const job = makeJob({ ms: 20 }, [{ count: 2 }])
    rig.submit(owner, job)
    t.true(await rig.waitForOutcomes([job], LIMIT_MS))
    t.false(rig.log.events.some(({ name }) => name === 'targetReborn'))
  })
})
