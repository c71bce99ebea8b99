/**
 * Suspicion against targets that answer well and work badly. Evidence keeps tasks off a
 * target for a while; then it gets one task at a time, until one ends well. A failure that
 * comes from the caller's job is no evidence.
 */
import type { Step, Task } from '../jobs/index.js'
import { monotonicMs } from '../shared/index.js'
import type { Logger } from '../shared/index.js'
import type { TargetAgent } from './types.js'

/** Ends of a target that are looked at, and how long they count, in ms. */
const MAX_RECENT_ENDS = 10
const RECENT_MS = 8000
/** Failed runs, of so many jobs, that bring a target under suspicion. */
const SUSPECT_FAILURES = 2
const SUSPECT_JOBS = 2
/** Share of its ends that must have failed; above it, jobs alone do not explain it. */
const SUSPECT_SHARE = 0.5
/**
 * Failures of a step, none of its runs done, that speak for the job even where it has been
 * tried on one target alone: a pool may have no other.
 */
const FAULTY_STEP_FAILURES = 3
/** Time without new tasks, in ms; doubled each time the trial fails. */
const INITIAL_EXCLUSION_MS = 5000
const MAX_EXCLUSION_MS = 20_000

/**
 * `sound`: nothing speaks against it. `trial`: it gets one task at a time. `suspect`: it gets
 * nothing but a task of a job that has nowhere else to go.
 */
export type TargetStanding = 'sound' | 'trial' | 'suspect'

/** What a target did to come under suspicion. */
export type SuspicionReason =
  'tasks of several jobs fail' | 'trial failed' | 'tasks stand still' | 'tasks are slow'

/** The evidence against the targets of one service. */
export interface Suspicion {
  /**
   * Notes that a run was done or failed.
   * @param wasSlow whether it took so much longer than usual that it speaks for nothing
   */
  noteEnd(agent: TargetAgent, task: Task, failed: boolean, wasSlow: boolean): void
  /** Keeps tasks off the target; `steps` are those that speak against it. */
  exclude(agent: TargetAgent, reason: SuspicionReason, steps: Step[]): void
  /** The step is the cause itself: what rests on it alone is taken back. */
  retractEvidence(isCause: (step: Step) => boolean): void
  standingOf(agent: TargetAgent): TargetStanding
  /** Steady time up to which it is kept off, in ms; in the past where it is not. */
  excludedUntil(agent: TargetAgent): number
  /** Whether the step fails by itself, so that no target is to blame. */
  isFaulty(step: Step): boolean
  /** Whether a run of the task has failed there. */
  hasFailedOn(agent: TargetAgent, task: Task): boolean
  forget(agent: TargetAgent): void
}

interface End {
  /** Rises with each end. */
  number: number
  at: number
  step: Step
  failed: boolean
}

interface TargetRecord {
  ends: End[]
  /** Steps that spoke against it when it was excluded. */
  evidence: Step[]
  excludedAt: number
  excludedUntil: number
  exclusionMs: number
  /** After an exclusion it gets one task at a time until one ends well. */
  onTrial: boolean
}

/** How the runs of a step have ended. */
interface StepRecord {
  anyDone: boolean
  failures: number
  /** Number of the end with which it first failed on a target. */
  failedOn: Map<TargetAgent, number>
  /** Whether it has once been seen to fail by itself. */
  isFaulty: boolean
}

/** Creates a book without evidence. */
export function createSuspicion(log: Logger): Suspicion {
  const records = new Map<TargetAgent, TargetRecord>()
  /** Those excluded or on trial: few, and looked at with each end. */
  const suspects = new Map<TargetAgent, TargetRecord>()
  const steps = new WeakMap<Step, StepRecord>()
  let lastEnd = 0
  const failures = new WeakMap<Task, Set<TargetAgent>>()

  function recordOf(agent: TargetAgent): TargetRecord {
    const known = records.get(agent)
    if (known) return known
    const record: TargetRecord = {
      ends: [],
      evidence: [],
      excludedAt: -Infinity,
      excludedUntil: -Infinity,
      exclusionMs: INITIAL_EXCLUSION_MS,
      onTrial: false,
    }
    records.set(agent, record)
    return record
  }

  function stepRecordOf(step: Step): StepRecord {
    const known = steps.get(step)
    if (known) return known
    const record: StepRecord = {
      anyDone: false,
      failures: 0,
      failedOn: new Map(),
      isFaulty: false,
    }
    steps.set(step, record)
    return record
  }

  /**
   * Whether steps that can be done are done there, as far as is known. What was done before
   * the failure in question says nothing of a target that has turned bad since.
   */
  function completesOtherWork(agent: TargetAgent, after: number): boolean {
    const ends = records.get(agent)?.ends ?? []
    const relevant = ends.filter(
      ({ number, step }) => number > after && stepRecordOf(step).anyDone,
    )
    const done = relevant.filter(({ failed }) => !failed).length
    return done > 0 && done * 2 >= relevant.length
  }

  /** Whether a step fails by itself: it was never done, and failed where others are done. */
  function checkFaulty(step: Step, agent: TargetAgent): boolean {
    const record = stepRecordOf(step)
    if (record.anyDone) return false
    const { failures: count, failedOn } = record
    record.isFaulty ||= [...failedOn].some(
      ([other, since]) =>
        (other !== agent || count >= FAULTY_STEP_FAILURES) &&
        completesOtherWork(other, since),
    )
    return record.isFaulty
  }

  function exclude(
    agent: TargetAgent,
    suspicionReason: SuspicionReason,
    evidence: Step[],
  ): void {
    const record = recordOf(agent)
    const now = monotonicMs()
    if (record.excludedUntil > now) return
    record.evidence = evidence
    record.excludedAt = now
    record.excludedUntil = now + record.exclusionMs
    record.exclusionMs = Math.min(MAX_EXCLUSION_MS, record.exclusionMs * 2)
    record.onTrial = true
    suspects.set(agent, record)
    log.event('targetSuspect', {
      target: agent.target.id,
      reason: suspicionReason,
      forMs: Math.round(record.excludedUntil - now),
      jobs: [...new Set(evidence.map(({ job }) => job.spec.id))].join(' '),
    })
  }

  function clearSuspicion(
    agent: TargetAgent,
    record: TargetRecord,
    reason: string,
  ): void {
    record.onTrial = false
    suspects.delete(agent)
    record.excludedUntil = -Infinity
    log.event('targetTrusted', { target: agent.target.id, reason })
  }

  /** A run that began under suspicion and ended well says that the target is well again. */
  function noteDone(agent: TargetAgent, { startedAt }: Task): void {
    const record = recordOf(agent)
    if (!record.onTrial || startedAt < record.excludedAt) return
    record.exclusionMs = INITIAL_EXCLUSION_MS
    clearSuspicion(agent, record, 'a task was done there')
  }

  function noteFailure(agent: TargetAgent, step: Step): void {
    const record = recordOf(agent)
    if (checkFaulty(step, agent)) return
    if (record.onTrial && record.excludedUntil <= monotonicMs())
      return exclude(agent, 'trial failed', [step])
    const ends = record.ends.filter(({ at }) => at > record.excludedAt)
    const failed = ends.filter((end) => end.failed && !checkFaulty(end.step, agent))
    const jobs = new Set(failed.map((end) => end.step.job))
    const hasEnoughFailures =
      failed.length >= SUSPECT_FAILURES && jobs.size >= SUSPECT_JOBS
    const failsMostly = failed.length >= ends.length * SUSPECT_SHARE
    if (!hasEnoughFailures || !failsMostly) return
    exclude(
      agent,
      'tasks of several jobs fail',
      failed.map((end) => end.step),
    )
  }

  function retractEvidence(isCause: (step: Step, agent: TargetAgent) => boolean): void {
    for (const [agent, record] of suspects) {
      if (record.evidence.length === 0) continue
      record.evidence = record.evidence.filter((step) => !isCause(step, agent))
      if (record.evidence.length === 0)
        clearSuspicion(agent, record, 'its tasks were the cause')
    }
  }

  return {
    noteEnd(agent, task, failed, wasSlow) {
      const { step } = task
      const record = recordOf(agent)
      const now = monotonicMs()
      lastEnd++
      record.ends = [...record.ends, { number: lastEnd, at: now, step, failed }]
        .filter(({ at }) => now - at < RECENT_MS)
        .slice(-MAX_RECENT_ENDS)
      if (!failed) {
        stepRecordOf(step).anyDone = true
        if (!wasSlow) noteDone(agent, task)
        return retractEvidence(checkFaulty)
      }
      const stepRecord = stepRecordOf(step)
      stepRecord.failures++
      if (!stepRecord.failedOn.has(agent)) stepRecord.failedOn.set(agent, lastEnd)
      failures.set(task, (failures.get(task) ?? new Set()).add(agent))
      noteFailure(agent, step)
      retractEvidence(checkFaulty)
    },
    exclude,
    retractEvidence,
    standingOf(agent) {
      const record = records.get(agent)
      if (!record?.onTrial) return 'sound'
      return record.excludedUntil > monotonicMs() ? 'suspect' : 'trial'
    },
    excludedUntil: (agent) => records.get(agent)?.excludedUntil ?? -Infinity,
    isFaulty(step) {
      const record = steps.get(step)
      return record !== undefined && record.isFaulty && !record.anyDone
    },
    hasFailedOn: (agent, task) => failures.get(task)?.has(agent) ?? false,
    forget(agent) {
      records.delete(agent)
      suspects.delete(agent)
    },
  }
}
