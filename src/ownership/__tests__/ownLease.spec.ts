/**
 * Ownership of a service lasts as long as the other nodes wait for it: until the lease of the owner's
 * node row ends, whatever else the node has written since the last renewal.
 */
import { err } from 'neverthrow'
import { createRowTable } from '../../../playground/sim/rowTable.js'
import { describe, it } from '../../../test/describe.js'
import { startOwnerNode } from '../../../test/ownerNodes.js'
import type { RowStore } from '../../ports/index.js'
import { PlatformError, monotonicMs, sleep } from '../../shared/index.js'
import { NODES_TABLE } from '../index.js'

/** Wraps a store that neither applies nor answers the node's renewals while `state.lost` is set. */
function withoutRenewals(store: RowStore) {
  const state = { lost: false }
  const wrapped: RowStore = {
    ...store,
    async commit(tx) {
      const renews = tx.puts.some(({ table }) => table === NODES_TABLE)
      if (!state.lost || !renews) return store.commit(tx)
      await sleep(1500)
      return err(
        new PlatformError('no answer', {
          props: { step: 'store.commit', peer: 'store', failure: 'unknown' as const },
        }),
      )
    },
  }
  return { state, store: wrapped }
}

describe('ownership of a service', () => {
  // With lost answers of the store, a node can claim a service 0.9 s after the last successful renewal
  // of its row, and the next node takes the service over as soon as that lease ends. If the first
  // node counted its lease from the claim, it would accept a new job as the confirmed owner, and the
  // job's task would run twice at the same time.
  it('ends with the lease of the last renewal, even if claimed after it', async (t) => {
    const table = createRowTable()
    const { state, store } = withoutRenewals(table.forNode('n1'))
    const services = ['x']
    const first = startOwnerNode({ id: 'n1', store, services, room: 9 })
    while (!first.authorities.has('x')) await sleep(20)
    await sleep(500)
    const others: string[] = []
    const next = startOwnerNode({
      id: 'n2',
      store: table.forNode('n2'),
      services: others,
    })
    await sleep(500)
    state.lost = true
    await sleep(800)
    services.push('a')
    others.push('a')
    const isConfirmed = (node: typeof first): boolean =>
      node.authorities.get('a')?.isConfirmed() ?? false
    let both = 0
    let owned = false
    const endsAt = monotonicMs() + 4000
    while (monotonicMs() < endsAt) {
      if (isConfirmed(first) && isConfirmed(next)) both++
      owned ||= isConfirmed(next)
      await sleep(5)
    }
    t.is(both, 0, 'two owners at the same time')
    t.true(owned)
    await Promise.all([first.stop(), next.stop()])
  })
})
