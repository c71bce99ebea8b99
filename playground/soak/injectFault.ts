/** Injects the faults of a plan and records their disturbances. */
import { sleep } from '../../src/shared/index.js'
import type { DisturbanceTracker } from './disturbances.js'
import { FAULT_KINDS } from './faultKinds.js'
import type { FaultContext, FaultGroup } from './faultKinds.js'
import type { Fault } from './plan.js'

/** Kinds that disturb only when they begin and end; in between, the other nodes take over. */
const DISTURBS_AT_EDGES: readonly string[] = ['nodeAway']

/** Groups whose faults disturb all the time that they last. */
const DISTURBING: readonly FaultGroup[] = ['node', 'store', 'cloud', 'restartBesideFault']

/** The trackers that record a kind of fault. Planned stops are recorded in `disturbances` only. */
function trackersOf(
  name: string,
  { disturbances, unplannedDisturbances }: Trackers,
): DisturbanceTracker[] {
  const group = FAULT_KINDS[name]?.group
  if (group !== undefined && DISTURBING.includes(group))
    return [disturbances, unplannedDisturbances]
  return name === 'nodeStop' ? [disturbances] : []
}

interface Trackers {
  disturbances: DisturbanceTracker
  unplannedDisturbances: DisturbanceTracker
}

/** Injects a fault and resolves once it is undone. */
export async function injectFault(
  ctx: FaultContext,
  trackers: Trackers,
  fault: Fault,
): Promise<void> {
  const kind = FAULT_KINDS[fault.kind]
  if (!kind) throw new Error(`unknown kind of fault: ${fault.kind}`)
  const begin = () => trackersOf(fault.kind, trackers).map((tracker) => tracker.begin())
  const disturbsAtEdges = DISTURBS_AT_EDGES.includes(fault.kind)
  let ends = begin()
  const undo = kind.begin(ctx, fault)
  if (disturbsAtEdges) ends.forEach((end) => end())
  await sleep(fault.forMs)
  if (disturbsAtEdges) ends = begin()
  if (undo) await undo()
  ends.forEach((end) => end())
}
