/**
 * Which entry of a hall asks a target for its health: one of those that are reached, by
 * rendezvous hashing, so that the work of a hall's checks is shared. An entry that falls
 * silent is left out, and its targets go to others.
 */
import { rankByHash } from './rendezvous.js'

/** Tells whether this entry is on duty for a target. */
export interface HealthCheckAssignment {
  isAssignedHere(job: string): boolean
}

/** Creates the duty roster. `reached` names the other entries of the hall that answer. */
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
