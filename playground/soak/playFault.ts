/** Plays the faults of a plan, and says when they disturb the system. */
import { sleep } from '../../src/shared/index.js'
import type { Calm } from './calm.js'
import { FAULT_KINDS } from './faultKinds.js'
import type { FaultContext } from './faultKinds.js'
import type { Fault } from './plan.js'

/** Kinds that disturb when they come and when they go: the others live on without the node. */
const MOMENTARY: readonly string[] = ['nodeAway']

/** What is disturbed by a kind of fault: planned stops spoil only what `calm` says. */
function disturbedBy(name: string, { calm, unplanned }: Disturbed): Calm[] {
  const group = FAULT_KINDS[name]?.group
  if (group === 'node' || group === 'store') return [calm, unplanned]
  return name === 'nodeStop' ? [calm] : []
}

interface Disturbed {
  calm: Calm
  unplanned: Calm
}

/** Plays one fault from its beginning to its end. */
export async function playFault(
  ctx: FaultContext,
  disturbed: Disturbed,
  fault: Fault,
): Promise<void> {
  const kind = FAULT_KINDS[fault.kind]
  if (!kind) throw new Error(`unknown kind of fault: ${fault.kind}`)
  const begin = () => disturbedBy(fault.kind, disturbed).map((calm) => calm.begin())
  const isMomentary = MOMENTARY.includes(fault.kind)
  let ends = begin()
  const undo = kind.begin(ctx, fault)
  if (isMomentary) ends.forEach((end) => end())
  await sleep(fault.forMs)
  if (isMomentary) ends = begin()
  if (undo) await undo()
  ends.forEach((end) => end())
}
