import type { ExecutionContext } from 'ava'
import { describe, it } from '../../../test/describe.js'
import { CLIENT_NODE, startStandIn } from '../../../test/standIn.js'
import { commit, newOpId } from '../../platform/index.js'
import { createMemoryLogger, createMetrics } from '../../shared/index.js'
import { createLease } from '../lease.js'

async function setUp(t: ExecutionContext) {
  const { standIn, platform } = await startStandIn(t)
  const keeper = (holder: string, now: () => number = () => performance.now()) =>
    createLease({
      platform,
      hall: 'h',
      holder,
      ttlMs: 300,
      log: createMemoryLogger(),
      metrics: createMetrics(),
      now,
    })
  return { platform, standIn, keeper }
}

async function until(check: () => boolean): Promise<void> {
  while (!check()) await new Promise((resolve) => setTimeout(resolve, 5))
}

const write = (key: string) => ({ key, version: 0, value: 1 })

describe('createLease', () => {
  it('is held by one of two keepers and passes to the other at a planned stop', async (t) => {
    const { keeper } = await setUp(t)
    const a = keeper('a')
    await until(() => a.fence() !== undefined)
    const b = keeper('b')
    await new Promise((resolve) => setTimeout(resolve, 100))
    t.is(b.fence(), undefined)
    await a.stop()
    await until(() => b.fence() !== undefined)
    t.is(b.fence(), 2)
    await b.stop()
  })

  it('refuses the write of a keeper that was paused past its lease', async (t) => {
    const { platform, keeper } = await setUp(t)
    // A stopped clock makes the keeper consider the lease held.
    const a = keeper('a', () => 0)
    await until(() => a.fence() !== undefined)
    const fence = a.fence()!
    // Takes the lease as a successor would, until a try falls between two renewals.
    for (let taken = false; !taken;) {
      const row = (await platform.read(['leases/h']))._unsafeUnwrap().get('leases/h')!
      const value = { holder: 'b', fence: fence + 1, ttlMs: 300, renewedAt: '' }
      const writes = [{ key: row.key, version: row.version, value }]
      const outcome = await commit(platform, { opId: newOpId('b'), writes, guards: [] })
      taken = outcome._unsafeUnwrap().committed
    }
    const late = await commit(platform, {
      opId: 'late',
      writes: [write('x')],
      guards: [a.guard(fence)],
    })
    t.deepEqual(late._unsafeUnwrap(), { committed: false, failedKey: 'leases/h' })
    await a.stop()
  })

  it('expires on the clock of its holder in an outage and can be taken afterwards', async (t) => {
    const { standIn, keeper } = await setUp(t)
    const a = keeper('a')
    await until(() => a.fence() !== undefined)
    standIn.faults.cut.add(CLIENT_NODE)
    await until(() => a.fence() === undefined)
    standIn.faults.cut.clear()
    await a.stop()
    const b = keeper('b')
    await until(() => b.fence() !== undefined)
    t.true(b.fence()! >= 2)
    await b.stop()
  })
})
