/** Counts the unavailable instances of a service and checks its budget. */
import { acceptsWork } from '../fleet/index.js'
import type { BudgetRow, JobRow, VmRow } from '../fleet/index.js'
import type { ServiceLine, Table } from '../table/index.js'

/** State from which the use of budgets is computed. */
export interface BudgetInput {
  table: Table
  /** VMs and jobs of the own hall. */
  vms: readonly VmRow[]
  jobs: readonly JobRow[]
  /** Budgets of all halls, by service. */
  budgets: ReadonlyMap<string, BudgetRow>
  hall: string
}

/**
 * Returns why the budgets forbid stopping these instances; undefined if they allow it.
 * @param services one entry per instance.
 */
export function budgetShortage(
  input: BudgetInput,
  services: readonly string[],
): string | undefined {
  for (const service of new Set(services)) {
    const line = input.table.services.get(service)
    if (!line) continue
    const requested = services.filter((each) => each === service).length
    const unavailable = unavailableInstances(input, service, line)
    if (unavailable + requested <= line.budget) continue
    return `'${service}' has ${unavailable} of its budget of ${line.budget} away`
  }
  return undefined
}

/**
 * Counts the unavailable instances: those that any hall has charged to the budget, and
 * those of this hall that are missing for another reason.
 */
export function unavailableInstances(
  input: BudgetInput,
  service: string,
  line: ServiceLine,
): number {
  const planned = input.budgets.get(service)?.out ?? []
  const total = planned.reduce((sum, each) => sum + each.count, 0)
  const plannedInHall = planned
    .filter((each) => each.hall === input.hall)
    .reduce((sum, each) => sum + each.count, 0)
  const vms = new Map(input.vms.map((vm) => [vm.id, vm]))
  const available = input.jobs.filter((job) => {
    const vm = vms.get(job.vm)
    const serves = acceptsWork(vm) && vm?.incarnation === job.incarnation
    return job.service === service && job.state === 'running' && serves
  }).length
  const missing = Math.max(0, line.instances - available)
  return total + Math.max(0, missing - plannedInHall)
}
