import type { ExecutionContext } from 'ava'
import { err } from 'neverthrow'
import { createRowTable } from '../../../playground/sim/rowTable.js'
import { describe, it } from '../../../test/describe.js'
import { startOwnerNode } from '../../../test/ownerNodes.js'
import type { RowStore } from '../../ports/index.js'
import { PlatformError, monotonicMs, sleep } from '../../shared/index.js'
import { createLeaseClock } from '../leaseClock.js'

/** Suspension that outlasts the lease but not the grace period for orders after it, in ms. */
const PAST_LEASE_MS = 3000
/** Suspension that outlasts the lease and the grace period, in ms. */
const PAST_GRACE_MS = 12_000

/** Starts an owner with a simulated suspension and a store that can refuse commits. */
async function startOwner(t: ExecutionContext) {
  const faults = { suspendedMs: 0, refusesCommits: false }
  const table = createRowTable().forNode('n1')
  const store: RowStore = {
    ...table,
    async commit(tx) {
      if (!faults.refusesCommits) return table.commit(tx)
      const props = { step: 'store.commit', peer: 'store', failure: 'refused' as const }
      return err(new PlatformError('commit refused', { props }))
    },
  }
  const now = createLeaseClock(monotonicMs, () => Date.now() + faults.suspendedMs)
  const node = startOwnerNode({ id: 'n1', store, services: ['x'], now })
  t.teardown(() => node.stop())
  while (!node.authorities.get('x')?.isConfirmed()) await sleep(20)
  return { faults, authority: node.authorities.get('x')! }
}

describe('owner whose machine was suspended', () => {
  it('no longer counts its lease as confirmed', async (t) => {
    const { faults, authority } = await startOwner(t)
    faults.refusesCommits = true
    faults.suspendedMs += PAST_LEASE_MS
    t.false(authority.isConfirmed())
    t.true(authority.mayOrder())
  })

  it('gives no orders after a suspension longer than its lease and grace period', async (t) => {
    const { faults, authority } = await startOwner(t)
    faults.refusesCommits = true
    faults.suspendedMs += PAST_GRACE_MS
    t.false(authority.mayOrder())
  })

  it('resumes once it has confirmed that no other node took over', async (t) => {
    const { faults, authority } = await startOwner(t)
    faults.suspendedMs += PAST_GRACE_MS
    t.false(authority.mayOrder())
    while (!authority.isConfirmed()) await sleep(20)
    t.true(authority.mayOrder())
  })
})

describe('createLeaseClock', () => {
  it('adds time missing from the monotonic clock and ignores a wall clock set back', (t) => {
    let monotonicTimeMs = 1000
    let wallTimeMs = 500_000
    const now = createLeaseClock(
      () => monotonicTimeMs,
      () => wallTimeMs,
    )
    monotonicTimeMs += 300
    wallTimeMs += 300
    t.is(now(), 1300)
    wallTimeMs += 4000
    t.is(now(), 5300)
    wallTimeMs -= 9000
    t.is(now(), 5300)
    monotonicTimeMs += 100
    wallTimeMs += 100
    t.is(now(), 5400)
  })
})
