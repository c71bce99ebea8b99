/** The longest time that each job of a run stood still, and what held it. Pure. */
import type { LogEvent } from '../account/readLog.js'
import { followJobs, type JobTrace } from './followJobs.js'
import { followRoom } from './followRoom.js'
import type { Cut } from './readCuts.js'
import { joinSpans, lengthOf, longestOf, overlapOf, type Span } from './spans.js'

/** The longest standstill of one job. */
export interface Standstill {
  job: string
  service: string
  /** Start and length, in ms. */
  from: number
  ms: number
  /** The longest part of any standstill of the job in which a target had room, in ms. */
  withRoomMs: number
  /** Whether it lasted to the end of the logs. */
  unfinished: boolean
  /** What the owner said of it meanwhile, by how often. */
  reasons: Map<string, number>
}

/** Events that say why a job waits. */
const EXPLAINING = new Set(['taskWaits', 'jobStalled'])

/** What the logs of a run show. */
export interface Findings {
  /** The longest with room first. */
  standstills: Standstill[]
  /** Open jobs of which the logs don't tell enough: never started, or lines lost. */
  unsure: string[]
}

/** Finds the standstills; the events must be sorted. */
export function findStandstills(events: LogEvent[], cuts: Cut[]): Findings {
  const room = followRoom(events)
  const said = events.filter(({ name }) => EXPLAINING.has(name))
  const logEnd = events.at(-1)?.at ?? 0
  const traces = followJobs(events, cuts)
  const standstills = traces.flatMap((trace): Standstill[] => {
    const waits = overlapOf(joinSpans(trace.still), joinSpans(trace.ready))
    const longest = longestOf(waits)
    if (!longest) return []
    return [describe(trace, longest, waits, room, said, logEnd)]
  })
  standstills.sort((a, b) => b.withRoomMs - a.withRoomMs || b.ms - a.ms)
  const unsure = traces.filter(({ isUnsure }) => isUnsure)
  return { standstills, unsure: unsure.map(({ job }) => job) }
}

function describe(
  { job, service, open }: JobTrace,
  longest: Span,
  waits: Span[],
  room: Map<string, Span[]>,
  said: LogEvent[],
  logEnd: number,
): Standstill {
  const withRoom = longestOf(overlapOf(waits, room.get(service) ?? []))
  const reasons = new Map<string, number>()
  for (const { name, hold, at, job: told } of said) {
    if (told !== job || at < longest.from || at > longest.until) continue
    const text = hold ? `${name}: ${hold}` : name
    reasons.set(text, (reasons.get(text) ?? 0) + 1)
  }
  return {
    job,
    service,
    from: longest.from,
    ms: lengthOf(longest),
    withRoomMs: withRoom ? lengthOf(withRoom) : 0,
    unfinished: open && longest.until === logEnd,
    reasons,
  }
}
