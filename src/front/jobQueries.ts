/** Answers questions about jobs from their owners and, where these do not know them, from the store. */
import type { JobStatus } from '../jobs/index.js'
import type { Namespaces } from '../namespaces/index.js'
import type { Queue, RowStore } from '../ports/index.js'
import { describeError } from '../shared/index.js'
import type { KnownJob, OwnerCalls } from './ownerCalls.js'
import { findStoredJob, mayAccess, readStoredStatus, unavailable } from './storedJobs.js'
import type { Answer } from './storedJobs.js'

/** Questions of callers about the jobs at the address of a queue. */
export interface JobQueries {
  /** State of a job that the owner of the queue's service knows; undefined if it does not. */
  statusAtOwner(
    queue: Queue,
    id: string,
    caller: string | undefined,
  ): Promise<JobStatus | undefined>
  /** State of any other job. */
  statusOfStored(
    queue: Queue,
    id: string,
    caller: string | undefined,
  ): Promise<Answer<JobStatus>>
  /** Number of jobs of which no task has begun. */
  waiting(queue: Queue): Promise<Answer<number>>
}

/** Creates the queries, which hold no state. */
export function createJobQueries(opts: {
  store: RowStore
  owners: Pick<OwnerCalls, 'status' | 'waiting'>
  namespaces: Namespaces
}): JobQueries {
  const { store, owners, namespaces } = opts

  /**
   * Whether a job that an owner knows by its id is the one at the queue's address. While the store
   * cannot tell, it counts as the one.
   */
  async function isOfAddress(
    { queue: recordedIn }: KnownJob,
    queue: Queue,
  ): Promise<boolean> {
    if (recordedIn === undefined) return true
    const known = namespaces.known(queue)
    if (!known && recordedIn === queue.name) return true
    const namespace = known ?? (await namespaces.find(queue)).unwrapOr(undefined)
    return !namespace || namespace.names.includes(recordedIn)
  }

  return {
    async statusAtOwner(queue, id, caller) {
      const known = await owners.status(queue.service, id)
      if (!known || !mayAccess(known.organisation, caller)) return undefined
      return (await isOfAddress(known, queue)) ? known.status : undefined
    },

    async statusOfStored(queue, id, caller) {
      const namespace = await namespaces.find(queue)
      if (namespace.isErr()) return unavailable(describeError(namespace.error))
      const found = await findStoredJob(store, namespace.value.names, id, caller)
      if (found.kind !== 'ok') return found
      const { service, outcome, queue: recordedIn } = found.value
      // The owner of the service by which the job was accepted knows more than the rows.
      if (!outcome && service !== queue.service) {
        const known = await owners.status(service, id)
        const isSame = known && (known.queue ?? recordedIn) === recordedIn
        if (isSame) return { kind: 'ok', value: known.status }
      }
      return readStoredStatus(store, found.value, id)
    },

    async waiting(queue) {
      const found = await namespaces.find(queue)
      const { names, services } = found.unwrapOr({
        names: [queue.name],
        services: [queue.service],
      })
      const counts = await Promise.all(
        services.flatMap((service) => names.map((name) => owners.waiting(service, name))),
      )
      let sum = 0
      for (const count of counts) {
        if (count === undefined)
          return unavailable('the owner of the service does not answer')
        sum += count
      }
      return { kind: 'ok', value: sum }
    },
  }
}
