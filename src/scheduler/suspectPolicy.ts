/**
 * Which tasks a target under suspicion gets. It is kept for jobs that have nowhere else to go:
 * a job that has run nothing for a while has a task tried there, and more with each further
 * try, so that suspicion never makes a job stand still for as long as it lasts.
 */
import type { Job, Step } from '../jobs/index.js'
import type { Health } from './health.js'
import { OPEN_POLICY, stepHoldOf } from './placementRules.js'
import type { PlacementView } from './placementRules.js'
import type { TargetAgent } from './types.js'

/**
 * Time without any run after which a job has a task tried on a target under suspicion, in ms.
 * A caller notices a standstill of 3 s; half of it leaves time for a VM that has been asked for
 * (1.5 s on its way), and does not spend a job's attempts within a second.
 */
const TRY_AFTER_MS = 1500
/**
 * The same for a task with one attempt left, in ms, while a sound target that could take it is
 * full: late enough for that one to have room, and still before a caller notices.
 */
const LAST_TRY_AFTER_MS = 2500
/**
 * Doublings of the tasks that a job has tried at once, one more with each try: a job that fails
 * by itself in a pool without any other target would take minutes to use up its attempts.
 */
const MAX_DOUBLINGS = 5

/** Suspects in one round of planning, and what the round has tried on them. */
export interface SuspectRound {
  /** Whether evidence keeps the step from the target. */
  isSuspect(agent: TargetAgent, step: Step): boolean
  /** Whether the step may go where others may not. */
  mayUseSuspects(step: Step): boolean
  /** Notes what the round has planned. */
  recordPlanned(agent: TargetAgent, step: Step): void
}

/** What a round is decided by. */
export interface SuspectRoundInput {
  health: Health
  agents: readonly TargetAgent[]
  now: number
  /** How often a job has been tried, over all rounds. */
  tries: WeakMap<Job, number>
  /** Attempts that the tasks of a job have. */
  maxAttemptsOf(job: Job): number
}

/** Whether a task that ends by itself is on the target. */
const hasFiniteTask = (agent: TargetAgent): boolean =>
  [...agent.placements.values()].some(({ task }) => !task?.step.spec.lasting)

/** Begins a round. */
export function createSuspectRound(input: SuspectRoundInput): SuspectRound {
  const { health, agents, now } = input
  const anySuspect = agents.some((agent) => health.standingOf(agent) !== 'sound')
  const soundTargetExists = new Map<Step, boolean>()
  /** Tasks that the round may still try of the jobs of which it has tried some. */
  const triesLeft = new Map<Job, number>()
  const onTrial = new Set<TargetAgent>()

  /** Whether a failure would end the job, while others could wait for a sound target. */
  const isLastAttempt = ({ tasks, job }: Step): boolean =>
    tasks.some((task) => task.failedRuns.size + 1 >= input.maxAttemptsOf(job))

  /** Whether a sound target could take the step once it is empty. */
  function hasSoundTarget(step: Step): boolean {
    const known = soundTargetExists.get(step)
    if (known !== undefined) return known
    const found = agents.some(
      (agent) =>
        agent.isUsable() &&
        health.standingOf(agent) === 'sound' &&
        stepHoldOf(emptyViewOf(agent), step, OPEN_POLICY) === undefined,
    )
    soundTargetExists.set(step, found)
    return found
  }

  function mayUseSuspects(step: Step): boolean {
    const { job } = step
    // Where no target is to blame, waiting only puts off what its caller is to be told.
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
      // A lasting task may find no other target; a suspect one is better than none.
      if (step.spec.lasting) return false
      const standing = health.standingOf(agent)
      if (standing === 'sound' || mayUseSuspects(step)) return false
      return standing === 'suspect' || onTrial.has(agent) || hasFiniteTask(agent)
    },
    recordPlanned(agent, step) {
      if (step.spec.lasting || health.standingOf(agent) === 'sound') return
      onTrial.add(agent)
      if (!step.spec.gang) noteTry(step.job)
    },
  }
}

/** The target as it would be with nothing on it. */
const emptyViewOf = (agent: TargetAgent): PlacementView => ({
  agent,
  free: agent.room.capacity,
  startsLeft: Infinity,
  countOf: () => 0,
})

/** Since when the step could run and its job runs nothing. */
const idleSinceOf = ({ job, tasks }: Step): number => {
  const firstReady = tasks.find(({ phase }) => phase === 'ready')
  return Math.max(job.idleSince, firstReady?.readySince ?? 0)
}
