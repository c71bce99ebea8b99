/**
 * Whether the entries of the hall know of a change, and have no request left there.
 * An entry that cannot be asked counts as not knowing, unless it is certainly gone.
 */
import type { PeerNetwork, NodeReport } from '../peer/index.js'

/** A report older than this proves nothing, in ms. */
const MAX_REPORT_AGE_MS = 3000

/** Asks the entries of the own hall. */
export interface EntryAcks {
  /**
   * Undefined when every entry has applied the revision and counts no request by
   * `inFlight`; otherwise who is waited for, and why.
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
  /** Whether the entry VM is off the platform's list. */
  isGone: (entry: string) => boolean
}

/** Creates the check over the reports of the peers and, with a hosted keeper, the own one. */
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
  if (Number(report.revision) < revision) return 'has not seen the change yet'
  const requests = inFlight(report)
  return requests > 0 ? `still has ${requests} requests there` : undefined
}

/** Requests of the report's process on a VM that is leaving. */
export function inFlightOnVm(vm: string, generation: number) {
  return (report: NodeReport): number => {
    const leavingVm = report.leaving.find((each) => each.vm === vm)
    // Not named, or named with an older generation: the report is of an older view.
    if (!leavingVm || leavingVm.generation < generation) return 1
    return leavingVm.inFlight
  }
}

/** Requests of the report's process at a job that is stopping. */
export function inFlightAtJob(job: string) {
  return (report: NodeReport): number => {
    const stoppingJob = report.stopping.find((each) => each.job === job)
    return stoppingJob ? stoppingJob.inFlight : 1
  }
}
