/** Calls to the owner of a service, on this node or on another. */
import { Agent, createServer } from 'node:http'
import type { Server } from 'node:http'
import { createClient } from '@connectrpc/connect'
import type { Client, ConnectRouter } from '@connectrpc/connect'
import { connectNodeAdapter, createConnectTransport } from '@connectrpc/connect-node'
import { NodeService } from '../peer/gen/node_pb.js'
import { jobSchema } from '../jobs/index.js'
import type { JobSpec, JobStatus } from '../jobs/index.js'
import { FLEET } from '../ownership/index.js'
import type { NodeRegistry } from '../ownership/index.js'
import type { ServiceOwner } from '../scheduler/index.js'
import { describeError } from '../shared/index.js'
import type { Logger } from '../shared/index.js'
import { fleetAnswerSchema, serviceReportSchema } from '../vms/index.js'
import type { FleetAnswer, FleetOwner, ServiceReport } from '../vms/index.js'

/** Longest wait for another node, in ms; then the store answers instead. */
const PEER_TIMEOUT_MS = 400
/** Largest message, in bytes: a job of many steps with its text. */
const MAX_MESSAGE_BYTES = 1024 * 1024

export interface OwnerCalls {
  offer(job: JobSpec): void
  cancel(service: string, id: string): void
  /** Undefined when the owner does not answer or does not know the job. */
  status(service: string, id: string): Promise<JobStatus | undefined>
  waiting(service: string, queue: string): Promise<number | undefined>
  /** Undefined when the owner of the fleet does not answer. */
  reportToFleet(report: ServiceReport): Promise<FleetAnswer | undefined>
  close(): void
}

/** Finds owners on this node. */
export interface LocalOwners {
  service(name: string): ServiceOwner | undefined
  fleet(): FleetOwner | undefined
}

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
      const answer = fleetAnswerSchema.safeParse(JSON.parse(res.answer))
      return answer.success ? answer.data : undefined
    },
    close: () => agent.destroy(),
  }
}

/** Answers other nodes about the services that this node owns. */
export function ownerRoutes(local: LocalOwners): (router: ConnectRouter) => void {
  return (router) =>
    router.service(NodeService, {
      offer(req) {
        const owner = local.service(req.service)
        const job = jobSchema.safeParse(JSON.parse(req.job))
        if (!owner || !job.success) return { taken: false }
        owner.offer(job.data)
        return { taken: true }
      },
      cancel(req) {
        return { taken: local.service(req.service)?.cancel(req.id) ?? false }
      },
      status(req) {
        return { status: local.service(req.service)?.status(req.id) ?? '' }
      },
      fleetReport(req) {
        const report = serviceReportSchema.safeParse(JSON.parse(req.report))
        const fleet = local.fleet()
        if (!fleet || !report.success) return { taken: false, answer: '' }
        return { taken: true, answer: JSON.stringify(fleet.report(report.data)) }
      },
      waiting(req) {
        const owner = local.service(req.service)
        return { known: owner !== undefined, waiting: owner?.waiting(req.queue) ?? 0 }
      },
    })
}

/** Opens the port for other nodes. Rejects when it cannot be opened. */
export async function listenForNodes(
  host: string,
  port: number,
  routes: (router: ConnectRouter) => void,
): Promise<Server> {
  const server = createServer(
    connectNodeAdapter({ routes, readMaxBytes: MAX_MESSAGE_BYTES }),
  )
  await new Promise<void>((resolve, reject) => {
    server.once('error', reject)
    server.listen(port, host, resolve)
  })
  return server
}
