/**
 * Chooses the nodes that call targets for this one: none while it has processor time to spare, and as
 * many as its targets need once it uses half of it. Each target keeps its forwarder while the choice
 * stays the same (rendezvous hashing, D. Thaler and C. Ravishankar, 1998).
 */
import { createHash } from 'node:crypto'
import { monotonicMs } from '../shared/index.js'
import type { Logger } from '../shared/index.js'
import {
  ASK_FROM_SHARE,
  EARLY_FACTOR,
  FORWARDER_LOAD,
  MAX_EXCESS_FACTOR,
  MAX_EXCESS_MS,
  MAX_FORWARDER_SHARE,
  PROBES_PER_FORWARDER,
  RELEASE_AFTER_MS,
  RELEASE_BELOW_SHARE,
  TARGETS_PER_FORWARDER,
} from './constants.js'
import type { Forwarder } from './forwarder.js'

/** A node that may forward calls. */
export interface ForwarderCandidate {
  address: string
  /** Capacity of the node; 1 for a whole core. */
  room: number
  /** Number of services that it owns itself. */
  owned: number
}

/** Chooses forwarders. */
export interface ForwarderChoice {
  /**
   * The forwarder of a target; undefined if it is to be called directly.
   * @param avoided forwarder that does not reach the target
   */
  forwarderFor(targetId: string, avoided?: Forwarder): Forwarder | undefined
  /** Counts the targets that are called. */
  noteOpened(): void
  noteClosed(): void
  /** Chooses again; to be called periodically. */
  update(): void
  /** Number of forwarders in use. */
  inUse(): number
}

/** Dependencies of the choice. */
export interface ForwarderChoiceOptions {
  /** Share of its processor time that this node uses. */
  busyShare(): number
  candidates(): ForwarderCandidate[]
  /** Number of targets that the owners on this node have requested; 0 by default. */
  requestedTargets?(): number
  /** Returns the forwarder at an address. */
  connect(address: string): Forwarder
  /** Varies the order of equal candidates, so that two owners choose different ones. */
  salt: string
  log: Logger
  /** Use of its processor time from which this node asks for forwarders, as a share. */
  askFromShare?: number
}

/** Hash of a text: the first 32 bits of its SHA-1. */
const hashOf = (text: string): number =>
  createHash('sha1').update(text).digest().readUInt32BE()

/** Creates a choice of no forwarders. */
export function createForwarderChoice(opts: ForwarderChoiceOptions): ForwarderChoice {
  const { busyShare, candidates, connect, salt, log } = opts
  const { requestedTargets = () => 0, askFromShare = ASK_FROM_SHARE } = opts
  const askEarlyFromShare = askFromShare * EARLY_FACTOR
  let targets = 0
  let chosen: Forwarder[] = []
  let assigned = new Map<string, Forwarder>()
  let isAsking = false
  /** Monotonic time since which this node has processor time to spare, in ms. */
  let calmSince = Infinity

  function updateAsking(now: number): void {
    const share = busyShare()
    const needsMore = requestedTargets() >= Math.max(targets, TARGETS_PER_FORWARDER)
    if (share >= (needsMore ? askEarlyFromShare : askFromShare)) isAsking = true
    if (share >= Math.min(RELEASE_BELOW_SHARE, askFromShare)) calmSince = Infinity
    else calmSince = Math.min(calmSince, now)
    if (now - calmSince >= RELEASE_AFTER_MS) isAsking = false
  }

  /**
   * Candidates with the most capacity to spare first. Those of about the same capacity are in an order
   * of this node's own, so that owners whose load rises together choose different ones.
   */
  function rank(): Forwarder[] {
    const spareOf = ({ room, owned }: ForwarderCandidate): number => room / (1 + owned)
    return candidates()
      .map((each) => ({
        forwarder: connect(each.address),
        band: Math.floor(Math.log2(spareOf(each))),
        order: hashOf(salt + each.address),
      }))
      .filter(({ forwarder }) => forwarder.isUsable())
      .sort((a, b) => b.band - a.band || a.order - b.order)
      .map(({ forwarder }) => forwarder)
  }

  function choose(): Forwarder[] {
    // Nodes are asked how busy they are before they are needed.
    if (!isAsking && busyShare() < askEarlyFromShare) return []
    const usedShare = chosen.reduce((sum, each) => sum + each.busyShare(), 0)
    const comingTargets = Math.min(targets / EARLY_FACTOR, requestedTargets())
    const wanted = Math.ceil(
      Math.max(
        Math.max(targets, comingTargets) / TARGETS_PER_FORWARDER,
        usedShare / FORWARDER_LOAD,
      ),
    )
    const ranked = rank()
    const notBusy = ranked.filter((each) => each.busyShare() < MAX_FORWARDER_SHARE)
    for (const each of notBusy.slice(0, PROBES_PER_FORWARDER * wanted)) each.probe()
    if (!isAsking) return []
    const fit = ranked.filter((each) => each.isFit())
    const kept = chosen.filter((each) => ranked.includes(each))
    const others = fit.filter((each) => !kept.includes(each))
    return [...kept, ...others].slice(0, wanted)
  }

  /**
   * Leaves those alone through which orders take much longer than through the others. All of them are
   * late if this node is.
   */
  function leaveSlowAlone(): void {
    const timed = chosen.flatMap((forwarder) => {
      const ms = forwarder.orderMs()
      return ms === undefined ? [] : [{ forwarder, ms }]
    })
    timed.sort((a, b) => a.ms - b.ms)
    const usualMs = timed[Math.floor((timed.length - 1) / 2)]?.ms ?? 0
    const limitMs = Math.max(usualMs + MAX_EXCESS_MS, usualMs * MAX_EXCESS_FACTOR)
    for (const { forwarder, ms } of timed) {
      if (ms <= limitMs) continue
      log.event('forwarderSlow', {
        peer: forwarder.address,
        meanMs: Math.round(ms),
        usualMs: Math.round(usualMs),
      })
      forwarder.leaveAlone()
    }
  }

  function update(): void {
    updateAsking(monotonicMs())
    leaveSlowAlone()
    const next = choose()
    const isSame =
      next.length === chosen.length && next.every((each) => chosen.includes(each))
    if (isSame) return
    log.event('forwardersChosen', {
      forwarders: next.map(({ address }) => address),
      before: chosen.length,
      targets,
      busyShare: Math.round(busyShare() * 100) / 100,
    })
    chosen = next
    assigned = new Map()
  }

  function assign(targetId: string, avoided?: Forwarder): Forwarder | undefined {
    let best: { forwarder: Forwarder; weight: number } | undefined
    for (const forwarder of chosen) {
      if (forwarder === avoided) continue
      const weight = hashOf(`${targetId} ${forwarder.address}`)
      if (!best || weight > best.weight) best = { forwarder, weight }
    }
    return best?.forwarder
  }

  return {
    forwarderFor(targetId, avoided) {
      // The targets of a node that was lost go to others at once.
      if (!chosen.every((each) => each.isUsable())) update()
      if (avoided) return assign(targetId, avoided)
      const known = assigned.get(targetId)
      if (known) return known
      const found = assign(targetId)
      if (found) assigned.set(targetId, found)
      return found
    },
    noteOpened: () => void targets++,
    noteClosed: () => void targets--,
    update,
    inUse: () => chosen.length,
  }
}
