import fc from 'fast-check'
import { describe, it } from '../../../test/describe.js'
import { createAllotments } from '../allotments.js'
import type { Allotments, LoanMessage } from '../allotments.js'

const SERVICE = 's'
const IDS = ['e1', 'e2', 'e3', 'e4']

/** One step of a run over a network that loses, delays, repeats and reorders messages. */
type Op =
  | { kind: 'step' | 'fill' | 'finish' | 'queue' | 'idle' | 'restart'; at: number }
  | { kind: 'send'; at: number; to: number }
  | { kind: 'deliver' | 'repeat' | 'lose'; pick: number }
  | { kind: 'exchange' }

const at = fc.nat(IDS.length - 1)
const pick = fc.nat(9999)
const op: fc.Arbitrary<Op> = fc.oneof(
  { weight: 2, arbitrary: fc.record({ kind: fc.constant('step' as const), at }) },
  { weight: 4, arbitrary: fc.record({ kind: fc.constant('fill' as const), at }) },
  {
    weight: 3,
    arbitrary: fc.record({
      kind: fc.constantFrom('finish' as const, 'queue' as const, 'idle' as const),
      at,
    }),
  },
  { weight: 1, arbitrary: fc.record({ kind: fc.constant('restart' as const), at }) },
  { weight: 3, arbitrary: fc.record({ kind: fc.constant('send' as const), at, to: at }) },
  {
    weight: 3,
    arbitrary: fc.record({
      kind: fc.constantFrom('deliver' as const, 'repeat' as const, 'lose' as const),
      pick,
    }),
  },
  { weight: 3, arbitrary: fc.record({ kind: fc.constant('exchange' as const) }) },
)

/** Entries connected by a simulated network. */
function createCluster(limitOf: (entry: number) => number) {
  const network: { from: string; to: number; message: LoanMessage }[] = []
  /** All messages ever sent; any may be delivered again. */
  const history: typeof network = []
  const nodes: {
    allotments: Allotments
    inFlight: number
    queued: number
    life: number
  }[] = []

  function boot(index: number, life: number): void {
    const node = {
      inFlight: 0,
      queued: 0,
      life,
      allotments: undefined as unknown as Allotments,
    }
    node.allotments = createAllotments({
      own: IDS[index]!,
      life,
      entries: IDS,
      services: () => [SERVICE],
      limitOf: () => limitOf(index),
      inFlight: () => node.inFlight,
      queued: () => node.queued,
      isGone: () => false,
    })
    nodes[index] = node
  }
  IDS.forEach((_, index) => boot(index, 1))

  const send = (from: number, to: number) => {
    if (from === to) return
    const message = nodes[from]!.allotments.messageFor(IDS[to]!)
    const sent = { from: IDS[from]!, to, message: structuredClone(message) }
    network.push(sent)
    history.push(sent)
  }
  const admit = (index: number): boolean => {
    const node = nodes[index]!
    if (node.inFlight >= node.allotments.usable(SERVICE)) return false
    node.inFlight++
    return true
  }

  const atNode: Record<
    'step' | 'fill' | 'finish' | 'queue' | 'idle' | 'restart',
    (index: number) => void
  > = {
    step: (index) => nodes[index]!.allotments.step(),
    fill: (index) => {
      while (admit(index));
    },
    finish: (index) => (nodes[index]!.inFlight = Math.floor(nodes[index]!.inFlight / 2)),
    queue: (index) => (nodes[index]!.queued = 9),
    idle: (index) => (nodes[index]!.queued = 0),
    restart: (index) => boot(index, nodes[index]!.life + 1),
  }

  function apply(step: Op): void {
    if (step.kind === 'exchange') return exchangeAll()
    if (step.kind === 'send') return send(step.at, step.to)
    if ('at' in step) return atNode[step.kind](step.at)
    const from = step.kind === 'repeat' ? history : network
    if (from.length === 0) return
    const index = step.pick % from.length
    const sent = from[index]!
    if (step.kind !== 'repeat') network.splice(index, 1)
    if (step.kind !== 'lose') nodes[sent.to]!.allotments.receive(sent.from, sent.message)
  }

  const exchangeAll = () => {
    for (let from = 0; from < IDS.length; from++) {
      nodes[from]!.allotments.step()
      for (let to = 0; to < IDS.length; to++) send(from, to)
    }
    for (const sent of network.splice(0)) {
      nodes[sent.to]!.allotments.receive(sent.from, sent.message)
    }
  }
  const total = () => nodes.reduce((sum, node) => sum + node.inFlight, 0)
  return { nodes, apply, admit, exchangeAll, total }
}

describe('createAllotments', () => {
  it('never admits more than the limit when messages are lost, repeated or reordered and entries restart', (t) => {
    fc.assert(
      fc.property(
        fc.integer({ min: 0, max: 24 }),
        fc.array(op, { maxLength: 120, size: 'max' }),
        (limit, ops) => {
          const cluster = createCluster(() => limit)
          cluster.exchangeAll()
          for (const step of ops) {
            cluster.apply(step)
            t.true(cluster.total() <= limit)
          }
        },
      ),
      { numRuns: 1500 },
    )
  })

  it('keeps to the larger limit while a lower one spreads, and to the lower one once old requests have ended', (t) => {
    const ops = fc.array(op, { maxLength: 80, size: 'max' })
    fc.assert(
      fc.property(ops, ops, (before, during) => {
        const limits = IDS.map(() => 24)
        const cluster = createCluster((index) => limits[index]!)
        cluster.exchangeAll()
        const run = (steps: Op[]) => {
          for (const step of steps) {
            cluster.apply(step)
            t.true(cluster.total() <= 24)
          }
        }
        run(before)
        IDS.forEach((_, index) => {
          limits[index] = 8
          run(during.slice(index * 20, (index + 1) * 20))
        })
        for (const node of cluster.nodes) node.inFlight = node.queued = 0
        for (let round = 0; round < 4; round++) cluster.exchangeAll()
        IDS.forEach((_, index) => cluster.apply({ kind: 'fill', at: index }))
        t.true(cluster.total() <= 8, `${cluster.total()} run`)
      }),
      { numRuns: 500 },
    )
  })

  it('gives one entry most of the limit when only that entry has demand', (t) => {
    const cluster = createCluster(() => 48)
    cluster.exchangeAll()
    cluster.nodes[0]!.queued = 48
    for (let round = 0; round < 20; round++) {
      while (cluster.admit(0))
        cluster.nodes[0]!.queued = Math.max(1, cluster.nodes[0]!.queued - 1)
      cluster.exchangeAll()
    }
    t.true(cluster.nodes[0]!.inFlight >= 36, String(cluster.nodes[0]!.inFlight))
    t.true(cluster.total() <= 48)
  })

  it('returns unused tokens until every entry has its own part again', (t) => {
    const cluster = createCluster(() => 48)
    cluster.exchangeAll()
    cluster.nodes[0]!.queued = 48
    for (let round = 0; round < 10; round++) cluster.exchangeAll()
    cluster.nodes[0]!.queued = 0
    for (let round = 0; round < 60; round++) cluster.exchangeAll()
    for (let i = 0; i < IDS.length; i++)
      t.is(cluster.nodes[i]!.allotments.usable(SERVICE), 12)
  })

  it('limits a new life to a quarter of its part until all peers have reported the tokens they hold', (t) => {
    const cluster = createCluster(() => 48)
    cluster.exchangeAll()
    cluster.apply({ kind: 'restart', at: 1 })
    t.is(cluster.nodes[1]!.allotments.usable(SERVICE), 3)
    cluster.exchangeAll()
    cluster.exchangeAll()
    t.is(cluster.nodes[1]!.allotments.usable(SERVICE), 12)
  })
})
