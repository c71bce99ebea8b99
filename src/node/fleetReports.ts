/** Reports the services owned by this node to the owner of the fleet, in one loop for all. */
import type { OwnerCalls } from '../front/index.js'
import { createStopController, sleep } from '../shared/index.js'
import { NO_EVACUATION, REPORT_INTERVAL_MS } from '../vms/index.js'
import type { OwnerTable } from './ownerTable.js'

/** A running report loop. */
export interface FleetReports {
  stop(): Promise<void>
}

/** Starts the report loop; it passes the answers on to the owners of the services. */
export function startFleetReports(owners: OwnerTable, calls: OwnerCalls): FleetReports {
  const stopping = createStopController()

  /** Reports in flight, by service; one at a time, so that an owner handles one answer at a time. */
  const reportsInFlight = new Map<string, Promise<void>>()

  async function send(service: string): Promise<void> {
    const owner = owners.local.service(service)
    if (!owner) return
    // While the fleet has no owner, nothing is evacuated: the next owner starts without reports, so
    // it has none to act on.
    if (!calls.hasFleetOwner()) return owner.evacuate(NO_EVACUATION)
    const answer = await calls.reportToFleet(owner.report())
    if (answer) owner.evacuate(answer)
  }

  function reportOne(service: string): Promise<void> {
    const known = reportsInFlight.get(service)
    if (known) return known
    const sent = send(service).finally(() => reportsInFlight.delete(service))
    reportsInFlight.set(service, sent)
    return sent
  }

  async function run(): Promise<void> {
    while (!stopping.signal.aborted) {
      await Promise.all(owners.names().map(reportOne))
      await sleep(REPORT_INTERVAL_MS, stopping.signal)
    }
  }
  // VMs are needed most after a jump in demand; reporting it at once saves half of the interval on
  // average.
  owners.onDemandGrown((service) => {
    if (!stopping.signal.aborted) void reportOne(service)
  })
  const task = run()

  return {
    async stop() {
      stopping.abort()
      await task
    },
  }
}
