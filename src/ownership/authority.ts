/** The right to act for a service, and what is started with it. */
import type { RowCondition, StoredRow } from '../ports/index.js'
import { GRACE_MS } from './constants.js'
import { epochKey, isSameOwner } from './epochRow.js'
import type { EpochRow } from './epochRow.js'

/** The right to act for a service. */
export interface Authority {
  readonly service: string
  readonly term: number
  /** Whether the predecessor may still be acting, out of touch with the store. */
  readonly predecessorMayLive: boolean
  /** Steady time at which the predecessor's lease was over for certain, in ms. */
  readonly predecessorLeaseOverAt: number
  /** Condition that every durable write of the owner carries. */
  epoch(): RowCondition
  /**
   * Whether the rows that a refused write was shown have this owner's epoch. A newer version of
   * it counts from then on: an owner that makes sure that nobody took over writes one, and its
   * other writes may be refused for it before it has heard that it was done.
   */
  adoptEpoch(current: readonly StoredRow[]): boolean
  /** Whether orders may be given now. Asked right before each of them. */
  mayOrder(): boolean
  /** Whether the lease is confirmed, not only in its grace time. */
  isConfirmed(): boolean
  /** Time until the confirmed lease ends, in ms; not above 0 when it has. */
  leaseLeftMs(): number
  /** Whether it is over for good; one that may give no orders now may be confirmed later. */
  isLost(): boolean
  /** Tells that a write was refused because the epoch has changed. */
  lost(reason: string): void
}

/** What runs while a service is owned. */
export interface Owner {
  /** Ends it; `handOver` when another node takes over in a planned way. */
  stop(handOver: boolean): Promise<void>
}

/** A service that this node owns. */
export interface OwnedService {
  /** Undefined while it starts. */
  owner: Owner | undefined
  /** Version of the epoch row. */
  version: number
  row: EpochRow
  /** Steady time up to which the ownership holds for certain, in ms: the end of its lease. */
  confirmedUntil: number
  /** Whether the epoch row is being written to see that it still holds. */
  confirming: boolean
  lost: boolean
}

/** The authority over a service, as long as it is held. */
export function createAuthority(opts: {
  service: string
  owned: OwnedService
  predecessorMayLive: boolean
  predecessorLeaseOverAt: number
  now(): number
  lost(reason: string): void
}): Authority {
  const { service, owned, now, lost } = opts
  return {
    service,
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
    isLost: () => owned.lost,
    lost,
  }
}
