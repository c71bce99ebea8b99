/** Calls to the owner of a service, on this node or on another. */
import { createLatestLoads } from '../admission/index.js'
import type { KnownLoad } from '../admission/index.js'
import { createJobMemory, openJobBytes } from '../jobs/index.js'
import type { JobMemory, JobSpec, JobStatus } from '../jobs/index.js'
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

/** Time-out of a report to the owner of the fleet, in ms; the next report follows soon. */
const REPORT_TIMEOUT_MS = 400
/**
 * Time-out of a question, in ms. The caller is then answered from the store, for which enough of
 * its 3 s is left.
 */
const QUESTION_TIMEOUT_MS = 400
/**
 * Time-out of a notification, in ms; no caller waits for it. A node that runs late reads a call
 * and its cancellation in one turn of its event loop, so a shorter time-out wastes that work.
 */
const NOTIFICATION_TIMEOUT_MS = 2500
/** Backoff before an unanswered notification is repeated, in ms; jittered, doubled each time. */
const NOTIFICATION_RETRY_MS = 250
/** Time for which a notification is repeated, in ms; the owner reads the store many times in it. */
const NOTIFICATION_RETRY_LIMIT_MS = 8000
/**
 * Time for which a node that did not answer is asked nothing that the store can answer, in ms.
 * Each question costs the node about 1 ms, which a node that runs late cannot spare.
 */
const QUESTION_BACKOFF_MS = 1000

/** A job that its owner knows. */
export interface KnownJob {
  status: JobStatus
  organisation: string | undefined
  /** Queue under which it is recorded; undefined if the owner's software version does not tell. */
  queue?: string
}

/** Calls to owners on this node and on others. */
export interface OwnerCalls {
  /**
   * Notifies the owner of a new job, with retries. If the notification is lost, the owner finds
   * the job in the store later.
   * @param rowVersion version of the job's row
   */
  offer(job: JobSpec, rowVersion: number): void
  /**
   * Notifies the owner once of a job that was refused because of a store outage or by admission.
   * If the notification is lost, only time is lost.
   */
  expect(job: JobSpec): void
  /**
   * Notifies the owner of a request to cancel, with retries. If the notification is lost, the
   * owner finds the request in the store later.
   * @param queue queue under which the job is recorded
   */
  cancel(service: string, id: string, queue: string): void
  /**
   * State of a job; undefined if the owner does not answer, does not know the job, or cannot tell
   * whose it is.
   */
  status(service: string, id: string): Promise<KnownJob | undefined>
  /** Number of jobs of the queue that have not begun; undefined if the owner does not answer. */
  waiting(service: string, queue: string): Promise<number | undefined>
  /** Newest load of the service that its present owner has sent; asks nobody. */
  load(service: string): KnownLoad | undefined
  /** Memory that the owner of the service has for new jobs; asks nobody. */
  jobRoom(service: string): JobRoom
  /** Whether a live node owns the fleet. */
  hasFleetOwner(): boolean
  /** Sends a service's report; undefined if the owner of the fleet does not answer. */
  reportToFleet(report: ServiceReport): Promise<FleetAnswer | undefined>
}

/** Memory for new jobs. */
export interface JobRoom {
  /** Bytes; Infinity if not known. */
  freeBytes: number
  /** Rate at which memory has become free lately, in bytes a second. */
  freedPerSecond: number
}

const UNKNOWN_ROOM: JobRoom = { freeBytes: Infinity, freedPerSecond: 0 }

/** Time for which the memory that a node has told counts, in ms. */
const ROOM_MAX_AGE_MS = 2000
const KB = 1024

/** The memory of a node for jobs according to its answers; undefined if they tell nothing of it. */
function roomIn(answers: readonly Answer[]): JobRoom | undefined {
  const told = answers.find(({ freeJobKb }) => freeJobKb !== undefined)
  if (told) {
    const { freeJobKb = 0, freedJobKbPerSecond = 0 } = told
    return { freeBytes: freeJobKb * KB, freedPerSecond: freedJobKbPerSecond * KB }
  }
  // Nodes of earlier software versions only tell that they are full.
  return answers.some(({ full }) => full === true)
    ? { freeBytes: 0, freedPerSecond: 0 }
    : undefined
}

/** Creates the calls; owners on this node are called directly. */
export function createOwnerCalls(opts: {
  registry: NodeRegistry
  local: LocalOwners
  clients: NodeClients
  log: Logger
  /** Memory for the jobs of the owners on this node; without a limit by default. */
  memory?: JobMemory
}): OwnerCalls {
  const { registry, local, clients, log, memory = createJobMemory() } = opts
  /** Memory of other nodes less that of jobs offered since, by address, with the time it was told. */
  const rooms = new Map<string, JobRoom & { askedAt: number }>()
  const loads = createLatestLoads()

  const send = async (
    address: string,
    questions: NewQuestion[],
    timeoutMs: number,
  ): Promise<Answer[]> => {
    const askedAt = monotonicMs()
    const { answers } = await clients.at(address).ask({ questions }, { timeoutMs })
    const room = roomIn(answers)
    if (room) rooms.set(address, { ...room, askedAt })
    else rooms.delete(address)
    for (const [index, { owns, load }] of answers.entries()) {
      const { service } = questions[index] ?? {}
      if (owns && load !== undefined && service !== undefined)
        loads.note(service, load, address, askedAt)
    }
    return answers
  }
  const questions = createQuestionBatches(send, QUESTION_TIMEOUT_MS)
  const notifications = createQuestionBatches(send, NOTIFICATION_TIMEOUT_MS)
  /** End of the backoff of nodes that did not answer, in ms of the monotonic clock, by address. */
  const backoffUntil = new Map<string, number>()

  /** Address of the owner according to the node rows; undefined if it is this node or none. */
  function addressFor(service: string): string | undefined {
    const owner = registry.ownerOf(service)
    return owner && owner.id !== registry.self.id ? owner.address : undefined
  }

  /** Logs a failed call to an owner, and rereads the rows, which may name another owner by now. */
  function notePeerLost(step: string, service: string, reason: string): void {
    log.event('peerLost', { step, service, reason })
    void registry.refreshIfStale()
  }

  /**
   * Asks the node at an address; undefined if the call fails or the node is no longer the owner.
   * Such a failure only costs time, because owners also read the store.
   */
  async function askAddress(
    batches: QuestionBatches,
    address: string,
    question: NewQuestion,
  ): Promise<Answer | undefined> {
    const { service, about } = question
    const answer = await batches.ask(address, question)
    if (answer.isErr()) {
      backoffUntil.set(address, monotonicMs() + QUESTION_BACKOFF_MS)
      notePeerLost(about.case ?? '', service, describeError(answer.error))
    }
    return answer.isOk() && answer.value.owns ? answer.value : undefined
  }

  /**
   * Asks the owner on another node; if it does not answer as the owner, rereads the node rows and
   * asks the owner that they name then. Most nodes reread the rows only every 2.5 s, and a job
   * that is not offered waits up to a second until the owner reads the store.
   */
  async function ask(
    batches: QuestionBatches,
    service: string,
    about: NewQuestion['about'],
    queue?: string,
  ): Promise<Answer | undefined> {
    const question = { service, about, ...(queue !== undefined && { queue }) }
    const address = addressFor(service)
    const answer =
      address === undefined ? undefined : await askAddress(batches, address, question)
    if (answer || registry.ownerOf(service)?.id === registry.self.id) return answer
    await registry.refreshIfStale()
    const next = addressFor(service)
    if (next === undefined || next === address) return undefined
    return askAddress(batches, next, question)
  }

  /**
   * Repeats a notification until the owner answers. Stops if no other node owns the service: the
   * next owner reads the store first.
   */
  async function notifyOwner(
    service: string,
    about: NewQuestion['about'],
    queue?: string,
  ): Promise<void> {
    const endsAt = monotonicMs() + NOTIFICATION_RETRY_LIMIT_MS
    for (let pauseMs = NOTIFICATION_RETRY_MS; ; pauseMs *= 2) {
      const answer = await ask(notifications, service, about, queue)
      if (answer || monotonicMs() + pauseMs > endsAt) return
      await sleep(jittered(pauseMs))
      if (addressFor(service) === undefined) return
    }
  }

  /** Whether the owner is on a node that failed to answer within the backoff time. */
  function isBackingOff(service: string): boolean {
    const address = addressFor(service)
    return address !== undefined && monotonicMs() < (backoffUntil.get(address) ?? 0)
  }

  return {
    offer(job, rowVersion) {
      const owner = local.service(job.service)
      if (owner) return owner.offer(job, rowVersion)
      const room = rooms.get(addressFor(job.service) ?? '')
      if (room) room.freeBytes -= openJobBytes(job)
      const offer: OfferedJob = { job, rowVersion }
      void notifyOwner(job.service, { case: 'offer', value: JSON.stringify(offer) })
    },
    expect(job) {
      const owner = local.service(job.service)
      if (owner) return owner.expect(job)
      void ask(notifications, job.service, { case: 'expect', value: JSON.stringify(job) })
    },
    cancel(service, id, queue) {
      const owner = local.service(service)
      if (owner) return void owner.cancel(id, queue)
      void notifyOwner(service, { case: 'cancel', value: id }, queue)
    },
    async status(service, id) {
      const owner = local.service(service)
      if (owner) {
        const status = owner.status(id)
        const queue = owner.queueOf(id)
        if (!status || queue === undefined) return undefined
        return { status, organisation: owner.organisationOf(id), queue }
      }
      if (isBackingOff(service)) return undefined
      const answer = await ask(questions, service, { case: 'status', value: id })
      if (!answer || answer.status === '' || answer.organisation === undefined)
        return undefined
      const organisation = answer.organisation || undefined
      const status = answer.status as JobStatus
      return { status, organisation, ...(answer.queue && { queue: answer.queue }) }
    },
    async waiting(service, queue) {
      const owner = local.service(service)
      if (owner) return owner.waiting(queue)
      return (await ask(questions, service, { case: 'waiting', value: queue }))?.waiting
    },
    load(service) {
      const owner = local.service(service)
      if (!owner) return loads.get(service, addressFor(service), monotonicMs())
      const load = owner.load()
      return load && { load, ageMs: 0 }
    },
    jobRoom(service) {
      if (local.service(service))
        return {
          freeBytes: memory.available(),
          freedPerSecond: memory.freedPerSecond(),
        }
      const room = rooms.get(addressFor(service) ?? '')
      const isFresh = room && monotonicMs() - room.askedAt < ROOM_MAX_AGE_MS
      return isFresh ? room : UNKNOWN_ROOM
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
