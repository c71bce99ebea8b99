/**
 * What is known of how well targets work: which of them get tasks, and which runs would be
 * done sooner elsewhere.
 */
import type { Step, Task } from '../jobs/index.js'
import type { Logger } from '../shared/index.js'
import { createBadRuns } from './badRuns.js'
import type { BadRuns } from './badRuns.js'
import type { RunTimes } from './runTimes.js'
import { createSuspicion } from './suspicion.js'
import type { TargetStanding } from './suspicion.js'
import type { TargetAgent } from './types.js'

/** How well the targets of one service work. */
export interface Health extends Pick<BadRuns, 'sweep' | 'noteMoved'> {
  noteEnd(agent: TargetAgent, task: Task, kind: string): void
  standingOf(agent: TargetAgent): TargetStanding
  /** Steady time up to which it is kept off, in ms; in the past where it is not. */
  excludedUntil(agent: TargetAgent): number
  /** Whether the step fails by itself, so that no target is to blame. */
  isFaulty(step: Step): boolean
  /** How much rather the task should go elsewhere; 0 where nothing speaks against the target. */
  penaltyOf(agent: TargetAgent, task: Task): number
  forget(agent: TargetAgent): void
}

/** Penalties by standing: a target on which the task has failed comes before suspects. */
const PENALTIES: Record<TargetStanding, number> = { sound: 0, trial: 2, suspect: 4 }
const FAILED_HERE_PENALTY = 1

/** Creates the view of targets of which nothing is known. */
export function createHealth(opts: { runTimes: RunTimes; log: Logger }): Health {
  const suspicion = createSuspicion(opts.log)
  const badRuns = createBadRuns(opts.runTimes, suspicion)

  const END_HANDLERS: Record<string, (agent: TargetAgent, task: Task) => void> = {
    done: (agent, task) =>
      suspicion.noteEnd(agent, task, false, badRuns.noteDone(agent, task)),
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
    sweep: badRuns.sweep,
    noteMoved: badRuns.noteMoved,
    forget(agent) {
      suspicion.forget(agent)
      badRuns.forget(agent)
    },
  }
}
