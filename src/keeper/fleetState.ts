/** State of a hall as its keeper reads it from rows and from the platform's lists. */
import type { z } from 'zod'
import {
  BUDGET_PREFIX,
  WAVE_PREFIX,
  budgetRowSchema,
  checkedValue,
  hallKey,
  jobPrefix,
  jobRowSchema,
  vmPrefix,
  vmRowSchema,
  waveRowSchema,
} from '../fleet/index.js'
import type { BudgetRow, JobRow, VmRow, WaveRow } from '../fleet/index.js'
import type { ListedVm, Row, Task } from '../platform/index.js'
import type { Logger } from '../shared/index.js'
import type { Table } from '../table/index.js'

/** A parsed row with the key and version that a conditional write needs. */
export interface Versioned<T> {
  key: string
  version: number
  revision: number
  value: T
}

/** The state of one hall. */
export interface FleetState {
  hall: string
  table: Table
  vms: Map<string, Versioned<VmRow>>
  jobs: Map<string, Versioned<JobRow>>
  /** Waves of this hall, by name. */
  waves: Map<string, Versioned<WaveRow>>
  /** Budgets of all halls, by service. */
  budgets: Map<string, Versioned<BudgetRow>>
  /** Worker VMs of this hall on the platform's list, by id. */
  listed: Map<string, ListedVm>
  tasks: Map<string, Task>
}

/** Prefixes of the rows that a keeper reads. */
export function keeperPrefixes(hall: string): string[] {
  return [vmPrefix(hall), jobPrefix(hall), WAVE_PREFIX, BUDGET_PREFIX, hallKey(hall)]
}

/** Builds the state. Rows that fail validation are logged and left out. */
export function readFleetState(input: {
  hall: string
  table: Table
  rows: ReadonlyMap<string, Row>
  listed: ListedVm[]
  tasks: Task[]
  log: Logger
}): FleetState {
  const { hall, table, rows, listed, tasks, log } = input
  const workers = listed.filter((vm) => vm.hall === hall && vm.role === 'worker')
  return {
    hall,
    table,
    vms: parseRows(rows, vmRowSchema, idBetween(vmPrefix(hall)), log),
    jobs: parseRows(rows, jobRowSchema, idBetween(jobPrefix(hall)), log),
    waves: parseRows(rows, waveRowSchema, idBetween(WAVE_PREFIX, `/${hall}`), log),
    budgets: parseRows(rows, budgetRowSchema, idBetween(BUDGET_PREFIX), log),
    listed: new Map(workers.map((vm) => [vm.id, vm])),
    tasks: new Map(tasks.map((task) => [task.id, task])),
  }
}

function parseRows<T>(
  rows: ReadonlyMap<string, Row>,
  schema: z.ZodType<T>,
  idOf: (key: string) => string | undefined,
  log: Logger,
): Map<string, Versioned<T>> {
  const found = new Map<string, Versioned<T>>()
  for (const [key, row] of rows) {
    const id = idOf(key)
    if (id === undefined) continue
    const value = checkedValue(row, schema, () => log.event('rowInvalid', { key }))
    if (value === undefined) continue
    const { version, revision } = row
    found.set(id, { key, version, revision, value })
  }
  return found
}

function idBetween(prefix: string, suffix = ''): (key: string) => string | undefined {
  return (key) => {
    const matches = key.startsWith(prefix) && key.endsWith(suffix)
    return matches ? key.slice(prefix.length, key.length - suffix.length) : undefined
  }
}

export function jobsOn(state: FleetState, vm: string): JobRow[] {
  const jobs: JobRow[] = []
  for (const { value } of state.jobs.values()) if (value.vm === vm) jobs.push(value)
  return jobs
}

/** Services of the table with an instance on the VM, once per instance. */
export function servicesOn(state: FleetState, vm: string): string[] {
  return jobsOn(state, vm)
    .map((job) => job.service)
    .filter((service) => state.table.services.has(service))
}
