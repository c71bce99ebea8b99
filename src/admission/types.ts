/** Load of a service, by which the fronts decide whether its new jobs can be served in time. */
import { z } from 'zod'

/** Largest amount in a load: 1e6 cores for 1e6 s, in cores times ms, is 1e15. */
const MAX_AMOUNT = 1e15
/** Most parts and names in a load; a service has a few queues and at most 56 organisations. */
const MAX_ENTRIES = 1000

const amountSchema = z.number().min(0).max(MAX_AMOUNT)

const backlogPartSchema = z.object({
  /** Priority of the queues; 0 is the highest. */
  priority: z.number(),
  /** Whether the jobs are beyond the shares of their organisations. */
  beyondShare: z.boolean(),
  /** Work of jobs that can still meet their objective, in cores times ms. */
  timelyWork: amountSchema,
  /** Work of jobs that cannot, but are still of use, in cores times ms. */
  lateWork: amountSchema,
  /** Tasks to be started of the former and of the latter jobs. */
  timelyStarts: amountSchema,
  lateStarts: amountSchema,
})
/** Waiting work of jobs that come at the same place in the order. */
export type BacklogPart = z.infer<typeof backlogPartSchema>

const priorityOrganisationsSchema = z.object({
  priority: z.number(),
  organisations: z.array(z.string()).max(MAX_ENTRIES),
})
/** Names of organisations in one priority. */
export type PriorityOrganisations = z.infer<typeof priorityOrganisationsSchema>

export const serviceLoadSchema = z.object({
  /** Term of the owner that computed the load. */
  term: z.number(),
  /** Increases with each load of one owner. */
  sequence: z.number(),
  /**
   * Idle room that no waiting task will take, in thousandths of a core. While there is any and the owner
   * keeps up with its starts, the fields below are left empty.
   */
  idleCpu: amountSchema,
  /**
   * Room for tasks that end which the service has or can get from other pools, in thousandths of a
   * core; undefined if unknown.
   */
  attainableCpu: amountSchema.optional(),
  /** Starts that the owner orders per second; undefined while it keeps up. */
  startsPerSecond: amountSchema.optional(),
  /** Work left of the tasks that run, in cores times ms. */
  runningWork: amountSchema.default(0),
  backlog: z.array(backlogPartSchema).max(MAX_ENTRIES).default([]),
  /**
   * Organisations with waiting jobs, by priority; undefined where organisations are not served by
   * turns. An organisation that is not among them waits for no work of its priority.
   */
  turns: z.array(priorityOrganisationsSchema).max(MAX_ENTRIES).optional(),
  /** Organisations whose newest jobs with tasks that may start are beyond their shares. */
  organisationsBeyond: z.array(priorityOrganisationsSchema).max(MAX_ENTRIES).default([]),
  /** Mean run time of a task by queue, in ms; without queues that have had few runs. */
  runMs: z.record(z.string(), amountSchema).default({}),
})
/** Load of a service, as its owner sends it to the fronts. */
export type ServiceLoad = z.infer<typeof serviceLoadSchema>
