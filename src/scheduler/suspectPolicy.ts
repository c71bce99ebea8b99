/**
 * Which tasks a target under suspicion gets. It is kept for jobs that have nowhere else to go:
 * a job that has run nothing for a while gets one task tried there, so that suspicion never
 * makes a job stand still for as long as it lasts.
 */
import type { Job, Step } from '../jobs/index.js'
import type { Health } from './health.js'
import type { TargetAgent } from './targetAgent.js'

/**
 * Time without any run after which a job has a task tried on a target under suspicion, in ms.
 * A caller notices a standstill of 3 s; half of it leaves time for a VM that has been asked for
 * (1.5 s on its way), and does not spend a job's attempts within a second.
 */
export const TRY_AFTER_MS = 1500

/** Suspects in one round of planning, and what the round has tried on them. */
export interface SuspectRound {
  /** Whether evidence keeps the step from the target. */
  isSuspect(agent: TargetAgent, step: Step): boolean
  /** Whether the step may go where others may not. */
  mayTry(step: Step): boolean
  /** Notes what the round has planned. */
  planned(agent: TargetAgent, step: Step): void
}

/** What a round is decided by. */
export interface SuspectRoundInput {
  health: Health
  agents: readonly TargetAgent[]
  now: number
  /** Attempts that the tasks of a job have. */
  maxAttemptsOf(job: Job): number
}

/** Whether a task that ends by itself is on the target. */
const hasPassing = (agent: TargetAgent): boolean =>
  [...agent.placements.values()].some(({ task }) => !task?.step.spec.lasting)

/** Begins a round. */
export function createSuspectRound(input: SuspectRoundInput): SuspectRound {
  const { health, agents, now } = input
  const anySuspect = agents.some((agent) => health.standingOf(agent) !== 'sound')
  const anySound = agents.some(
    (agent) => agent.isUsable() && health.standingOf(agent) === 'sound',
  )
  const tried = new Set<Job>()
  const onTrial = new Set<TargetAgent>()

  /** Whether a failure would end the job, while others could wait for a sound target. */
  const isLastAttempt = ({ tasks, job }: Step): boolean =>
    tasks.some((task) => task.failedRuns.size + 1 >= input.maxAttemptsOf(job))

  function mayTry(step: Step): boolean {
    const { job } = step
    if (!anySuspect || job.placed > 0 || tried.has(job)) return false
    if (now - idleSinceOf(step) < TRY_AFTER_MS) return false
    return !anySound || !isLastAttempt(step)
  }

  return {
    mayTry,
    isSuspect(agent, step) {
      // A lasting task may find no other target; a suspect one is better than none.
      if (step.spec.lasting) return false
      const standing = health.standingOf(agent)
      if (standing === 'sound' || mayTry(step)) return false
      return standing === 'suspect' || onTrial.has(agent) || hasPassing(agent)
    },
    planned(agent, step) {
      if (step.spec.lasting || health.standingOf(agent) === 'sound') return
      onTrial.add(agent)
      if (!step.spec.gang) tried.add(step.job)
    },
  }
}

/** Since when the step could run and its job runs nothing. */
const idleSinceOf = ({ job, tasks }: Step): number => {
  const firstReady = tasks.find(({ phase }) => phase === 'ready')
  return Math.max(job.idleSince, firstReady?.readySince ?? 0)
}
