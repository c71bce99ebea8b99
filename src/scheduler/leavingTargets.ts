/**
 * Targets that leave: those that drain, and those that the list does not show any more.
 * Their tasks go elsewhere, and their agents are closed once nothing is left there.
 */
import type { TargetList } from '../directory/index.js'
import { monotonicMs } from '../shared/index.js'
import type { Logger } from '../shared/index.js'
import { LIST_RETURN_MS } from './constants.js'
import { moveTasksAway } from './evacuation.js'
import type { TargetAgent } from './types.js'

/** What the look at leaving targets works with. */
export interface LeavingTargetsOptions {
  targets: TargetList
  /** All targets of the service. */
  agents: TargetAgent[]
  log: Logger
}

/** Targets off the list whose tasks are all over need no agent any more. */
export function closeLapsed({ agents }: Pick<LeavingTargetsOptions, 'agents'>): void {
  for (const agent of agents) {
    if (agent.listed || agent.placements.size > 0) continue
    if (agent.isSettled() && !agent.isAnswering())
      agent.markGone('off the list and silent')
  }
}

/** What runs on a leaving target dies with it: it goes elsewhere before. */
export function emptyLeaving({ targets, agents, log }: LeavingTargetsOptions): void {
  for (const agent of agents) {
    const isLeaving = agent.target.draining || isGoneFromList(agent, targets)
    if (isLeaving && agent.isAnswering())
      moveTasksAway({ agent, agents, hurry: true, log })
  }
}

/**
 * Whether the target has left without a word. After an outage of the store the list
 * says so only once those that live have had the time to come back; an entry that cannot be
 * read is often written anew, by the target itself, at its next heartbeat.
 */
function isGoneFromList(agent: TargetAgent, targets: TargetList): boolean {
  const unreadableSince = targets.unreadableSince(agent.target.id) ?? -Infinity
  const since = Math.max(targets.steadySince(), unreadableSince)
  return !agent.listed && monotonicMs() - since > LIST_RETURN_MS
}
