/**
 * Finds suspect targets: those that answer calls but fail or slow down their tasks. Evidence
 * excludes a target from new tasks for a while. After that the target is on trial and gets one task
 * at a time until one succeeds. Failures caused by the caller's job do not count as evidence.
 */
import type { Step, Task } from '../jobs/index.js'
import { monotonicMs } from '../shared/index.js'
import type { Logger } from '../shared/index.js'
import type { TargetAgent } from './types.js'

/** Number of ended runs that are kept for a target, and the time for which they count, in ms. */
const MAX_RECENT_ENDS = 10
const RECENT_MS = 8000
/** Minimum number of failed runs, and of jobs they belong to, that makes a target suspect. */
const SUSPECT_FAILURES = 2
const SUSPECT_JOBS = 2
/** Share of failed runs from which the jobs alone do not explain the failures of a target. */
const SUSPECT_SHARE = 0.5
/**
 * Failures of a step without a successful run from which the step counts as faulty even if all of
 * them were on one target: a pool may have no other.
 */
const FAULTY_STEP_FAILURES = 3
/** First and longest exclusion from new tasks, in ms. Doubled each time; reset by a success. */
const INITIAL_EXCLUSION_MS = 5000
const MAX_EXCLUSION_MS = 20_000

/**
 * `sound`: no evidence against the target. `trial`: it gets one task at a time. `suspect`: it only
 * gets tasks of jobs that cannot run elsewhere.
 */
export type TargetStanding = 'sound' | 'trial' | 'suspect'

/** Why a target is suspect. */
export type SuspicionReason =
  'tasks of several jobs fail' | 'trial failed' | 'tasks stand still' | 'tasks are slow'

/** The evidence against the targets of one service. */
export interface Suspicion {
  /**
   * Records the end of a run.
   * @param failed whether the run failed; otherwise it succeeded
   * @param wasSlow whether it took so much longer than usual that its success clears no suspicion
   */
  noteEnd(agent: TargetAgent, task: Task, failed: boolean, wasSlow: boolean): void
  /** Excludes the target from new tasks; `steps` are the evidence against it. */
  exclude(agent: TargetAgent, reason: SuspicionReason, steps: Step[]): void
  /**
   * Removes steps that are themselves the cause from the evidence. Clears a target without any
   * evidence left.
   */
  retractEvidence(isCause: (step: Step) => boolean): void
  standingOf(agent: TargetAgent): TargetStanding
  /** Monotonic time until which the target is excluded, in ms; in the past if it is not. */
  excludedUntil(agent: TargetAgent): number
  /** Whether the step itself is the cause of its failures, and not a target. */
  isFaulty(step: Step): boolean
  /** Whether a run of the task has failed on the target. */
  hasFailedOn(agent: TargetAgent, task: Task): boolean
  /** Discards the records of a target that is gone. */
  forget(agent: TargetAgent): void
}

/** An ended run. */
interface End {
  /** Sequence number over all targets. */
  number: number
  at: number
  step: Step
  failed: boolean
}

interface TargetRecord {
  ends: End[]
  /** Steps whose runs led to the exclusion. */
  evidence: Step[]
  excludedAt: number
  excludedUntil: number
  exclusionMs: number
  /** Set by an exclusion and cleared once a run succeeds or no evidence is left. */
  onTrial: boolean
}

/** Results of the runs of a step. */
interface StepRecord {
  anyDone: boolean
  failures: number
  /** Number of the first failed run on each target. */
  firstFailures: Map<TargetAgent, number>
  /** Whether the step has been found to be the cause of its failures. */
  isFaulty: boolean
}

/** Creates the records of one service, without any evidence. */
export function createSuspicion(log: Logger): Suspicion {
  const records = new Map<TargetAgent, TargetRecord>()
  /** Targets that are excluded or on trial: few, so that each ended run can examine all of them. */
  const suspects = new Map<TargetAgent, TargetRecord>()
  const steps = new WeakMap<Step, StepRecord>()
  let lastEndNumber = 0
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
      firstFailures: new Map(),
      isFaulty: false,
    }
    steps.set(step, record)
    return record
  }

  /**
   * Whether at least half of the target's runs since failure number `after` succeeded, among steps
   * that have succeeded anywhere. Earlier runs do not count, as the target may have become faulty
   * since.
   */
  function completesOtherWork(agent: TargetAgent, after: number): boolean {
    const ends = records.get(agent)?.ends ?? []
    const relevant = ends.filter(
      ({ number, step }) => number > after && stepRecordOf(step).anyDone,
    )
    const done = relevant.filter(({ failed }) => !failed).length
    return done > 0 && done * 2 >= relevant.length
  }

  /** Whether a step is faulty: it has never succeeded, and failed where other steps succeed. */
  function checkFaulty(step: Step, agent: TargetAgent): boolean {
    const record = stepRecordOf(step)
    if (record.anyDone) return false
    const { failures: count, firstFailures } = record
    record.isFaulty ||= [...firstFailures].some(
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

  /** Clears the target if the run began after its exclusion. */
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
      lastEndNumber++
      record.ends = [...record.ends, { number: lastEndNumber, at: now, step, failed }]
        .filter(({ at }) => now - at < RECENT_MS)
        .slice(-MAX_RECENT_ENDS)
      if (!failed) {
        stepRecordOf(step).anyDone = true
        if (!wasSlow) noteDone(agent, task)
        return retractEvidence(checkFaulty)
      }
      const stepRecord = stepRecordOf(step)
      stepRecord.failures++
      if (!stepRecord.firstFailures.has(agent))
        stepRecord.firstFailures.set(agent, lastEndNumber)
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
