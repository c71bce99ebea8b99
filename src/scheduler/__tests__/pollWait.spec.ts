import { describe, it } from '../../../test/describe.js'
import { createJobRig, makeJob } from '../../../test/jobRig.js'
import type { JobRig } from '../../../test/jobRig.js'
import { sleep } from '../../shared/index.js'
import { SYNC_WAIT_MS } from '../constants.js'

/** Records the wait of each poll, in ms. */
function recordPolls(rig: JobRig): number[] {
  const { orders } = rig
  const waits: number[] = []
  rig.orders = {
    open(target) {
      const link = orders.open(target)
      return {
        ...link,
        sync(order, timeoutMs) {
          waits.push(order.waitMs)
          return link.sync(order, timeoutMs)
        },
      }
    },
  }
  return waits
}

/** Starts tasks on targets that answer after `delayMs`, and tells whether a poll lasts longer. */
async function hasLongPolls(delayMs: number, withinMs: number): Promise<boolean> {
  const rig = createJobRig()
  const waits = recordPolls(rig)
  for (const id of ['t1', 't2', 't3', 't4']) rig.addTarget(id).faults.delayMs = delayMs
  const owner = await rig.startOwner()
  rig.submit(owner, makeJob({ ms: 400, cpu: 100 }, [{ count: 60 }]))
  const endsAt = performance.now() + withinMs
  const isLong = (ms: number): boolean => ms > SYNC_WAIT_MS
  while (!waits.some(isLong) && performance.now() < endsAt) await sleep(20)
  await rig.stop()
  return waits.some(isLong)
}

describe('polls of an owner', () => {
  // Otherwise the polls of its targets take the processor time that it needs for starts.
  it('last longer while it cannot order starts in time', async (t) => {
    t.true(await hasLongPolls(300, 8000))
  })

  it('last no longer than usual while targets answer in time', async (t) => {
    t.false(await hasLongPolls(0, 2000))
  })
})
