/**
 * What keeps a task from a target: one rule each, in the order in which they are asked. The
 * planner asks them to choose a target, the wait watch to say why there is none, so that
 * what is told is what was decided.
 */
import type { Step } from '../jobs/index.js'
import type { Resources } from '../ports/index.js'
import { needOf } from './room.js'
import type { TargetAgent, TargetHold } from './types.js'

/** Why a step may not run on a target that takes orders. */
export type StepHold =
  | 'size'
  | 'room'
  | 'orders'
  | 'label'
  | 'spread'
  | 'roster'
  | 'isolation'
  | 'suspect'
  | 'ticket'

/** Why a step may not run on a target. */
export type Hold = TargetHold | StepHold

/** A target as a step sees it. */
export interface PlacementView {
  agent: TargetAgent
  /** What is free, less what this round has planned. */
  free: Resources
  /** Starts that may be ordered there now, less what this round has planned. */
  startsLeft: number
  /** Tasks of the step that are there or planned. */
  countOf(step: Step): number
}

/** What the rules ask beyond the target itself. */
export interface PlacementPolicy {
  /** Whether the target's row is durable, so that a successor will ask it. */
  isRostered(agent: TargetAgent): boolean
  /** Whether isolation of crash suspects keeps the step from the target. */
  isIsolated(agent: TargetAgent, step: Step): boolean
  /** Whether evidence keeps the step from the target. */
  isSuspect(agent: TargetAgent, step: Step): boolean
  /** Whether the step needs a ticket for the target and has none. */
  lacksTicket(agent: TargetAgent, step: Step): boolean
}

/** Forbids nothing. */
export const OPEN_POLICY: PlacementPolicy = {
  isRostered: () => true,
  isIsolated: () => false,
  isSuspect: () => false,
  lacksTicket: () => false,
}

/** Whether the step is kept from the target by this rule. */
type ForbidsStep = (view: PlacementView, step: Step, policy: PlacementPolicy) => boolean

const exceeds = (need: Resources, room: Resources): boolean =>
  need.cpu > room.cpu || need.memMb > room.memMb || need.gpu > room.gpu

/** The rules by name, in the order in which they are asked: what is cheap comes first. */
const RULES: Record<StepHold, ForbidsStep> = {
  size: ({ agent }, step) => exceeds(needOf(step), agent.room.capacity),
  room: ({ free }, step) => exceeds(needOf(step), free),
  // A gang comes whole: its members wait for one another in any case.
  orders: ({ startsLeft }, { spec }) => startsLeft <= 0 && !spec.gang,
  label: ({ agent }, { spec }) =>
    spec.label !== '' && !agent.target.labels.includes(spec.label),
  spread: (view, step) =>
    step.spec.maxPerTarget > 0 && view.countOf(step) >= step.spec.maxPerTarget,
  roster: ({ agent }, _step, policy) => !policy.isRostered(agent),
  isolation: ({ agent }, step, policy) => policy.isIsolated(agent, step),
  suspect: ({ agent }, step, policy) => policy.isSuspect(agent, step),
  ticket: ({ agent }, step, policy) => policy.lacksTicket(agent, step),
}
const ORDER = Object.entries(RULES) as [StepHold, ForbidsStep][]

/** The first rule that keeps the step from a target that takes orders. */
export function stepHoldOf(
  view: PlacementView,
  step: Step,
  policy: PlacementPolicy,
): StepHold | undefined {
  for (const [hold, forbids] of ORDER) if (forbids(view, step, policy)) return hold
  return undefined
}

/** The first rule that keeps the step from a target, as the target is now. */
export function holdOf(
  agent: TargetAgent,
  step: Step,
  policy: PlacementPolicy,
): Hold | undefined {
  const { free, countOf } = agent.room
  const view = { agent, free, countOf, startsLeft: agent.startsLeft() }
  return agent.hold() ?? stepHoldOf(view, step, policy)
}

/** Whether the target itself could run one more task of the step: it lives and has room. */
export function couldRun(agent: TargetAgent, step: Step): boolean {
  if (!agent.isAnswering() || !agent.listed || agent.target.draining) return false
  const { free, countOf } = agent.room
  const view = { agent, free, countOf, startsLeft: Infinity }
  return stepHoldOf(view, step, OPEN_POLICY) === undefined
}
