/** Writes that take instances out of their budgets and give them back. */
import { budgetKey } from '../fleet/index.js'
import type { BudgetRow, Operation, VmRow } from '../fleet/index.js'
import type { RowWrite } from '../platform/index.js'
import type { FleetState } from './fleetState.js'

/** Takes the instances out of the budgets; every hall's holder writes the same rows. */
export function chargeBudgets(
  state: FleetState,
  vm: VmRow,
  services: string[],
): RowWrite[] {
  return [...new Set(services)].map((service) => {
    const row = state.budgets.get(service)
    const count = services.filter((each) => each === service).length
    const operation = vm.operation?.id ?? ''
    const entry = { hall: vm.hall, vm: vm.id, operation, count }
    const value: BudgetRow = { out: [...(row?.value.out ?? []), entry] }
    return { key: budgetKey(service), version: row?.version ?? 0, value }
  })
}

/** Gives back what the operation has taken, in all services. */
export function releaseBudgets(state: FleetState, operation: Operation): RowWrite[] {
  const writes: RowWrite[] = []
  for (const { key, version, value } of state.budgets.values()) {
    const out = value.out.filter((each) => each.operation !== operation.id)
    if (out.length < value.out.length) writes.push({ key, version, value: { out } })
  }
  return writes
}
