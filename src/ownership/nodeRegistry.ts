/** Renews this node's row, and reads those of the others, as often as either is needed. */
import type { RowStore } from '../ports/index.js'
import { createStopController, describeError, jittered, sleep } from '../shared/index.js'
import type { Logger } from '../shared/index.js'
import {
  FORGET_NODE_MS,
  FIRST_POLL_MS,
  IDLE_LEASE_PACES,
  IDLE_PACE_MS,
  IDLE_POLL_MAX_MS,
  IDLE_RENEWALS_PER_S,
  IDLE_RETRY_MS,
  NEXT_OWNERS,
  NODE_LEASE_MS,
  READ_GAP_PAUSES,
  REFRESH_MS,
  RENEW_MS,
  SETTLE_MS,
  STORE_RETRY_MS,
} from './constants.js'
import { rankAmongCandidates } from './claimRules.js'
import { leaseNowMs } from './leaseClock.js'
import { createLeaseLength } from './leaseLength.js'
import { createMemberBook } from './memberBook.js'
import type { Members } from './memberBook.js'
import { NODES_TABLE } from './nodeRow.js'
import type { NodeRow } from './nodeRow.js'
import { createNodeRowFollower } from './nodeRowFollower.js'
import { createNodeRowWriter } from './nodeRowWriter.js'

/** Told of each renewal. */
type RenewalListener = (sentAt: number, lapsed: boolean) => void

/** This node's row, kept fresh, and the rows of the others. */
export interface NodeRegistry extends Members {
  /** Writes our row now, because what it says has changed. */
  announce(): Promise<void>
  /** Whether the store answered lately. */
  isConnected(): boolean
  /** Whether our row was renewed within the lease of an owner, so that we may become one. */
  mayClaim(): boolean
  /**
   * Called after each renewal.
   * @param listener `lapsed` is true when the lease had run out before it.
   */
  onRenewed(listener: RenewalListener): void
  /**
   * Until when a right to a service holds that was written at `sentAt`. The others wait for the
   * lease of our row, so that it is over with that: counted from the claim it overlapped with
   * the next owner's for up to a lease, and a job that came meanwhile was run by both.
   */
  rightUntil(service: string, sentAt: number): number
  /** Reads the rows of the other nodes now; false when the store did not answer. */
  refresh(): Promise<boolean>
  /**
   * The same unless it was done just now: somebody was not found where the rows said.
   * Resolves when it is done.
   */
  refreshSoon(): Promise<void>
  /** Reads the row of one node now; false when the store did not answer. */
  reread(id: string): Promise<boolean>
  /** Time since the rows of the others were first read, in ms. */
  knownForMs(): number
  stop(): Promise<void>
}

/** What a node says of itself, and where. */
export interface NodeRegistryOptions {
  store: RowStore
  id: string
  life: string
  hall: string
  address: string
  /** What this node can carry as an owner; 1 for a whole core. */
  room: number
  /** Services that this node owns now. */
  owns(): string[]
  leaving(): boolean
  log: Logger
  now?: () => number
}

/** Starts renewing this node's row and watching the others. */
export function createNodeRegistry(opts: NodeRegistryOptions): NodeRegistry {
  const { store, id, life, log } = opts
  const now = opts.now ?? leaseNowMs
  const stopping = createStopController()
  const book = createMemberBook({ self: { id, life }, log, now })
  const listeners: RenewalListener[] = []
  const ownLease = createLeaseLength(log)
  const follower = createNodeRowFollower(store)
  const writer = createNodeRowWriter(store, id)
  let renewedAt = -Infinity
  /** Whether a try has failed since then: the store was late, and not this node. */
  let failedSince = true
  /** Services that our row lists. */
  let listed: string[] = []
  /** Lease that our row says. */
  let leaseMs = NODE_LEASE_MS
  let pollPauseMs = RENEW_MS
  let pollSentAt = -Infinity
  let firstPolledAt: number | undefined
  let connected = true
  let writing: Promise<boolean> | undefined
  /** The write after it, shared by all who ask during it. */
  let following: Promise<boolean> | undefined
  let refreshing: Promise<boolean> | undefined

  const noteConnection = (up: boolean, reason: string): void => {
    if (up === connected) return
    connected = up
    log.event(up ? 'platformBack' : 'platformDown', { reason })
  }

  /** Writes this node's row once; false when that was not done, or is not known. */
  async function write(): Promise<boolean> {
    const sentAt = now()
    const owns = opts.owns()
    const nextLeaseMs = owns.length > 0 ? ownLease.ms() : idlePaceMs() * IDLE_LEASE_PACES
    const row: NodeRow = {
      life,
      address: opts.address,
      hall: opts.hall,
      room: opts.room,
      leaseMs: nextLeaseMs,
      owns,
      leaving: opts.leaving(),
    }
    const res = await writer.write(JSON.stringify(row))
    if (res.isErr()) {
      failedSince = true
      noteConnection(false, describeError(res.error))
      return false
    }
    if (!res.value) return false
    noteConnection(true, 'row renewed')
    const lapsed = sentAt - renewedAt > leaseMs
    if (owns.length > 0 && !failedSince) ownLease.renewed(now() - renewedAt)
    failedSince = owns.length === 0
    renewedAt = sentAt
    leaseMs = nextLeaseMs
    listed = owns
    for (const listener of listeners) listener(sentAt, lapsed)
    return true
  }

  /** One write at a time; callers during a write share the one after it. */
  function renew(): Promise<boolean> {
    if (!writing) {
      writing = write().finally(() => (writing = undefined))
      return writing
    }
    following ??= writing.then(() => {
      following = undefined
      return renew()
    })
    return following
  }

  /** Reads the rows of all nodes. */
  async function poll(): Promise<boolean> {
    const sentAt = now()
    pollSentAt = sentAt
    const res = await follower.read()
    if (res.isErr()) {
      noteConnection(false, describeError(res.error))
      return false
    }
    noteConnection(true, 'nodes read')
    book.noteReading(res.value, sentAt, READ_GAP_PAUSES * pollPauseMs)
    firstPolledAt ??= now()
    await forgetDead()
    return true
  }

  async function refreshSoon(): Promise<void> {
    if (!refreshing && now() - pollSentAt <= REFRESH_MS) return
    refreshing ??= poll().finally(() => (refreshing = undefined))
    await refreshing
  }

  /** Removes the row of one node that has long been silent. */
  async function forgetDead(): Promise<void> {
    const dead = book.longDead(FORGET_NODE_MS)
    if (!dead) return
    const key = { table: NODES_TABLE, part: dead.part, key: dead.id }
    const conditions = [{ ...key, version: dead.version }]
    const res = await store.commit({ conditions, puts: [], removals: [key] })
    if (res.isErr()) log.event('platformDown', { reason: describeError(res.error) })
  }

  const isOwner = (): boolean => opts.owns().length > 0

  /** Whether this node owns something, or is among the next to do so. */
  function isNextOwner(): boolean {
    const rank = rankAmongCandidates(book, 0, opts.owns().length)
    return isOwner() || (rank !== undefined && rank < NEXT_OWNERS)
  }

  /** Time between two renewals while nothing is owned; the more nodes, the longer. */
  function idlePaceMs(): number {
    if (isNextOwner()) return IDLE_PACE_MS
    return Math.max(IDLE_PACE_MS, (book.members().length / IDLE_RENEWALS_PER_S) * 1000)
  }

  function renewalPauseMs(done: boolean): number {
    if (isOwner()) return done ? RENEW_MS : STORE_RETRY_MS
    // By what our row says: the others miss us after the lease that they have read.
    return done ? leaseMs / IDLE_LEASE_PACES : IDLE_RETRY_MS
  }

  async function runRenewals(): Promise<void> {
    while (!stopping.signal.aborted) {
      const done = await renew()
      await sleep(jittered(renewalPauseMs(done)), stopping.signal)
    }
  }

  async function runPolls(): Promise<void> {
    while (!stopping.signal.aborted) {
      const done = await poll()
      // Nodes start together: a few quick looks find those that are a moment behind.
      const young = registry.knownForMs() < SETTLE_MS
      const next = young || isNextOwner()
      // It may have become one of the next: only a fresh row lets it claim anything.
      if (done && next && now() - renewedAt > NODE_LEASE_MS) void renew()
      pollPauseMs = next ? RENEW_MS : Math.min(idlePaceMs(), IDLE_POLL_MAX_MS)
      const retryMs = next ? FIRST_POLL_MS : IDLE_RETRY_MS
      await sleep(jittered(young || !done ? retryMs : pollPauseMs), stopping.signal)
    }
  }

  const registry: NodeRegistry = {
    self: book.self,
    members: book.members,
    isLapsed: book.isLapsed,
    candidates: book.candidates,
    ownerOf: book.ownerOf,
    announce: async () => void (await renew()),
    isConnected: () => connected && now() - renewedAt < leaseMs,
    mayClaim: () => connected && now() - renewedAt < NODE_LEASE_MS,
    onRenewed: (listener) => void listeners.push(listener),
    rightUntil(service, sentAt) {
      // For a row that does not list the service the others wait by a fixed time.
      const lastsMs = listed.includes(service) ? leaseMs : NODE_LEASE_MS
      return Math.min(sentAt, renewedAt) + lastsMs
    },
    refresh: poll,
    async reread(other) {
      const row = await follower.readOne(other)
      if (row.isErr()) return false
      if (row.value) book.note(row.value)
      return true
    },
    refreshSoon,
    knownForMs: () => (firstPolledAt === undefined ? 0 : now() - firstPolledAt),
    async stop() {
      stopping.abort()
      await tasks
    },
  }
  const tasks = Promise.all([runRenewals(), runPolls()])
  return registry
}
