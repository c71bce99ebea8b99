/** Renews this node's row and reads those of the other nodes, each as often as needed. */
import type { RowStore } from '../ports/index.js'
import { createStopController, describeError, jittered, sleep } from '../shared/index.js'
import type { Logger } from '../shared/index.js'
import {
  DEAD_NODE_RETENTION_MS,
  STARTUP_POLL_MS,
  IDLE_LEASE_INTERVALS,
  IDLE_RENEW_MS,
  IDLE_POLL_MAX_MS,
  IDLE_RENEWALS_PER_S,
  IDLE_RETRY_MS,
  STANDBY_NODES,
  NODE_LEASE_MS,
  READ_GAP_INTERVALS,
  MIN_REFRESH_INTERVAL_MS,
  RENEW_MS,
  SETTLE_MS,
  STORE_RETRY_MS,
} from './constants.js'
import { rankAmongCandidates } from './claimRules.js'
import { leaseNowMs } from './leaseClock.js'
import { createLeaseLength } from './leaseLength.js'
import { createMembershipTracker } from './membership.js'
import type { Membership } from './membership.js'
import { NODES_TABLE } from './nodeRow.js'
import type { NodeRow } from './nodeRow.js'
import { createNodeRowReader } from './nodeRowReader.js'
import { createNodeRowWriter } from './nodeRowWriter.js'

/** Called after each renewal with the lease-clock time at which it was sent, in ms. */
type RenewalListener = (sentAt: number, lapsed: boolean) => void

/** Keeps this node's row renewed and the rows of the other nodes current. */
export interface NodeRegistry extends Membership {
  /** Writes this node's row now, because its contents have changed. */
  renewNow(): Promise<void>
  /** Whether the store answers and this node's lease is valid. */
  isConnected(): boolean
  /** Whether this node's row was renewed within an owner's lease, so that it may become one. */
  mayClaim(): boolean
  /**
   * Registers a listener that is called after each renewal.
   * @param listener `lapsed` is true when the lease had expired before the renewal.
   */
  onRenewed(listener: RenewalListener): void
  /**
   * Lease-clock time until which an ownership written at `sentAt` is valid, in ms. The other nodes
   * wait for the lease of this node's row, so the ownership ends with that lease. Counted from the
   * claim, it would overlap with the next owner's for up to a lease, and both would run a job that
   * arrives in that time.
   */
  ownershipValidUntil(service: string, sentAt: number): number
  /** Reads the rows of the other nodes now; returns false when the store did not answer. */
  refresh(): Promise<boolean>
  /**
   * Does the same unless the rows were read just now; for callers that did not find an owner where
   * the rows said. Resolves when the read is done.
   */
  refreshIfStale(): Promise<void>
  /** Reads the row of one node now; returns false when the store did not answer. */
  refreshNode(id: string): Promise<boolean>
  /** Time since the rows of the other nodes were first read, in ms; 0 before that. */
  msSinceFirstRead(): number
  stop(): Promise<void>
}

/** Options of `createNodeRegistry`: the store, and what this node publishes about itself. */
export interface NodeRegistryOptions {
  store: RowStore
  id: string
  life: string
  hall: string
  address: string
  /** Capacity of this node as an owner; 1 for a whole core. */
  room: number
  /** Services that this node owns now. */
  owns(): string[]
  leaving(): boolean
  log: Logger
  now?: () => number
}

/** Starts renewing this node's row and reading those of the other nodes. */
export function createNodeRegistry(opts: NodeRegistryOptions): NodeRegistry {
  const { store, id, life, log } = opts
  const now = opts.now ?? leaseNowMs
  const stopping = createStopController()
  const membership = createMembershipTracker({ self: { id, life }, log, now })
  const listeners: RenewalListener[] = []
  const ownLease = createLeaseLength(log)
  const reader = createNodeRowReader(store)
  const writer = createNodeRowWriter(store, id)
  let renewedAt = -Infinity
  /** Whether an attempt has failed since then: the store was slow in that case, not this node. */
  let hasFailedSinceRenewal = true
  /** Services that the row lists as last written. */
  let writtenOwns: string[] = []
  /** Lease that the row states as last written, in ms. */
  let leaseMs = NODE_LEASE_MS
  let pollIntervalMs = RENEW_MS
  let pollSentAt = -Infinity
  let firstReadAt: number | undefined
  let isStoreReachable = true
  let currentWrite: Promise<boolean> | undefined
  /** The write after the current one, shared by all callers during the current one. */
  let nextWrite: Promise<boolean> | undefined
  let refreshing: Promise<boolean> | undefined

  const noteConnection = (up: boolean, reason: string): void => {
    if (up === isStoreReachable) return
    isStoreReachable = up
    log.event(up ? 'platformBack' : 'platformDown', { reason })
  }

  /** Writes this node's row once; returns false when it failed or its outcome is unknown. */
  async function write(): Promise<boolean> {
    const sentAt = now()
    const owns = opts.owns()
    const nextLeaseMs =
      owns.length > 0 ? ownLease.ms() : idleRenewIntervalMs() * IDLE_LEASE_INTERVALS
    const row: NodeRow = {
      life,
      address: opts.address,
      hall: opts.hall,
      room: opts.room,
      leaseMs: nextLeaseMs,
      owns,
      leaving: opts.leaving(),
      readsNodeRosters: true,
      forwardsOrders: true,
      callsIncarnations: true,
    }
    const res = await writer.write(JSON.stringify(row))
    if (res.isErr()) {
      hasFailedSinceRenewal = true
      noteConnection(false, describeError(res.error))
      return false
    }
    if (!res.value) return false
    noteConnection(true, 'row renewed')
    const lapsed = sentAt - renewedAt > leaseMs
    if (owns.length > 0 && !hasFailedSinceRenewal)
      ownLease.recordRenewal(now() - renewedAt)
    hasFailedSinceRenewal = owns.length === 0
    renewedAt = sentAt
    leaseMs = nextLeaseMs
    writtenOwns = owns
    for (const listener of listeners) listener(sentAt, lapsed)
    return true
  }

  /** Runs one write at a time; callers during a write share the next one. */
  function renew(): Promise<boolean> {
    if (!currentWrite) {
      currentWrite = write().finally(() => (currentWrite = undefined))
      return currentWrite
    }
    nextWrite ??= currentWrite.then(() => {
      nextWrite = undefined
      return renew()
    })
    return nextWrite
  }

  /** Reads the rows of all nodes. */
  async function poll(): Promise<boolean> {
    const sentAt = now()
    pollSentAt = sentAt
    const res = await reader.read()
    if (res.isErr()) {
      noteConnection(false, describeError(res.error))
      return false
    }
    noteConnection(true, 'nodes read')
    membership.applyUpdate(res.value, sentAt, READ_GAP_INTERVALS * pollIntervalMs)
    firstReadAt ??= now()
    await removeDeadNode()
    return true
  }

  async function refreshIfStale(): Promise<void> {
    if (!refreshing && now() - pollSentAt <= MIN_REFRESH_INTERVAL_MS) return
    refreshing ??= poll().finally(() => (refreshing = undefined))
    await refreshing
  }

  /** Removes the row of one node whose lease ended long ago. */
  async function removeDeadNode(): Promise<void> {
    const dead = membership.findDead(DEAD_NODE_RETENTION_MS)
    if (!dead) return
    const key = { table: NODES_TABLE, part: dead.part, key: dead.id }
    const conditions = [{ ...key, version: dead.version }]
    const res = await store.commit({ conditions, puts: [], removals: [key] })
    if (res.isErr()) log.event('platformDown', { reason: describeError(res.error) })
  }

  const isOwner = (): boolean => opts.owns().length > 0

  /** Whether this node owns a service or is a standby for the next one. */
  function isOwnerOrStandby(): boolean {
    const rank = rankAmongCandidates(membership, 0, opts.owns().length)
    return isOwner() || (rank !== undefined && rank < STANDBY_NODES)
  }

  /** Interval between two renewals while nothing is owned; grows with the number of nodes. */
  function idleRenewIntervalMs(): number {
    if (isOwnerOrStandby()) return IDLE_RENEW_MS
    return Math.max(
      IDLE_RENEW_MS,
      (membership.members().length / IDLE_RENEWALS_PER_S) * 1000,
    )
  }

  function renewalDelayMs(done: boolean): number {
    if (isOwner()) return done ? RENEW_MS : STORE_RETRY_MS
    // Derived from the lease in the stored row: after that lease this node counts as dead.
    return done ? leaseMs / IDLE_LEASE_INTERVALS : IDLE_RETRY_MS
  }

  async function runRenewals(): Promise<void> {
    while (!stopping.signal.aborted) {
      const done = await renew()
      await sleep(jittered(renewalDelayMs(done)), stopping.signal)
    }
  }

  async function runPolls(): Promise<void> {
    while (!stopping.signal.aborted) {
      const done = await poll()
      // Nodes start together: a few quick reads find those that start slightly later.
      const isDiscovering = registry.msSinceFirstRead() < SETTLE_MS
      const pollsOften = isDiscovering || isOwnerOrStandby()
      // The node may have just become a standby, and may claim only with a recently renewed row.
      if (done && pollsOften && now() - renewedAt > NODE_LEASE_MS) void renew()
      pollIntervalMs = pollsOften
        ? RENEW_MS
        : Math.min(idleRenewIntervalMs(), IDLE_POLL_MAX_MS)
      const retryMs = pollsOften ? STARTUP_POLL_MS : IDLE_RETRY_MS
      await sleep(
        jittered(isDiscovering || !done ? retryMs : pollIntervalMs),
        stopping.signal,
      )
    }
  }

  const registry: NodeRegistry = {
    self: membership.self,
    members: membership.members,
    isLapsed: membership.isLapsed,
    candidates: membership.candidates,
    ownerOf: membership.ownerOf,
    renewNow: async () => void (await renew()),
    isConnected: () => isStoreReachable && now() - renewedAt < leaseMs,
    mayClaim: () => isStoreReachable && now() - renewedAt < NODE_LEASE_MS,
    onRenewed: (listener) => void listeners.push(listener),
    ownershipValidUntil(service, sentAt) {
      // While the row does not list the service, the other nodes wait for a fixed time.
      const lastsMs = writtenOwns.includes(service) ? leaseMs : NODE_LEASE_MS
      return Math.min(sentAt, renewedAt) + lastsMs
    },
    refresh: poll,
    async refreshNode(other) {
      const row = await reader.readOne(other)
      if (row.isErr()) return false
      if (row.value) membership.applyRow(row.value)
      return true
    },
    refreshIfStale,
    msSinceFirstRead: () => (firstReadAt === undefined ? 0 : now() - firstReadAt),
    async stop() {
      stopping.abort()
      await tasks
    },
  }
  const tasks = Promise.all([runRenewals(), runPolls()])
  return registry
}
