/**
 * At most once for unrepeatable requests that carry their caller's id. Each id has an
 * owner among the entries of its home hall, by rendezvous hashing; the owner says
 * whether the id is new. An entry that stops as planned leaves its memory with another,
 * which stands in for it. After a loss of memory the owner is "unsure" of ids that it
 * may have known, and their requests are not sent. docs/design/once.md states what is
 * promised.
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
  /** `standIn`: the owner is away or stopping, so another entry may stand in for it. */
  | { kind: 'unsure'; reason: string; standIn: boolean }

/** Memory that an entry left when it stopped as planned. */
export interface Legacy {
  claims: ClaimRecord[]
  /** Whether that memory had no gap; false when nothing was left here. */
  complete: boolean
}

/** Calls to other entries; a rejection means that nothing is known of its effect. */
export interface OncePeers {
  /** Asks the owner, or who stands in for the owner that is named. */
  claim(peer: string, id: string, owner: string, token: string): Promise<Verdict>
  settle(peer: string, id: string, state: ClaimState | 'not-run'): Promise<void>
  /** Takes back what an earlier life of the caller left there. */
  collect(peer: string): Promise<Legacy>
  handOver(peer: string, legacy: Legacy): Promise<void>
}

/** Options of {@link createOnce}. */
export interface OnceOptions {
  own: EntryLocation
  /** Entries of all halls, this one included. */
  entries: readonly EntryLocation[]
  peers: OncePeers
  /** Time for which a claim is remembered, in ms. */
  memoryMs: number
  /** This entry never ran before, so that there is nothing to remember. */
  firstLife: boolean
  /** Whether the entry has spoken lately. */
  isReached(entry: string): boolean
  /** Whether the entry's process is certainly gone, and its memory with it. */
  isGone(entry: string): boolean
  /** Monotonic clock in ms. */
  now(): number
  /** Time of day in s, for ids that name when they were made. */
  wallSeconds(): number
  log: Pick<Logger, 'event'>
}

/** Decides whether unrepeatable requests may be sent. */
export interface Once {
  /** @param token names the request; asking again with it is no repeat. */
  begin(id: string, token: string): Promise<Verdict>
  /** Notes how a request that had begun ended. */
  end(id: string, state: ClaimState | 'not-run'): Promise<void>
  /**
   * Takes back what an earlier life left with a peer; call it before any `begin`, and again
   * until it is done. True once nobody is left to ask.
   */
  recover(): Promise<boolean>
  /** Leaves the memory with a peer before a planned stop. */
  leave(): Promise<void>
  /** What peers ask of this entry. */
  answer: {
    claim(id: string, owner: string, token: string): Verdict
    settle(id: string, state: ClaimState | 'not-run'): void
    collect(from: string): Legacy
    handOver(from: string, legacy: Legacy): void
  }
}

/** Most claims that an entry remembers. */
const MAX_CLAIMS = 200_000
/** Time for which it is remembered who stands in for an owner, in ms. */
const STAND_IN_CACHE_MS = 500
/** Ids dated so far ahead of the own clock are not accepted, in s. */
const MAX_ID_AHEAD_S = 15
/**
 * Ids made so long after the start are new for certain, in s. An earlier life accepted
 * none dated later than its end and {@link MAX_ID_AHEAD_S}; the rest covers clocks that differ.
 */
const CLOCK_MARGIN_S = 30
const unsure = (reason: string): Verdict => ({ kind: 'unsure', reason, standIn: false })
const ownerUnavailable = (reason: string): Verdict => ({
  kind: 'unsure',
  reason,
  standIn: true,
})

/** Creates the memory of one life. */
export function createOnce(opts: OnceOptions): Once {
  const { own, entries, peers, memoryMs, now, log } = opts
  const startedAt = now()
  const startedSeconds = opts.wallSeconds()
  const newRegistry = () => createClaimRegistry({ memoryMs, maxRecords: MAX_CLAIMS, now })
  const ownClaims = newRegistry()
  /** Memory of entries that stopped as planned, until their next life takes it back. */
  const handovers = new Map<
    string,
    { registry: ReturnType<typeof newRegistry>; complete: boolean }
  >()
  /** The entry that granted each running request of this one. */
  const grantedBy = new Map<string, string>()
  const peersOwnHallFirst = [...entries]
    .filter((entry) => entry.id !== own.id)
    .sort((a, b) => Number(a.hall !== own.hall) - Number(b.hall !== own.hall))
  /** Who stands in for an owner, as last found out. */
  const standIns = new Map<string, { by: string | undefined; until: number }>()
  /**
   * Entries that may hold the memory of an earlier life. Until each has been asked, one may
   * stand in for this entry, and a later life may take that memory for the newest.
   */
  const unaskedPeers = new Set(
    opts.firstLife ? [] : peersOwnHallFirst.map(({ id }) => id),
  )
  /** Those of them that did not answer, which is logged once each. */
  const silentPeers = new Set<string>()
  let recovered = opts.firstLife
  let isLeaving = false

  function hasAskedAll(): boolean {
    for (const entry of unaskedPeers) if (opts.isGone(entry)) unaskedPeers.delete(entry)
    return recovered || unaskedPeers.size === 0
  }

  /** Whether an id that is not in the book is new for certain, once everyone is asked. */
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

  /** Decides as the owner, or for an owner whose memory is here. */
  function decide(id: string, owner: string, token: string): Verdict {
    if (owner === own.id) {
      if (!hasAskedAll()) return ownerUnavailable('the owner of the id lacks its memory')
      return claim(id, token, ownClaims, isCertainlyNew(id))
    }
    const legacy = handovers.get(owner)
    if (!legacy) return ownerUnavailable('this entry does not stand in for the owner')
    return claim(id, token, legacy.registry, legacy.complete)
  }

  async function ask(
    peer: string,
    id: string,
    owner: string,
    token: string,
  ): Promise<Verdict> {
    if (peer === own.id) return decide(id, owner, token)
    if (!opts.isReached(peer))
      return ownerUnavailable(`${peer}, which owns the id, does not answer`)
    return peers
      .claim(peer, id, owner, token)
      .catch(() => ownerUnavailable(`${peer}, which owns the id, does not answer`))
  }

  /**
   * Asks whoever stands in for the owner. That nobody does is remembered for a while, so
   * that the loss of an entry does not multiply the messages of each request.
   */
  async function askStandIn(
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
      const verdict = await ask(known.by, id, owner, token)
      // It may have given the memory back to the owner's next life meanwhile.
      return verdict.kind === 'unsure' && verdict.standIn ? none : [known.by, verdict]
    }
    for (const { id: other } of [own, ...peersOwnHallFirst]) {
      if (other === owner) continue
      const verdict = await ask(other, id, owner, token)
      if (verdict.kind === 'unsure') continue
      standIns.set(owner, { by: other, until: now() + STAND_IN_CACHE_MS })
      return [other, verdict]
    }
    standIns.set(owner, { by: undefined, until: now() + STAND_IN_CACHE_MS })
    return none
  }

  /** Notes the state in whichever book knows the id. */
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

  async function collectFrom(peer: string): Promise<Legacy | undefined> {
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
      let verdict = await ask(owner, id, owner, token)
      if (verdict.kind === 'unsure' && verdict.standIn) {
        ;[by, verdict] = await askStandIn(id, owner, token)
      }
      if (verdict.kind === 'first') grantedBy.set(id, by)
      return verdict
    },
    async end(id, state) {
      const by = grantedBy.get(id)
      grantedBy.delete(id)
      recordState(id, state)
      // A lost message leaves the id claimed there: a repeat is then told "unknown".
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
    async leave() {
      if (isLeaving) return
      isLeaving = true
      const complete = recovered || (hasAskedAll() && now() - startedAt >= memoryMs)
      // To one peer only: after a lost reply a second one would stand in as well.
      const successor = peersOwnHallFirst.find(({ id }) => opts.isReached(id))
      if (!successor) {
        log.event('onceMemoryNotLeft', { reason: 'no other entry is reached' })
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
      claim: decide,
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
