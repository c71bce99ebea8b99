/** Calls to the owner of a service, on this node or on another. */
import type { JobSpec, JobStatus } from '../jobs/index.js'
import { FLEET } from '../ownership/index.js'
import type { NodeRegistry } from '../ownership/index.js'
import { describeError, parseJson } from '../shared/index.js'
import type { Logger } from '../shared/index.js'
import { fleetAnswerSchema } from '../vms/index.js'
import type { FleetAnswer, ServiceReport } from '../vms/index.js'
import type { NodeClient, NodeClients } from './nodeClients.js'
import type { LocalOwners } from './ownerRoutes.js'

/** Longest wait for another node, in ms; then the store answers instead. */
const PEER_TIMEOUT_MS = 400

/** Calls to owners, wherever they run. */
export interface OwnerCalls {
  /** Tells of a new job; its loss costs only time. */
  offer(job: JobSpec): void
  /** Tells of a job that was refused for an outage of the store; its loss costs only time. */
  expect(job: JobSpec): void
  /** Tells of a request to cancel; its loss costs only time. */
  cancel(service: string, id: string): void
  /** Undefined when the owner does not answer or does not know the job. */
  status(service: string, id: string): Promise<JobStatus | undefined>
  /** Jobs of the queue that have not begun; undefined when the owner does not answer. */
  waiting(service: string, queue: string): Promise<number | undefined>
  /** Whether some live node owns the fleet. */
  hasFleetOwner(): boolean
  /** Undefined when the owner of the fleet does not answer. */
  reportToFleet(report: ServiceReport): Promise<FleetAnswer | undefined>
}

/** Creates the calls; owners on this node are called directly. */
export function createOwnerCalls(opts: {
  registry: NodeRegistry
  local: LocalOwners
  clients: NodeClients
  log: Logger
}): OwnerCalls {
  const { registry, local, clients, log } = opts

  /** The live node that owns the name; where none is known, the registry looks again soon. */
  const ownerOf = (service: string): ReturnType<NodeRegistry['ownerOf']> => {
    const owner = registry.ownerOf(service)
    if (!owner) registry.refreshSoon()
    return owner
  }

  const clientFor = (service: string): NodeClient | undefined => {
    const owner = ownerOf(service)
    if (!owner || owner.id === registry.self.id) return undefined
    return clients.at(owner.address)
  }

  /**
   * Calls the owner on another node; undefined when none is known or the call fails. That
   * costs only time: owners read the store, and reports are repeated.
   */
  async function ask<T>(
    step: string,
    service: string,
    call: (client: NodeClient) => Promise<T>,
  ): Promise<T | undefined> {
    const client = clientFor(service)
    if (!client) return undefined
    try {
      return await call(client)
    } catch (cause) {
      log.event('peerLost', { step, service, reason: describeError(cause) })
      registry.refreshSoon()
      return undefined
    }
  }

  const timeout = { timeoutMs: PEER_TIMEOUT_MS }

  /** Tells the owner of a job's service of the job. */
  function tell(what: 'offer' | 'expect', job: JobSpec): void {
    const owner = local.service(job.service)
    if (owner) return owner[what](job)
    const req = { service: job.service, job: JSON.stringify(job) }
    void ask<{ taken: boolean }>(what, job.service, (client) =>
      client[what](req, timeout),
    )
  }

  return {
    offer: (job) => tell('offer', job),
    expect: (job) => tell('expect', job),
    cancel(service, id) {
      const owner = local.service(service)
      if (owner) return void owner.cancel(id)
      void ask('cancel', service, (client) => client.cancel({ service, id }, timeout))
    },
    async status(service, id) {
      const owner = local.service(service)
      if (owner) return owner.status(id)
      const res = await ask('status', service, (client) =>
        client.status({ service, id }, timeout),
      )
      return res && res.status !== '' ? (res.status as JobStatus) : undefined
    },
    async waiting(service, queue) {
      const owner = local.service(service)
      if (owner) return owner.waiting(queue)
      const res = await ask('waiting', service, (client) =>
        client.waiting({ service, queue }, timeout),
      )
      return res?.known ? res.waiting : undefined
    },
    hasFleetOwner: () => local.fleet() !== undefined || ownerOf(FLEET) !== undefined,
    async reportToFleet(report) {
      const fleet = local.fleet()
      if (fleet) return fleet.report(report)
      const req = { report: JSON.stringify(report) }
      const res = await ask('reportToFleet', FLEET, (client) =>
        client.fleetReport(req, timeout),
      )
      if (!res?.taken) return undefined
      const answer = fleetAnswerSchema.safeParse(parseJson(res.answer))
      return answer.success ? answer.data : undefined
    },
  }
}
