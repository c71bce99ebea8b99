/**
 * Health of targets: which of them get tasks, and which runs would be finished sooner on another
 * target. Combines the evidence against targets with the check of slow and stalled runs.
 */
import type { Step, Task } from '../jobs/index.js'
import type { Logger } from '../shared/index.js'
import type { ColdTargets } from './coldTargets.js'
import { createRunMonitor } from './runMonitor.js'
import type { RunMonitor } from './runMonitor.js'
import type { RunTimes } from './runTimes.js'
import { createSuspicion } from './suspicion.js'
import type { TargetStanding } from './suspicion.js'
import type { TargetAgent } from './types.js'

/** Health of the targets of one service. */
export interface Health extends Pick<RunMonitor, 'sweep' | 'noteMoved'> {
  /** Records the end of a run; kinds other than `done` and `failed` are ignored. */
  noteEnd(agent: TargetAgent, task: Task, kind: string): void
  standingOf(agent: TargetAgent): TargetStanding
  /** Monotonic time until which the target is excluded, in ms; in the past if it is not. */
  excludedUntil(agent: TargetAgent): number
  /** Whether the step itself is the cause of its failures, and not a target. */
  isFaulty(step: Step): boolean
  /** Cost of running the task on this target rather than another one; 0 without objections. */
  penaltyOf(agent: TargetAgent, task: Task): number
  /** Discards the records of a target that is gone. */
  forget(agent: TargetAgent): void
}

/** Penalties by standing. A sound target on which the task has failed precedes those on trial. */
const PENALTIES: Record<TargetStanding, number> = { sound: 0, trial: 2, suspect: 4 }
const FAILED_HERE_PENALTY = 1

/** Creates the health of targets without any records. */
export function createHealth(opts: {
  runTimes: RunTimes
  coldTargets: ColdTargets
  log: Logger
}): Health {
  const suspicion = createSuspicion(opts.log)
  const runMonitor = createRunMonitor(opts.runTimes, suspicion, opts.coldTargets)

  const END_HANDLERS: Record<string, (agent: TargetAgent, task: Task) => void> = {
    done: (agent, task) =>
      suspicion.noteEnd(agent, task, false, runMonitor.noteDone(agent, task)),
    failed: (agent, task) => suspicion.noteEnd(agent, task, true, false),
  }

  return {
    noteEnd: (agent, task, kind) => END_HANDLERS[kind]?.(agent, task),
    standingOf: suspicion.standingOf,
    excludedUntil: suspicion.excludedUntil,
    isFaulty: suspicion.isFaulty,
    penaltyOf: (agent, task) =>
      PENALTIES[suspicion.standingOf(agent)] +
      (suspicion.hasFailedOn(agent, task) ? FAILED_HERE_PENALTY : 0),
    sweep: runMonitor.sweep,
    noteMoved: runMonitor.noteMoved,
    forget(agent) {
      suspicion.forget(agent)
      runMonitor.forget(agent)
    },
  }
}
