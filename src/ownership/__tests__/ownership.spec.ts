import { createRowTable } from '../../../playground/sim/rowTable.js'
import type { RowTable } from '../../../playground/sim/rowTable.js'
import { describe, it } from '../../../test/describe.js'
import { startOwnerNode } from '../../../test/ownerNodes.js'
import type { OwnerNode } from '../../../test/ownerNodes.js'
import { sleep } from '../../shared/index.js'
import {
  UNREADABLE_EPOCH_WAIT_MS,
  DEAD_NODE_RETENTION_MS,
  NODE_LEASE_MS,
} from '../index.js'

const SERVICES = ['a', 'b', 'c', 'd']

/** Time for a handover to another node, in ms: about a second. */
const HANDED_OVER_MS = 1200

const startNode = (table: RowTable, id: string, room = 1): OwnerNode =>
  startOwnerNode({ id, store: table.forNode(id), services: SERVICES, room })

const ownersOf = (nodes: OwnerNode[], service: string): string[] =>
  nodes
    .filter(({ authorities }) => authorities.get(service)?.isConfirmed())
    .map(({ id }) => id)

describe('createOwnership', () => {
  it('gives every service one owner and spreads the services', async (t) => {
    const table = createRowTable()
    const nodes = ['n1', 'n2', 'n3', 'n4'].map((id) => startNode(table, id))
    await sleep(3000)
    for (const service of SERVICES) t.is(ownersOf(nodes, service).length, 1, service)
    for (const { id, authorities } of nodes) t.is(authorities.size, 1, id)
    await Promise.all(nodes.map((node) => node.stop()))
  })

  // Otherwise a node with 0.3 of a core can own a queue at its peak.
  it('prefers nodes with more capacity, and gives several services to a large one', async (t) => {
    const table = createRowTable()
    const rooms = { n1: 0.3, n2: 1.4, n3: 0.3, n4: 0.9, n5: 0.7 }
    const nodes = Object.entries(rooms).map(([id, room]) => startNode(table, id, room))
    await sleep(3000)
    const counts = nodes.map(({ id, authorities }) => [id, authorities.size])
    t.deepEqual(Object.fromEntries(counts), { n1: 0, n2: 2, n3: 0, n4: 1, n5: 1 })
    await Promise.all(nodes.map((node) => node.stop()))
  })

  describe('with an owner that lacks processor time', () => {
    const startWeak = (table: RowTable, room: number): OwnerNode =>
      startOwnerNode({
        id: 'n1',
        store: table.forNode('n1'),
        services: ['a'],
        room,
        lacksProcessor: () => true,
      })
    const joinedBy = async (weakRoom: number, room: number) => {
      const table = createRowTable()
      const weak = startWeak(table, weakRoom)
      while (!weak.authorities.has('a')) await sleep(20)
      const other = startOwnerNode({
        id: 'n2',
        store: table.forNode('n2'),
        services: ['a'],
        room,
      })
      while (weak.registry.candidates().length < 2) await sleep(20)
      await sleep(HANDED_OVER_MS)
      const owners = ownersOf([weak, other], 'a')
      const terms = [weak, other].map(({ authorities }) => authorities.get('a')?.term)
      await Promise.all([weak, other].map((node) => node.stop()))
      return { owners, terms }
    }

    it('hands the service over to a node that has much more', async (t) => {
      const { owners, terms } = await joinedBy(0.3, 1.4)
      t.deepEqual(owners, ['n2'])
      t.deepEqual(terms, [undefined, 2])
    })

    it('keeps the service while no other node has much more', async (t) => {
      const { owners, terms } = await joinedBy(0.9, 1.4)
      t.deepEqual(owners, ['n1'])
      t.deepEqual(terms, [1, undefined])
    })
  })

  // Every target would fence a term that is lower than the last one.
  it('does not claim a service whose last term it cannot read', async (t) => {
    const table = createRowTable()
    table.put({ table: 'epochs', part: 'a', key: 'epoch' }, '{"holder":"n9","term":"12"}')
    const node = startNode(table, 'n1')
    await sleep(1500)
    t.deepEqual([...node.authorities.keys()].sort(), ['b', 'c', 'd'])
    t.true(node.log.events.some(({ name }) => name === 'rowInvalid'))
    await node.stop()
  })

  // Otherwise the service has no owner until somebody repairs the row by hand.
  it('claims a service with a higher term when nobody repairs its unreadable row', async (t) => {
    const table = createRowTable()
    const key = { table: 'epochs', part: 'a', key: 'epoch' }
    const node = startNode(table, 'n1')
    while (!node.authorities.has('a')) await sleep(50)
    const former = node.authorities.get('a')!
    table.put(key, '{"holder":"n9","term":"12"}')
    former.markLost('a write was refused')
    await sleep(UNREADABLE_EPOCH_WAIT_MS - 1500)
    t.false(node.authorities.has('a'))
    await sleep(4000)
    const next = node.authorities.get('a')!
    t.true(next.term > former.term + 1_000_000)
    t.true(next.term * 65_536 < Number.MAX_SAFE_INTEGER)
    // The previous owner is unknown, so it may still be active.
    t.true(next.predecessorMayLive)
    const told = node.log.events.map(({ name }) => name)
    t.is(told.filter((name) => name === 'rowInvalid').length, 1)
    t.true(told.includes('rowRestored'))
    const { term } = JSON.parse(table.get(key)!.value) as { term: number }
    t.is(term, next.term)
    await node.stop()
  })

  // Otherwise a node that was cut off takes the fleet back as soon as it is connected again, based
  // on rows that it read before.
  it('does not claim services that were taken over while the node was cut off', async (t) => {
    const table = createRowTable()
    const nodes = ['n1', 'n2', 'n3'].map((id) => startNode(table, id))
    await sleep(2500)
    const cut = nodes[0]!
    const ownedBefore = [...cut.authorities.keys()]
    t.true(ownedBefore.length > 0)
    table.faults.refusedNodes.add(cut.id)
    await sleep(NODE_LEASE_MS + 3500)
    for (const service of ownedBefore) {
      t.is(ownersOf(nodes.slice(1), service).length, 1, service)
      t.false(cut.authorities.get(service)?.isConfirmed())
    }
    const taken = new Map(
      ownedBefore.map((service) => [service, ownersOf(nodes.slice(1), service)[0]]),
    )
    table.faults.refusedNodes.clear()
    await sleep(3000)
    for (const service of ownedBefore)
      t.deepEqual(ownersOf(nodes, service), [taken.get(service)!])
    await Promise.all(nodes.map((node) => node.stop()))
  })

  it('keeps its services through an outage of the store', async (t) => {
    const table = createRowTable()
    const nodes = ['n1', 'n2'].map((id) => startNode(table, id))
    await sleep(2500)
    const before = SERVICES.map((service) => ownersOf(nodes, service)[0])
    table.faults.down = true
    await sleep(NODE_LEASE_MS + 1500)
    for (const { authorities } of nodes) {
      for (const authority of authorities.values()) {
        t.true(authority.mayOrder())
        t.false(authority.isConfirmed())
      }
    }
    table.faults.down = false
    await sleep(2500)
    t.deepEqual(
      SERVICES.map((service) => ownersOf(nodes, service)[0]),
      before,
    )
    await Promise.all(nodes.map((node) => node.stop()))
  })

  // After a loss of power at all nodes, the row of a node that was replaced long before can still
  // name that node as the owner of the fleet.
  it('does not wait for a node whose lease ended long ago, and removes its row', async (t) => {
    const table = createRowTable()
    const nodes = ['n1', 'n2'].map((id) => startNode(table, id))
    const row = { life: 'gone', address: 'x:1', hall: 'h1', owns: ['a'], leaving: false }
    table.put({ table: 'nodes', part: 'n0', key: 'n0' }, JSON.stringify(row))
    await sleep(DEAD_NODE_RETENTION_MS + 2000)
    t.is(table.get({ table: 'nodes', part: 'n0', key: 'n0' }), undefined)
    await Promise.all(nodes.map((node) => node.stop()))
  })

  it('hands services over in a planned stop when an outage of the store ends', async (t) => {
    const table = createRowTable()
    const nodes = ['n1', 'n2'].map((id) => startNode(table, id))
    await sleep(2500)
    table.faults.down = true
    const released = nodes[0]!.ownership.release()
    await sleep(700)
    table.faults.down = false
    await released
    await nodes[0]!.stop()
    await sleep(1500)
    for (const service of SERVICES) t.deepEqual(ownersOf(nodes, service), ['n2'])
    await nodes[1]!.stop()
  })

  it('takes nothing over from live owners when an outage of the store ends', async (t) => {
    const table = createRowTable()
    const nodes = ['n1', 'n2', 'n3'].map((id) => startNode(table, id))
    await sleep(2500)
    for (let outage = 0; outage < 2; outage++) {
      table.faults.down = true
      await sleep(NODE_LEASE_MS + 800)
      // Some nodes reach the store slightly before the others.
      table.faults.refusedNodes = new Set(['n1', 'n2'])
      table.faults.down = false
      await sleep(400)
      table.faults.refusedNodes = new Set()
      await sleep(1500)
    }
    const taken = nodes.flatMap(({ log }) =>
      log.events.filter(({ name }) => name === 'ownershipTaken'),
    )
    t.is(taken.length, SERVICES.length)
    await Promise.all(nodes.map((node) => node.stop()))
  })

  it('finds every node again after the store has compacted its history', async (t) => {
    const table = createRowTable()
    const nodes = ['n1', 'n2', 'n3'].map((id) => startNode(table, id))
    await sleep(1500)
    for (let round = 0; round < 6; round++) {
      table.compact()
      await sleep(500)
    }
    for (const { registry } of nodes) {
      const seen = registry.candidates().map(({ id }) => id)
      t.deepEqual(seen, ['n1', 'n2', 'n3'])
    }
    await nodes[2]!.stop()
    table.remove({ table: 'nodes', part: 'n3', key: 'n3' })
    await sleep(1200)
    t.deepEqual(
      nodes[0]!.registry
        .members()
        .map(({ id }) => id)
        .sort(),
      ['n1', 'n2'],
    )
    await Promise.all(nodes.slice(0, 2).map((node) => node.stop()))
  })

  it('hands services over in a planned stop', async (t) => {
    const table = createRowTable()
    const nodes = ['n1', 'n2'].map((id) => startNode(table, id))
    await sleep(2500)
    await nodes[0]!.ownership.release()
    await nodes[0]!.stop()
    await sleep(2500)
    for (const service of SERVICES) t.deepEqual(ownersOf(nodes, service), ['n2'])
    await nodes[1]!.stop()
  })
})
