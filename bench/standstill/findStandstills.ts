/**
 * Finds the longest standstill of each job of a run, and the reasons that were logged. A
 * standstill is a time in which a task of the job was ready and none ran. Pure.
 */
import type { LogEvent } from '../account/readLog.js'
import { traceJobs, type JobTrace } from './traceJobs.js'
import { traceRoom } from './traceRoom.js'
import type { LogGap } from './findLogGaps.js'
import { mergeSpans, spanMs, longestSpan, intersectSpans, type Span } from './spans.js'

/** The longest standstill of one job. */
export interface Standstill {
  job: string
  service: string
  /** Start, in ms since 1970, and length, in ms. */
  from: number
  ms: number
  /** Longest part of any standstill of the job in which a target had room, in ms. */
  withRoomMs: number
  /** Whether it lasted until the logs end. */
  unfinished: boolean
  /** How often each reason was logged for the job in this time. */
  reasons: Map<string, number>
}

/** Events that give a reason for the wait of a job. */
const EXPLAINING_EVENTS = new Set(['taskWaits', 'jobStalled'])

/** Result of the analysis. */
export interface Findings {
  /** Sorted by `withRoomMs`, then by `ms`, longest first. */
  standstills: Standstill[]
  /** Open jobs that never started, or whose later log lines may be lost. */
  incomplete: string[]
}

/** Finds the longest standstill of each job; the events must be sorted by time. */
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
