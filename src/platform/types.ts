/**
 * Interface that rillshunt requires of the platform. Only this directory knows the wire
 * format; an adapter with the same interface can replace it without other changes.
 */
import type { Result } from 'neverthrow'
import { z } from 'zod'
import type { PlatformError } from '../shared/index.js'

/** One row of the transactional table. */
export const rowSchema = z.object({
  key: z.string(),
  /** Number of changes so far, 1 after the first; version 0 stands for an absent row. */
  version: z.number().int().min(1),
  /** Platform revision of the last change. */
  revision: z.number().int().min(0),
  /** Operation id of the last change. */
  op: z.string(),
  value: z.unknown(),
})
export type Row = z.infer<typeof rowSchema>

/** A change of one row, applied only when the row still has the expected version. */
export interface RowWrite {
  key: string
  /** Version that the row must have; 0 means that it must not exist. */
  version: number
  /** New value; null deletes the row. */
  value: unknown
}

/** A further condition: a field of a row must have this value. */
export interface RowGuard {
  key: string
  field: string
  equals: string | number
}

/** Atomic: either all writes take effect or none does. */
export interface Transaction {
  /** Unique; stored on every row that the transaction writes. */
  opId: string
  writes: RowWrite[]
  guards: RowGuard[]
}

/** Outcome of a transaction. */
export type TransactionOutcome =
  | { committed: true; revision: number }
  /** A condition did not hold; nothing was written. */
  | { committed: false; failedKey: string }

/** Rows that changed since a revision. */
export const changesSchema = z.object({
  revision: z.number().int().min(0),
  rows: z.array(rowSchema),
  deleted: z.array(z.string()),
  /** True when `rows` holds all rows rather than only the changed ones. */
  full: z.boolean(),
})
export type Changes = z.infer<typeof changesSchema>

/** One VM in the platform's list; the list lags behind the actual state. */
export const listedVmSchema = z.object({
  id: z.string(),
  hall: z.string(),
  rack: z.string(),
  /** Changes at each restart and replacement. */
  incarnation: z.string(),
  state: z.enum(['live', 'leaving']),
  /** `worker`: runs work of pools; `entry`: an entry VM of rillshunt. */
  role: z.enum(['worker', 'entry']),
  cpus: z.number().min(0),
  memoryGb: z.number().min(0),
})
export type ListedVm = z.infer<typeof listedVmSchema>

/** The list of VMs. */
export const vmListSchema = z.object({
  revision: z.number(),
  vms: z.array(listedVmSchema),
})
export type VmList = z.infer<typeof vmListSchema>

/** A task as the platform reports it. */
export const taskSchema = z.object({
  id: z.string(),
  vm: z.string(),
  incarnation: z.string(),
  state: z.enum(['starting', 'running', 'failed', 'stopped']),
  /** `IP:PORT` once the task runs. */
  address: z.string().optional(),
  reason: z.string().optional(),
  usedCpus: z.number().optional(),
})
export type Task = z.infer<typeof taskSchema>

/** The tasks of a hall. */
export const taskListSchema = z.object({
  revision: z.number(),
  tasks: z.array(taskSchema),
})
export type TaskList = z.infer<typeof taskListSchema>

/** A task to start on a VM. */
export interface TaskSpec {
  /** Unique per attempt. A second start with the same id has no effect. */
  id: string
  vm: string
  service: string
  cpus: number
  memoryGb: number
  /** The task is stopped when its lease is not renewed for this time, in ms; 0 means never. */
  leaseMs: number
}

/** Result of a platform call. */
export type PlatformResult<T> = Promise<Result<T, PlatformError>>

/** The platform. Every call ends within the configured time-out. */
export interface Platform {
  /** Reads rows by key; absent ones are left out. */
  read(keys: string[]): PlatformResult<Map<string, Row>>
  /** Reads the rows under the prefixes that changed after `since`; all when it is 0. */
  changes(prefixes: string[], since: number): PlatformResult<Changes>
  /** Attempts a transaction once; `commit` in this directory resolves lost replies. */
  transact(tx: Transaction): PlatformResult<TransactionOutcome>
  getObject(name: string): PlatformResult<unknown>
  putObject(name: string, value: unknown): PlatformResult<void>
  /** Lists the names of objects under a prefix, in order. */
  listObjects(prefix: string): PlatformResult<string[]>
  /** Reads the lagging list of VMs; undefined when it is unchanged since that revision. */
  listVms(hall: string | undefined, since: number): PlatformResult<VmList | undefined>
  /** Reads the tasks of a hall; undefined when they are unchanged since that revision. */
  listTasks(hall: string, since: number): PlatformResult<TaskList | undefined>
  startTask(spec: TaskSpec): PlatformResult<void>
  stopTask(id: string): PlatformResult<void>
  /** Tells the VM's tasks to finish; idempotent for an operation id. */
  drainVm(vm: string, opId: string): PlatformResult<void>
  /** Restarts the VM once per operation id. */
  rebootVm(vm: string, opId: string): PlatformResult<void>
  close(): Promise<void>
}
