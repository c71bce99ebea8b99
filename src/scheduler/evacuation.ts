/**
 * Empties a target whose VM is to be moved, or that leaves. Tasks that end by themselves may
 * finish; lasting ones are stopped and restarted elsewhere, as many at a time as their step allows.
 */
import type { Step, Task } from '../jobs/index.js'
import { monotonicMs } from '../shared/index.js'
import type { Logger } from '../shared/index.js'
import type { FleetAnswer } from '../vms/types.js'
import type { TargetAgent } from './types.js'
import type { Placement } from './targetRuns.js'

/**
 * Time for which a restarted task must have been running before the next one of its step is
 * stopped, in ms. Reports lag by up to one long poll.
 */
const MIN_RUNNING_MS = 1200

export interface EvacuationInput {
  agent: TargetAgent
  /** All targets of the service. */
  agents: TargetAgent[]
  /** Whether tasks with checkpoints are stopped as well, as little time is left. */
  hurry: boolean
  log: Logger
}

/** Stops the tasks that have to leave the target, as far as their steps allow it now. */
export function evacuateTarget({ agent, agents, hurry, log }: EvacuationInput): void {
  for (const placement of agent.placements.values()) {
    const { task } = placement
    if (!task || placement.state !== 'running') continue
    const { lasting, checkpoints } = task.step.spec
    const shouldStop = lasting ? canMove(task, agent, agents) : hurry && checkpoints
    if (!shouldStop) continue
    if (lasting) log.event('lastingMoved', { task: task.name, target: agent.target.id })
    agent.stop(task.name)
  }
}

/**
 * Empties the targets that the fleet's owner names and returns all others to normal use.
 * @param agents returns all targets of the service at this moment
 */
export function applyFleetAnswer(
  { evacuate, hurry, ended }: FleetAnswer,
  agents: () => TargetAgent[],
  log: Logger,
): void {
  for (const agent of agents()) {
    const { id } = agent.target
    // An answering target may be a later incarnation of the id, whose runs must be kept.
    if (ended.includes(id) && agent.isSilent()) {
      agent.markGone('its VM was moved or maintained')
      continue
    }
    const wanted = evacuate.includes(id)
    if (wanted !== agent.evacuating) {
      agent.evacuating = wanted
      log.event('evacuating', { target: id, wanted, runs: agent.placements.size })
    }
    if (wanted)
      evacuateTarget({ agent, agents: agents(), hurry: hurry.includes(id), log })
  }
}

/** Whether another target can run a lasting task, and its step may miss it in the meantime. */
function canMove(task: Task, agent: TargetAgent, agents: TargetAgent[]): boolean {
  if (!agents.some((other) => other !== agent && canTake(other, task.step))) return false
  // Tasks left on a draining target end with it, so that waiting has no benefit.
  return agent.target.draining || canInterrupt(task, agents)
}

/** Whether a target may run one more task of the step and has room for it. */
function canTake(agent: TargetAgent, step: Step): boolean {
  const { label, maxPerTarget } = step.spec
  if (!agent.isUsable() || !agent.room.fits(step)) return false
  if (label !== '' && !agent.target.labels.includes(label)) return false
  return maxPerTarget === 0 || agent.room.countOf(step) < maxPerTarget
}

/** Whether the step may miss this task in addition to those that are not running now. */
function canInterrupt(task: Task, agents: TargetAgent[]): boolean {
  const { step } = task
  const allowed = step.spec.mayMiss ?? step.spec.count
  const placements = placementsOf(step, agents)
  const away = step.tasks.filter(
    (each) => each !== task && !isRunningSteadily(each, placements),
  )
  return away.length < allowed
}

function placementsOf(step: Step, agents: TargetAgent[]): Map<string, Placement> {
  const found = new Map<string, Placement>()
  for (const agent of agents) {
    if (!agent.isAnswering()) continue
    for (const placement of agent.placements.values()) {
      if (placement.task?.step === step) found.set(placement.name, placement)
    }
  }
  return found
}

function isRunningSteadily(task: Task, placements: Map<string, Placement>): boolean {
  const placement = placements.get(task.name)
  if (!placement || placement.state !== 'running' || placement.percent < 100) return false
  return monotonicMs() - task.startedAt > MIN_RUNNING_MS
}
