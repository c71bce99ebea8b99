/** Latest report of each service, as long as it is fresh. */
import { monotonicMs } from '../shared/index.js'
import { REPORT_STALE_MS } from './constants.js'
import type { ServiceReport, TargetLoad } from './types.js'

/** Latest reports by service. */
export interface LatestReports {
  /**
   * Stores a report; returns false for one that is not the newest of its service. An owner that was
   * replaced may continue for a while, and a slow call may arrive after later ones.
   */
  accept(report: ServiceReport): boolean
  /**
   * Returns the reports that are recent enough to act on, by service.
   * @param maxAgeMs highest age of a report, in ms
   * @default REPORT_STALE_MS
   */
  fresh(maxAgeMs?: number): Map<string, ServiceReport>
  /**
   * Returns the targets of the fresh reports, by id.
   * @param maxAgeMs highest age of a report, in ms
   * @default REPORT_STALE_MS
   */
  loads(maxAgeMs?: number): Map<string, TargetLoad>
}

/** Whether a report is newer: from a later owner, or a later one of the same owner. */
const isNewer = (report: ServiceReport, known: ServiceReport): boolean =>
  report.term > known.term ||
  (report.term === known.term && report.sequence > known.sequence)

/** Creates an empty set of reports. */
export function createLatestReports(): LatestReports {
  /** Each report with the monotonic time at which it arrived, in ms. */
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
