/**
 * Checks whether the entries of the hall have applied a change and have no requests left
 * at the VM or job that it stops. An entry that does not answer counts as pending, unless
 * the platform no longer lists it as live.
 */
import type { PeerNetwork, NodeReport } from '../peer/index.js'

/** Silence after which the last report of an entry no longer counts, in ms. */
const MAX_REPORT_AGE_MS = 3000

/** Acknowledgements of the entries of the own hall. */
export interface EntryAcks {
  /**
   * Names the first entry that is waited for, and why. Undefined once every entry has
   * applied the revision and `inFlight` gives 0 for its report.
   */
  pendingReason(
    revision: number,
    inFlight: (report: NodeReport) => number,
  ): string | undefined
}

/** Options of {@link createEntryAcks}. */
export interface EntryAcksOptions {
  peers: PeerNetwork
  hall: string
  /** Whether the platform no longer lists the entry VM as live. */
  isGone: (entry: string) => boolean
}

/**
 * Creates the check over the reports of the peers. If this process hosts the keeper and
 * routes requests too, its own report is checked as well.
 */
export function createEntryAcks(opts: EntryAcksOptions): EntryAcks {
  const { peers, hall, isGone } = opts
  return {
    pendingReason(revision, inFlight) {
      const own = peers.ownReport()
      if (own.routes) {
        const reason = missingAck(own, revision, inFlight)
        if (reason) return `${own.node} ${reason}`
      }
      for (const peer of peers.peers()) {
        if (peer.address.hall !== hall || peer.address.role !== 'entry') continue
        const { report } = peer
        if (!report || peer.silentForMs() > MAX_REPORT_AGE_MS) {
          if (isGone(peer.id)) continue
          return `${peer.id} does not answer`
        }
        const reason = missingAck(report, revision, inFlight)
        if (reason) return `${peer.id} ${reason}`
      }
      return undefined
    },
  }
}

function missingAck(
  report: NodeReport,
  revision: number,
  inFlight: (report: NodeReport) => number,
): string | undefined {
  if (Number(report.revision) < revision) return 'has not applied the change yet'
  const requests = inFlight(report)
  return requests > 0 ? `still has ${requests} requests in flight there` : undefined
}

/**
 * Requests that the reporting process has in flight on a leaving VM; 1 if the report
 * predates the change, so that the caller waits.
 */
export function inFlightOnVm(vm: string, generation: number) {
  return (report: NodeReport): number => {
    const leavingVm = report.leaving.find((each) => each.vm === vm)
    // The report predates the change if the VM is missing or has an older generation.
    if (!leavingVm || leavingVm.generation < generation) return 1
    return leavingVm.inFlight
  }
}

/**
 * Requests that the reporting process has in flight at a stopping job; 1 if the report
 * does not name the job, so that the caller waits.
 */
export function inFlightAtJob(job: string) {
  return (report: NodeReport): number => {
    const stoppingJob = report.stopping.find((each) => each.job === job)
    return stoppingJob ? stoppingJob.inFlight : 1
  }
}
