/**
 * The nodes of this installation, by rows that each renews. Whether a node is alive is
 * judged by its row standing still for a lease time on our own steady clock.
 */
import type { RowChange, RowStore } from '../ports/index.js'
import {
  createStopController,
  describeError,
  jittered,
  monotonicMs,
  sleep,
} from '../shared/index.js'
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
  RETURN_MS,
  SETTLE_MS,
  STORE_RETRY_MS,
  TAKEOVER_MARGIN_MS,
} from './constants.js'
import { rankAmongCandidates } from './claimRules.js'
import { NODES_TABLE, decodeNode } from './nodeRow.js'
import type { NodeRow } from './nodeRow.js'
import { createNodeRowFollower } from './nodeRowFollower.js'
import { createNodeRowWriter } from './nodeRowWriter.js'

/** A node as last seen. */
export interface Member extends NodeRow {
  id: string
  /** Part of the store in which this version was seen. */
  part: string
  version: number
  /** Steady time at which this version was first seen, in ms. */
  seenAt: number
}

/** This node's row, kept fresh, and the rows of the others. */
export interface NodeRegistry {
  readonly self: { id: string; life: string }
  members(): Member[]
  /** Whether a node's row has stood still for longer than its lease. */
  isLapsed(member: Member): boolean
  /** Live nodes that take on services, this one included while it is alive itself. */
  candidates(): Member[]
  /** The live node that says it owns the service. */
  ownerOf(service: string): Member | undefined
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
  onRenewed(listener: (sentAt: number, lapsed: boolean) => void): void
  /** Reads the rows of the other nodes now; false when the store did not answer. */
  refresh(): Promise<boolean>
  /** The same soon: somebody was not found where the rows said. */
  refreshSoon(): void
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
  const now = opts.now ?? monotonicMs
  const stopping = createStopController()
  const members = new Map<string, Member>()
  const listeners: ((sentAt: number, lapsed: boolean) => void)[] = []
  const follower = createNodeRowFollower(store)
  const writer = createNodeRowWriter(store, id)
  let renewedAt = -Infinity
  /** Lease that our row says. */
  let leaseMs = NODE_LEASE_MS
  let pollPauseMs = RENEW_MS
  let polledAt = -Infinity
  /** Start of the last reading, and of the readings since the last gap. */
  let pollSentAt = -Infinity
  let steadySince = -Infinity
  let firstPolledAt: number | undefined
  let connected = true
  let writing: Promise<boolean> | undefined

  const noteConnection = (up: boolean, reason: string): void => {
    if (up === connected) return
    connected = up
    log.event(up ? 'platformBack' : 'platformDown', { reason })
  }

  /** Writes this node's row once; false when that was not done, or is not known. */
  async function write(): Promise<boolean> {
    const sentAt = now()
    const owns = opts.owns()
    const nextLeaseMs = owns.length > 0 ? NODE_LEASE_MS : idlePaceMs() * IDLE_LEASE_PACES
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
      noteConnection(false, describeError(res.error))
      return false
    }
    if (!res.value) return false
    noteConnection(true, 'row renewed')
    const lapsed = sentAt - renewedAt > leaseMs
    renewedAt = sentAt
    leaseMs = nextLeaseMs
    for (const listener of listeners) listener(sentAt, lapsed)
    return true
  }

  /** One write at a time; a caller during a write gets a fresh one after it. */
  async function renew(): Promise<boolean> {
    while (writing) await writing
    writing = write()
    const done = await writing
    writing = undefined
    return done
  }

  /** Takes a row of any node. Readings overtake each other: one that is not newer is none. */
  function note(row: RowChange): void {
    const known = members.get(row.key)
    if (known && known.version >= row.version) return
    if (row.value === undefined) {
      if (known?.part === row.part) members.delete(row.key)
      return
    }
    const node = decodeNode(row.value)
    if (!node) return log.event('rowInvalid', { table: NODES_TABLE, key: row.key })
    if (!known && firstPolledAt !== undefined)
      log.event('nodeSeen', { seen: row.key, life: node.life })
    const { part, version } = row
    members.set(row.key, { ...node, id: row.key, part, version, seenAt: now() })
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
    const { complete, rows } = res.value
    const keys = new Set(rows.map(({ key }) => key))
    if (complete) {
      for (const key of members.keys()) if (!keys.has(key)) members.delete(key)
    }
    for (const row of rows) note(row)
    const gapMs = READ_GAP_PAUSES * pollPauseMs
    if (sentAt - polledAt > gapMs && polledAt > -Infinity) steadySince = sentAt
    polledAt = Math.max(polledAt, sentAt)
    noteFirst()
    await forgetDead()
    return true
  }

  /** Says how many the first reading has brought; 97 nodes wrote 8,730 lines of one each. */
  function noteFirst(): void {
    if (firstPolledAt !== undefined) return
    firstPolledAt = now()
    log.event('nodesSeen', { count: members.size })
  }

  /** Removes the row of one node that has long been silent. */
  async function forgetDead(): Promise<void> {
    const dead = [...members.values()].find(
      (each) => each.id !== id && polledAt - each.seenAt > each.leaseMs + FORGET_NODE_MS,
    )
    if (!dead) return
    const key = { table: NODES_TABLE, part: dead.part, key: dead.id }
    const conditions = [{ ...key, version: dead.version }]
    const res = await store.commit({ conditions, puts: [], removals: [key] })
    if (res.isErr()) log.event('platformDown', { reason: describeError(res.error) })
  }

  const isOwner = (): boolean => opts.owns().length > 0

  /** Whether this node owns something, or is among the next to do so. */
  function isNextOwner(): boolean {
    const rank = rankAmongCandidates(registry, 0, opts.owns().length)
    return isOwner() || (rank !== undefined && rank < NEXT_OWNERS)
  }

  /** Time between two renewals while nothing is owned; the more nodes, the longer. */
  function idlePaceMs(): number {
    if (isNextOwner()) return IDLE_PACE_MS
    return Math.max(IDLE_PACE_MS, (members.size / IDLE_RENEWALS_PER_S) * 1000)
  }

  function renewalPauseMs(done: boolean): number {
    if (isOwner()) return done ? RENEW_MS : STORE_RETRY_MS
    return done ? idlePaceMs() : IDLE_RETRY_MS
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

  /** A row that was seen to stand still counts, not one that we could not read. */
  const isLapsed = (member: Member): boolean =>
    polledAt - member.seenAt > member.leaseMs + TAKEOVER_MARGIN_MS &&
    polledAt - steadySince > RETURN_MS

  const registry: NodeRegistry = {
    self: { id, life },
    members: () => [...members.values()],
    isLapsed,
    candidates: () =>
      [...members.values()]
        .filter((each) => !each.leaving && !isLapsed(each))
        .sort((a, b) => (a.id < b.id ? -1 : 1)),
    ownerOf: (service) =>
      [...members.values()].find(
        (each) => each.owns.includes(service) && !isLapsed(each),
      ),
    announce: async () => void (await renew()),
    isConnected: () => connected && now() - renewedAt < leaseMs,
    mayClaim: () => connected && now() - renewedAt < NODE_LEASE_MS,
    onRenewed: (listener) => void listeners.push(listener),
    refresh: poll,
    async reread(other) {
      const row = await follower.readOne(other)
      if (row.isErr()) return false
      if (row.value) note(row.value)
      return true
    },
    refreshSoon: () => void (now() - pollSentAt > REFRESH_MS && poll()),
    knownForMs: () => (firstPolledAt === undefined ? 0 : now() - firstPolledAt),
    async stop() {
      stopping.abort()
      await tasks
    },
  }
  const tasks = Promise.all([runRenewals(), runPolls()])
  return registry
}
