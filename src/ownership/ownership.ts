/**
 * Claims and releases services. Each service has one epoch row: the node that wrote it last is the
 * owner, and every durable write of the owner is conditional on the row's version. Node rows only
 * tell the other nodes whom to call.
 */
import type { RowStore } from '../ports/index.js'
import {
  createStopController,
  createInvalidRows,
  describeError,
  jittered,
  monotonicMs,
  sleep,
} from '../shared/index.js'
import type { Logger } from '../shared/index.js'
import { createAuthority } from './authority.js'
import type { Authority, OwnedService, Owner } from './authority.js'
import {
  findIdleNode,
  findStrongerNode,
  isHolderGone,
  isOwnedElsewhere,
  predecessorLeaseEndsAt,
  mayPredecessorBeActive,
  rankAmongCandidates,
} from './claimRules.js'
import {
  CANDIDATE_DELAY_MS,
  CLAIM_CHECK_INTERVAL_MS,
  HAND_OVER_INTERVAL_MS,
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
import type { Member } from './membership.js'
import type { NodeRegistry } from './nodeRegistry.js'

/** Name under which the fleet of VMs is owned like a service; no service can have it. */
export const FLEET = '~fleet'

/** Claims services and owns them until they are lost or released. */
export interface Ownership {
  /** Releases all services, for a planned stop. */
  release(): Promise<void>
  stop(): Promise<void>
}

/** Options of `createOwnership`. */
export interface OwnershipOptions {
  store: RowStore
  registry: NodeRegistry
  /** Services that need an owner now, including the fleet. */
  names(): string[]
  /** Starts the owner of a service that was claimed. */
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
  /** Versions of epoch rows, with the lease-clock times at which they were first read. */
  const epochsSeen = new Map<string, { version: number; at: number }>()
  const unreadableRows = createInvalidRows(log, EPOCH_TABLE)
  const { id, life } = registry.self
  let releasing = false
  /** Services that are being released. */
  const releases = new Map<string, Promise<void>>()
  /** Lease-clock time from which a service may be handed over, in ms. */
  let mayHandOverAt = -Infinity

  /** Stops the owner of a service that another node has taken over. */
  async function stopLost(service: string, reason: string): Promise<void> {
    const owned = ownedServices.get(service)
    if (!owned) return
    owned.lost = true
    ownedServices.delete(service)
    log.event('ownershipLost', { service, term: owned.row.term, reason })
    await owned.owner?.stop(false)
    void registry.renewNow()
  }

  /** Lease-clock time at which the epoch row was first read with this version. */
  function epochSince(service: string, version: number): number {
    const known = epochsSeen.get(service)
    if (known?.version === version) return known.at
    const seen = { version, at: now() }
    epochsSeen.set(service, seen)
    return seen.at
  }

  /**
   * Whether an epoch row with invalid contents has been unchanged for so long that it may be
   * replaced by one with a term above all earlier ones. With a lower term, every target would
   * fence this node; if the row were never replaced, the service would have no owner.
   */
  function mayReplaceUnreadable(service: string, version: number): boolean {
    unreadableRows.note(
      service,
      `the service cannot be claimed for ${UNREADABLE_EPOCH_WAIT_MS} ms`,
    )
    return now() - epochSince(service, version) >= UNREADABLE_EPOCH_WAIT_MS
  }

  /** Claims a service, unless its current owner may still have a right to it. */
  async function claim(service: string): Promise<void> {
    // The known rows may be outdated, for example after a network partition or a long pause.
    if (!(await registry.refresh()) || isOwnedElsewhere(registry, service)) return
    const found = await store.read(EPOCH_TABLE, service)
    if (found.isErr())
      return log.event('claimFailed', { service, reason: describeError(found.error) })
    const stored = found.value.rows[0]
    const before = stored && decodeEpoch(stored.value)
    const isUnread = stored !== undefined && before === undefined
    if (isUnread && !mayReplaceUnreadable(service, stored.version)) return
    if (!isUnread) unreadableRows.clear(service)
    // The owner may have renewed its row since the changes were read.
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

  /** Starts the owner of a service that this node has just claimed. */
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
    const areNodeRostersRead = (): boolean =>
      registry.members().every((member) => member.readsNodeRosters)
    const authority = { service, owned, ...predecessor, areNodeRostersRead, now, lost }
    const owner = await opts.start(createAuthority(authority))
    if (owned.lost) await owner.stop(false)
    else owned.owner = owner
  }

  /** After the lease of this node has expired, checks that no other node took over the service. */
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

  /** Claims a service once it has had no owner for the delay that this node's rank requires. */
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

  /** The node that should own a service for lack of something here; undefined if there is none. */
  function betterNodeFor(owner: Owner | undefined): Member | undefined {
    const ownCount = ownedServices.size + claiming.size
    if (owner?.lacksProcessor?.()) return findStrongerNode(registry, ownCount)
    // The services of a node share its memory, so that another one helps only if it has fewer.
    if (owner?.lacksMemory?.() && ownCount > 1) return findIdleNode(registry)
    return undefined
  }

  /** Releases a service that lacks processor time or memory here, if another node has more of it. */
  function considerHandOver(): void {
    if (now() < mayHandOverAt) return
    for (const [service, { owner, row, lost }] of ownedServices) {
      const to = lost ? undefined : betterNodeFor(owner)
      if (!to) continue
      mayHandOverAt = now() + HAND_OVER_INTERVAL_MS
      log.event('serviceHandedOver', {
        service,
        term: row.term,
        to: to.id,
        room: to.room,
        owns: to.owns.length,
      })
      claiming.add(service)
      void handOver(service).finally(() => claiming.delete(service))
      return
    }
  }

  async function handOver(service: string): Promise<void> {
    await releaseService(service)
    await registry.renewNow()
  }

  async function run(): Promise<void> {
    while (!stopping.signal.aborted) {
      for (const service of opts.names()) {
        if (releasing || !registry.mayClaim()) break
        if (!ownedServices.has(service) && !claiming.has(service)) considerClaim(service)
      }
      if (!releasing) considerHandOver()
      await sleep(CLAIM_CHECK_INTERVAL_MS, stopping.signal)
    }
  }
  const task = run()

  /** Stops the owner of a service and lets other nodes claim the service at once. */
  function releaseService(service: string): Promise<void> {
    const known = releases.get(service)
    if (known) return known
    const release = stopAndRelease(service).finally(() => releases.delete(service))
    releases.set(service, release)
    return release
  }

  async function stopAndRelease(service: string): Promise<void> {
    const owned = ownedServices.get(service)
    if (!owned) return
    await owned.owner?.stop(true)
    owned.lost = true
    ownedServices.delete(service)
    const reason = await writeRelease(service, owned)
    log.event('ownershipReleased', { service, term: owned.row.term, reason })
  }

  /** Writes that nobody owns the service; returns why that failed, or an empty string. */
  async function writeRelease(service: string, owned: OwnedService): Promise<string> {
    const given: EpochRow = { ...owned.row, node: '' }
    const endsAt = now() + RELEASE_TIMEOUT_MS
    for (;;) {
      const res = await writeEpoch(store, service, given, owned.version)
      // A failed condition also ends it: an earlier attempt was applied, or a node took over.
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
