import fc from 'fast-check'
import { describe, it } from '../../../test/describe.js'
import { createMemoryLogger } from '../../shared/index.js'
import { createOnce } from '../once.js'
import type { Once, OncePeers } from '../once.js'
import { ownerOf } from '../requestIds.js'
import type { EntryPlace } from '../requestIds.js'

const ENTRIES: EntryPlace[] = [
  { id: 'a1', hall: 'a' },
  { id: 'a2', hall: 'a' },
  { id: 'a3', hall: 'a' },
  { id: 'b1', hall: 'b' },
  { id: 'b2', hall: 'b' },
]
let tokens = 0
/** A token for one request. */
const fresh = () => `t${tokens++}`

/** An id that names no hall, and whose home is hall a. */
const PLAIN = 'w'
const MEMORY_MS = 600_000
/** Ids of one owner that were made 100 s after the entries first started. */
const DATED = 'a.1700000100.z'
const LATER = 'a.1700000100.c'

/** Entries whose links can be cut and whose memory can be lost. */
function createWorld() {
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
      firstLife: life === 1,
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
      await nodes.get(id)!.leave()
      boot(id)
    },
    toggleLink(x: string, y: string) {
      const link = linkOf(x, y)
      if (!cut.delete(link)) cut.add(link)
    },
    cutOff(id: string) {
      for (const other of ENTRIES) if (other.id !== id) cut.add(linkOf(id, other.id))
    },
    /** Mends all links of an entry. */
    join(id: string) {
      for (const other of ENTRIES) cut.delete(linkOf(id, other.id))
    },
    setGone(id: string, isGone: boolean) {
      if (isGone) gone.add(id)
      else gone.delete(id)
    },
    setLoseReplies: (lose: boolean) => (loseReplies = lose),
    /** Messages that asked for an id. */
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
  it('lets no id run twice, through any entry, cuts, lost replies, kills and planned stops', async (t) => {
    let ran = 0
    await fc.assert(
      fc.asyncProperty(fc.array(op, { maxLength: 60, size: 'max' }), async (ops) => {
        const world = createWorld()
        const runs = new Map<string, number>()
        for (const step of ops) {
          if ('ends' in step) {
            const verdict = await world.node(step.at).begin(step.id, fresh())
            if (verdict.kind !== 'first') continue
            const times = (runs.get(step.id) ?? 0) + (step.ends === 'not-run' ? 0 : 1)
            runs.set(step.id, times)
            ran += times
            if (times > 1) throw new Error(`${step.id} ran twice`)
            await world.node(step.at).end(step.id, step.ends)
          } else if (step.kind === 'lose') world.setLoseReplies(step.lose)
          else if (step.kind === 'later') world.advance(20_000)
          else if (step.kind === 'leave') await world.node(step.at).leave()
          else if (step.kind === 'link') world.toggleLink(step.at, step.to)
          else if (step.kind === 'kill') world.kill(step.at)
          else if (step.kind === 'replace') await world.stopAndStart(step.at)
          else await world.node(step.at).recover()
        }
      }),
      { numRuns: 1500 },
    )
    t.true(ran > 1000, 'the runs hardly let anything through')
  })

  describe('a repeat', () => {
    it('is known at every entry of the home hall, and in another hall by its dated id', async (t) => {
      const world = createWorld()
      const id = 'a.1700000010.z'
      t.is((await world.node('b1').begin(id, fresh())).kind, 'first')
      await world.node('b1').end(id, 'answered')
      for (const { id: at } of ENTRIES) {
        t.deepEqual(await world.node(at).begin(id, fresh()), {
          kind: 'repeat',
          state: 'answered',
        })
      }
    })

    it('is new again after the first one was told not-run', async (t) => {
      const world = createWorld()
      for (const { id: at } of ENTRIES.slice(0, 3)) {
        t.is((await world.node(at).begin(PLAIN, fresh())).kind, 'first')
        await world.node(at).end(PLAIN, 'not-run')
      }
    })

    it('is known while each entry is replaced in turn, and after it', async (t) => {
      const world = createWorld()
      await world.node('a1').begin(PLAIN, fresh())
      await world.node('a1').end(PLAIN, 'answered')
      for (const id of ['a1', 'a2', 'a3', 'a1']) {
        await world.node(id).leave()
        for (const at of ['b1', 'b2'])
          t.is((await world.node(at).begin(PLAIN, fresh())).kind, 'repeat')
        world.kill(id)
        await world.node(id).recover()
        for (const { id: at } of ENTRIES)
          t.is((await world.node(at).begin(PLAIN, fresh())).kind, 'repeat')
      }
    })
  })

  it('does not multiply messages while nobody can tell', async (t) => {
    const owner = ownerOf(PLAIN, ENTRIES)
    const world = createWorld()
    world.kill(owner)
    await world.node(owner).recover()
    const before = world.claims()
    for (let n = 0; n < 20; n++) await world.node('b1').begin(PLAIN, fresh())
    // The owner itself said that it is unsure: one message each, and nobody else is asked.
    t.is(world.claims() - before, 20)
    const cut = createWorld()
    cut.cutOff(owner)
    for (let n = 0; n < 20; n++) await cut.node('b1').begin(PLAIN, fresh())
    t.true(cut.claims() <= ENTRIES.length)
    const lacking = createWorld()
    lacking.kill(owner)
    for (let n = 0; n < 20; n++) await lacking.node('b1').begin(PLAIN, fresh())
    // The owner may have its memory at any time, so it is asked each time.
    t.true(lacking.claims() <= 20 + ENTRIES.length)
  })

  it('knows a request that asks again after a lost reply', async (t) => {
    const world = createWorld()
    const owner = ownerOf(PLAIN, ENTRIES)
    world.setLoseReplies(true)
    t.is((await world.node('b1').begin(PLAIN, 'mine')).kind, 'unsure')
    world.setLoseReplies(false)
    await world.node(owner).leave()
    world.advance(1000)
    t.is((await world.node('b1').begin(PLAIN, 'mine')).kind, 'first')
    t.is((await world.node('b2').begin(PLAIN, 'other')).kind, 'repeat')
  })

  describe('memory that is lost', () => {
    it('is logged by the entry that could leave it with nobody', async (t) => {
      const world = createWorld()
      world.setLoseReplies(true)
      await world.node('a1').leave()
      t.deepEqual(world.events(), ['onceMemoryNotLeft'])
      const alone = createWorld()
      alone.cutOff('a1')
      await alone.node('a1').leave()
      t.deepEqual(alone.events(), ['onceMemoryNotLeft'])
    })

    it('is logged by the next life, but not memory that was found', async (t) => {
      const world = createWorld()
      await world.stopAndStart('a1')
      await world.node('a1').recover()
      t.deepEqual(world.events(), [])
      world.kill('a1')
      await world.node('a1').recover()
      t.deepEqual(world.events(), ['onceMemoryMissing'])
      const alone = createWorld()
      alone.cutOff('a1')
      alone.kill('a1')
      t.false(await alone.node('a1').recover())
      t.deepEqual(alone.events(), ['onceMemoryNotGiven'])
      alone.join('a1')
      t.true(await alone.node('a1').recover())
      t.deepEqual(alone.events(), ['onceMemoryNotGiven', 'onceMemoryMissing'])
    })
  })

  describe('a life that could not ask for its memory', () => {
    /** An entry whose memory lies with a peer that its next life does not reach. */
    async function cutFromHeir() {
      const world = createWorld()
      const owner = ownerOf(DATED, ENTRIES)
      await world.node(owner).leave()
      world.cutOff(owner)
      world.kill(owner)
      await world.node(owner).recover()
      world.advance(100_000)
      return { world, owner }
    }

    it('grants nothing that its heir may grant, and leaves that to it', async (t) => {
      const { world, owner } = await cutFromHeir()
      const own = world.node(owner).answer.claim(DATED, owner, fresh())
      t.like(own, { kind: 'unsure', standIn: true })
      t.is((await world.node('b1').begin(DATED, fresh())).kind, 'first')
    })

    it('leaves no old memory to a later life for the newest', async (t) => {
      const { world, owner } = await cutFromHeir()
      const granted = (await world.node(owner).begin(DATED, fresh())).kind === 'first'
      world.kill(owner)
      world.join(owner)
      await world.node(owner).recover()
      const again = (await world.node(owner).begin(DATED, fresh())).kind === 'first'
      t.false(granted && again, 'the request ran twice')
    })

    it('asks again, and goes on with the memory that it gets', async (t) => {
      const { world, owner } = await cutFromHeir()
      t.is((await world.node('b1').begin(DATED, fresh())).kind, 'first')
      world.join(owner)
      await world.node(owner).recover()
      t.is((await world.node(owner).begin(DATED, fresh())).kind, 'repeat')
      t.is((await world.node(owner).begin(LATER, fresh())).kind, 'first')
    })

    it('need not ask an entry that is gone', async (t) => {
      const { world, owner } = await cutFromHeir()
      for (const { id } of ENTRIES) world.setGone(id, true)
      t.is((await world.node(owner).begin(DATED, fresh())).kind, 'first')
      // Its memory is gone, so that it need not be asked when it comes back either.
      for (const { id } of ENTRIES) world.setGone(id, false)
      t.is((await world.node(owner).begin(LATER, fresh())).kind, 'first')
    })
  })

  describe('a fresh id', () => {
    it('is granted by whoever stands in for an owner that is being replaced', async (t) => {
      const owner = ownerOf(PLAIN, ENTRIES)
      const world = createWorld()
      await world.node(owner).leave()
      t.is((await world.node('b1').begin(PLAIN, fresh())).kind, 'first')
      world.kill(owner)
      await world.node(owner).recover()
      t.is((await world.node('b2').begin(PLAIN, fresh())).kind, 'repeat')
    })

    it('may be asked again while the memory goes back to the owner', async (t) => {
      const owner = ownerOf(PLAIN, ENTRIES)
      const world = createWorld()
      await world.node(owner).leave()
      t.is((await world.node('b1').begin(PLAIN, 'mine')).kind, 'first')
      // The next life has its memory back, but does not answer yet.
      world.kill(owner)
      await world.node(owner).recover()
      world.cutOff(owner)
      const other = ['w1', 'w2', 'w3', 'w4', 'w5'].find(
        (id) => ownerOf(id, ENTRIES) === owner,
      )!
      t.like(await world.node('b1').begin(other, 'later'), {
        kind: 'unsure',
        standIn: true,
      })
    })

    it('is unsure while the owner is cut off or has lost its memory, for as long as that lasted', async (t) => {
      const owner = ownerOf(PLAIN, ENTRIES)
      const world = createWorld()
      world.cutOff(owner)
      t.is((await world.node('b1').begin(PLAIN, fresh())).kind, 'unsure')
      const lost = createWorld()
      lost.kill(owner)
      await lost.node(owner).recover()
      t.is((await lost.node('b1').begin(PLAIN, fresh())).kind, 'unsure')
      lost.advance(MEMORY_MS)
      t.is((await lost.node('b1').begin(PLAIN, fresh())).kind, 'first')
    })

    it('that was made after its owner started is granted, but not one from the future', async (t) => {
      const world = createWorld()
      for (const { id } of ENTRIES) world.kill(id)
      for (const { id } of ENTRIES) await world.node(id).recover()
      world.advance(100_000)
      t.is((await world.node('a1').begin('a.1700000100.z', fresh())).kind, 'first')
      t.is((await world.node('a1').begin('a.1700000200.z', fresh())).kind, 'unsure')
    })
  })
})
