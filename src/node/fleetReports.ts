/** Tells the owner of the fleet about the services of this node, one task for all. */
import type { OwnerCalls } from '../front/index.js'
import { createStopController, sleep } from '../shared/index.js'
import { NOTHING_TO_EMPTY, REPORT_MS } from '../vms/index.js'
import type { OwnerTable } from './ownerTable.js'

/** Reports that go on until they are stopped. */
export interface FleetReports {
  stop(): Promise<void>
}

/** Reports for every service of this node, until stopped; the answers go to the owners. */
export function startFleetReports(owners: OwnerTable, calls: OwnerCalls): FleetReports {
  const stopping = createStopController()

  /** Reports that are under way; an owner follows one answer at a time. */
  const reportsInFlight = new Map<string, Promise<void>>()

  async function send(service: string): Promise<void> {
    const owner = owners.local.service(service)
    if (!owner) return
    // The next owner of the fleet begins without reports, so it can act on none.
    if (!calls.hasFleetOwner()) return owner.evacuate(NOTHING_TO_EMPTY)
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
      await sleep(REPORT_MS, stopping.signal)
    }
  }
  // Saves half the time between two reports where VMs are missed most: at a jump.
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
