/**
 * The VMs as the owner of the fleet has read them. There is no inventory before the first complete read
 * of the list, and every decision about VMs takes one: VMs that were not read are not absent.
 */
import type { Vm, VmList } from '../ports/index.js'
import { GONE_AFTER_MS } from './constants.js'

/** The VMs as of the newest read of the list. */
export interface VmInventory {
  /** Listed VMs by name. */
  readonly vms: ReadonlyMap<string, Vm>
  /** Monotonic time at which the list was requested, in ms. */
  readonly requestedAt: number
  /**
   * Whether the VM no longer exists: all lists of `GONE_AFTER_MS` lack it. A single list may lack a VM
   * that changes its place between two pages, or whose row cannot be read.
   */
  isGone(name: string): boolean
}

/** Builds inventories from reads of the list. */
export interface VmInventoryReader {
  /** The newest inventory; undefined until a list has been read. */
  newest(): VmInventory | undefined
  /** Adopts a list that was requested at `requestedAt`. */
  adopt(list: VmList, requestedAt: number): VmInventory
}

/** Creates a reader that has read no list. */
export function createVmInventoryReader(): VmInventoryReader {
  let newest: VmInventory | undefined
  /** Monotonic time of the newest list that names the VM, in ms. */
  const namedAt = new Map<string, number>()
  /**
   * Monotonic times of the latest lists, in ms, oldest first; each names all of its VMs. They reach
   * back to the last time that is at least `GONE_AFTER_MS` old.
   */
  let completeAt: number[] = []

  function noteRead({ vms, unreadable, isComplete }: VmList, requestedAt: number): void {
    for (const { name } of vms) namedAt.set(name, requestedAt)
    for (const name of unreadable) namedAt.set(name, requestedAt)
    completeAt = isComplete ? [...completeAt, requestedAt] : []
    while ((completeAt[1] ?? Infinity) <= requestedAt - GONE_AFTER_MS) completeAt.shift()
  }

  return {
    newest: () => newest,
    adopt(list, requestedAt) {
      noteRead(list, requestedAt)
      const vms = new Map(list.vms.map((vm) => [vm.name, vm]))
      newest = {
        vms,
        requestedAt,
        isGone(name) {
          if (vms.has(name)) return false
          const lastNamedAt = namedAt.get(name) ?? -Infinity
          const absentSince = completeAt.find((at) => at > lastNamedAt) ?? Infinity
          return requestedAt - absentSince >= GONE_AFTER_MS
        },
      }
      return newest
    },
  }
}
