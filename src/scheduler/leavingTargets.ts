/**
 * Handles leaving targets: those that drain, and those that are no longer listed. Moves their
 * tasks to other targets and closes their agents once they have no runs left.
 */
import type { TargetList } from '../directory/index.js'
import { monotonicMs } from '../shared/index.js'
import type { Logger } from '../shared/index.js'
import { MIN_STEADY_LIST_MS } from './constants.js'
import { evacuateTarget } from './evacuation.js'
import type { TargetAgent } from './types.js'

/** Inputs of the checks for leaving targets. */
export interface LeavingTargetsOptions {
  targets: TargetList
  /** All targets of the service. */
  agents: TargetAgent[]
  log: Logger
}

/** Marks unlisted targets as gone that have no runs and do not answer. */
export function markUnlistedGone({
  agents,
}: Pick<LeavingTargetsOptions, 'agents'>): void {
  for (const agent of agents) {
    if (agent.listed || agent.placements.size > 0) continue
    if (agent.isStateKnown() && !agent.isAnswering())
      agent.markGone('not listed and not answering')
  }
}

/** Moves tasks off leaving targets, as their runs end with the target. */
export function evacuateLeaving({ targets, agents, log }: LeavingTargetsOptions): void {
  for (const agent of agents) {
    const isLeaving = agent.target.draining || isGoneFromList(agent, targets)
    if (isLeaving && agent.isAnswering())
      evacuateTarget({ agent, agents, hurry: true, log })
  }
}

/**
 * Whether the target has left the list without draining. After an outage of the store, live
 * targets need some time to list themselves again, and an unreadable entry is often rewritten
 * by the target itself at its next heartbeat; so both are given {@link MIN_STEADY_LIST_MS}.
 */
function isGoneFromList(agent: TargetAgent, targets: TargetList): boolean {
  const unreadableSince = targets.unreadableSince(agent.target.id) ?? -Infinity
  const since = Math.max(targets.gapFreeSince(), unreadableSince)
  return !agent.listed && monotonicMs() - since > MIN_STEADY_LIST_MS
}
