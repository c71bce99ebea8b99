/**
 * Empties a target whose VM is to be moved, or that leaves. Tasks that end by themselves may
 * finish; lasting ones are stopped and restarted elsewhere, as many at a time as their step allows.
 */
import type { Step, Task } from '../jobs/index.js'
import { monotonicMs } from '../shared/index.js'
import type { Logger } from '../shared/index.js'
import type { FleetAnswer } from '../vms/types.js'
import { UNRESTRICTED_POLICY } from './placementRules.js'
import { createRelocationRoom, findMovingTasks } from './planner.js'
import type { RelocationRoom } from './planner.js'
import type { TargetAgent } from './types.js'
import type { Placement } from './targetRuns.js'

/**
 * Time for which a restarted task must have been running before the next one of its step is
 * stopped, in ms. Reports lag by up to one long poll.
 */
const MIN_RUNNING_MS = 1200
/**
 * Time for which a lasting task that may start has a claim to room, in ms. One that waits longer
 * waits for something else, and must not keep targets from being emptied.
 */
const MAX_RESTART_MS = 3000

export interface EvacuationInput {
  agent: TargetAgent
  /** All targets of the service. */
  agents: TargetAgent[]
  /** Room for the lasting tasks, shared by all targets that are evacuated in one pass. */
  room: RelocationRoom
  /** Whether tasks with checkpoints are stopped as well, as little time is left. */
  hurry: boolean
  log: Logger
}

/**
 * Returns the room for lasting tasks that are stopped on evacuated targets, less that of tasks which
 * have not restarted yet: one that is stopped without room elsewhere would stand still.
 * @param ready tasks that may start now
 */
export function createEvacuationRoom(
  agents: readonly TargetAgent[],
  ready: Iterable<Task>,
): RelocationRoom {
  // The delay of start orders does not count: a moved task waits for them, but must have room.
  const room = createRelocationRoom(agents, UNRESTRICTED_POLICY, () => Infinity)
  for (const { step, agent } of findMovingTasks(agents)) room.reserve(step, agent)
  const now = monotonicMs()
  for (const { step, readySince } of ready) {
    if (step.spec.lasting && now - readySince < MAX_RESTART_MS) room.reserve(step)
  }
  return room
}

/** Stops the tasks that have to leave the target, as far as their steps allow it now. */
export function evacuateTarget(input: EvacuationInput): void {
  const { agent, hurry, log } = input
  for (const placement of agent.placements.values()) {
    const { task } = placement
    if (!task || placement.state !== 'running') continue
    const { lasting, checkpoints } = task.step.spec
    const shouldStop = lasting ? canMove(task, input) : hurry && checkpoints
    if (!shouldStop) continue
    if (lasting) log.event('lastingMoved', { task: task.name, target: agent.target.id })
    agent.stop(task.name)
  }
}

/**
 * Empties the targets that the fleet's owner names and returns all others to normal use.
 * @param agents returns all targets of the service at this moment
 * @param ready tasks that may start now
 */
export function applyFleetAnswer(
  { evacuate, hurry, ended }: FleetAnswer,
  agents: () => TargetAgent[],
  log: Logger,
  ready: Iterable<Task> = [],
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
  }
  if (evacuate.length === 0) return
  const all = agents()
  const room = createEvacuationRoom(all, ready)
  for (const agent of all) {
    const { id } = agent.target
    if (evacuate.includes(id))
      evacuateTarget({ agent, agents: all, room, hurry: hurry.includes(id), log })
  }
}

/** Whether a lasting task may be stopped now and has room on another target. */
function canMove(task: Task, { agent, agents, room }: EvacuationInput): boolean {
  // Tasks left on a draining target end with it, so that waiting has no benefit.
  const mayStop = agent.target.draining || canInterrupt(task, agents)
  return mayStop && room.reserve(task.step, agent)
}

/** Whether the step may miss this task in addition to those that are not running now. */
function canInterrupt(task: Task, agents: TargetAgent[]): boolean {
  const { step } = task
  const allowed = step.spec.mayMiss ?? step.tasks.length
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
