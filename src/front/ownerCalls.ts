/** Calls to the owner of a service, on this node or on another. */
import type { JobSpec, JobStatus } from '../jobs/index.js'
import { FLEET } from '../ownership/index.js'
import type { NodeRegistry } from '../ownership/index.js'
import {
  describeError,
  jittered,
  monotonicMs,
  parseJson,
  sleep,
} from '../shared/index.js'
import type { Logger } from '../shared/index.js'
import { fleetAnswerSchema } from '../vms/index.js'
import type { FleetAnswer, ServiceReport } from '../vms/index.js'
import type { Answer } from '../peer/gen/node_pb.js'
import type { NodeClients } from './nodeClients.js'
import type { LocalOwners, OfferedJob } from './ownerRoutes.js'
import { createQuestionBatches } from './questionBatches.js'
import type { NewQuestion, QuestionBatches } from './questionBatches.js'

/** Longest wait for the owner of the fleet, in ms; the next report follows soon. */
const REPORT_TIMEOUT_MS = 400
/**
 * Longest wait for the answer to a question, in ms; then the store answers the caller instead,
 * of whose 3 s enough is left.
 */
const QUESTION_TIMEOUT_MS = 400
/**
 * The same for news, which nobody waits for. A node that is late reads a call and its end in one
 * turn, and what was given up then has been read for nothing.
 */
const NOTIFICATION_TIMEOUT_MS = 2500
/** Pause before news that was not answered is told again, in ms; jittered, and doubled each time. */
const NOTIFICATION_RETRY_MS = 250
/** News is told again for so long, in ms: by then the owner has seen it in the store many times. */
const NOTIFICATION_RETRY_LIMIT_MS = 8000
/**
 * Time for which a node that did not answer a question is asked none that the store can answer,
 * in ms: each costs it about 1 ms, and a node that is late has none to spare.
 */
const QUESTION_BACKOFF_MS = 1000

/** Calls to owners, wherever they run. */
export interface OwnerCalls {
  /**
   * Tells of a new job until the owner has answered; its loss costs only time.
   * @param rowVersion version of the job's row
   */
  offer(job: JobSpec, rowVersion: number): void
  /** Tells of a job that was refused for an outage of the store; its loss costs only time. */
  expect(job: JobSpec): void
  /** Tells of a request to cancel until the owner has answered; its loss costs only time. */
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

  const send = async (
    address: string,
    questions: NewQuestion[],
    timeoutMs: number,
  ): Promise<Answer[]> => {
    const res = await clients.at(address).ask({ questions }, { timeoutMs })
    return res.answers
  }
  const questions = createQuestionBatches(send, QUESTION_TIMEOUT_MS)
  const notifications = createQuestionBatches(send, NOTIFICATION_TIMEOUT_MS)
  /** Steady times until which nodes that did not answer are spared. */
  const backoffUntil = new Map<string, number>()

  /** Address of the owner when that is another node, as far as the rows say. */
  function addressFor(service: string): string | undefined {
    const owner = registry.ownerOf(service)
    return owner && owner.id !== registry.self.id ? owner.address : undefined
  }

  /** Notes that a call to an owner failed; the rows may name another one by now. */
  function notePeerLost(step: string, service: string, reason: string): void {
    log.event('peerLost', { step, service, reason })
    void registry.refreshSoon()
  }

  /**
   * Asks the owner on another node; undefined when the call fails or it is the owner no more.
   * That costs only time: owners read the store.
   */
  async function askAddress(
    batches: QuestionBatches,
    address: string,
    service: string,
    about: NewQuestion['about'],
  ): Promise<Answer | undefined> {
    const answer = await batches.ask(address, { service, about })
    if (answer.isErr()) {
      backoffUntil.set(address, monotonicMs() + QUESTION_BACKOFF_MS)
      notePeerLost(about.case ?? '', service, describeError(answer.error))
    }
    return answer.isOk() && answer.value.owns ? answer.value : undefined
  }

  /**
   * Asks the owner on another node, and the next one where the rows turn out to be old: most
   * nodes look at them every 2.5 s, and a job that is not offered waits for the owner's look
   * at the store, up to a second.
   */
  async function ask(
    batches: QuestionBatches,
    service: string,
    about: NewQuestion['about'],
  ): Promise<Answer | undefined> {
    const address = addressFor(service)
    const answer =
      address === undefined
        ? undefined
        : await askAddress(batches, address, service, about)
    if (answer || registry.ownerOf(service)?.id === registry.self.id) return answer
    await registry.refreshSoon()
    const next = addressFor(service)
    if (next === undefined || next === address) return undefined
    return askAddress(batches, next, service, about)
  }

  /**
   * Tells until the owner has answered. Without an owner elsewhere nobody need be told: the
   * next one reads the store first.
   */
  async function notifyOwner(
    service: string,
    about: NewQuestion['about'],
  ): Promise<void> {
    const endsAt = monotonicMs() + NOTIFICATION_RETRY_LIMIT_MS
    for (let pauseMs = NOTIFICATION_RETRY_MS; ; pauseMs *= 2) {
      const answer = await ask(notifications, service, about)
      if (answer || monotonicMs() + pauseMs > endsAt) return
      await sleep(jittered(pauseMs))
      if (addressFor(service) === undefined) return
    }
  }

  /** Whether the owner is on a node that did not answer a moment ago. */
  function isBackingOff(service: string): boolean {
    const address = addressFor(service)
    return address !== undefined && monotonicMs() < (backoffUntil.get(address) ?? 0)
  }

  return {
    offer(job, rowVersion) {
      const owner = local.service(job.service)
      if (owner) return owner.offer(job, rowVersion)
      const offer: OfferedJob = { job, rowVersion }
      void notifyOwner(job.service, { case: 'offer', value: JSON.stringify(offer) })
    },
    expect(job) {
      const owner = local.service(job.service)
      if (owner) return owner.expect(job)
      void ask(notifications, job.service, { case: 'expect', value: JSON.stringify(job) })
    },
    cancel(service, id) {
      const owner = local.service(service)
      if (owner) return void owner.cancel(id)
      void notifyOwner(service, { case: 'cancel', value: id })
    },
    async status(service, id) {
      const owner = local.service(service)
      if (owner) return owner.status(id)
      if (isBackingOff(service)) return undefined
      const answer = await ask(questions, service, { case: 'status', value: id })
      return answer && answer.status !== '' ? (answer.status as JobStatus) : undefined
    },
    async waiting(service, queue) {
      const owner = local.service(service)
      if (owner) return owner.waiting(queue)
      return (await ask(questions, service, { case: 'waiting', value: queue }))?.waiting
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
        .catch((cause: unknown) =>
          notePeerLost('reportToFleet', FLEET, describeError(cause)),
        )
      if (!res?.taken) return undefined
      const answer = fleetAnswerSchema.safeParse(parseJson(res.answer))
      return answer.success ? answer.data : undefined
    },
  }
}
