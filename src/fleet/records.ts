/** Rows of VMs, jobs, waves, budgets and leases: shapes and keys. */
import { z } from 'zod'

/** What is being done to a VM; it stands in the VM's row until it is finished. */
export const operationSchema = z.object({
  /** Also the operation id of the platform calls, which are idempotent under it. */
  id: z.string(),
  kind: z.enum(['move', 'maintain']),
  /** Pool after a move. */
  toPool: z.string().optional(),
  /** Wave of a maintenance. */
  wave: z.string().optional(),
  /** Incarnation before a reboot. */
  fromIncarnation: z.string(),
  /** Services with an instance that the operation takes away, once per instance. */
  services: z.array(z.string()),
})
export type Operation = z.infer<typeof operationSchema>

/** Contents of `vms/<hall>/<id>`. A VM is in exactly the pool of its row. */
export const vmRowSchema = z.object({
  id: z.string(),
  hall: z.string(),
  rack: z.string(),
  pool: z.string(),
  /** Grows with every change of pool or state. */
  generation: z.number().int().min(1),
  incarnation: z.string(),
  /**
   * `active` takes work; `evacuating` still does while its jobs are replaced elsewhere;
   * `leaving` finishes what it has; `away` is restarting; `gone` is off the list.
   */
  state: z.enum(['active', 'evacuating', 'leaving', 'away', 'gone']),
  cpus: z.number(),
  memoryGb: z.number(),
  operation: operationSchema.optional(),
})
export type VmRow = z.infer<typeof vmRowSchema>

/** Whether targets on the VM may get new work. */
export function servesWork(vm: VmRow | undefined): boolean {
  return vm?.state === 'active' || vm?.state === 'evacuating'
}

/** Contents of `jobs/<hall>/<id>`: one attempt to run a service's instance on a VM. */
export const jobRowSchema = z.object({
  /** Also the task id at the platform; never used twice. */
  id: z.string(),
  service: z.string(),
  hall: z.string(),
  vm: z.string(),
  /** Incarnation of the VM that the task was started on. */
  incarnation: z.string(),
  state: z.enum(['starting', 'running', 'stopping']),
  /** `IP:PORT` once it runs. */
  address: z.string().optional(),
  slots: z.number().int().min(1),
})
export type JobRow = z.infer<typeof jobRowSchema>

/** Contents of `leases/<hall>`. */
export const leaseRowSchema = z.object({
  /** Node id and incarnation; empty when given up. */
  holder: z.string(),
  /** Grows with every change of holder; a condition of every write of the holder. */
  fence: z.number().int().min(1),
  ttlMs: z.number().int().min(1),
  /** Time of day of the last renewal, for people only. */
  renewedAt: z.string(),
})
export type LeaseRow = z.infer<typeof leaseRowSchema>

/** Contents of `waves/<wave>/<hall>`. */
export const waveRowSchema = z.object({
  wave: z.string(),
  hall: z.string(),
  /** VMs maintained, by id. */
  done: z.array(z.string()),
  doing: z.array(z.string()),
  /** Why the wave stands still; empty while it does not. */
  halted: z.string(),
  finished: z.boolean(),
})
export type WaveRow = z.infer<typeof waveRowSchema>

/** One instance that is away by our doing. */
const disruptionSchema = z.object({
  hall: z.string(),
  vm: z.string(),
  operation: z.string(),
  count: z.number().int().min(1),
})

/** Contents of `budgets/<service>`. */
export const budgetRowSchema = z.object({ out: z.array(disruptionSchema) })
export type BudgetRow = z.infer<typeof budgetRowSchema>

/** Contents of `halls/<hall>`: what operators see of a hall. */
export const hallRowSchema = z.object({
  hall: z.string(),
  /** Lowest epoch in force at the entries that answer. */
  epoch: z.number().int().min(0),
  entries: z.array(z.object({ id: z.string(), epoch: z.number(), reached: z.boolean() })),
})
export type HallRow = z.infer<typeof hallRowSchema>

export const VM_ROOT = 'vms/'
export const vmPrefix = (hall: string): string => `${VM_ROOT}${hall}/`
export const vmKey = (hall: string, id: string): string => `${vmPrefix(hall)}${id}`
export const JOB_ROOT = 'jobs/'
export const jobPrefix = (hall: string): string => `${JOB_ROOT}${hall}/`
export const jobKey = (hall: string, id: string): string => `${jobPrefix(hall)}${id}`
export const leaseKey = (hall: string): string => `leases/${hall}`
export const waveKey = (wave: string, hall: string): string => `waves/${wave}/${hall}`
export const budgetKey = (service: string): string => `budgets/${service}`
/** Contents of `lives/<entry>`: the entry ran before. */
export const lifeKey = (entry: string): string => `lives/${entry}`
export const HALL_PREFIX = 'halls/'
export const hallKey = (hall: string): string => `${HALL_PREFIX}${hall}`
export const LEASE_PREFIX = 'leases/'
export const BUDGET_PREFIX = 'budgets/'
export const WAVE_PREFIX = 'waves/'
