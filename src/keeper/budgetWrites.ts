/** Row writes that charge instances to the budgets of their services and release them. */
import { budgetKey } from '../fleet/index.js'
import type { BudgetRow, Operation, VmRow } from '../fleet/index.js'
import type { RowWrite } from '../platform/index.js'
import type { FleetState } from './fleetState.js'

/** Charges the instances to their budgets. Keepers of all halls write the same rows. */
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

/** Releases the charges of the operation in the budgets of all services. */
export function releaseBudgets(state: FleetState, operation: Operation): RowWrite[] {
  const writes: RowWrite[] = []
  for (const { key, version, value } of state.budgets.values()) {
    const out = value.out.filter((each) => each.operation !== operation.id)
    if (out.length < value.out.length) writes.push({ key, version, value: { out } })
  }
  return writes
}
