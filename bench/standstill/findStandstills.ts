/** The longest time that each job of a run stood still, and what held it. Pure. */
import type { LogEvent } from '../account/readLog.js'
import { traceJobs, type JobTrace } from './traceJobs.js'
import { traceRoom } from './traceRoom.js'
import type { LogGap } from './findLogGaps.js'
import { mergeSpans, spanMs, longestSpan, intersectSpans, type Span } from './spans.js'

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
const EXPLAINING_EVENTS = new Set(['taskWaits', 'jobStalled'])

/** What the logs of a run show. */
export interface Findings {
  /** The longest with room first. */
  standstills: Standstill[]
  /** Open jobs of which the logs don't tell enough: never started, or lines lost. */
  incomplete: string[]
}

/** Finds the standstills; the events must be sorted. */
export function findStandstills(events: LogEvent[], gaps: LogGap[]): Findings {
  const room = traceRoom(events)
  const explanations = events.filter(({ name }) => EXPLAINING_EVENTS.has(name))
  const logEnd = events.at(-1)?.at ?? 0
  const traces = traceJobs(events, gaps)
  const standstills = traces.flatMap((trace): Standstill[] => {
    const waits = intersectSpans(mergeSpans(trace.idle), mergeSpans(trace.ready))
    const longest = longestSpan(waits)
    if (!longest) return []
    return [describeStandstill(trace, longest, waits, room, explanations, logEnd)]
  })
  standstills.sort((a, b) => b.withRoomMs - a.withRoomMs || b.ms - a.ms)
  const incomplete = traces.filter(({ isIncomplete }) => isIncomplete)
  return { standstills, incomplete: incomplete.map(({ job }) => job) }
}

function describeStandstill(
  { job, service, isOpen }: JobTrace,
  longest: Span,
  waits: Span[],
  room: Map<string, Span[]>,
  explanations: LogEvent[],
  logEnd: number,
): Standstill {
  const withRoom = longestSpan(intersectSpans(waits, room.get(service) ?? []))
  const reasons = new Map<string, number>()
  for (const { name, hold, at, job: explainedJob } of explanations) {
    if (explainedJob !== job || at < longest.from || at > longest.until) continue
    const text = hold ? `${name}: ${hold}` : name
    reasons.set(text, (reasons.get(text) ?? 0) + 1)
  }
  return {
    job,
    service,
    from: longest.from,
    ms: spanMs(longest),
    withRoomMs: withRoom ? spanMs(withRoom) : 0,
    unfinished: isOpen && longest.until === logEnd,
    reasons,
  }
}
