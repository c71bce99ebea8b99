/** Room of a task in one unit, whichever resource it mainly needs. */
import type { Resources } from '../ports/index.js'

/** Resources that are compared; those of a target, or their sums over several. */
type CpuAndMemory = Pick<Resources, 'cpu' | 'memMb'>

/**
 * Returns the processor room of targets that provide so much memory, in thousandths of a core; 0 if
 * they have none. Only the ratio of the two capacities matters, which is the same for one target and
 * for a fleet of such targets.
 */
export const memoryAsCpu = (memMb: number, capacity: CpuAndMemory): number =>
  capacity.memMb > 0 ? (memMb * capacity.cpu) / capacity.memMb : 0

/**
 * Returns the room that a task takes, in thousandths of a core. Memory is converted to the processor
 * room of targets that provide it, so that the scarcer resource counts: the dominant resource of
 * A. Ghodsi et al., "Dominant resource fairness", NSDI 2011.
 */
export const dominantCpu = (need: CpuAndMemory, capacity: CpuAndMemory): number =>
  Math.max(need.cpu, memoryAsCpu(need.memMb, capacity))
