/**
 * The VMs as the owner of the fleet has read them. There is no inventory before the first complete read
 * of the list, and every decision about VMs takes one: VMs that were not read are not absent.
 */
import type { Vm } from '../ports/index.js'

/** The VMs as of the newest read of the list. */
export interface VmInventory {
  readonly vms: ReadonlyMap<string, Vm>
  /** Monotonic time at which the list was requested, in ms. */
  readonly requestedAt: number
}

/** Builds inventories from reads of the list. */
export interface VmInventoryReader {
  /** The newest inventory; undefined until a list has been read. */
  newest(): VmInventory | undefined
  /** Adopts a list that was requested at `requestedAt`. */
  adopt(vms: readonly Vm[], requestedAt: number): VmInventory
}

/** Creates a reader that has read no list. */
export function createVmInventoryReader(): VmInventoryReader {
  let newest: VmInventory | undefined
  return {
    newest: () => newest,
    adopt(vms, requestedAt) {
      newest = { vms: new Map(vms.map((vm) => [vm.name, vm])), requestedAt }
      return newest
    },
  }
}
