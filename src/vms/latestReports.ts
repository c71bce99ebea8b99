/** The newest report of each service, as long as it is fresh. */
import { monotonicMs } from '../shared/index.js'
import { REPORT_STALE_MS } from './constants.js'
import type { ServiceReport, TargetLoad } from './types.js'

/** Reports by service. */
export interface LatestReports {
  /**
   * False for a report that is not the newest of its service: an owner that has been
   * deposed may go on for a while, and a slow call may come after newer ones.
   */
  accept(report: ServiceReport): boolean
  /**
   * Reports that are recent enough to act on, by service.
   * @param maxAgeMs oldest report that counts
   * @default REPORT_STALE_MS
   */
  fresh(maxAgeMs?: number): Map<string, ServiceReport>
  /**
   * Targets of the fresh reports, by id.
   * @param maxAgeMs oldest report that counts
   * @default REPORT_STALE_MS
   */
  loads(maxAgeMs?: number): Map<string, TargetLoad>
}

/** Whether a report comes after a known one: of a later owner, or later of the same one. */
const isNewer = (report: ServiceReport, known: ServiceReport): boolean =>
  report.term > known.term ||
  (report.term === known.term && report.sequence > known.sequence)

/** Creates an empty book. */
export function createLatestReports(): LatestReports {
  /** With the steady time at which it came, in ms. */
  const reports = new Map<string, { report: ServiceReport; at: number }>()

  function fresh(maxAgeMs = REPORT_STALE_MS): Map<string, ServiceReport> {
    const found = new Map<string, ServiceReport>()
    for (const [service, { report, at }] of reports) {
      if (monotonicMs() - at < maxAgeMs) found.set(service, report)
    }
    return found
  }

  return {
    accept(report) {
      const known = reports.get(report.service)
      if (known && !isNewer(report, known.report)) return false
      reports.set(report.service, { report, at: monotonicMs() })
      return true
    },
    fresh,
    loads(maxAgeMs) {
      const loads = [...fresh(maxAgeMs).values()].flatMap(({ targets }) => targets)
      return new Map(loads.map((load) => [load.id, load]))
    },
  }
}
