/** What the id of a request says of itself: its home hall and the time it was made. */
import { rankByHash } from './rendezvous.js'

/** One entry, with its hall. */
export interface EntryLocation {
  id: string
  hall: string
}

/** Ids that name their home hall and the time they were made: HALL.SECONDS.RANDOM. */
const DATED_ID = /^([a-z0-9-]+)\.(\d{9,11})\.[\w-]+$/i

/** Time of day in s at which the id was made; 0 where it does not say so. */
export const createdAtSeconds = (id: string): number =>
  Number(DATED_ID.exec(id)?.[2] ?? 0)

/** The entry that owns the id; the same wherever the id arrives. */
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
