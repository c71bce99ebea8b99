import { describe, it } from '../../../test/describe.js'
import { createMemoryLogger } from '../../shared/index.js'
import { MAX_FORWARDER_SHARE, TARGETS_PER_FORWARDER } from '../constants.js'
import type { Forwarder } from '../forwarder.js'
import { createForwarderChoice } from '../forwarderChoice.js'
import type { ForwarderCandidate } from '../forwarderChoice.js'

interface Node extends ForwarderCandidate {
  isUsable: boolean
  busyShare: number
  orderMs: number
}

const nodeAt = (address: string, more: Partial<Node> = {}): Node => ({
  address,
  room: 1,
  owned: 0,
  isUsable: true,
  busyShare: 0,
  orderMs: 30,
  ...more,
})

function setUp(nodes: Node[], targets: number, salt = '') {
  const state = { share: 0, nodes, requested: 0, probed: new Set<string>() }
  const forwarders = new Map<string, Forwarder>(
    nodes.map((node) => [
      node.address,
      {
        address: node.address,
        isUsable: () => node.isUsable,
        isFit: () => node.isUsable && node.busyShare < MAX_FORWARDER_SHARE,
        probe: () => void state.probed.add(node.address),
        busyShare: () => node.busyShare,
        orderMs: () => node.orderMs,
        leaveAlone: () => void (node.isUsable = false),
        call: async () => 'notSent',
        tell: () => undefined,
      },
    ]),
  )
  const choice = createForwarderChoice({
    busyShare: () => state.share,
    candidates: () => state.nodes,
    requestedTargets: () => state.requested,
    connect: (address) => forwarders.get(address)!,
    salt,
    log: createMemoryLogger(),
  })
  for (let count = 0; count < targets; count++) choice.noteOpened()
  choice.update()
  const used = (): string[] => {
    const ids = Array.from({ length: targets }, (_, index) => `t${index}`)
    return [
      ...new Set(ids.flatMap((id) => choice.forwarderFor(id)?.address ?? [])),
    ].sort()
  }
  return { state, choice, used }
}

const manyNodes = (count: number): Node[] =>
  Array.from({ length: count }, (_, index) => nodeAt(`n${index}`))

describe('createForwarderChoice', () => {
  it('calls targets directly while the node has processor time to spare', (t) => {
    const { used } = setUp(manyNodes(5), 100)
    t.deepEqual(used(), [])
  })

  it('uses as many nodes as the targets need', (t) => {
    const { state, choice, used } = setUp(manyNodes(40), 10 * TARGETS_PER_FORWARDER)
    state.share = 1
    choice.update()
    t.is(choice.inUse(), 10)
    t.is(used().length, 10)
  })

  it('uses nodes before it is at its limit if many more targets are requested', (t) => {
    const { state, choice } = setUp(manyNodes(40), 2 * TARGETS_PER_FORWARDER)
    state.share = 0.3
    choice.update()
    t.is(choice.inUse(), 0)
    state.requested = 3 * TARGETS_PER_FORWARDER
    choice.update()
    t.is(choice.inUse(), 3)
    // As many messages to few targets would cost more than direct calls.
    state.requested = 20 * TARGETS_PER_FORWARDER
    choice.update()
    t.is(choice.inUse(), 4)
  })

  it('goes on with those that it has when the use falls for a moment', (t) => {
    const { state, choice, used } = setUp(manyNodes(5), 2 * TARGETS_PER_FORWARDER)
    state.share = 1
    choice.update()
    const before = used()
    state.share = 0
    choice.update()
    t.deepEqual(used(), before)
  })

  it('prefers strong nodes that own nothing', (t) => {
    const nodes = [
      nodeAt('weak', { room: 0.3 }),
      nodeAt('owner', { room: 1, owned: 3 }),
      nodeAt('strong'),
    ]
    const { state, choice, used } = setUp(nodes, TARGETS_PER_FORWARDER)
    state.share = 1
    choice.update()
    t.deepEqual(used(), ['strong'])
  })

  it('replaces a node that is lost, and takes none that is busy itself', (t) => {
    const nodes = [
      nodeAt('a'),
      nodeAt('b', { busyShare: 0.9 }),
      nodeAt('c', { room: 0.5 }),
    ]
    const { state, choice, used } = setUp(nodes, TARGETS_PER_FORWARDER)
    state.share = 1
    choice.update()
    t.deepEqual(used(), ['a'])
    // Its targets go to another node at once, not at the next choice.
    nodes[0]!.isUsable = false
    t.deepEqual(used(), ['c'])
  })

  it('uses further nodes once those that it has are busy', (t) => {
    const nodes = manyNodes(5)
    const { state, choice, used } = setUp(nodes, TARGETS_PER_FORWARDER)
    state.share = 1
    choice.update()
    const [first] = used()
    nodes.find(({ address }) => address === first)!.busyShare = 0.9
    choice.update()
    t.is(choice.inUse(), 2)
    t.true(used().includes(first!))
  })

  it('asks weaker nodes once all strong ones are known to be busy', (t) => {
    const strong = manyNodes(4)
    const { state, choice } = setUp([...strong, nodeAt('weak', { room: 0.3 })], 1)
    state.share = 1
    choice.update()
    t.false(state.probed.has('weak'))
    for (const node of strong) node.busyShare = 0.9
    choice.update()
    t.true(state.probed.has('weak'))
  })

  it('gives up no node while this node itself is late', (t) => {
    const nodes = manyNodes(4)
    const { state, choice } = setUp(nodes, 3 * TARGETS_PER_FORWARDER)
    state.share = 1
    choice.update()
    for (const [index, node] of nodes.entries()) node.orderMs = 1000 + 50 * index
    choice.update()
    t.is(choice.inUse(), 3)
    t.true(nodes.every(({ isUsable }) => isUsable))
  })

  it('gives up a node that takes much longer than the others', (t) => {
    const nodes = manyNodes(4)
    const { state, choice, used } = setUp(nodes, 3 * TARGETS_PER_FORWARDER)
    state.share = 1
    choice.update()
    const [slow] = used()
    nodes.find(({ address }) => address === slow)!.orderMs = 600
    choice.update()
    t.is(used().length, 3)
    t.false(used().includes(slow!))
  })

  it('uses other nodes than an owner whose load rises at the same time', (t) => {
    const usedWith = (salt: string): string[] => {
      const { state, choice, used } = setUp(
        Array.from({ length: 40 }, (_, index) =>
          nodeAt(`n${index}`, { room: 1 + index / 100 }),
        ),
        4 * TARGETS_PER_FORWARDER,
        salt,
      )
      state.share = 1
      choice.update()
      return used()
    }
    const [first, second] = [usedWith('a'), usedWith('b')]
    t.true(first.filter((each) => second.includes(each)).length <= 1)
  })

  it('drops a node that leaves', (t) => {
    const nodes = [nodeAt('a'), nodeAt('b', { room: 0.5 })]
    const { state, choice, used } = setUp(nodes, TARGETS_PER_FORWARDER)
    state.share = 1
    choice.update()
    state.nodes = nodes.slice(1)
    choice.update()
    t.deepEqual(used(), ['b'])
  })
})
