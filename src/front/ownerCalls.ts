/** Calls to the owner of a service, on this node or on another. */
import type { JobSpec, JobStatus } from '../jobs/index.js'
import { FLEET } from '../ownership/index.js'
import type { NodeRegistry } from '../ownership/index.js'
import { describeError, parseJson } from '../shared/index.js'
import type { Logger } from '../shared/index.js'
import { fleetAnswerSchema } from '../vms/index.js'
import type { FleetAnswer, ServiceReport } from '../vms/index.js'
import type { Answer } from '../peer/gen/node_pb.js'
import type { NodeClients } from './nodeClients.js'
import type { LocalOwners, OfferedJob } from './ownerRoutes.js'
import { createQuestionBatches } from './questionBatches.js'
import type { NewQuestion } from './questionBatches.js'

/** Longest wait for the owner of the fleet, in ms; the next report follows soon. */
const REPORT_TIMEOUT_MS = 400

/** Calls to owners, wherever they run. */
export interface OwnerCalls {
  /**
   * Tells of a new job; its loss costs only time.
   * @param rowVersion version of the job's row
   */
  offer(job: JobSpec, rowVersion: number): void
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

  const batches = createQuestionBatches(async (address, questions, timeoutMs) => {
    const res = await clients.at(address).ask({ questions }, { timeoutMs })
    return res.answers
  })

  /** Address of the owner when that is another node, as far as the rows say. */
  function addressFor(service: string): string | undefined {
    const owner = registry.ownerOf(service)
    return owner && owner.id !== registry.self.id ? owner.address : undefined
  }

  /** Notes that a call to an owner failed; the rows may name another one by now. */
  function noteLost(step: string, service: string, reason: string): void {
    log.event('peerLost', { step, service, reason })
    void registry.refreshSoon()
  }

  /**
   * Asks the owner on another node; undefined when the call fails or it is the owner no more.
   * That costs only time: owners read the store.
   */
  async function askAt(
    address: string,
    service: string,
    about: NewQuestion['about'],
  ): Promise<Answer | undefined> {
    const answer = await batches.ask(address, { service, about })
    if (answer.isErr()) noteLost(about.case ?? '', service, describeError(answer.error))
    return answer.isOk() && answer.value.owns ? answer.value : undefined
  }

  /**
   * Asks the owner on another node, and the next one where the rows turn out to be old: most
   * nodes look at them every 2.5 s, and a job that is not offered waits for the owner's look
   * at the store, up to a second.
   */
  async function ask(
    service: string,
    about: NewQuestion['about'],
  ): Promise<Answer | undefined> {
    const address = addressFor(service)
    const answer =
      address === undefined ? undefined : await askAt(address, service, about)
    if (answer || registry.ownerOf(service)?.id === registry.self.id) return answer
    await registry.refreshSoon()
    const next = addressFor(service)
    if (next === undefined || next === address) return undefined
    return askAt(next, service, about)
  }

  return {
    offer(job, rowVersion) {
      const owner = local.service(job.service)
      if (owner) return owner.offer(job, rowVersion)
      const offer: OfferedJob = { job, rowVersion }
      void ask(job.service, { case: 'offer', value: JSON.stringify(offer) })
    },
    expect(job) {
      const owner = local.service(job.service)
      if (owner) return owner.expect(job)
      void ask(job.service, { case: 'expect', value: JSON.stringify(job) })
    },
    cancel(service, id) {
      const owner = local.service(service)
      if (owner) return void owner.cancel(id)
      void ask(service, { case: 'cancel', value: id })
    },
    async status(service, id) {
      const owner = local.service(service)
      if (owner) return owner.status(id)
      const answer = await ask(service, { case: 'status', value: id })
      return answer && answer.status !== '' ? (answer.status as JobStatus) : undefined
    },
    async waiting(service, queue) {
      const owner = local.service(service)
      if (owner) return owner.waiting(queue)
      return (await ask(service, { case: 'waiting', value: queue }))?.waiting
    },
    hasFleetOwner: () =>
      local.fleet() !== undefined || registry.ownerOf(FLEET) !== undefined,
    async reportToFleet(report) {
      const fleet = local.fleet()
      if (fleet) return fleet.report(report)
      const address = addressFor(FLEET)
      if (address === undefined) return undefined
      const res = await clients
        .at(address)
        .fleetReport({ report: JSON.stringify(report) }, { timeoutMs: REPORT_TIMEOUT_MS })
        .catch((cause: unknown) => noteLost('reportToFleet', FLEET, describeError(cause)))
      if (!res?.taken) return undefined
      const answer = fleetAnswerSchema.safeParse(parseJson(res.answer))
      return answer.success ? answer.data : undefined
    },
  }
}
