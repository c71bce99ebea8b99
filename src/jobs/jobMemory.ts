/** Estimates what jobs take of the heap of their owner, and counts it over all owners of a node. */
import { monotonicMs } from '../shared/index.js'
import type { JobSpec, StepSpec } from './schema.js'

/** Memory of a job besides its texts, steps and tasks, in bytes. */
const JOB_BYTES = 2500
/** Memory of a step as its caller described it, besides its texts, in bytes. */
const STEP_SPEC_BYTES = 300
/** Memory of a step of an occurrence besides its tasks, in bytes. */
const STEP_BYTES = 400
/** Memory of a task that is not done, with its run on a target, in bytes. */
const TASK_BYTES = 600
/** Time over which the rate at which memory becomes free is averaged, in ms. */
const RATE_PERIOD_MS = 10_000

const sumOf = <T>(items: readonly T[], bytesOf: (item: T) => number): number =>
  items.reduce((sum, item) => sum + bytesOf(item), 0)

/** Two bytes a character, as for texts that are not Latin. */
const textBytes = (text: string): number => 2 * text.length

const stepSpecBytes = ({ label, dataRack, image, after }: StepSpec): number =>
  STEP_SPEC_BYTES + sumOf([label, dataRack, image], textBytes) + 8 * after.length

/** Memory of a job's texts and of what is kept of it until its rows are removed, in bytes. */
export function jobBytes({ spec, steps, queue, service, organisation }: JobSpec): number {
  const texts = [spec, queue, service, organisation ?? '']
  return JOB_BYTES + sumOf(texts, textBytes) + sumOf(steps, stepSpecBytes)
}

/** Memory of the tasks of one occurrence, in bytes. */
export const occurrenceBytes = ({ steps }: Pick<JobSpec, 'steps'>): number =>
  sumOf(steps, ({ count }) => STEP_BYTES + count * TASK_BYTES)

/** Memory that the owner of a job needs while the job is open, in bytes. */
export const openJobBytes = (job: JobSpec, occurrences = 1): number =>
  jobBytes(job) + Math.max(1, occurrences) * occurrenceBytes(job)

/** Memory for the jobs of all owners on a node. */
export interface JobMemory {
  /** Bytes that jobs may take in all. */
  readonly limit: number
  /** Bytes that are not taken; negative if more is taken than the limit allows. */
  free(): number
  /** Bytes that are free for new jobs, less what jobs left in the store wait for. */
  available(): number
  /** Changes the bytes that jobs left in the store wait for. */
  changeAwaited(bytes: number): void
  /** Rate at which memory has become free lately, in bytes a second. */
  freedPerSecond(): number
  /** Changes the bytes that are taken, whether or not they are free. */
  change(bytes: number): void
}

/** Creates the memory of a node; without a limit, everything fits. */
export function createJobMemory(limit = Infinity): JobMemory {
  let used = 0
  let awaited = 0
  let freed = 0
  let notedAt = monotonicMs()

  /** Weighs earlier releases less by their age. */
  function age(): void {
    const now = monotonicMs()
    freed *= Math.exp((notedAt - now) / RATE_PERIOD_MS)
    notedAt = now
  }

  return {
    limit,
    free: () => limit - used,
    available: () => limit - used - awaited,
    changeAwaited: (bytes) => void (awaited += bytes),
    freedPerSecond() {
      age()
      return (freed * 1000) / RATE_PERIOD_MS
    },
    change(bytes) {
      used += bytes
      if (bytes >= 0) return
      age()
      freed -= bytes
    },
  }
}
