/**
 * Who owns which service. The truth is one epoch row per service: whoever wrote it last
 * is the owner, and every durable write of an owner depends on its version. The rows of
 * the nodes only tell the others whom to ask.
 */
import { z } from 'zod'
import type { RowCondition, RowKey, RowStore } from '../ports/index.js'
import {
  createStopController,
  describeError,
  jittered,
  monotonicMs,
  sleep,
} from '../shared/index.js'
import type { Logger } from '../shared/index.js'
import {
  CANDIDATE_STEP_MS,
  CLAIM_STEP_MS,
  GRACE_MS,
  NODE_LEASE_MS,
  SETTLE_MS,
  STORE_RETRY_MS,
} from './constants.js'
import type { Member, NodeRegistry } from './nodeRegistry.js'

/** Rows of epochs; the part is the service, as for the rows that depend on them. */
export const EPOCH_TABLE = 'epochs'
const EPOCH_KEY = 'epoch'

/** The fleet of VMs is owned like a service, under a name that no service can have. */
export const FLEET = '~fleet'

const epochSchema = z.object({
  /** Empty when the last owner gave it up. */
  node: z.string(),
  life: z.string(),
  /** Rises with each owner; fences the orders of earlier ones. */
  term: z.number(),
})
type EpochRow = z.infer<typeof epochSchema>

/** Reads an epoch row; undefined when it has the wrong shape. */
export function decodeEpoch(value: string): EpochRow | undefined {
  return epochSchema.safeParse(JSON.parse(value)).data
}

/** The right to act for a service. */
export interface Authority {
  readonly service: string
  readonly term: number
  /** Whether the predecessor may still be acting, out of touch with the store. */
  readonly predecessorMayLive: boolean
  /** Condition that every durable write of the owner carries. */
  epoch(): RowCondition
  /** Whether orders may be given now. Asked right before each of them. */
  mayOrder(): boolean
  /** Whether the lease is confirmed, not only in its grace time. */
  isConfirmed(): boolean
  /** Tells that a write was refused because the epoch has changed. */
  lost(reason: string): void
}

/** What runs while a service is owned. */
export interface Owner {
  /** Ends it; `handOver` when another node takes over in a planned way. */
  stop(handOver: boolean): Promise<void>
}

export interface Ownership {
  owned(): string[]
  /** Gives everything up, for a planned stop. */
  release(): Promise<void>
  stop(): Promise<void>
}

export interface OwnershipOptions {
  store: RowStore
  registry: NodeRegistry
  /** Services that need an owner now, the fleet included. */
  names(): string[]
  start(authority: Authority): Promise<Owner>
  log: Logger
  now?: () => number
}

interface Held {
  owner: Owner | undefined
  version: number
  row: EpochRow
  confirmedAt: number
  confirming: boolean
  lost: boolean
}

const epochKey = (service: string): RowKey => ({
  table: EPOCH_TABLE,
  part: service,
  key: EPOCH_KEY,
})

/** Starts claiming services that have no owner. */
export function createOwnership(opts: OwnershipOptions): Ownership {
  const { store, registry, log } = opts
  const now = opts.now ?? monotonicMs
  const stopping = createStopController()
  const held = new Map<string, Held>()
  const unownedSince = new Map<string, number>()
  const claiming = new Set<string>()
  let releasing = false

  const authorityEndsAt = (each: Held): number =>
    each.confirmedAt + NODE_LEASE_MS + GRACE_MS

  async function drop(service: string, reason: string): Promise<void> {
    const each = held.get(service)
    if (!each) return
    each.lost = true
    held.delete(service)
    log.event('ownershipLost', { service, term: each.row.term, reason })
    await each.owner?.stop(false)
    void registry.announce()
  }

  function authorityOf(service: string, each: Held, mayLive: boolean): Authority {
    return {
      service,
      term: each.row.term,
      predecessorMayLive: mayLive,
      epoch: () => ({ ...epochKey(service), version: each.version }),
      mayOrder: () => !each.lost && now() < authorityEndsAt(each),
      isConfirmed: () => !each.lost && now() < each.confirmedAt + NODE_LEASE_MS,
      lost: (reason) => void drop(service, reason),
    }
  }

  /**
   * Position of this node among those that may take the service; 0 comes first. Nodes
   * that own less come before those that own more, and services start at different nodes.
   */
  function rankFor(service: string): number | undefined {
    const candidates = registry.candidates()
    const { id, life } = registry.self
    if (candidates.find((each) => each.id === id)?.life !== life) return undefined
    const shift = Math.max(0, opts.names().indexOf(service)) % candidates.length
    const turned = [...candidates.slice(shift), ...candidates.slice(0, shift)]
    const countOf = (member: Member): number =>
      member.id === id ? held.size + claiming.size : member.owns.length
    turned.sort((a, b) => countOf(a) - countOf(b))
    return turned.findIndex((each) => each.id === id)
  }

  /** A live node that has long not listed a service does not know that it holds it. */
  function isForsaken(member: Member, service: string): boolean {
    const since = unownedSince.get(service) ?? now()
    return !member.owns.includes(service) && now() - since > 2 * NODE_LEASE_MS
  }

  /** Whether the holder that the epoch row names has no right to it any more. */
  function isHolderGone(row: EpochRow, service: string): boolean {
    if (row.node === '') return true
    const member = registry.members().find(({ id }) => id === row.node)
    if (row.node === registry.self.id) return true
    if (!member || member.life !== row.life) return true
    return registry.isLapsed(member) || isForsaken(member, service)
  }

  /** Whether the former owner may still act: only a silent one can. */
  function mayLive(row: EpochRow | undefined): boolean {
    if (!row || row.node === '' || row.node === registry.self.id) return false
    const member = registry.members().find(({ id }) => id === row.node)
    return member === undefined || member.life === row.life
  }

  async function claim(service: string): Promise<void> {
    const key = epochKey(service)
    // What was seen of the others may be old: after a cut, say, or a long pause.
    if (!(await registry.refresh()) || isOwnedElsewhere(service)) return
    const found = await store.read(EPOCH_TABLE, service)
    if (found.isErr())
      return log.event('claimFailed', { service, reason: describeError(found.error) })
    const row = found.value.rows[0]
    const before = row && decodeEpoch(row.value)
    if (before && !isHolderGone(before, service)) return
    const sentAt = now()
    const { id, life } = registry.self
    const next: EpochRow = { node: id, life, term: (before?.term ?? 0) + 1 }
    const res = await store.commit({
      conditions: [{ ...key, version: row?.version ?? 0 }],
      puts: [{ ...key, value: JSON.stringify(next) }],
      removals: [],
    })
    if (res.isErr())
      return log.event('claimFailed', { service, reason: describeError(res.error) })
    if (!res.value.committed) return
    const each: Held = {
      owner: undefined,
      version: res.value.version,
      row: next,
      confirmedAt: sentAt,
      confirming: false,
      lost: false,
    }
    held.set(service, each)
    unownedSince.delete(service)
    const predecessorMayLive = mayLive(before)
    log.event('ownershipTaken', {
      service,
      term: next.term,
      previous: before?.node ?? '',
      predecessorMayLive,
    })
    void registry.announce()
    const owner = await opts.start(authorityOf(service, each, predecessorMayLive))
    if (each.lost) await owner.stop(false)
    else each.owner = owner
  }

  /** After our lease had run out: makes sure that nobody took over, service by service. */
  async function confirm(service: string, each: Held): Promise<void> {
    if (each.confirming) return
    each.confirming = true
    while (!each.lost && !stopping.signal.aborted) {
      const sentAt = now()
      const res = await store.commit({
        conditions: [{ ...epochKey(service), version: each.version }],
        puts: [{ ...epochKey(service), value: JSON.stringify(each.row) }],
        removals: [],
      })
      if (res.isOk() && res.value.committed) {
        each.version = res.value.version
        each.confirmedAt = sentAt
        each.confirming = false
        log.event('ownershipConfirmed', { service, term: each.row.term })
        return
      }
      if (res.isOk()) {
        const current = res.value.committed ? undefined : res.value.current[0]
        if (current && isOwn(current.value, each.row)) each.version = current.version
        else return drop(service, 'another node took over')
      }
      await sleep(jittered(STORE_RETRY_MS), stopping.signal)
    }
  }

  registry.onRenewed((sentAt, lapsed) => {
    for (const [service, each] of held) {
      const stale = sentAt - each.confirmedAt > NODE_LEASE_MS
      if (lapsed || stale || each.confirming) void confirm(service, each)
      else each.confirmedAt = sentAt
    }
  })

  function isOwnedElsewhere(service: string): boolean {
    const owner = registry.ownerOf(service)
    return owner !== undefined && owner.id !== registry.self.id
  }

  function considerClaim(service: string): void {
    if (isOwnedElsewhere(service)) return void unownedSince.delete(service)
    if (registry.knownForMs() < SETTLE_MS) return
    const since = unownedSince.get(service) ?? now()
    unownedSince.set(service, since)
    const rank = rankFor(service)
    if (rank === undefined || now() - since < rank * CANDIDATE_STEP_MS) return
    claiming.add(service)
    void claim(service).finally(() => claiming.delete(service))
  }

  async function run(): Promise<void> {
    while (!stopping.signal.aborted) {
      for (const service of opts.names()) {
        if (releasing || !registry.isConnected()) break
        if (!held.has(service) && !claiming.has(service)) considerClaim(service)
      }
      await sleep(CLAIM_STEP_MS, stopping.signal)
    }
  }
  const task = run()

  async function releaseOne(service: string): Promise<void> {
    const each = held.get(service)
    if (!each) return
    await each.owner?.stop(true)
    const key = epochKey(service)
    const given: EpochRow = { ...each.row, node: '' }
    each.lost = true
    held.delete(service)
    const res = await store.commit({
      conditions: [{ ...key, version: each.version }],
      puts: [{ ...key, value: JSON.stringify(given) }],
      removals: [],
    })
    const reason = res.isErr() ? describeError(res.error) : ''
    log.event('ownershipReleased', { service, term: each.row.term, reason })
  }

  return {
    owned: () => [...held.keys()],
    async release() {
      releasing = true
      await Promise.all([...held.keys()].map(releaseOne))
      await registry.announce()
    },
    async stop() {
      stopping.abort()
      await task
      for (const [service, each] of held) {
        each.lost = true
        held.delete(service)
        await each.owner?.stop(false)
      }
    },
  }
}

function isOwn(value: string, row: EpochRow): boolean {
  const current = decodeEpoch(value)
  return current?.life === row.life && current.term === row.term
}
