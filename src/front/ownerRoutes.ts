/** Answers to other nodes about the services that this node owns. */
import { createServer } from 'node:http'
import type { Server } from 'node:http'
import type { ConnectRouter } from '@connectrpc/connect'
import { connectNodeAdapter } from '@connectrpc/connect-node'
import { jobSchema } from '../jobs/index.js'
import type { JobSpec } from '../jobs/index.js'
import { NodeService } from '../peer/gen/node_pb.js'
import type { ServiceOwner } from '../scheduler/index.js'
import { serviceReportSchema } from '../vms/index.js'
import type { FleetOwner } from '../vms/index.js'
import { parseJson } from '../shared/index.js'
import { answerPeerCall } from '../storeAccess/index.js'
import type { StoreAccess } from '../storeAccess/index.js'

/** Largest message, in bytes: a job of many steps with its text. */
export const MAX_MESSAGE_BYTES = 1024 * 1024

/** Finds owners on this node. */
export interface LocalOwners {
  service(name: string): ServiceOwner | undefined
  fleet(): FleetOwner | undefined
}

/** Answers other nodes about the services that this node owns, and calls the store for them. */
export function ownerRoutes(
  local: LocalOwners,
  access: StoreAccess,
): (router: ConnectRouter) => void {
  /** Hands a job to the owner of its service, if that runs here and the job can be read. */
  function tell(
    req: { service: string; job: string },
    use: (owner: ServiceOwner, job: JobSpec) => void,
  ): { taken: boolean } {
    const owner = local.service(req.service)
    const job = jobSchema.safeParse(parseJson(req.job))
    if (!owner || !job.success) return { taken: false }
    use(owner, job.data)
    return { taken: true }
  }

  return (router) =>
    router.service(NodeService, {
      offer: (req) => tell(req, (owner, job) => owner.offer(job)),
      expect: (req) => tell(req, (owner, job) => owner.expect(job)),
      cancel(req) {
        return { taken: local.service(req.service)?.cancel(req.id) ?? false }
      },
      status(req) {
        return { status: local.service(req.service)?.status(req.id) ?? '' }
      },
      fleetReport(req) {
        const report = serviceReportSchema.safeParse(parseJson(req.report))
        const answer = report.success ? local.fleet()?.report(report.data) : undefined
        if (!answer) return { taken: false, answer: '' }
        return { taken: true, answer: JSON.stringify(answer) }
      },
      async storeCall(req) {
        return { answer: await answerPeerCall(access, req.call) }
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
