/**
 * Decides whether a job can still be of use to its caller. Pure functions only. All estimates are
 * lower bounds of the wait: all room that the service can get counts as if it were there and full,
 * so that a job is refused only if it would certainly end too late.
 */
import { canWait } from '../jobs/index.js'
import type { JobSpec, StepSpec } from '../jobs/index.js'
import type { Queue } from '../ports/index.js'
import { LONGEST_TASK_FACTOR } from '../scheduler/runTimes.js'
import { USELESS_FACTOR } from '../scheduler/urgency.js'
import type { BacklogPart, PriorityOrganisations, ServiceLoad } from './types.js'

/** Age from which a load says nothing about the present, in ms. */
export const MAX_LOAD_AGE_MS = 1000
/**
 * Largest multiple of the measured mean at which the caller's estimate of a run time counts. A
 * longer job may wait longer, but estimates are far off and must not admit everything.
 */
const MAX_ESTIMATE_FACTOR = 3
/** Limits of the time after which refused callers should retry, in seconds. */
const MIN_RETRY_S = 1
const MAX_RETRY_S = 30
/**
 * Time over which the retries of refused callers are spread, as a share of the wait, and at least,
 * in seconds: `Retry-After` has whole seconds, and one second alone spreads nothing.
 */
const RETRY_SPREAD = 0.5
const MIN_RETRY_SPREAD_S = 1
/**
 * Latest start of the spread, as a share of the time during which the job can still be started to be
 * of use: a later retry would be pointless, and room may arrive that nobody knew of. Callers within
 * their shares return first.
 */
const MAX_RETRY_SHARE: Record<RefusalReason, number> = {
  backlog: 0.25,
  starts: 0.25,
  beyondShare: 0.5,
}
/** Latest start of the spread, in seconds, so that the longest waits are spread as well. */
const MAX_RETRY_START_S = MAX_RETRY_S / (1 + RETRY_SPREAD)

/** Input of a decision. */
export interface AdmissionInput {
  job: Pick<JobSpec, 'steps' | 'repetitions' | 'organisation'>
  queue: Pick<Queue, 'name' | 'priority' | 'stretch' | 'latencyMs'>
  /** Newest load of the service; undefined if none is known. */
  load: ServiceLoad | undefined
  /** Age of the load, in ms. */
  loadAgeMs: number
  /** Time since the first try of the caller, in ms. */
  jobAgeMs: number
  /** Number from 0 to 1 that differs between callers, to spread their retries. */
  spread: number
}

/** Times on which a refusal is based, in ms. */
export interface RefusalTimes {
  /** Shortest wait until the job could start. */
  waitMs: number
  /** Expected time of its critical path. */
  pathMs: number
  /** Time since the first try after which the job is of no use. */
  usefulMs: number
}

/** Limits because of which jobs are refused. */
export type RefusalReason = 'backlog' | 'beyondShare' | 'starts'

/** Result of a decision. */
export type AdmissionDecision =
  | { kind: 'admit' }
  | { kind: 'refuse'; reason: RefusalReason; retryAfterMs: number; times: RefusalTimes }

const ADMIT: AdmissionDecision = { kind: 'admit' }

/** A current load under which jobs may have to wait. */
interface Pressed {
  load: ServiceLoad
  /** Mean run time of a task of the job's queue, in ms. */
  runMs: number
}

/** Whether a job can have idle room at once: its owner orders starts as fast as they become due. */
export const canUseIdleRoom = ({ idleCpu, startsPerSecond }: ServiceLoad): boolean =>
  idleCpu > 0 && !(startsPerSecond !== undefined && startsPerSecond > 0)

/** Reasons to admit a job whatever else the load says; checked in this order. */
const EXEMPTIONS: Record<string, (input: AdmissionInput) => boolean> = {
  canWait: ({ job }) => canWait(job),
  takesNoRoom: ({ job }) => job.steps.every(({ fills }) => fills),
  unknownLoad: ({ load }) => load === undefined,
  // The comparison also holds for an age that is not a number.
  oldLoad: ({ loadAgeMs }) => !(loadAgeMs <= MAX_LOAD_AGE_MS),
  idleRoom: ({ load }) => load !== undefined && canUseIdleRoom(load),
}

/** Returns the load if it is current and jobs may have to wait; undefined if the job is exempt. */
function pressedLoad(input: AdmissionInput): Pressed | undefined {
  if (Object.values(EXEMPTIONS).some((isExempt) => isExempt(input))) return undefined
  const { load, queue } = input
  const runMs = load?.runMs[queue.name] ?? 0
  // Without measured run times nothing is certain.
  return load && runMs > 0 ? { load, runMs } : undefined
}

/** Expected time of a whole step, in ms: that of its longest task. */
function stepMsOf({ count, estimateMs }: StepSpec, meanMs: number): number {
  const estimate = Math.min(estimateMs, meanMs * MAX_ESTIMATE_FACTOR)
  const runMs = Math.max(meanMs, Number.isFinite(estimate) ? estimate : 0)
  return runMs * (count > 1 ? LONGEST_TASK_FACTOR : 1)
}

/** Length of the critical path over the steps of a job, in ms. */
function criticalPathMs(steps: readonly StepSpec[], meanMs: number): number {
  const ends: number[] = []
  for (const step of steps) {
    const startsAt = Math.max(0, ...step.after.map((index) => ends[index] ?? 0))
    ends.push(startsAt + stepMsOf(step, meanMs))
  }
  return Math.max(0, ...ends)
}

/** Work and starts before a job. */
interface Ahead {
  work: number
  starts: number
}

function sumAhead(parts: readonly BacklogPart[], withLate: boolean): Ahead {
  const ahead = { work: 0, starts: 0 }
  for (const { timelyWork, lateWork, timelyStarts, lateStarts } of parts) {
    ahead.work += timelyWork + (withLate ? lateWork : 0)
    ahead.starts += timelyStarts + (withLate ? lateStarts : 0)
  }
  return ahead
}

/** Shortest waits behind the given work, by what causes them, in ms. */
function waitsBehind({ work, starts }: Ahead, load: ServiceLoad) {
  const { idleCpu, attainableCpu = 0, startsPerSecond = 0, runningWork } = load
  const isAhead = work > 0 || starts > 0
  const waitsForRoom = isAhead && attainableCpu > 0 && idleCpu === 0
  return {
    room: waitsForRoom ? ((runningWork + work) * 1000) / attainableCpu : 0,
    starts: startsPerSecond > 0 ? (starts * 1000) / startsPerSecond : 0,
  }
}

/** Time after which a caller should retry, in ms: a whole number of seconds from `waitMs` on. */
export function retryAfterMs(waitMs: number, spread: number): number {
  const startS = Math.min(MAX_RETRY_START_S, Math.max(0, waitMs) / 1000)
  const part = Math.min(1, Math.max(0, Number.isFinite(spread) ? spread : 0))
  const spreadS = Math.max(MIN_RETRY_SPREAD_S, Math.round(startS * RETRY_SPREAD))
  const laterS = Math.min(spreadS, Math.floor(part * (spreadS + 1)))
  const seconds = Math.max(MIN_RETRY_S, Math.ceil(startS)) + laterS
  return Math.min(MAX_RETRY_S, seconds) * 1000
}

/** Whether an organisation is among those of a priority. */
const isNamed = (
  names: readonly PriorityOrganisations[],
  priority: number,
  organisation: string | undefined,
): boolean =>
  organisation !== undefined &&
  names.some(
    (each) => each.priority === priority && each.organisations.includes(organisation),
  )

/**
 * Whether work of the same priority may all come after a job: where organisations are served by
 * turns, that of others does if its organisation has no waiting jobs. Jobs without an organisation
 * come before the turns.
 */
function isServedNext(
  { turns }: ServiceLoad,
  priority: number,
  organisation: string | undefined,
): boolean {
  return turns !== undefined && !isNamed(turns, priority, organisation)
}

/** Decides whether a job is admitted. */
export function decideAdmission(input: AdmissionInput): AdmissionDecision {
  const pressed = pressedLoad(input)
  if (!pressed) return ADMIT
  const { job, queue, spread } = input
  const { load, runMs } = pressed
  const pathMs = criticalPathMs(job.steps, runMs)
  const objectiveMs = queue.stretch * pathMs + queue.latencyMs
  const usefulMs = USELESS_FACTOR * objectiveMs
  // Without a wait the job is in time by any sensible objective; else the objective says nothing.
  if (!(pathMs <= usefulMs && usefulMs < Infinity)) return ADMIT

  const { organisation } = job
  const isBeyond = isNamed(load.organisationsBeyond, queue.priority, organisation)
  const isNext = !isBeyond && isServedNext(load, queue.priority, organisation)
  const isAhead = ({ priority, beyondShare }: BacklogPart): boolean =>
    priority < queue.priority ||
    (priority === queue.priority && !isNext && (isBeyond || !beyondShare))
  const parts = load.backlog.filter(isAhead)
  const ageMs = Math.max(0, Number.isFinite(input.jobAgeMs) ? input.jobAgeMs : 0)
  const timely = waitsBehind(sumAhead(parts, false), load)
  const timelyMs = Math.max(timely.room, timely.starts)
  if (ageMs + timelyMs + pathMs <= objectiveMs) return ADMIT

  // A job that will be late comes after those that are late already.
  const waits = waitsBehind(sumAhead(parts, true), load)
  const waitMs = Math.max(waits.room, waits.starts)
  // Amounts that are not numbers fail both comparisons.
  if (!(waitMs > 0 && ageMs + waitMs + pathMs > usefulMs)) return ADMIT
  const reasonWithoutShare = waits.starts > waits.room ? 'starts' : 'backlog'
  const reason = isBeyond ? 'beyondShare' : reasonWithoutShare
  const leftMs = Math.max(0, usefulMs - ageMs - pathMs)
  return {
    kind: 'refuse',
    reason,
    retryAfterMs: retryAfterMs(
      Math.min(waitMs, leftMs * MAX_RETRY_SHARE[reason]),
      spread,
    ),
    times: { waitMs, pathMs, usefulMs },
  }
}
