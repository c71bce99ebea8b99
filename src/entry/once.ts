/**
 * At-most-once execution of unrepeatable requests that carry the caller's id. Each id has
 * an owner among the entries of its home hall, chosen by rendezvous hashing; the owner
 * decides whether the id is new. An entry that stops as planned hands its claims over to
 * another entry, which stands in for it. An owner that has lost its claims answers "unsure"
 * for ids that it may have known, and their requests are not sent. docs/design/once.md
 * states the guarantees.
 */
import { describeError } from '../shared/index.js'
import type { Logger } from '../shared/index.js'
import { createClaimRegistry } from './claimRegistry.js'
import type { ClaimRecord, ClaimState } from './claimRegistry.js'
import { createdAtSeconds, ownerOf } from './requestIds.js'
import type { EntryLocation } from './requestIds.js'

/** Whether a request may be sent. */
export type Verdict =
  | { kind: 'first' }
  | { kind: 'repeat'; state: ClaimState }
  /** `standIn`: the owner is unavailable, and another entry may stand in for it. */
  | { kind: 'unsure'; reason: string; standIn: boolean }

/** Claims that an entry handed over when it stopped as planned. */
export interface ClaimHandover {
  claims: ClaimRecord[]
  /** Whether no claim is missing; false when none were handed over to this entry. */
  complete: boolean
}

/**
 * Calls to other entries; after a rejection the call may or may not have taken effect.
 */
export interface OncePeers {
  /** Claims the id at its owner, or at an entry that stands in for `owner`. */
  claim(peer: string, id: string, owner: string, token: string): Promise<Verdict>
  settle(peer: string, id: string, state: ClaimState | 'not-run'): Promise<void>
  /** Takes back the claims that an earlier life of this entry handed over to the peer. */
  collect(peer: string): Promise<ClaimHandover>
  handOver(peer: string, legacy: ClaimHandover): Promise<void>
}

/** Options of {@link createOnce}. */
export interface OnceOptions {
  own: EntryLocation
  /** Entries of all halls, this one included. */
  entries: readonly EntryLocation[]
  peers: OncePeers
  /** Retention time of a claim, in ms. */
  memoryMs: number
  /** Whether this entry has never run before, so that it has no claims to recover. */
  isFirstLife: boolean
  /** Whether the entry has been heard from recently. */
  isReached(entry: string): boolean
  /** Whether the entry's process, and its claims with it, is certainly gone. */
  isGone(entry: string): boolean
  /** Monotonic clock in ms. */
  now(): number
  /** Wall-clock time in s, for ids that contain their creation time. */
  wallSeconds(): number
  log: Pick<Logger, 'event'>
}

/** Decides whether unrepeatable requests may be sent. */
export interface Once {
  /**
   * Claims an id.
   * @param token identifies the request; claiming again with it is not a repeat.
   */
  begin(id: string, token: string): Promise<Verdict>
  /** Records how a claimed request ended. */
  end(id: string, state: ClaimState | 'not-run'): Promise<void>
  /**
   * Takes back the claims that an earlier life handed over to a peer. Call it before any
   * `begin`, and again until it returns true: no peer is left to ask.
   */
  recover(): Promise<boolean>
  /** Hands the claims over to a peer before a planned stop. */
  handOverClaims(): Promise<void>
  /** Handlers for calls from peers. */
  answer: {
    claim(id: string, owner: string, token: string): Verdict
    settle(id: string, state: ClaimState | 'not-run'): void
    collect(from: string): ClaimHandover
    handOver(from: string, legacy: ClaimHandover): void
  }
}

/** Most claims that an entry remembers. */
const MAX_CLAIMS = 200_000
/** Time for which the result of the search for a stand-in is cached, in ms. */
const STAND_IN_CACHE_MS = 500
/** Ids dated more than this ahead of the own clock are not accepted, in s. */
const MAX_ID_AHEAD_S = 15
/**
 * Ids dated more than this after the start are certainly new, in s. An earlier life
 * accepted no id dated more than {@link MAX_ID_AHEAD_S} after its end; the rest allows for
 * clocks that differ.
 */
const CLOCK_MARGIN_S = 30
const unsure = (reason: string): Verdict => ({ kind: 'unsure', reason, standIn: false })
const ownerUnavailable = (reason: string): Verdict => ({
  kind: 'unsure',
  reason,
  standIn: true,
})

/** Creates the at-most-once check for one life of this entry. */
export function createOnce(opts: OnceOptions): Once {
  const { own, entries, peers, memoryMs, now, log } = opts
  const startedAt = now()
  const startedSeconds = opts.wallSeconds()
  const newRegistry = () => createClaimRegistry({ memoryMs, maxRecords: MAX_CLAIMS, now })
  const ownClaims = newRegistry()
  /** Claims of entries that stopped as planned, until their next life takes them back. */
  const handovers = new Map<
    string,
    { registry: ReturnType<typeof newRegistry>; complete: boolean }
  >()
  /** The entry that granted the claim of each request running here. */
  const grantedBy = new Map<string, string>()
  const peersOwnHallFirst = [...entries]
    .filter((entry) => entry.id !== own.id)
    .sort((a, b) => Number(a.hall !== own.hall) - Number(b.hall !== own.hall))
  /** Last search for a stand-in, by owner; `by` is undefined if none was found. */
  const standIns = new Map<string, { by: string | undefined; until: number }>()
  /**
   * Entries that may hold claims of an earlier life. Until all have been asked, one of them
   * may stand in for this entry, and a later life may mistake those claims for the latest.
   */
  const unaskedPeers = new Set(
    opts.isFirstLife ? [] : peersOwnHallFirst.map(({ id }) => id),
  )
  /** Those of them that did not answer; each is logged once. */
  const silentPeers = new Set<string>()
  let recovered = opts.isFirstLife
  let isLeaving = false

  function hasAskedAll(): boolean {
    for (const entry of unaskedPeers) if (opts.isGone(entry)) unaskedPeers.delete(entry)
    return recovered || unaskedPeers.size === 0
  }

  /**
   * Whether an unclaimed id is certainly new, provided that all peers have been asked.
   */
  function isCertainlyNew(id: string): boolean {
    if (recovered || now() - startedAt >= memoryMs) return true
    return createdAtSeconds(id) > startedSeconds + CLOCK_MARGIN_S
  }

  function claim(
    id: string,
    token: string,
    registry: typeof ownClaims,
    isCertain: boolean,
  ): Verdict {
    const known = registry.find(id)
    const isSameRequest = known?.token === token && known.state === 'running'
    if (isSameRequest) return { kind: 'first' }
    if (known) return { kind: 'repeat', state: known.state }
    const isInFuture = createdAtSeconds(id) > opts.wallSeconds() + MAX_ID_AHEAD_S
    if (isInFuture) return unsure('the id is dated in the future; check the clocks')
    if (isLeaving) return ownerUnavailable('the owner of the id is stopping')
    if (!isCertain) return unsure('the owner of the id has started anew')
    if (!registry.add({ id, state: 'running', ageMs: 0, token }))
      return unsure('too many requests are remembered')
    return { kind: 'first' }
  }

  /** Decides as the owner of the id, or for an owner whose claims are here. */
  function decideClaim(id: string, owner: string, token: string): Verdict {
    if (owner === own.id) {
      if (!hasAskedAll()) return ownerUnavailable('the owner of the id lacks its memory')
      return claim(id, token, ownClaims, isCertainlyNew(id))
    }
    const legacy = handovers.get(owner)
    if (!legacy) return ownerUnavailable('this entry does not stand in for the owner')
    return claim(id, token, legacy.registry, legacy.complete)
  }

  async function claimAt(
    peer: string,
    id: string,
    owner: string,
    token: string,
  ): Promise<Verdict> {
    if (peer === own.id) return decideClaim(id, owner, token)
    if (!opts.isReached(peer))
      return ownerUnavailable(`${peer}, which owns the id, does not answer`)
    return peers
      .claim(peer, id, owner, token)
      .catch(() => ownerUnavailable(`${peer}, which owns the id, does not answer`))
  }

  /**
   * Claims the id at the entry that stands in for the owner. The absence of a stand-in is
   * cached too, so that the loss of an entry does not multiply the messages per request.
   */
  async function claimAtStandIn(
    id: string,
    owner: string,
    token: string,
  ): Promise<[string, Verdict]> {
    const none: [string, Verdict] = [
      owner,
      ownerUnavailable('nobody stands in for the owner'),
    ]
    const known = standIns.get(owner)
    if (known && now() < known.until) {
      if (known.by === undefined) return none
      const verdict = await claimAt(known.by, id, owner, token)
      // Meanwhile the stand-in may have returned the claims to the owner's next life.
      return verdict.kind === 'unsure' && verdict.standIn ? none : [known.by, verdict]
    }
    for (const { id: other } of [own, ...peersOwnHallFirst]) {
      if (other === owner) continue
      const verdict = await claimAt(other, id, owner, token)
      if (verdict.kind === 'unsure') continue
      standIns.set(owner, { by: other, until: now() + STAND_IN_CACHE_MS })
      return [other, verdict]
    }
    standIns.set(owner, { by: undefined, until: now() + STAND_IN_CACHE_MS })
    return none
  }

  /** Records the state in every registry that knows the id. */
  function recordState(id: string, state: ClaimState | 'not-run'): void {
    const registries = [
      ownClaims,
      ...[...handovers.values()].map((legacy) => legacy.registry),
    ]
    for (const each of registries) {
      if (state === 'not-run') each.remove(id)
      else each.set(id, state)
    }
  }

  async function collectFrom(peer: string): Promise<ClaimHandover | undefined> {
    try {
      const legacy = await peers.collect(peer)
      unaskedPeers.delete(peer)
      return legacy
    } catch (cause) {
      if (!silentPeers.has(peer)) {
        log.event('onceMemoryNotGiven', { peer, reason: describeError(cause) })
      }
      silentPeers.add(peer)
      return undefined
    }
  }

  return {
    async begin(id, token) {
      const owner = ownerOf(id, entries)
      let by = owner
      let verdict = await claimAt(owner, id, owner, token)
      if (verdict.kind === 'unsure' && verdict.standIn) {
        ;[by, verdict] = await claimAtStandIn(id, owner, token)
      }
      if (verdict.kind === 'first') grantedBy.set(id, by)
      return verdict
    },
    async end(id, state) {
      const by = grantedBy.get(id)
      grantedBy.delete(id)
      recordState(id, state)
      // If this message is lost, the id stays claimed there: a repeat is told "unknown".
      if (by !== undefined && by !== own.id) {
        await peers.settle(by, id, state).catch(() => undefined)
      }
    },
    async recover() {
      if (hasAskedAll()) return true
      const found = await Promise.all([...unaskedPeers].map(collectFrom))
      for (const record of found.flatMap((each) => each?.claims ?? [])) {
        if (ownClaims.find(record.id) === undefined) ownClaims.add(record)
      }
      recovered = found.some((each) => each?.complete)
      const done = hasAskedAll()
      if (done && !recovered) log.event('onceMemoryMissing')
      return done
    },
    async handOverClaims() {
      if (isLeaving) return
      isLeaving = true
      const complete = recovered || (hasAskedAll() && now() - startedAt >= memoryMs)
      // Only one peer is tried: after a lost reply, a second one would stand in as well.
      const successor = peersOwnHallFirst.find(({ id }) => opts.isReached(id))
      if (!successor) {
        log.event('onceMemoryNotLeft', { reason: 'no other entry is reachable' })
        return
      }
      const legacy = { claims: ownClaims.records(), complete }
      await peers.handOver(successor.id, legacy).catch((cause) => {
        log.event('onceMemoryNotLeft', {
          peer: successor.id,
          reason: describeError(cause),
        })
      })
    },
    answer: {
      claim: decideClaim,
      settle: recordState,
      collect(from) {
        const legacy = handovers.get(from)
        handovers.delete(from)
        return {
          claims: legacy?.registry.records() ?? [],
          complete: legacy?.complete ?? false,
        }
      },
      handOver(from, { claims, complete }) {
        const legacy = { registry: newRegistry(), complete: complete && !isLeaving }
        for (const record of claims) legacy.registry.add(record)
        handovers.set(from, legacy)
      },
    },
  }
}
