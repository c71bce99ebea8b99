/** Interface for the control of VMs: list, moves between pools, maintenance. */
import type { Result } from 'neverthrow'
import type { PlatformError } from '../shared/index.js'
import type { Resources } from './targetOrders.js'

export type VmState = 'up' | 'moving' | 'maintenance' | 'down'

/** A VM in the list of the cloud. */
export interface Vm {
  name: string
  pool: string
  state: VmState
  hall: string
  labels: string[]
  capacity: Resources
  /** Id of the incarnation that runs on it; empty when none does. */
  targetId: string
}

/**
 * Longest time that an order is in flight, in ms; then its connection is reset, so that it
 * cannot arrive later. A cloud slowed 50 times answers within 0.3 s. A new owner of the fleet
 * waits this long after the lease of the previous owner.
 */
export const VM_ORDER_TIMEOUT_MS = 700

/** Authority under which VMs are ordered: lease holder and fencing token. */
export interface VmAuthority {
  holder: string
  token: number
}

/** Outcome of an order for a VM. */
export type VmOrderAnswer = 'accepted' | 'busy' | 'fenced' | 'notDue' | 'unknownVm'

/** All pages of the list of VMs. */
export interface VmList {
  vms: Vm[]
  /** Names of VMs whose rows cannot be read apart from the name. */
  unreadable: string[]
  /** Whether every row names its VM; otherwise a VM that the list lacks may still be listed. */
  isComplete: boolean
}

export type CloudResult<T> = Promise<Result<T, PlatformError>>

export interface VmCloud {
  list(): CloudResult<VmList>
  move(vm: string, pool: string, by: VmAuthority): CloudResult<VmOrderAnswer>
  maintain(vm: string, wave: number, by: VmAuthority): CloudResult<VmOrderAnswer>
}
