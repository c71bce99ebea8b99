import { describe, it } from '../../../test/describe.js'
import { playLoad } from './load.js'
import type { PlayOptions, PlayedOrganisation, Served } from './load.js'

/** Twenty organisations with weights from 1 to 8; each usually sends what its weight says. */
const WEIGHTS = Array.from({ length: 20 }, (_, index) => 1 + ((index * 3) % 8))
const TOTAL = WEIGHTS.reduce((sum, weight) => sum + weight, 0)
/** Tasks per second of all organisations together. */
const USUAL = 350
/** Room for the usual load with a fifth to spare: tasks take 0.4 s. */
const SLOTS = Math.round(USUAL * 0.4 * 1.2)

const GREEDY = 'o7'

function organisations(
  factorOf: (name: string, service: number, atMs: number) => number = () => 1,
): PlayedOrganisation[] {
  return WEIGHTS.map((weight, index) => {
    const name = `o${index}`
    return {
      name,
      weight,
      perSecond: (service, atMs) =>
        ((USUAL * weight) / TOTAL) * factorOf(name, service, atMs),
    }
  })
}

const play = (more: Partial<PlayOptions>): Map<string, Served> =>
  playLoad({
    organisations: organisations(),
    slots: () => SLOTS,
    forMs: 20_000,
    ...more,
  })

const sum = (all: Iterable<Served>, field: 'sent' | 'inTime'): number =>
  [...all].reduce((total, each) => total + each[field], 0)

/** How well the worst tenth is served, as a multiple of how well the whole is. */
function worstTenth(served: Map<string, Served>): number {
  const worst = [...served.values()].sort((a, b) => a.share - b.share).slice(0, 2)
  const worstShare = sum(worst, 'inTime') / sum(worst, 'sent')
  const all = [...served.values()]
  return worstShare / (sum(all, 'inTime') / sum(all, 'sent'))
}

/** Largest loss of an organisation other than the greedy one, as a part of what it earns. */
function largestLoss(before: Map<string, Served>, after: Map<string, Served>): number {
  let largest = 0
  for (const [name, { share }] of before)
    if (name !== GREEDY) largest = Math.max(largest, 1 - after.get(name)!.share / share)
  return largest
}

const SEEDS = [1, 2, 3]

describe('a load of 20 organisations of unequal weights', () => {
  describe('with one that sends seven times its usual', () => {
    const greedy = (name: string) => (name === GREEDY ? 7 : 1)

    it('costs each other one at most 0.02 of what it earns', (t) => {
      for (const seed of SEEDS) {
        const before = play({ seed })
        const after = play({ seed, organisations: organisations(greedy) })
        const loss = largestLoss(before, after)
        t.true(loss <= 0.02, `seed ${seed}: ${loss}`)
      }
    })

    it('would cost the others more without shares, so that the load can tell', (t) => {
      const before = play({})
      const after = play({ organisations: organisations(greedy), isWeighted: false })
      t.true(largestLoss(before, after) > 0.1)
    })

    it('leaves to it what the others do not use', (t) => {
      const served = play({ organisations: organisations(greedy) })
      const { inTime } = served.get(GREEDY)!
      const usual = play({}).get(GREEDY)!.sent
      t.true(inTime > 2 * usual, `${inTime} of usually ${usual}`)
    })

    it('costs them no more while it also uses another service', (t) => {
      const both = (factorOf: (name: string) => number) => ({
        organisations: organisations(factorOf),
        services: 2,
      })
      for (const seed of SEEDS) {
        const before = play({ seed, ...both(() => 1) })
        const after = play({ seed, ...both(greedy) })
        const loss = largestLoss(before, after)
        t.true(loss <= 0.02, `seed ${seed}: ${loss}`)
      }
    })
  })

  describe('with a third of the room gone', () => {
    const slots = () => Math.round(SLOTS * 0.667)
    // The smallest organisation sends four tasks a second: over 36 s their number is even.
    const forMs = 36_000

    it('serves the worst tenth 0.9 times as well as the whole', (t) => {
      for (const seed of SEEDS) {
        const worst = worstTenth(play({ seed, slots, forMs }))
        t.true(worst >= 0.9, `seed ${seed}: ${worst}`)
      }
    })

    it('does so as well for five times the load for some seconds', (t) => {
      const turn = (_: string, __: number, atMs: number) =>
        atMs % 12_000 > 7000 ? 5 : 0.2
      for (const seed of SEEDS) {
        const worst = worstTenth(
          play({ seed, slots, forMs, organisations: organisations(turn) }),
        )
        t.true(worst >= 0.9, `seed ${seed}: ${worst}`)
      }
    })
  })

  describe('with bursts', () => {
    // Small organisations send what they usually send in 2 s within 0.2 s, at different times.
    const bursts = (name: string, _: number, atMs: number) => {
      const index = Number(name.slice(1))
      if (WEIGHTS[index]! > 3) return 1
      return (atMs + index * 500) % 2000 < 200 ? 10 : 0
    }

    it('does not penalise those with uneven load', (t) => {
      for (const seed of SEEDS) {
        const worst = worstTenth(play({ seed, organisations: organisations(bursts) }))
        t.true(worst >= 0.9, `seed ${seed}: ${worst}`)
      }
    })

    it('does not penalise them beside one that sends seven times its usual', (t) => {
      for (const seed of SEEDS) {
        const before = play({ seed, organisations: organisations(bursts) })
        const after = play({
          seed,
          organisations: organisations(
            (...args) => bursts(...args) * (args[0] === GREEDY ? 7 : 1),
          ),
        })
        const loss = largestLoss(before, after)
        t.true(loss <= 0.02, `seed ${seed}: ${loss}`)
      }
    })
  })

  it('gives an organisation its share back within a second', (t) => {
    // It sends nothing for 10 s, while another one uses all room, and then its usual load.
    const returns = (name: string, _: number, atMs: number) => {
      if (name === GREEDY) return 40
      return atMs < 10_000 ? 0 : 1
    }
    const served = play({ organisations: organisations(returns), forMs: 13_000 })
    served.delete(GREEDY)
    const worst = Math.min(...[...served.values()].map(({ share }) => share))
    t.true(worst > 0.9, String(worst))
  })
})
