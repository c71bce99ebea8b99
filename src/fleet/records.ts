/** Schemas and keys of the rows of VMs, jobs, waves, budgets, leases and halls. */
import { z } from 'zod'

/** Operation in progress on a VM, kept in the VM's row until it is finished. */
export const operationSchema = z.object({
  /** Also the operation id of the platform calls, which makes them idempotent. */
  id: z.string(),
  kind: z.enum(['move', 'maintain']),
  /** Destination pool of a move. */
  toPool: z.string().optional(),
  /** Wave that a maintenance belongs to. */
  wave: z.string().optional(),
  /** Incarnation of the VM before the reboot. */
  fromIncarnation: z.string(),
  /** Services whose instances the operation removes, listed once per instance. */
  services: z.array(z.string()),
})
export type Operation = z.infer<typeof operationSchema>

/** Contents of `vms/<hall>/<id>`. A VM belongs to exactly the pool in its row. */
export const vmRowSchema = z.object({
  id: z.string(),
  hall: z.string(),
  rack: z.string(),
  pool: z.string(),
  /** Increases with every change of pool or state. */
  generation: z.number().int().min(1),
  incarnation: z.string(),
  /**
   * `active` accepts work; `evacuating` still does while its jobs are replaced on other VMs;
   * `leaving` finishes its current work; `away` is restarting; `gone` is no longer listed.
   */
  state: z.enum(['active', 'evacuating', 'leaving', 'away', 'gone']),
  cpus: z.number(),
  memoryGb: z.number(),
  operation: operationSchema.optional(),
})
export type VmRow = z.infer<typeof vmRowSchema>

/** Whether targets on the VM may be given new work. */
export function acceptsWork(vm: VmRow | undefined): boolean {
  return vm?.state === 'active' || vm?.state === 'evacuating'
}

/** Contents of `jobs/<hall>/<id>`: one attempt to run an instance of a service on a VM. */
export const jobRowSchema = z.object({
  /** Also the task id at the platform; never reused. */
  id: z.string(),
  service: z.string(),
  hall: z.string(),
  vm: z.string(),
  /** Incarnation of the VM that the task was started on. */
  incarnation: z.string(),
  state: z.enum(['starting', 'running', 'stopping']),
  /** `IP:PORT`, set once the job runs. */
  address: z.string().optional(),
  slots: z.number().int().min(1),
})
export type JobRow = z.infer<typeof jobRowSchema>

/** Contents of `leases/<hall>`. */
export const leaseRowSchema = z.object({
  /** Node id and incarnation; empty after the lease was released. */
  holder: z.string(),
  /** Fencing token: increases with every change of holder; a condition of all its writes. */
  fence: z.number().int().min(1),
  ttlMs: z.number().int().min(1),
  /** Wall-clock time of the last renewal, for operators only. */
  renewedAt: z.string(),
})
export type LeaseRow = z.infer<typeof leaseRowSchema>

/** Contents of `waves/<wave>/<hall>`. */
export const waveRowSchema = z.object({
  wave: z.string(),
  hall: z.string(),
  /** Ids of the VMs that have been maintained. */
  done: z.array(z.string()),
  doing: z.array(z.string()),
  /** Reason why the wave is halted; empty while it is not. */
  halted: z.string(),
  finished: z.boolean(),
})
export type WaveRow = z.infer<typeof waveRowSchema>

/** Instances that an operation has made unavailable. */
const disruptionSchema = z.object({
  hall: z.string(),
  vm: z.string(),
  operation: z.string(),
  count: z.number().int().min(1),
})

/** Contents of `budgets/<service>`. */
export const budgetRowSchema = z.object({ out: z.array(disruptionSchema) })
export type BudgetRow = z.infer<typeof budgetRowSchema>

/** Contents of `halls/<hall>`: status of a hall for operators. */
export const hallRowSchema = z.object({
  hall: z.string(),
  /** Lowest epoch in force at any entry that answers. */
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
/** Key of the row that exists once an entry has run, `lives/<entry>`. */
export const lifeKey = (entry: string): string => `lives/${entry}`
export const HALL_PREFIX = 'halls/'
export const hallKey = (hall: string): string => `${HALL_PREFIX}${hall}`
export const LEASE_PREFIX = 'leases/'
export const BUDGET_PREFIX = 'budgets/'
export const WAVE_PREFIX = 'waves/'
