/**
 * Orders the reports of one incarnation of a target. Answers on different connections may overtake
 * each other, and an overtaken report says nothing of what runs now.
 */
import type { TargetReport } from '../ports/index.js'

/** The call that a report answers. */
export interface ReportedCall {
  token: number
  /** The target forgot the ends up to this sequence number before it answered. */
  ackedSeq: number
}

/** Position of a report: its target's clock, its place in the list of ends, and its token. */
type Position = readonly [clockMs: number, endSeq: number, token: number]

const positionOf = (
  { clockMs, ends }: TargetReport,
  { token, ackedSeq }: ReportedCall,
): Position => [clockMs, Math.max(ackedSeq, ...ends.map(({ seq }) => seq)), token]

/** Whether `a` precedes `b`; earlier entries of a position take precedence over later ones. */
function precedes(a: Position, b: Position): boolean {
  const index = a.findIndex((each, place) => each !== b[place])
  return index >= 0 && a[index]! < b[index]!
}

/** The order of the reports of one incarnation. */
export interface ReportOrder {
  /** Whether no later report has been seen; notes the position of the report if so. */
  isLatest(report: TargetReport, call: ReportedCall): boolean
  /** Starts over for another incarnation. */
  reset(): void
}

/** Starts without reports. */
export function createReportOrder(): ReportOrder {
  let latest: Position | undefined

  return {
    isLatest(report, call) {
      const position = positionOf(report, call)
      if (latest && precedes(position, latest)) return false
      latest = position
      return true
    },
    reset: () => void (latest = undefined),
  }
}
