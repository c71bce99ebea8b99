/**
 * The nodes of this installation, by rows that each renews. Whether a node is alive is
 * judged by its row standing still for a lease time on our own steady clock.
 */
import { z } from 'zod'
import type { RowKey, RowStore } from '../ports/index.js'
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
  NODE_LEASE_MS,
  RENEW_MS,
  SETTLE_MS,
  STORE_RETRY_MS,
  TAKEOVER_MARGIN_MS,
} from './constants.js'

/** One row per node; the part is empty. */
export const NODES_TABLE = 'nodes'
const NODES_PART = ''

const nodeSchema = z.object({
  /** Changes at each start of the process. */
  life: z.string(),
  /** Where other nodes reach it. */
  address: z.string(),
  hall: z.string(),
  /** Services that it owns. */
  owns: z.array(z.string()),
  /** It stops soon and takes nothing on. */
  leaving: z.boolean(),
})
export type NodeRow = z.infer<typeof nodeSchema>

/** Reads a node's row; undefined when it has the wrong shape. */
export function decodeNode(value: string): NodeRow | undefined {
  return nodeSchema.safeParse(JSON.parse(value)).data
}

/** A node as last seen. */
export interface Member extends NodeRow {
  id: string
  version: number
  /** Steady time at which this version was first seen, in ms. */
  seenAt: number
}

export interface NodeRegistry {
  readonly self: { id: string; life: string; hall: string }
  members(): Member[]
  /** Whether a node's row has stood still for longer than its lease. */
  isLapsed(member: Member): boolean
  /** Live nodes that take on services, this one included while it is alive itself. */
  candidates(): Member[]
  /** The live node that says it owns the service. */
  ownerOf(service: string): Member | undefined
  /** Steady time up to which our own lease runs, in ms. */
  leaseEndsAt(): number
  /** Writes our row now, because what it says has changed. */
  announce(): Promise<void>
  /** Whether the store answered lately. */
  isConnected(): boolean
  /**
   * Called after each renewal.
   * @param listener `lapsed` is true when the lease had run out before it.
   */
  onRenewed(listener: (sentAt: number, lapsed: boolean) => void): void
  /** Reads the rows of the other nodes now; false when the store did not answer. */
  refresh(): Promise<boolean>
  /** Time since the rows of the others were first read, in ms. */
  knownForMs(): number
  stop(): Promise<void>
}

export interface NodeRegistryOptions {
  store: RowStore
  id: string
  life: string
  hall: string
  address: string
  /** Services that this node owns now. */
  owns(): string[]
  leaving(): boolean
  log: Logger
  now?: () => number
}

/** Starts renewing this node's row and watching the others. */
export function createNodeRegistry(opts: NodeRegistryOptions): NodeRegistry {
  const { store, id, life, hall, log } = opts
  const now = opts.now ?? monotonicMs
  const stopping = createStopController()
  const members = new Map<string, Member>()
  const listeners: ((sentAt: number, lapsed: boolean) => void)[] = []
  const ownKey: RowKey = { table: NODES_TABLE, part: NODES_PART, key: id }
  let ownVersion: number | undefined
  let renewedAt = -Infinity
  let polledAt = -Infinity
  let firstPolledAt: number | undefined
  let connected = true
  let writing: Promise<boolean> | undefined

  const noteConnection = (up: boolean, reason: string): void => {
    if (up === connected) return
    connected = up
    log.event(up ? 'platformBack' : 'platformDown', { reason })
  }

  async function write(): Promise<boolean> {
    const sentAt = now()
    const row: NodeRow = {
      life,
      address: opts.address,
      hall,
      owns: opts.owns(),
      leaving: opts.leaving(),
    }
    if (ownVersion === undefined) {
      const found = await store.read(NODES_TABLE, NODES_PART, {
        from: id,
        until: `${id}\u0000`,
      })
      if (found.isErr()) {
        noteConnection(false, describeError(found.error))
        return false
      }
      ownVersion = found.value.rows[0]?.version ?? 0
    }
    const res = await store.commit({
      conditions: [{ ...ownKey, version: ownVersion }],
      puts: [{ ...ownKey, value: JSON.stringify(row) }],
      removals: [],
    })
    if (res.isErr()) {
      // It may have been written: its version must be read before the next try.
      ownVersion = undefined
      noteConnection(false, describeError(res.error))
      return false
    }
    if (!res.value.committed) {
      ownVersion = res.value.current[0]?.version ?? 0
      return false
    }
    ownVersion = res.value.version
    noteConnection(true, 'row renewed')
    const lapsed = sentAt - renewedAt > NODE_LEASE_MS
    renewedAt = sentAt
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

  function note(row: { key: string; value: string; version: number }): void {
    const known = members.get(row.key)
    if (known?.version === row.version) return
    const node = decodeNode(row.value)
    if (!node) return log.event('rowInvalid', { table: NODES_TABLE, key: row.key })
    if (!known) log.event('nodeSeen', { seen: row.key, life: node.life })
    const { version } = row
    members.set(row.key, { ...node, id: row.key, version, seenAt: now() })
  }

  async function poll(): Promise<boolean> {
    const sentAt = now()
    const res = await store.read(NODES_TABLE, NODES_PART)
    if (res.isErr()) {
      noteConnection(false, describeError(res.error))
      return false
    }
    noteConnection(true, 'nodes read')
    const keys = new Set(res.value.rows.map(({ key }) => key))
    for (const key of members.keys()) if (!keys.has(key)) members.delete(key)
    for (const row of res.value.rows) note(row)
    polledAt = Math.max(polledAt, sentAt)
    firstPolledAt ??= now()
    await forgetDead()
    return true
  }

  async function forgetDead(): Promise<void> {
    const dead = [...members.values()].find(
      (each) => each.id !== id && polledAt - each.seenAt > FORGET_NODE_MS,
    )
    if (!dead) return
    const key = { table: NODES_TABLE, part: NODES_PART, key: dead.id }
    const conditions = [{ ...key, version: dead.version }]
    const res = await store.commit({ conditions, puts: [], removals: [key] })
    if (res.isErr()) log.event('platformDown', { reason: describeError(res.error) })
  }

  async function runRenewals(): Promise<void> {
    while (!stopping.signal.aborted) {
      const done = await renew()
      await sleep(jittered(done ? RENEW_MS : STORE_RETRY_MS), stopping.signal)
    }
  }

  async function runPolls(): Promise<void> {
    while (!stopping.signal.aborted) {
      const done = await poll()
      // Nodes start together: a few quick looks find those that are a moment behind.
      const young = registry.knownForMs() < SETTLE_MS
      const pauseMs = young || !done ? FIRST_POLL_MS : RENEW_MS
      await sleep(jittered(pauseMs), stopping.signal)
    }
  }

  const isLapsed = (member: Member): boolean =>
    polledAt - member.seenAt > NODE_LEASE_MS + TAKEOVER_MARGIN_MS

  const registry: NodeRegistry = {
    self: { id, life, hall },
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
    leaseEndsAt: () => renewedAt + NODE_LEASE_MS,
    announce: async () => void (await renew()),
    isConnected: () => connected && now() - renewedAt < NODE_LEASE_MS,
    onRenewed: (listener) => void listeners.push(listener),
    refresh: poll,
    knownForMs: () => (firstPolledAt === undefined ? 0 : now() - firstPolledAt),
    async stop() {
      stopping.abort()
      await tasks
    },
  }
  const tasks = Promise.all([runRenewals(), runPolls()])
  return registry
}
