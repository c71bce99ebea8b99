/** What a caller hands in: a job of steps, each of equal tasks. */
import { z } from 'zod'
import { idSchema } from '../shared/index.js'

/** Largest number of tasks of one job over all steps: keeps one caller from filling a node. */
const MAX_TASKS_PER_JOB = 20_000
/**
 * Largest number of tasks over all repetitions: an owner keeps each of them in memory, about
 * 0.3 kB each, and a job of more would end each owner in turn.
 */
const MAX_TASKS_OVER_REPETITIONS = 200_000
/** Largest number of steps of one job. */
const MAX_STEPS = 200
/** Longest text that a job may pass to its tasks, in bytes. */
const MAX_SPEC_BYTES = 4000

/** One step: `count` equal tasks. */
const stepSchema = z.object({
  count: z.number().int().min(1).max(MAX_TASKS_PER_JOB),
  /** Thousandths of a core that a task asks for. */
  cpu: z.number().int().min(0).default(0),
  memMb: z.number().int().min(0).default(0),
  gpu: z.number().int().min(0).default(0),
  /** The caller's guess of a task's run time, in ms; often far off. */
  estimateMs: z.number().min(0).default(0),
  /** Earlier steps that must be done first. */
  after: z.array(z.number().int().min(0)).default([]),
  checkpoints: z.boolean().default(false),
  /** Tasks only work together: all start as one run, and one end counts for all. */
  gang: z.boolean().default(false),
  /** A gang that spans racks runs slower. */
  sameRack: z.boolean().default(false),
  /** Label that a target must have; empty for any. */
  label: z.string().default(''),
  /** Rack that holds the data; empty for none. */
  dataRack: z.string().default(''),
  /** Most tasks of the step on one target; 0 for no bound. */
  maxPerTarget: z.number().int().min(0).default(0),
  /** Copies of a task may run at the same time; the first end counts. */
  duplicates: z.boolean().default(false),
  /** Tasks run until the job is cancelled and are started again when they end. */
  lasting: z.boolean().default(false),
  /** Tasks of one image behave alike; empty when unknown. */
  image: z.string().default(''),
  /** Tail latency that a serving task should stay below, in ms; 0 for none. */
  tailMs: z.number().min(0).default(0),
  /** Tasks use only processor time that others leave; their `cpu` takes no room. */
  fills: z.boolean().default(false),
  /** Tasks of a lasting step that may be away at the same time through our doing. */
  mayMiss: z.number().int().min(0).optional(),
})
/** One step of a job. */
export type StepSpec = z.infer<typeof stepSchema>

/** Names of tasks begin with the job's id and a dot. */
const jobIdSchema = idSchema.regex(/^[^.]+$/, 'an id has no dot')

/** An accepted job. */
export const jobSchema = z.object({
  id: jobIdSchema,
  queue: z.string(),
  /** Service whose targets run it, as configured when it was accepted. */
  service: z.string(),
  /** Text passed to every task. */
  spec: z.string(),
  steps: z.array(stepSchema).min(1).max(MAX_STEPS),
  /** How often the steps run; 0 stands for once, at once. */
  repetitions: z.number().int().min(0).default(0),
  /** Due time of the first repetition, in ms since 1970. */
  startAtMs: z.number().default(0),
  intervalMs: z.number().min(0).default(0),
  /** When it was accepted, by the wall clock of the accepting node. */
  acceptedAtMs: z.number().default(0),
})
/** An accepted job. */
export type JobSpec = z.infer<typeof jobSchema>

/** State of a job as callers see it. */
export type JobStatus = 'queued' | 'running' | 'completed' | 'failed' | 'cancelled'

/** Final states; none of them changes again. */
export const outcomeSchema = z.enum(['completed', 'failed', 'cancelled'])
/** A final state. */
export type JobOutcome = z.infer<typeof outcomeSchema>

/** Says what is wrong with a job, or undefined when it can be accepted. */
export function describeJobProblem(job: JobSpec): string | undefined {
  let tasks = 0
  for (const [index, step] of job.steps.entries()) {
    if (step.after.some((each) => each >= index)) {
      return `step ${index} may only wait for earlier steps`
    }
    tasks += step.count
  }
  if (tasks > MAX_TASKS_PER_JOB) return `more than ${MAX_TASKS_PER_JOB} tasks`
  if (tasks * job.repetitions > MAX_TASKS_OVER_REPETITIONS) {
    return `more than ${MAX_TASKS_OVER_REPETITIONS} tasks over all repetitions`
  }
  if (Buffer.byteLength(job.spec) > MAX_SPEC_BYTES) {
    return `spec is longer than ${MAX_SPEC_BYTES} bytes`
  }
  return undefined
}
