/** Asks the owner of a job's service why the job waits. */
import type { JobSpec } from '../jobs/index.js'
import type { RowStore } from '../ports/index.js'
import type { QuotaHold } from '../quotas/index.js'
import { waitReportSchema } from '../scheduler/index.js'
import type { WaitReport } from '../scheduler/index.js'
import { parseJson } from '../shared/index.js'
import { askOwner, readOwners } from './askOwner.js'

/** Reply of the owner, or why there is none. */
export interface OwnerAnswer {
  /** Owner of the service; undefined if it has none. */
  node: string | undefined
  /** Why the owner could not be asked. */
  failure: string | undefined
  /** Undefined when the job does not wait. */
  wait: WaitReport | undefined
}

/** Asks the owner of the job's service. */
export async function askWhyJobWaits(
  store: RowStore,
  job: JobSpec,
): Promise<OwnerAnswer> {
  const owners = await readOwners(store)
  const owner = owners.find(({ service }) => service === job.service)
  if (!owner) return { node: undefined, failure: 'no address', wait: undefined }
  const { node } = owner
  const reply = await askOwner(owner, { case: 'explain', value: job.id })
  if ('failure' in reply) return { node, failure: reply.failure, wait: undefined }
  const wait = waitReportSchema.safeParse(parseJson(reply.answer.wait)).data
  return { node, failure: undefined, wait }
}

function describeQuota(quota: QuotaHold): string {
  const { organisation, usedCpu, allottedCpu, maximumCpu, ageMs } = quota
  const maximum = maximumCpu === undefined ? 'no maximum' : `a maximum of ${maximumCpu}`
  return `${organisation} uses ${usedCpu} thousandths of a core here and may use ${allottedCpu}, of ${maximum} (known for ${ageMs} ms)`
}

/** Formats the answer as one line of text. */
export function describeAnswer({ node, failure, wait }: OwnerAnswer): string {
  if (node === undefined) return 'no node owns the service: the job waits for one'
  if (failure !== undefined) return `its owner ${node} could not be asked: ${failure}`
  if (!wait) return `its owner ${node} says that it does not wait`
  const holds = Object.entries(wait.holds).map(([hold, count]) => `${hold} ${count}`)
  const until = wait.endsInMs === undefined ? '' : `, for ${wait.endsInMs} ms more`
  const room = `${wait.couldRunOn} targets have room for it`
  const quota = wait.quota ? `; ${describeQuota(wait.quota)}` : ''
  return `its owner ${node} says: ${wait.task} waits for ${wait.waitedMs} ms, held by ${holds.join(', ') || 'no target'}${until}; ${room}${quota}`
}
