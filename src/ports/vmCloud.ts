/** Control of VMs: the list, moves between pools, maintenance. */
import type { Result } from 'neverthrow'
import type { PlatformError } from '../shared/index.js'
import type { Resources } from './targetOrders.js'

export type VmState = 'up' | 'moving' | 'maintenance' | 'down'

/** A VM as the cloud lists it. */
export interface Vm {
  name: string
  pool: string
  state: VmState
  hall: string
  labels: string[]
  capacity: Resources
  /** Id of the life that runs on it; empty when none does. */
  targetId: string
}

/**
 * Longest time for which an order is under way, in ms: then its connection is reset, and
 * it cannot arrive any more. A cloud that is slowed 50 times answers within 0.3 s. A new
 * owner of the fleet waits so long after its predecessor's lease.
 */
export const ORDER_IN_FLIGHT_MS = 700

/** Who gives an order for VMs. */
export interface VmAuthority {
  holder: string
  token: number
}

/** Outcome of an order for a VM. */
export type VmOrderAnswer = 'accepted' | 'busy' | 'fenced' | 'notDue' | 'unknownVm'

export type CloudResult<T> = Promise<Result<T, PlatformError>>

export interface VmCloud {
  list(): CloudResult<Vm[]>
  move(vm: string, pool: string, by: VmAuthority): CloudResult<VmOrderAnswer>
  maintain(vm: string, wave: number, by: VmAuthority): CloudResult<VmOrderAnswer>
}
