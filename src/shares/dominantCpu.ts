/** Room of a task in one unit, whichever resource it mainly needs. */
import type { Resources } from '../ports/index.js'

/**
 * Returns the room that a task takes, in thousandths of a core. Memory is converted to the processor
 * room of targets that provide it, so that the scarcer resource counts: the dominant resource of
 * A. Ghodsi et al., "Dominant resource fairness", NSDI 2011. Only the ratio of the two capacities
 * matters, which is the same for one target and for a fleet of such targets.
 */
export function dominantCpu(
  need: Pick<Resources, 'cpu' | 'memMb'>,
  capacity: Pick<Resources, 'cpu' | 'memMb'>,
): number {
  const memoryCpu = capacity.memMb > 0 ? (need.memMb * capacity.cpu) / capacity.memMb : 0
  return Math.max(need.cpu, memoryCpu)
}
