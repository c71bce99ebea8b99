/** Calls to the owner of a service, on this node or on another. */
import { Agent } from 'node:http'
import { createClient } from '@connectrpc/connect'
import type { Client } from '@connectrpc/connect'
import { createConnectTransport } from '@connectrpc/connect-node'
import { NodeService } from '../peer/gen/node_pb.js'
import type { JobSpec, JobStatus } from '../jobs/index.js'
import { FLEET } from '../ownership/index.js'
import type { NodeRegistry } from '../ownership/index.js'
import { describeError, parseJson } from '../shared/index.js'
import type { Logger } from '../shared/index.js'
import { fleetAnswerSchema } from '../vms/index.js'
import type { FleetAnswer, ServiceReport } from '../vms/index.js'
import { MAX_MESSAGE_BYTES } from './ownerRoutes.js'
import type { LocalOwners } from './ownerRoutes.js'

/** Longest wait for another node, in ms; then the store answers instead. */
const PEER_TIMEOUT_MS = 400

/** Calls to owners, wherever they run. */
export interface OwnerCalls {
  /** Tells of a new job; its loss costs only time. */
  offer(job: JobSpec): void
  cancel(service: string, id: string): void
  /** Undefined when the owner does not answer or does not know the job. */
  status(service: string, id: string): Promise<JobStatus | undefined>
  waiting(service: string, queue: string): Promise<number | undefined>
  /** Undefined when the owner of the fleet does not answer. */
  reportToFleet(report: ServiceReport): Promise<FleetAnswer | undefined>
  close(): void
}

/** Creates the calls; connections are opened as they are needed. */
export function createOwnerCalls(opts: {
  registry: NodeRegistry
  local: LocalOwners
  log: Logger
}): OwnerCalls {
  const { registry, local, log } = opts
  const agent = new Agent({ keepAlive: true, maxSockets: 8 })
  const clients = new Map<string, Client<typeof NodeService>>()

  const clientFor = (service: string): Client<typeof NodeService> | undefined => {
    const owner = registry.ownerOf(service)
    if (!owner || owner.id === registry.self.id) return undefined
    const known = clients.get(owner.address)
    if (known) return known
    const transport = createConnectTransport({
      httpVersion: '1.1',
      baseUrl: `http://${owner.address}`,
      readMaxBytes: MAX_MESSAGE_BYTES,
      useBinaryFormat: true,
      nodeOptions: { agent },
    })
    const client = createClient(NodeService, transport)
    clients.set(owner.address, client)
    return client
  }

  /** A call whose loss costs only time: the owner reads the store as well. */
  async function ask<T>(
    step: string,
    service: string,
    call: (client: Client<typeof NodeService>) => Promise<T>,
  ): Promise<T | undefined> {
    const client = clientFor(service)
    if (!client) return undefined
    try {
      return await call(client)
    } catch (cause) {
      log.event('peerLost', { step, service, reason: describeError(cause) })
      return undefined
    }
  }

  const timeout = { timeoutMs: PEER_TIMEOUT_MS }
  return {
    offer(job) {
      const owner = local.service(job.service)
      if (owner) return owner.offer(job)
      const req = { service: job.service, job: JSON.stringify(job) }
      void ask('offer', job.service, (client) => client.offer(req, timeout))
    },
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
    close: () => agent.destroy(),
  }
}
