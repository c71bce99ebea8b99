import fc from 'fast-check'
import { describe, it } from '../../../test/describe.js'
import { createMemoryLogger } from '../../shared/index.js'
import { createOnce } from '../once.js'
import type { Once, OncePeers } from '../once.js'
import { ownerOf } from '../requestIds.js'
import type { EntryLocation } from '../requestIds.js'

const ENTRIES: EntryLocation[] = [
  { id: 'a1', hall: 'a' },
  { id: 'a2', hall: 'a' },
  { id: 'a3', hall: 'a' },
  { id: 'b1', hall: 'b' },
  { id: 'b2', hall: 'b' },
]
let tokens = 0
/** A token for one request. */
const newToken = () => `t${tokens++}`

/** An id that contains no hall; its home is hall a. */
const PLAIN = 'w'
const MEMORY_MS = 600_000
/** Ids of the same owner, dated 100 s after the first start of the entries. */
const DATED = 'a.1700000100.z'
const LATER = 'a.1700000100.c'

/** Entries whose links can be cut and whose claims can be lost. */
function createCluster() {
  const nodes = new Map<string, Once>()
  const cut = new Set<string>()
  const gone = new Set<string>()
  const lives = new Map<string, number>()
  const log = createMemoryLogger()
  let now = 0
  let loseReplies = false
  let claims = 0

  const linkOf = (x: string, y: string) => [x, y].sort().join('-')
  function peersOf(own: string): OncePeers {
    const to = (peer: string): Once['answer'] => {
      const node = nodes.get(peer)
      if (!node || cut.has(linkOf(own, peer))) throw new Error('cut off')
      return node.answer
    }
    const reply = <T>(value: T): T => {
      if (loseReplies) throw new Error('reply lost')
      return value
    }
    return {
      claim: async (peer, id, owner, token) => {
        claims++
        return reply(to(peer).claim(id, owner, token))
      },
      settle: async (peer, id, state) => reply(to(peer).settle(id, state)),
      collect: async (peer) => reply(to(peer).collect(own)),
      handOver: async (peer, legacy) => reply(to(peer).handOver(own, legacy)),
    }
  }

  function boot(id: string): void {
    const life = (lives.get(id) ?? 0) + 1
    lives.set(id, life)
    const own = ENTRIES.find((entry) => entry.id === id)!
    const once = createOnce({
      own,
      entries: ENTRIES,
      peers: peersOf(id),
      memoryMs: MEMORY_MS,
      isFirstLife: life === 1,
      isReached: (peer) => nodes.has(peer) && !cut.has(linkOf(id, peer)),
      isGone: (peer) => gone.has(peer),
      now: () => now,
      wallSeconds: () => 1_700_000_000 + now / 1000,
      log,
    })
    nodes.set(id, once)
  }
  for (const { id } of ENTRIES) boot(id)

  return {
    node: (id: string) => nodes.get(id)!,
    /** Names of the events so far, each once. */
    events: () => [...new Set(log.events.map(({ name }) => name))],
    kill: boot,
    async stopAndStart(id: string) {
      await nodes.get(id)!.handOverClaims()
      boot(id)
    },
    toggleLink(x: string, y: string) {
      const link = linkOf(x, y)
      if (!cut.delete(link)) cut.add(link)
    },
    cutOff(id: string) {
      for (const other of ENTRIES) if (other.id !== id) cut.add(linkOf(id, other.id))
    },
    /** Restores all links of an entry. */
    join(id: string) {
      for (const other of ENTRIES) cut.delete(linkOf(id, other.id))
    },
    setGone(id: string, isGone: boolean) {
      if (isGone) gone.add(id)
      else gone.delete(id)
    },
    setLoseReplies: (lose: boolean) => (loseReplies = lose),
    /** Number of claim messages so far. */
    claims: () => claims,
    advance: (ms: number) => (now += ms),
  }
}

const entry = fc.constantFrom(...ENTRIES.map(({ id }) => id))
const requestId = fc.constantFrom(
  'x',
  'y',
  'a.1700000010.z',
  'b.1700000010.z',
  'b.1700000040.z',
)
type Op =
  | { kind: 'send'; at: string; id: string; ends: 'answered' | 'unknown' | 'not-run' }
  | { kind: 'kill' | 'replace' | 'recover' | 'leave'; at: string }
  | { kind: 'link'; at: string; to: string }
  | { kind: 'lose'; lose: boolean }
  | { kind: 'later' }
const op: fc.Arbitrary<Op> = fc.oneof(
  {
    weight: 6,
    arbitrary: fc.record({
      kind: fc.constant('send' as const),
      at: entry,
      id: requestId,
      ends: fc.constantFrom('answered' as const, 'unknown' as const, 'not-run' as const),
    }),
  },
  {
    weight: 2,
    arbitrary: fc.record({
      kind: fc.constantFrom('kill' as const, 'replace' as const, 'leave' as const),
      at: entry,
    }),
  },
  {
    weight: 3,
    arbitrary: fc.record({ kind: fc.constant('recover' as const), at: entry }),
  },
  {
    weight: 1,
    arbitrary: fc.record({ kind: fc.constant('link' as const), at: entry, to: entry }),
  },
  {
    weight: 1,
    arbitrary: fc.record({ kind: fc.constant('lose' as const), lose: fc.boolean() }),
  },
)

describe('createOnce', () => {
  it('lets no id run twice through any entries, with cut links, lost replies, kills and planned stops', async (t) => {
    let ran = 0
    await fc.assert(
      fc.asyncProperty(fc.array(op, { maxLength: 60, size: 'max' }), async (ops) => {
        const cluster = createCluster()
        const runs = new Map<string, number>()
        for (const step of ops) {
          if ('ends' in step) {
            const verdict = await cluster.node(step.at).begin(step.id, newToken())
            if (verdict.kind !== 'first') continue
            const times = (runs.get(step.id) ?? 0) + (step.ends === 'not-run' ? 0 : 1)
            runs.set(step.id, times)
            ran += times
            if (times > 1) throw new Error(`${step.id} ran twice`)
            await cluster.node(step.at).end(step.id, step.ends)
          } else if (step.kind === 'lose') cluster.setLoseReplies(step.lose)
          else if (step.kind === 'later') cluster.advance(20_000)
          else if (step.kind === 'leave') await cluster.node(step.at).handOverClaims()
          else if (step.kind === 'link') cluster.toggleLink(step.at, step.to)
          else if (step.kind === 'kill') cluster.kill(step.at)
          else if (step.kind === 'replace') await cluster.stopAndStart(step.at)
          else await cluster.node(step.at).recover()
        }
      }),
      { numRuns: 1500 },
    )
    t.true(ran > 1000, 'too few requests ran for the property to be tested')
  })

  describe('a repeat', () => {
    it('is detected at every entry of the home hall, and in another hall by its dated id', async (t) => {
      const cluster = createCluster()
      const id = 'a.1700000010.z'
      t.is((await cluster.node('b1').begin(id, newToken())).kind, 'first')
      await cluster.node('b1').end(id, 'answered')
      for (const { id: at } of ENTRIES) {
        t.deepEqual(await cluster.node(at).begin(id, newToken()), {
          kind: 'repeat',
          state: 'answered',
        })
      }
    })

    it('is granted after the first request ended with not-run', async (t) => {
      const cluster = createCluster()
      for (const { id: at } of ENTRIES.slice(0, 3)) {
        t.is((await cluster.node(at).begin(PLAIN, newToken())).kind, 'first')
        await cluster.node(at).end(PLAIN, 'not-run')
      }
    })

    it('is detected while the entries are replaced one by one, and afterwards', async (t) => {
      const cluster = createCluster()
      await cluster.node('a1').begin(PLAIN, newToken())
      await cluster.node('a1').end(PLAIN, 'answered')
      for (const id of ['a1', 'a2', 'a3', 'a1']) {
        await cluster.node(id).handOverClaims()
        for (const at of ['b1', 'b2'])
          t.is((await cluster.node(at).begin(PLAIN, newToken())).kind, 'repeat')
        cluster.kill(id)
        await cluster.node(id).recover()
        for (const { id: at } of ENTRIES)
          t.is((await cluster.node(at).begin(PLAIN, newToken())).kind, 'repeat')
      }
    })
  })

  it('does not multiply messages while no entry can decide', async (t) => {
    const owner = ownerOf(PLAIN, ENTRIES)
    const cluster = createCluster()
    cluster.kill(owner)
    await cluster.node(owner).recover()
    const before = cluster.claims()
    for (let n = 0; n < 20; n++) await cluster.node('b1').begin(PLAIN, newToken())
    // The owner itself answers unsure: one message each, and no other entry is asked.
    t.is(cluster.claims() - before, 20)
    const cut = createCluster()
    cut.cutOff(owner)
    for (let n = 0; n < 20; n++) await cut.node('b1').begin(PLAIN, newToken())
    t.true(cut.claims() <= ENTRIES.length)
    const lacking = createCluster()
    lacking.kill(owner)
    for (let n = 0; n < 20; n++) await lacking.node('b1').begin(PLAIN, newToken())
    // The owner may recover its claims at any time, so it is asked each time.
    t.true(lacking.claims() <= 20 + ENTRIES.length)
  })

  it('grants a claim to the same request again after a lost reply', async (t) => {
    const cluster = createCluster()
    const owner = ownerOf(PLAIN, ENTRIES)
    cluster.setLoseReplies(true)
    t.is((await cluster.node('b1').begin(PLAIN, 'mine')).kind, 'unsure')
    cluster.setLoseReplies(false)
    await cluster.node(owner).handOverClaims()
    cluster.advance(1000)
    t.is((await cluster.node('b1').begin(PLAIN, 'mine')).kind, 'first')
    t.is((await cluster.node('b2').begin(PLAIN, 'other')).kind, 'repeat')
  })

  describe('lost claims', () => {
    it('are logged by the entry that could not hand them over', async (t) => {
      const cluster = createCluster()
      cluster.setLoseReplies(true)
      await cluster.node('a1').handOverClaims()
      t.deepEqual(cluster.events(), ['onceMemoryNotLeft'])
      const alone = createCluster()
      alone.cutOff('a1')
      await alone.node('a1').handOverClaims()
      t.deepEqual(alone.events(), ['onceMemoryNotLeft'])
    })

    it('are logged by the next life, unlike recovered ones', async (t) => {
      const cluster = createCluster()
      await cluster.stopAndStart('a1')
      await cluster.node('a1').recover()
      t.deepEqual(cluster.events(), [])
      cluster.kill('a1')
      await cluster.node('a1').recover()
      t.deepEqual(cluster.events(), ['onceMemoryMissing'])
      const alone = createCluster()
      alone.cutOff('a1')
      alone.kill('a1')
      t.false(await alone.node('a1').recover())
      t.deepEqual(alone.events(), ['onceMemoryNotGiven'])
      alone.join('a1')
      t.true(await alone.node('a1').recover())
      t.deepEqual(alone.events(), ['onceMemoryNotGiven', 'onceMemoryMissing'])
    })
  })

  describe('a life that could not recover its claims', () => {
    /** An entry whose claims are held by a peer that its next life cannot reach. */
    async function cutOffFromSuccessor() {
      const cluster = createCluster()
      const owner = ownerOf(DATED, ENTRIES)
      await cluster.node(owner).handOverClaims()
      cluster.cutOff(owner)
      cluster.kill(owner)
      await cluster.node(owner).recover()
      cluster.advance(100_000)
      return { cluster, owner }
    }

    it('grants no id that its successor may grant, and defers to the successor', async (t) => {
      const { cluster, owner } = await cutOffFromSuccessor()
      const own = cluster.node(owner).answer.claim(DATED, owner, newToken())
      t.like(own, { kind: 'unsure', standIn: true })
      t.is((await cluster.node('b1').begin(DATED, newToken())).kind, 'first')
    })

    it('leaves no outdated claims that a later life mistakes for the latest', async (t) => {
      const { cluster, owner } = await cutOffFromSuccessor()
      const granted =
        (await cluster.node(owner).begin(DATED, newToken())).kind === 'first'
      cluster.kill(owner)
      cluster.join(owner)
      await cluster.node(owner).recover()
      const again = (await cluster.node(owner).begin(DATED, newToken())).kind === 'first'
      t.false(granted && again, 'the request ran twice')
    })

    it('asks again, and continues with the claims that it gets', async (t) => {
      const { cluster, owner } = await cutOffFromSuccessor()
      t.is((await cluster.node('b1').begin(DATED, newToken())).kind, 'first')
      cluster.join(owner)
      await cluster.node(owner).recover()
      t.is((await cluster.node(owner).begin(DATED, newToken())).kind, 'repeat')
      t.is((await cluster.node(owner).begin(LATER, newToken())).kind, 'first')
    })

    it('need not ask an entry that is gone', async (t) => {
      const { cluster, owner } = await cutOffFromSuccessor()
      for (const { id } of ENTRIES) cluster.setGone(id, true)
      t.is((await cluster.node(owner).begin(DATED, newToken())).kind, 'first')
      // Its claims are gone too, so that it need not be asked when it returns.
      for (const { id } of ENTRIES) cluster.setGone(id, false)
      t.is((await cluster.node(owner).begin(LATER, newToken())).kind, 'first')
    })
  })

  describe('a new id', () => {
    it('is granted by the stand-in for an owner that is being replaced', async (t) => {
      const owner = ownerOf(PLAIN, ENTRIES)
      const cluster = createCluster()
      await cluster.node(owner).handOverClaims()
      t.is((await cluster.node('b1').begin(PLAIN, newToken())).kind, 'first')
      cluster.kill(owner)
      await cluster.node(owner).recover()
      t.is((await cluster.node('b2').begin(PLAIN, newToken())).kind, 'repeat')
    })

    it('may be claimed again while the claims return to the owner', async (t) => {
      const owner = ownerOf(PLAIN, ENTRIES)
      const cluster = createCluster()
      await cluster.node(owner).handOverClaims()
      t.is((await cluster.node('b1').begin(PLAIN, 'mine')).kind, 'first')
      // The next life has recovered its claims, but does not answer yet.
      cluster.kill(owner)
      await cluster.node(owner).recover()
      cluster.cutOff(owner)
      const other = ['w1', 'w2', 'w3', 'w4', 'w5'].find(
        (id) => ownerOf(id, ENTRIES) === owner,
      )!
      t.like(await cluster.node('b1').begin(other, 'later'), {
        kind: 'unsure',
        standIn: true,
      })
    })

    it('is unsure while the owner is cut off, and for the retention time after it has lost its claims', async (t) => {
      const owner = ownerOf(PLAIN, ENTRIES)
      const cluster = createCluster()
      cluster.cutOff(owner)
      t.is((await cluster.node('b1').begin(PLAIN, newToken())).kind, 'unsure')
      const lost = createCluster()
      lost.kill(owner)
      await lost.node(owner).recover()
      t.is((await lost.node('b1').begin(PLAIN, newToken())).kind, 'unsure')
      lost.advance(MEMORY_MS)
      t.is((await lost.node('b1').begin(PLAIN, newToken())).kind, 'first')
    })

    it('dated after the start of its owner is granted, but not one dated in the future', async (t) => {
      const cluster = createCluster()
      for (const { id } of ENTRIES) cluster.kill(id)
      for (const { id } of ENTRIES) await cluster.node(id).recover()
      cluster.advance(100_000)
      t.is((await cluster.node('a1').begin('a.1700000100.z', newToken())).kind, 'first')
      t.is((await cluster.node('a1').begin('a.1700000200.z', newToken())).kind, 'unsure')
    })
  })
})
