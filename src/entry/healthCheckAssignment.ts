/**
 * Assigns the health checks of a hall's targets to the reachable entries of the hall by
 * rendezvous hashing, so that the entries share the work. The targets of an entry that
 * becomes unreachable are reassigned to the others.
 */
import { rankByHash } from './rendezvous.js'

/** Tells which targets this entry checks. */
export interface HealthCheckAssignment {
  isAssignedHere(job: string): boolean
}

/** Creates the assignment. `reached` returns the other reachable entries of the hall. */
export function createHealthCheckAssignment(
  own: string,
  reached: () => readonly string[],
): HealthCheckAssignment {
  let cachedNames = ''
  let assignedHere = new Map<string, boolean>()
  return {
    isAssignedHere(job) {
      const names = [own, ...reached()].sort()
      const currentNames = names.join(' ')
      if (currentNames !== cachedNames) {
        cachedNames = currentNames
        assignedHere = new Map()
      }
      let found = assignedHere.get(job)
      if (found === undefined) {
        found = rankByHash(names, job)[0] === own
        assignedHere.set(job, found)
      }
      return found
    },
  }
}
