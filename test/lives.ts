/** Actions of scenarios in which targets restart while orders to their earlier incarnations lie somewhere. */
import { sleep } from '../src/shared/index.js'
import { createRelay } from './relay.js'
import type { Relay } from './relay.js'
import { createFreezer, withFreezer } from './frozenOrders.js'
import type { Freezer } from './frozenOrders.js'
import { NODE, makeJob } from './jobRig.js'
import type { JobRig, RigOwner } from './jobRig.js'
import { findLifeViolation, lifeKey } from './lifeGuarantees.js'
import { ACTIONS, FORWARDING_ACTIONS, otherNodeAt, targetAt } from './scenarios.js'
import type { Action, Model, Simulation } from './scenarios.js'

/** Time for which a former owner goes on after its successor has taken over, in ms. */
export const GRACE_MS = 6000
/** Time within which a frozen owner has issued the calls that lie there until it is resumed, in ms. */
const ISSUE_MS = 30

/** Time for which an owner does not reach a target from its start, in ms. */
const MISSED_MS = 1500

/** What a call meets between two incarnations of a target. */
type Between = 'silence' | 'refusal' | 'another'
const BETWEEN: readonly Between[] = ['silence', 'refusal', 'another']

const freezers = new WeakMap<RigOwner, Freezer>()
const relays = new WeakMap<RigOwner, Relay>()
/** Owners whose grace time is over. */
const ended = new WeakSet<RigOwner>()

/**
 * Starts an owner on a node of its own, which can be frozen.
 * @param missedId target that it does not reach for a while
 */
export async function startFreezableOwner(
  rig: JobRig,
  predecessorMayLive = false,
  missedId?: string,
): Promise<RigOwner> {
  const { orders } = rig
  const freezer = createFreezer()
  const relay = createRelay(orders)
  if (missedId !== undefined) miss(relay, missedId, MISSED_MS)
  rig.node = `${NODE}${nextNode++}`
  rig.orders = withFreezer(relay.orders, freezer)
  const starting = rig.startOwner(predecessorMayLive)
  rig.orders = orders
  const owner = await starting
  freezers.set(owner, freezer)
  relays.set(owner, relay)
  return owner
}

/** Has all calls to a target be lost for a while. */
function miss(relay: Relay, id: string, ms: number): void {
  relay.lost.add(id)
  setTimeout(() => relay.lost.delete(id), ms)
}

let nextNode = 1

/** Freezes an owner; it issues no calls a moment later. */
export async function freezeOwner(owner: RigOwner): Promise<void> {
  freezers.get(owner)!.freeze()
  await sleep(ISSUE_MS)
  owner.live = false
}

/** Resumes a frozen owner, which may give orders unless its grace time is over. */
export function resumeOwner(owner: RigOwner): void {
  owner.live = owner.lostBecause === undefined && !ended.has(owner)
  freezers.get(owner)!.resume()
}

/** Ends an incarnation of a target. */
export function endLife(rig: JobRig, id: string, between: Between = 'silence'): void {
  const target = rig.targets.get(id)
  target?.crash()
  if (target && between === 'refusal') target.faults.refuses = true
  if (between === 'another' && rig.targets.size > 1) rig.targets.delete(id)
}

/** Starts the next incarnation of a target, whose clock and end numbers start anew. */
export function beginLife(rig: JobRig, id: string, initialClockMs = 10) {
  rig.targets.get(id)?.crash()
  return rig.addTarget(id, {}, { maxListedEnds: 3, initialClockMs })
}

/** Restarts a target; the list may show the earlier incarnation for a while longer. */
async function restart(sim: Simulation, id: string, pick: number): Promise<void> {
  const { rig, dead } = sim
  const isOver = (): boolean => dead.has(id)
  if (isOver() || !rig.listed.has(id)) return
  endLife(rig, id, BETWEEN[pick % BETWEEN.length])
  await sleep(30 * pick)
  if (isOver()) return
  const earlier = rig.listed.get(id)
  beginLife(rig, id, pick % 2 ? 10 : 1000)
  const entry = rig.listed.get(id)!
  if (pick % 4 !== 0 || !earlier) return
  rig.setListEntry(earlier)
  await sleep(50 * pick)
  if (!isOver() && rig.listed.get(id) === earlier) rig.setListEntry(entry)
}

/** Ends the lease of the owner, which goes on for a while; mostly it does not reach the store. */
function beginGrace({ rig, owner }: Simulation, pick: number, ms: number): void {
  const { refusedNodes } = rig.table.faults
  const { node } = rig
  owner.confirmed = false
  if (pick % 4) refusedNodes.add(node)
  setTimeout(() => {
    ended.add(owner)
    owner.live = false
    refusedNodes.delete(node)
  }, ms)
}

const LIFE_ACTIONS = {
  ...ACTIONS,
  submit(sim: Simulation, pick: number) {
    const steps = pick % 2 ? [{ count: 3 }, { count: 2, after: [0] }] : [{ count: 4 }]
    const job = makeJob({ ms: 40 + (pick % 7) * 200, cpu: 500 }, steps)
    sim.jobs.push(job)
    sim.rig.submit(sim.owner, job)
  },
  silence(sim: Simulation, pick: number) {
    const { id, lifeStartMs, faults } = targetAt(sim, pick)
    sim.unreachable.add(lifeKey({ target: id, lifeStartMs }))
    faults.silent = true
  },
  reborn(sim: Simulation, pick: number) {
    void restart(sim, targetAt(sim, pick).id, pick)
  },
  rebornTwice(sim: Simulation, pick: number) {
    const { id } = targetAt(sim, pick)
    void restart(sim, id, pick)
      .then(() => sleep(30 * ((pick * 8) % 21)))
      .then(() => restart(sim, id, (pick * 5) % 21))
  },
  someLate(sim: Simulation, pick: number) {
    const { faults } = targetAt(sim, pick)
    let orders = pick
    faults.holdsLateOrders = true
    faults.isLate = () => ++orders % 3 === 0
    faults.lateMs = 500 + pick * 575
  },
  ownerMissesTarget({ rig, owner }: Simulation, pick: number) {
    const ids = [...rig.targets.keys()]
    miss(relays.get(owner)!, ids[pick % ids.length]!, 200 + pick * 100)
  },
  /** Starts of a moment lie on the way to their targets, which restart meanwhile. */
  startsLie(sim: Simulation, pick: number) {
    const relay = relays.get(sim.owner)!
    relay.holds.add('start')
    LIFE_ACTIONS.submit(sim, pick)
    setTimeout(() => relay.holds.delete('start'), 30 + pick * 40)
    setTimeout(relay.release, 500 + pick * 575)
    if (pick % 3) setTimeout(() => LIFE_ACTIONS.rebornTwice(sim, pick), pick * 30)
  },
  /** The owner is frozen for less than its lease, and no other takes over. */
  async ownerFreezes({ owner }: Simulation, pick: number) {
    await freezeOwner(owner)
    setTimeout(() => resumeOwner(owner), 500 + pick * 20)
  },
  /** The owner goes on in its grace time, without access to the store, while targets restart. */
  async takeOver(sim: Simulation, pick: number) {
    const { rig } = sim
    beginGrace(sim, pick, (GRACE_MS / 20) * pick)
    if (pick % 3) setTimeout(() => LIFE_ACTIONS.reborn(sim, pick + 1), pick * 20)
    if (pick % 2) LIFE_ACTIONS.submit(sim, pick)
    const missed = pick % 5 === 0 ? targetAt(sim, pick).id : undefined
    sim.owner = await startFreezableOwner(rig, true, missed)
    if (pick % 2) LIFE_ACTIONS.reborn(sim, pick)
  },
  /** Starts wait in the queues of a former owner for answers that lie on their way. */
  async takeOverWithQueues(sim: Simulation, pick: number) {
    const relay = relays.get(sim.owner)!
    relay.holdsAnswers.add('start')
    for (let each = 0; each < 3; each++) LIFE_ACTIONS.submit(sim, pick + each)
    await sleep(ISSUE_MS)
    beginGrace(sim, pick, GRACE_MS)
    const { id } = targetAt(sim, pick)
    setTimeout(() => {
      LIFE_ACTIONS.reborn(sim, pick % 6)
      setTimeout(relay.release, (pick % 6) * 40)
    }, 400)
    sim.owner = await startFreezableOwner(sim.rig, true)
    if (pick % 2) miss(relays.get(sim.owner)!, id, MISSED_MS)
  },
  /** The owner is frozen, and resumed while its successor is at work and targets restart. */
  async takeOverFromFrozen(sim: Simulation, pick: number) {
    const { rig, owner: former } = sim
    LIFE_ACTIONS.submit(sim, pick)
    await freezeOwner(former)
    beginGrace(sim, pick, GRACE_MS)
    setTimeout(() => resumeOwner(former), 500 + pick * 275)
    if (pick % 2) LIFE_ACTIONS.rebornTwice(sim, pick)
    sim.owner = await startFreezableOwner(rig, true)
    if (pick % 3) LIFE_ACTIONS.rebornTwice(sim, pick + 1)
  },
} satisfies Record<string, Action>

/** The same while targets are called through other nodes, some of which freeze. */
const FORWARDED_LIFE_ACTIONS = {
  ...FORWARDING_ACTIONS,
  ...LIFE_ACTIONS,
  nodeFreezes(sim: Simulation, pick: number) {
    const { freezer } = otherNodeAt(sim, pick)
    freezer.freeze()
    setTimeout(freezer.resume, 500 + pick * 375)
  },
  nodeFreezesAsTargetRestarts(sim: Simulation, pick: number) {
    FORWARDED_LIFE_ACTIONS.nodeFreezes(sim, pick)
    LIFE_ACTIONS.submit(sim, pick)
    setTimeout(() => LIFE_ACTIONS.rebornTwice(sim, pick + 1), 50 + pick * 10)
  },
  nodeMissesSome(sim: Simulation, pick: number) {
    const ids = [...sim.rig.targets.keys()]
    otherNodeAt(sim, pick).faults.cutOffFrom = new Set([ids[pick % ids.length]!])
  },
} satisfies Record<string, Action>

/** Longest time for which an order lies somewhere, in ms. */
const MAX_HELD_MS = 12_500

const LIFE_MODEL = {
  // Tasks may be taken for the cause of crashes.
  failing: ['failed', 'killed'] as const,
  afterMs: MAX_HELD_MS,
  findViolation: ({ rig, unreachable }: Simulation) =>
    findLifeViolation(rig.ledger, unreachable),
  start: (rig: JobRig) => startFreezableOwner(rig),
}

/** Models in which targets restart under their id. */
export const LIFE_MODELS = {
  direct: { ...LIFE_MODEL, actions: LIFE_ACTIONS },
  forwarded: { ...LIFE_MODEL, actions: FORWARDED_LIFE_ACTIONS, forwards: true },
} satisfies Record<string, Model>
