/**
 * Which entry of a hall asks a target for its health: one of those that are reached, by
 * rendezvous hashing, so that the work of a hall's checks is shared. An entry that falls
 * silent is left out, and its targets go to others.
 */
import { byScore } from './rendezvous.js'

/** Tells whether this entry is on duty for a target. */
export interface HealthDuty {
  isMine(job: string): boolean
}

/** Creates the duty roster. `reached` names the other entries of the hall that answer. */
export function createHealthDuty(
  own: string,
  reached: () => readonly string[],
): HealthDuty {
  let roster = ''
  let mine = new Map<string, boolean>()
  return {
    isMine(job) {
      const names = [own, ...reached()].sort()
      const now = names.join(' ')
      if (now !== roster) {
        roster = now
        mine = new Map()
      }
      let found = mine.get(job)
      if (found === undefined) {
        found = byScore(names, job)[0] === own
        mine.set(job, found)
      }
      return found
    },
  }
}
