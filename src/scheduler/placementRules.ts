/**
 * Rules that keep a task from a target, in the order in which they are evaluated. The planner uses
 * them to choose a target and the wait watch to explain why there is none, so that the explanation
 * always matches the decision.
 */
import type { Step } from '../jobs/index.js'
import type { Resources } from '../ports/index.js'
import { needOf } from './room.js'
import type { TargetAgent, TargetHold } from './types.js'

/** Why a step may not run on a target that accepts orders: the name of the rule. */
export type StepHold =
  | 'size'
  | 'room'
  | 'orders'
  | 'label'
  | 'spread'
  | 'roster'
  | 'surplus'
  | 'isolation'
  | 'suspect'
  | 'ticket'

/** Why a step may not run on a target, including reasons that concern all steps. */
export type Hold = TargetHold | 'quota' | StepHold

/** State of a target that the rules evaluate. */
export interface PlacementView {
  agent: TargetAgent
  /** Free resources, less those planned in this round. */
  free: Resources
  /** Starts that may be ordered there now, less those planned in this round. */
  startsLeft: number
  /** Number of tasks of the step that are placed there or planned. */
  countOf(step: Step): number
}

/** Conditions that the rules check beyond the state of the target itself. */
export interface PlacementPolicy {
  /**
   * Whether the quota of its organisation keeps so many tasks of the step from starting anywhere.
   * @default 1
   */
  exceedsQuota(step: Step, count?: number): boolean
  /** Whether the target's row is durable, so that the next owner will ask the target for runs. */
  isRostered(agent: TargetAgent): boolean
  /** Whether the owner does not need the target for the step, and leaves it to be moved. */
  isSurplus(agent: TargetAgent, step: Step): boolean
  /** Whether isolation of crash suspects keeps the step from the target. */
  isIsolated(agent: TargetAgent, step: Step): boolean
  /** Whether evidence against the target keeps the step from it. */
  isSuspect(agent: TargetAgent, step: Step): boolean
  /** Whether the step needs a ticket for the target and has none. */
  lacksTicket(agent: TargetAgent, step: Step): boolean
}

/** A policy that forbids nothing. */
export const UNRESTRICTED_POLICY: PlacementPolicy = {
  exceedsQuota: () => false,
  isRostered: () => true,
  isSurplus: () => false,
  isIsolated: () => false,
  isSuspect: () => false,
  lacksTicket: () => false,
}

/** Whether a rule keeps the step from the target. */
type ForbidsStep = (view: PlacementView, step: Step, policy: PlacementPolicy) => boolean

const exceeds = (need: Resources, room: Resources): boolean =>
  need.cpu > room.cpu || need.memMb > room.memMb || need.gpu > room.gpu

/** The rules by name, in the order in which they are evaluated: cheap ones first. */
const RULES: Record<StepHold, ForbidsStep> = {
  size: ({ agent }, step) => exceeds(needOf(step), agent.room.capacity),
  room: ({ free }, step) => exceeds(needOf(step), free),
  // All members of a gang start together and wait for one another in any case.
  orders: ({ startsLeft }, { spec }) => startsLeft <= 0 && !spec.gang,
  label: ({ agent }, { spec }) =>
    spec.label !== '' && !agent.target.labels.includes(spec.label),
  spread: (view, step) =>
    step.spec.maxPerTarget > 0 && view.countOf(step) >= step.spec.maxPerTarget,
  roster: ({ agent }, _step, policy) => !policy.isRostered(agent),
  surplus: ({ agent }, step, policy) => policy.isSurplus(agent, step),
  isolation: ({ agent }, step, policy) => policy.isIsolated(agent, step),
  suspect: ({ agent }, step, policy) => policy.isSuspect(agent, step),
  ticket: ({ agent }, step, policy) => policy.lacksTicket(agent, step),
}
const ORDER = Object.entries(RULES) as [StepHold, ForbidsStep][]

/** Returns the first rule that keeps the step from a target that accepts orders. */
export function stepHoldOf(
  view: PlacementView,
  step: Step,
  policy: PlacementPolicy,
): StepHold | undefined {
  for (const [hold, forbids] of ORDER) if (forbids(view, step, policy)) return hold
  return undefined
}

/** Returns the first reason that keeps the step from a target in its present state. */
export function holdOf(
  agent: TargetAgent,
  step: Step,
  policy: PlacementPolicy,
): Hold | undefined {
  const { free, countOf } = agent.room
  const view = { agent, free, countOf, startsLeft: agent.startsLeft() }
  const hold = agent.hold() ?? (policy.exceedsQuota(step) ? 'quota' : undefined)
  return hold ?? stepHoldOf(view, step, policy)
}

/**
 * Whether the target could run one more task of the step: it answers, is listed, neither draining
 * nor in a cordoned hall, and meets the step's needs, label and limit per target. Limits on starts
 * and the placement policy are not considered.
 */
export function couldRun(agent: TargetAgent, step: Step): boolean {
  if (!agent.isAnswering() || !agent.listed || agent.target.draining) return false
  if (agent.isCordoned()) return false
  const { free, countOf } = agent.room
  const view = { agent, free, countOf, startsLeft: Infinity }
  return stepHoldOf(view, step, UNRESTRICTED_POLICY) === undefined
}
