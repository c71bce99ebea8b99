/** Admission of the jobs that callers submit to this node. */
import { createHash } from 'node:crypto'
import { canWait } from '../jobs/index.js'
import type { JobSpec } from '../jobs/index.js'
import type { Queue } from '../ports/index.js'
import { monotonicMs } from '../shared/index.js'
import type { EventFields } from '../shared/index.js'
import {
  MAX_LOAD_AGE_MS,
  canUseIdleRoom,
  decideAdmission,
  retryAfterMs,
} from './decision.js'
import type { RefusalReason } from './decision.js'
import type { KnownLoad } from './latestLoads.js'
import { createRetryLimit } from './retryLimit.js'
import { createTries, mayBeStored } from './tries.js'
import type { Try } from './tries.js'

/** Reasons for which the front refuses a job before its row is written, as callers read them. */
export const REFUSAL_TEXTS: Record<RefusalReason | 'returning', string> = {
  backlog: 'the job cannot be served in time, as the service is overloaded',
  beyondShare:
    'the job cannot be served in time, as the organisation is beyond its share',
  starts: 'the job cannot be served in time, as too many tasks wait to be started',
  returning: 'too many refused jobs return at the same time',
}
/** Name of a reason. */
export type FrontRefusalReason = keyof typeof REFUSAL_TEXTS

/** Time after which a job that exceeds the limit of returning jobs should come back, in ms. */
const RETURN_WAIT_MS = 1000

/** A refusal before the job's row is written. */
export interface Refusal {
  reason: FrontRefusalReason
  retryAfterMs: number
  /** Whether it is the first refusal of the job on this node. */
  isFirst: boolean
  /** Inputs of the decision and their ages, for the log. */
  inputs: EventFields
}

/** One request to submit a job. */
export interface Attempt {
  /** Why the job is to be refused; undefined if it is admitted. */
  refusal: Refusal | undefined
  /**
   * Confirms the refusal once the store holds no row of the job; false if a request of this node may
   * have stored it meanwhile, so that it must not be refused.
   */
  confirmRefusal(): boolean
  /** Records that the job's row is being written. */
  writing(): void
  /** Records the outcome of the write. */
  written(outcome: 'stored' | 'notStored' | 'unknown'): void
}

/** Admission of one node. */
export interface FrontAdmission {
  attempt(job: JobSpec, queue: Queue): Attempt
}

/** Number from 0 to 1 that depends only on the id, so that repeated refusals agree. */
function spreadOf(id: string): number {
  return createHash('sha256').update(id).digest().readUInt32BE(0) / 2 ** 32
}

/** Creates the admission of a node that has refused nothing yet. */
export function createFrontAdmission(opts: {
  /** Returns the newest load of a service. */
  loadOf(service: string): KnownLoad | undefined
  /** Returns the time of a monotonic clock, in ms. */
  now?(): number
}): FrontAdmission {
  const { loadOf, now = monotonicMs } = opts
  const tries = createTries()
  const retryLimit = createRetryLimit()

  /** Whether the load shows idle room, which a returning job may use without any limit. */
  const hasIdleRoom = (known: KnownLoad | undefined): boolean =>
    known !== undefined && known.ageMs <= MAX_LOAD_AGE_MS && canUseIdleRoom(known.load)

  function judge(job: JobSpec, queue: Queue, known: Try): Refusal | undefined {
    if (mayBeStored(known)) return undefined
    const at = now()
    const state = loadOf(queue.service)
    const spread = spreadOf(job.id)
    const jobAgeMs = at - known.firstAt
    const loadAgeMs = state?.ageMs ?? Infinity
    const load = state?.load
    const decision = decideAdmission({ job, queue, load, loadAgeMs, jobAgeMs, spread })
    const isFirst = !known.isReturning
    const ages = { jobAgeMs: Math.round(jobAgeMs) }
    if (decision.kind === 'refuse') {
      const { reason, times } = decision
      const inputs = {
        ...ages,
        loadAgeMs: Math.round(loadAgeMs),
        term: load?.term,
        sequence: load?.sequence,
        waitMs: Math.round(times.waitMs),
        pathMs: Math.round(times.pathMs),
        usefulMs: Math.round(times.usefulMs),
        attainableCpu: load?.attainableCpu,
        startsPerSecond: load?.startsPerSecond,
        priority: queue.priority,
      }
      return { reason, retryAfterMs: decision.retryAfterMs, isFirst, inputs }
    }
    if (isFirst || hasIdleRoom(state) || canWait(job) || retryLimit.take(at))
      return undefined
    const inputs = { ...ages, priority: queue.priority }
    return {
      reason: 'returning',
      retryAfterMs: retryAfterMs(RETURN_WAIT_MS, spread),
      isFirst,
      inputs,
    }
  }

  return {
    attempt(job, queue) {
      const key = `${queue.name} ${job.organisation ?? ''} ${job.id}`
      const known = tries.get(key, now())
      return {
        refusal: judge(job, queue, known),
        confirmRefusal() {
          if (mayBeStored(known)) return false
          known.isReturning = true
          return true
        },
        writing() {
          known.writing++
          tries.noteWrites(key, known)
        },
        written(outcome) {
          known.writing--
          known.isWritten ||= outcome !== 'notStored'
          if (outcome === 'stored') tries.forget(key)
          else tries.noteWrites(key, known)
        },
      }
    },
  }
}
