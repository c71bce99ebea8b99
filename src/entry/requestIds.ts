/** Home hall and creation time of a request, as contained in its id. */
import { rankByHash } from './rendezvous.js'

/** An entry and its hall. */
export interface EntryLocation {
  id: string
  hall: string
}

/** Ids that contain their home hall and creation time: HALL.SECONDS.RANDOM. */
const DATED_ID = /^([a-z0-9-]+)\.(\d{9,11})\.[\w-]+$/i

/** Wall-clock time in s at which the id was created; 0 if the id does not contain it. */
export const createdAtSeconds = (id: string): number =>
  Number(DATED_ID.exec(id)?.[2] ?? 0)

/** The entry that owns the id, whichever entry receives it. */
export function ownerOf(id: string, entries: readonly EntryLocation[]): string {
  const halls = [...new Set(entries.map((entry) => entry.hall))]
  const named = DATED_ID.exec(id)?.[1] ?? ''
  const home = halls.includes(named) ? named : rankByHash(halls, id)[0]
  const inHall = entries.filter((entry) => entry.hall === home)
  return rankByHash(
    inHall.map((entry) => entry.id),
    id,
  )[0]!
}
