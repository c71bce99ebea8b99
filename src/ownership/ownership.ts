/**
 * Who owns which service. The truth is one epoch row per service: whoever wrote it last
 * is the owner, and every durable write of an owner depends on its version. The rows of
 * the nodes only tell the others whom to ask.
 */
import type { RowStore } from '../ports/index.js'
import {
  createStopController,
  createUnreadRows,
  describeError,
  jittered,
  monotonicMs,
  sleep,
} from '../shared/index.js'
import type { Logger } from '../shared/index.js'
import { createAuthority } from './authority.js'
import type { Authority, OwnedService, Owner } from './authority.js'
import {
  isHolderGone,
  isOwnedElsewhere,
  predecessorLeaseEndsAt,
  mayPredecessorBeActive,
  rankAmongCandidates,
} from './claimRules.js'
import {
  CANDIDATE_DELAY_MS,
  CLAIM_CHECK_INTERVAL_MS,
  UNREADABLE_EPOCH_WAIT_MS,
  NODE_LEASE_MS,
  RELEASE_TIMEOUT_MS,
  SETTLE_MS,
  STORE_RETRY_MS,
} from './constants.js'
import {
  EPOCH_TABLE,
  decodeEpoch,
  isSameOwner,
  termByClock,
  writeEpoch,
} from './epochRow.js'
import type { EpochRow } from './epochRow.js'
import { leaseNowMs } from './leaseClock.js'
import type { NodeRegistry } from './nodeRegistry.js'

/** The fleet of VMs is owned like a service, under a name that no service can have. */
export const FLEET = '~fleet'

/** The services that this node owns. */
export interface Ownership {
  /** Gives everything up, for a planned stop. */
  release(): Promise<void>
  stop(): Promise<void>
}

/** What claiming rests on. */
export interface OwnershipOptions {
  store: RowStore
  registry: NodeRegistry
  /** Services that need an owner now, the fleet included. */
  names(): string[]
  /** Starts what runs for a service that was claimed. */
  start(authority: Authority): Promise<Owner>
  log: Logger
  now?: () => number
}

/** Starts claiming services that have no owner. */
export function createOwnership(opts: OwnershipOptions): Ownership {
  const { store, registry, log } = opts
  const now = opts.now ?? leaseNowMs
  const stopping = createStopController()
  const ownedServices = new Map<string, OwnedService>()
  const unownedSince = new Map<string, number>()
  const claiming = new Set<string>()
  /** Versions of the epoch rows of others, with the steady times at which they were first read. */
  const epochsSeen = new Map<string, { version: number; at: number }>()
  const unreadableRows = createUnreadRows(log, EPOCH_TABLE)
  const { id, life } = registry.self
  let releasing = false

  /** Ends what runs for a service that another node owns now. */
  async function stopLost(service: string, reason: string): Promise<void> {
    const owned = ownedServices.get(service)
    if (!owned) return
    owned.lost = true
    ownedServices.delete(service)
    log.event('ownershipLost', { service, term: owned.row.term, reason })
    await owned.owner?.stop(false)
    void registry.renewNow()
  }

  /** Steady time since which the epoch row has had the version, as far as we have seen. */
  function epochSince(service: string, version: number): number {
    const known = epochsSeen.get(service)
    if (known?.version === version) return known.at
    const seen = { version, at: now() }
    epochsSeen.set(service, seen)
    return seen.at
  }

  /**
   * Whether an epoch row that cannot be read has stood for so long that a term above all
   * before may replace it. With a lower one every target would fence us; left alone for ever
   * it would keep the service from having an owner.
   */
  function mayReplaceUnreadable(service: string, version: number): boolean {
    unreadableRows.note(
      service,
      `nobody may own the service for ${UNREADABLE_EPOCH_WAIT_MS} ms`,
    )
    return now() - epochSince(service, version) >= UNREADABLE_EPOCH_WAIT_MS
  }

  /** Takes a service, unless its holder may still have a right to it. */
  async function claim(service: string): Promise<void> {
    // What was seen of the others may be old: after a cut, say, or a long pause.
    if (!(await registry.refresh()) || isOwnedElsewhere(registry, service)) return
    const found = await store.read(EPOCH_TABLE, service)
    if (found.isErr())
      return log.event('claimFailed', { service, reason: describeError(found.error) })
    const stored = found.value.rows[0]
    const before = stored && decodeEpoch(stored.value)
    const isUnread = stored !== undefined && before === undefined
    if (isUnread && !mayReplaceUnreadable(service, stored.version)) return
    if (!isUnread) unreadableRows.clear(service)
    // Its row may have been renewed since the changes were read.
    if (before && before.node !== '' && !(await registry.refreshNode(before.node))) return
    const unownedMs =
      now() -
      Math.max(
        unownedSince.get(service) ?? now(),
        epochSince(service, stored?.version ?? 0),
      )
    if (before && !isHolderGone(registry, before, service, unownedMs)) return
    const sentAt = now()
    const lastTerm = isUnread ? termByClock() : (before?.term ?? 0)
    const row: EpochRow = { node: id, life, term: lastTerm + 1 }
    const res = await writeEpoch(store, service, row, stored?.version ?? 0)
    if (res.isErr())
      return log.event('claimFailed', { service, reason: describeError(res.error) })
    if (!res.value.committed) return
    const { version } = res.value
    const confirmedUntil = registry.ownershipValidUntil(service, sentAt)
    const confirmation = { confirmedUntil, confirming: false, lost: false }
    const taken: OwnedService = { owner: undefined, version, row, ...confirmation }
    if (isUnread) log.event('rowRestored', { table: EPOCH_TABLE, key: service })
    await startOwned(service, taken, isUnread ? 'unknown' : before)
  }

  /** Starts what runs for a service that this node has just taken. */
  async function startOwned(
    service: string,
    owned: OwnedService,
    former: EpochRow | undefined | 'unknown',
  ): Promise<void> {
    ownedServices.set(service, owned)
    unownedSince.delete(service)
    const isUnknown = former === 'unknown'
    const before = isUnknown ? undefined : former
    const predecessorMayLive = isUnknown || mayPredecessorBeActive(registry, before)
    log.event('ownershipTaken', {
      service,
      term: owned.row.term,
      previous: before?.node ?? '',
      predecessorMayLive,
    })
    void registry.renewNow()
    const lost = (reason: string): void => void stopLost(service, reason)
    const predecessorLeaseLeftMs = isUnknown
      ? NODE_LEASE_MS
      : predecessorLeaseEndsAt(registry, before, service, now()) - now()
    const predecessorLeaseOverAt = monotonicMs() + predecessorLeaseLeftMs
    const predecessor = { predecessorMayLive, predecessorLeaseOverAt }
    const authority = { service, owned, ...predecessor, now, lost }
    const owner = await opts.start(createAuthority(authority))
    if (owned.lost) await owner.stop(false)
    else owned.owner = owner
  }

  /** After our lease had run out: makes sure that nobody took over, service by service. */
  async function confirm(service: string, owned: OwnedService): Promise<void> {
    if (owned.confirming) return
    owned.confirming = true
    while (!owned.lost && !stopping.signal.aborted) {
      const sentAt = now()
      const res = await writeEpoch(store, service, owned.row, owned.version)
      if (res.isOk() && res.value.committed) {
        owned.version = res.value.version
        owned.confirmedUntil = registry.ownershipValidUntil(service, sentAt)
        owned.confirming = false
        log.event('ownershipConfirmed', { service, term: owned.row.term })
        return
      }
      if (res.isOk()) {
        const current = res.value.committed ? undefined : res.value.current[0]
        if (current && isSameOwner(current.value, owned.row))
          owned.version = current.version
        else return stopLost(service, 'another node took over')
      }
      await sleep(jittered(STORE_RETRY_MS), stopping.signal)
    }
  }

  registry.onRenewed((sentAt, lapsed) => {
    for (const [service, owned] of ownedServices) {
      const stale = sentAt > owned.confirmedUntil
      if (lapsed || stale || owned.confirming) void confirm(service, owned)
      else owned.confirmedUntil = registry.ownershipValidUntil(service, sentAt)
    }
  })

  /** Claims a service once it has been without an owner for as long as our rank asks. */
  function considerClaim(service: string): void {
    if (isOwnedElsewhere(registry, service)) return void unownedSince.delete(service)
    if (registry.msSinceFirstRead() < SETTLE_MS) return
    const since = unownedSince.get(service) ?? now()
    unownedSince.set(service, since)
    const unowned = opts
      .names()
      .filter(
        (name) =>
          !registry.ownerOf(name) && !ownedServices.has(name) && !claiming.has(name),
      )
    const position = unowned.indexOf(service)
    const rank = rankAmongCandidates(
      registry,
      position,
      ownedServices.size + claiming.size,
    )
    if (rank === undefined || now() - since < rank * CANDIDATE_DELAY_MS) return
    claiming.add(service)
    void claim(service).finally(() => claiming.delete(service))
  }

  async function run(): Promise<void> {
    while (!stopping.signal.aborted) {
      for (const service of opts.names()) {
        if (releasing || !registry.mayClaim()) break
        if (!ownedServices.has(service) && !claiming.has(service)) considerClaim(service)
      }
      await sleep(CLAIM_CHECK_INTERVAL_MS, stopping.signal)
    }
  }
  const task = run()

  /** Stops what runs for a service, and lets others claim it at once. */
  async function releaseService(service: string): Promise<void> {
    const owned = ownedServices.get(service)
    if (!owned) return
    await owned.owner?.stop(true)
    owned.lost = true
    ownedServices.delete(service)
    const reason = await writeRelease(service, owned)
    log.event('ownershipReleased', { service, term: owned.row.term, reason })
  }

  /** Writes that nobody owns the service; returns why that could not be done. */
  async function writeRelease(service: string, owned: OwnedService): Promise<string> {
    const given: EpochRow = { ...owned.row, node: '' }
    const endsAt = now() + RELEASE_TIMEOUT_MS
    for (;;) {
      const res = await writeEpoch(store, service, given, owned.version)
      // A condition that does not hold: an earlier try was done, or somebody took over.
      if (res.isOk()) return ''
      if (now() >= endsAt) return describeError(res.error)
      await sleep(jittered(STORE_RETRY_MS))
    }
  }

  return {
    async release() {
      releasing = true
      await Promise.all([...ownedServices.keys()].map(releaseService))
      await registry.renewNow()
    },
    async stop() {
      stopping.abort()
      await task
      for (const [service, owned] of ownedServices) {
        owned.lost = true
        ownedServices.delete(service)
        await owned.owner?.stop(false)
      }
    },
  }
}
