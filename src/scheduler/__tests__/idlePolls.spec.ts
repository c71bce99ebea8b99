import { createSlowOrders } from '../../../playground/sim/slowOrders.js'
import { describe, it } from '../../../test/describe.js'
import { createJobRig, makeJob } from '../../../test/jobRig.js'
import type { TargetOrders } from '../../ports/index.js'
import { sleep } from '../../shared/index.js'
import { IDLE_SYNC_WAIT_MS } from '../constants.js'

const TARGETS = 12

/** Passes polls on and records how long each of them may wait, by target. */
function recordPolls(orders: TargetOrders, polls: Map<string, number[]>): TargetOrders {
  return {
    open(target) {
      const link = orders.open(target)
      return {
        ...link,
        sync(order, timeoutMs) {
          polls.set(target.id, [...(polls.get(target.id) ?? []), order.waitMs])
          return link.sync(order, timeoutMs)
        },
      }
    },
  }
}

describe('an owner that is behind', () => {
  // Otherwise the polls of 30 targets leave it time for 2 to 10 starts a second.
  it('polls idle targets as rarely as they allow', async (t) => {
    const rig = createJobRig()
    t.teardown(() => rig.stop())
    const polls = new Map<string, number[]>()
    const slowOrders = createSlowOrders(rig.orders, { startMs: 300, reportMs: 1 })
    rig.orders = recordPolls(slowOrders, polls)
    for (let number = 1; number <= TARGETS; number++)
      rig.addTarget(`t${number}`, { labels: number <= 2 ? ['busy'] : [] })
    const owner = await rig.startOwner()
    rig.submit(owner, makeJob({ ms: 400, cpu: 1000 }, [{ count: 60, label: 'busy' }]))
    const isBehind = () => rig.log.events.some(({ name }) => name === 'ownerBehind')
    for (let waited = 0; waited < 8000 && !isBehind(); waited += 50) await sleep(50)
    t.true(isBehind())
    // Polls that were sent before it was behind return within a second.
    await sleep(1200)
    polls.clear()
    await sleep(2500)
    for (let number = 3; number <= TARGETS; number++) {
      const waits = polls.get(`t${number}`) ?? []
      t.true(waits.length > 0)
      for (const waitMs of waits) t.is(waitMs, IDLE_SYNC_WAIT_MS)
    }
  })
})
