/**
 * Decides which tasks a suspect target gets. It is reserved for jobs that cannot run elsewhere: a
 * job that has run nothing for a while gets a task there, and more with each further attempt, so
 * that a job never stalls for the whole time of a suspicion.
 */
import type { Job, Step } from '../jobs/index.js'
import type { Health } from './health.js'
import { UNRESTRICTED_POLICY, stepHoldOf } from './placementRules.js'
import type { PlacementView } from './placementRules.js'
import type { TargetAgent } from './types.js'

/**
 * Time without any run after which a task of a job is tried on a suspect target, in ms. Callers
 * notice a stall of 3 s. Half of that leaves time for a requested VM, which takes 1.5 s to arrive,
 * and does not use up the attempts of a job within 1 s.
 */
const TRY_AFTER_MS = 1500
/**
 * The same for a step with a task on its last attempt while the sound targets that could run it
 * are full, in ms: long enough for one of them to free room, and still before callers notice.
 */
const LAST_TRY_AFTER_MS = 2500
/**
 * Maximum number of times that the tasks a job may try in one round are doubled, once for each
 * round that has tried the job. Without doubling a faulty job in a pool without another target
 * would take minutes to use up its attempts.
 */
const MAX_DOUBLINGS = 5

/** Rules for suspect targets in one round of planning. */
export interface SuspectRound {
  /** Whether evidence against the target keeps the step from it. */
  isSuspect(agent: TargetAgent, step: Step): boolean
  /** Whether the step may run on suspect targets. */
  mayUseSuspects(step: Step): boolean
  /** Records a start planned in this round. */
  recordPlanned(agent: TargetAgent, step: Step): void
}

/** Input of one round of planning. */
export interface SuspectRoundInput {
  health: Health
  agents: readonly TargetAgent[]
  now: number
  /** Number of rounds that have tried a job on suspect targets; updated by the round. */
  tries: WeakMap<Job, number>
  /** Returns the maximum number of attempts for each task of a job. */
  maxAttemptsOf(job: Job): number
}

/** Whether the target runs anything but lasting tasks. */
const hasFiniteTask = (agent: TargetAgent): boolean =>
  [...agent.placements.values()].some(({ task }) => !task?.step.spec.lasting)

/** Creates the rules for one round. */
export function createSuspectRound(input: SuspectRoundInput): SuspectRound {
  const { health, agents, now } = input
  const anySuspect = agents.some((agent) => health.standingOf(agent) !== 'sound')
  const soundTargetExists = new Map<Step, boolean>()
  /** Number of tasks that may still be tried, for jobs that this round has tried already. */
  const triesLeft = new Map<Job, number>()
  /** Targets on trial or suspect that have a start planned in this round. */
  const targetsTried = new Set<TargetAgent>()

  /** Whether one more failure would end the job, so that it should wait for a sound target. */
  const isLastAttempt = ({ tasks, job }: Step): boolean =>
    tasks.some((task) => task.failedRuns.size + 1 >= input.maxAttemptsOf(job))

  /** Whether the step would fit on a sound target without any other tasks. */
  function hasSoundTarget(step: Step): boolean {
    const known = soundTargetExists.get(step)
    if (known !== undefined) return known
    const found = agents.some(
      (agent) =>
        agent.isUsable() &&
        health.standingOf(agent) === 'sound' &&
        stepHoldOf(emptyViewOf(agent), step, UNRESTRICTED_POLICY) === undefined,
    )
    soundTargetExists.set(step, found)
    return found
  }

  function mayUseSuspects(step: Step): boolean {
    const { job } = step
    // The targets are not the cause, so that waiting would only delay the reply to the caller.
    if (anySuspect && health.isFaulty(step)) return true
    if (!anySuspect || job.placed > 0 || triesLeft.get(job) === 0) return false
    const idleMs = now - idleSinceOf(step)
    if (idleMs < TRY_AFTER_MS) return false
    return idleMs >= LAST_TRY_AFTER_MS || !isLastAttempt(step) || !hasSoundTarget(step)
  }

  function noteTry(job: Job): void {
    const before = input.tries.get(job) ?? 0
    const left = triesLeft.get(job) ?? 2 ** Math.min(MAX_DOUBLINGS, before)
    if (!triesLeft.has(job)) input.tries.set(job, before + 1)
    triesLeft.set(job, left - 1)
  }

  return {
    mayUseSuspects,
    isSuspect(agent, step) {
      // A lasting task may find no other target, and a suspect one is better than none.
      if (step.spec.lasting) return false
      const standing = health.standingOf(agent)
      if (standing === 'sound' || mayUseSuspects(step)) return false
      return standing === 'suspect' || targetsTried.has(agent) || hasFiniteTask(agent)
    },
    recordPlanned(agent, step) {
      if (step.spec.lasting || health.standingOf(agent) === 'sound') return
      targetsTried.add(agent)
      if (!step.spec.gang) noteTry(step.job)
    },
  }
}

/** Returns the state that the target would have without any tasks. */
const emptyViewOf = (agent: TargetAgent): PlacementView => ({
  agent,
  free: agent.room.capacity,
  startsLeft: Infinity,
  countOf: () => 0,
})

/** Monotonic time since which the step is ready and its job runs nothing, in ms. */
const idleSinceOf = ({ job, tasks }: Step): number => {
  const firstReady = tasks.find(({ phase }) => phase === 'ready')
  return Math.max(job.idleSince, firstReady?.readySince ?? 0)
}
