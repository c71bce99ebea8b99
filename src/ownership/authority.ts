/** Authority to act as the owner of a service, and the owner that runs under it. */
import type { RowCondition, StoredRow } from '../ports/index.js'
import { GRACE_MS } from './constants.js'
import { epochKey, isSameOwner } from './epochRow.js'
import type { EpochRow } from './epochRow.js'

/** Authority of this node to act as the owner of a service. */
export interface Authority {
  readonly service: string
  /** Id of this node. */
  readonly node: string
  readonly term: number
  /** Whether the previous owner may still be active without a connection to the store. */
  readonly predecessorMayLive: boolean
  /** Monotonic time by which the previous owner's lease has certainly ended, in ms. */
  readonly predecessorLeaseOverAt: number
  /** Condition on the epoch row that every durable write of the owner carries. */
  epoch(): RowCondition
  /**
   * Returns whether the rows returned with a rejected write contain this owner's epoch; if so,
   * later writes use the version found there. An owner that checks that no other node took over
   * rewrites its epoch row, and its other writes may be rejected for that before the answer to
   * the rewrite arrives.
   */
  adoptEpoch(current: readonly StoredRow[]): boolean
  /** Whether orders may be sent now. Checked right before each order. */
  mayOrder(): boolean
  /** Whether the lease is valid, as opposed to expired but within the grace period. */
  isConfirmed(): boolean
  /** Time until the confirmed lease ends, in ms; 0 or negative once it has ended. */
  leaseLeftMs(): number
  /** Whether every node that may become the next owner reads the rows in the parts of nodes. */
  areNodeRostersRead(): boolean
  /** Whether the authority is lost for good; one that only lapsed may be confirmed again. */
  isLost(): boolean
  /** Reports that a write or an order was rejected because a newer owner exists. */
  markLost(reason: string): void
}

/** Component that runs while this node owns a service. */
export interface Owner {
  /**
   * Whether it has work, knows all runs that it has inherited, and lacks processor time on this node, so
   * that a node with more of it should be the owner; never by default.
   */
  lacksProcessor?(): boolean
  /**
   * Whether it has left jobs in the store for a while, as this node has no memory for them; never by
   * default.
   */
  lacksMemory?(): boolean
  /** Stops it; `handOver` is true when another node takes over as planned. */
  stop(handOver: boolean): Promise<void>
}

/** A service that this node owns. */
export interface OwnedService {
  /** Undefined until it has started. */
  owner: Owner | undefined
  /** Version of the epoch row. */
  version: number
  row: EpochRow
  /** Lease-clock time until which ownership is certain, in ms: the end of the lease. */
  confirmedUntil: number
  /** Whether the epoch row is being rewritten to check that no other node took over. */
  confirming: boolean
  lost: boolean
}

/** Creates the authority over a service that this node owns. */
export function createAuthority(opts: {
  service: string
  owned: OwnedService
  predecessorMayLive: boolean
  predecessorLeaseOverAt: number
  areNodeRostersRead(): boolean
  now(): number
  lost(reason: string): void
}): Authority {
  const { service, owned, now, lost } = opts
  return {
    service,
    node: owned.row.node,
    term: owned.row.term,
    predecessorMayLive: opts.predecessorMayLive,
    predecessorLeaseOverAt: opts.predecessorLeaseOverAt,
    epoch: () => ({ ...epochKey(service), version: owned.version }),
    adoptEpoch(current) {
      const { table, part, key } = epochKey(service)
      const row = current.find(
        (each) => each.table === table && each.part === part && each.key === key,
      )
      if (owned.lost || !row || !isSameOwner(row.value, owned.row)) return false
      owned.version = Math.max(owned.version, row.version)
      return true
    },
    mayOrder: () => !owned.lost && now() < owned.confirmedUntil + GRACE_MS,
    isConfirmed: () => !owned.lost && now() < owned.confirmedUntil,
    leaseLeftMs: () => (owned.lost ? 0 : owned.confirmedUntil - now()),
    areNodeRostersRead: opts.areNodeRostersRead,
    isLost: () => owned.lost,
    markLost: lost,
  }
}
