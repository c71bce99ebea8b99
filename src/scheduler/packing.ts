/**
 * Concentrates the tasks of an owner that cannot use all its targets on as many of them as it can
 * use. The others run empty, so that the owner of the fleet can move their VMs: with a task or two
 * on each target, none of them would ever be idle.
 */
import type { Step } from '../jobs/index.js'
import { PLANNED_UTILIZATION } from '../vms/constants.js'
import { takenCpuOf } from './room.js'
import type { TargetAgent } from './types.js'

/** Returns whether a step is kept off a target that the owner does not need. */
export type IsSurplus = (agent: TargetAgent, step: Step) => boolean

/** Whether any target with room is as good for the step as another. */
const isMovable = ({ spec, crashSuspects }: Step): boolean =>
  !spec.lasting &&
  !spec.gang &&
  spec.label === '' &&
  spec.maxPerTarget === 0 &&
  crashSuspects.size === 0

/**
 * Chooses the targets that the owner needs, those in use first.
 * @param usableCpu room that the owner can use, in thousandths of a core; Infinity without a limit
 * @param isSound whether no evidence keeps tasks off the target; others are left to that evidence
 * @param isCold whether the target is slow after its start; cold targets are chosen last
 */
export function createPacking(
  agents: readonly TargetAgent[],
  usableCpu: number,
  isSound: (agent: TargetAgent) => boolean,
  isCold: (agent: TargetAgent) => boolean = () => false,
): IsSurplus {
  if (usableCpu === Infinity) return () => false
  const usable = agents.filter((agent) => agent.isUsable() && isSound(agent))
  const surplus = new Set<TargetAgent>()
  let missingCpu = usableCpu / PLANNED_UTILIZATION
  const byUse = (a: TargetAgent, b: TargetAgent): number =>
    Number(isCold(a)) - Number(isCold(b)) || takenCpuOf(b.room) - takenCpuOf(a.room)
  for (const agent of usable.sort(byUse)) {
    if (missingCpu <= 0) surplus.add(agent)
    missingCpu -= agent.room.capacity.cpu
  }
  return (agent, step) => surplus.has(agent) && isMovable(step)
}
