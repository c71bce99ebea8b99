/** RPC server for other nodes: questions about owned services, fleet reports, store calls. */
import type { Server } from 'node:http'
import { Code, ConnectError } from '@connectrpc/connect'
import type { ConnectRouter } from '@connectrpc/connect'
import { connectNodeAdapter } from '@connectrpc/connect-node'
import { z } from 'zod'
import type { ForwardServer } from '../forwarding/index.js'
import { createJobMemory, jobSchema } from '../jobs/index.js'
import type { JobMemory } from '../jobs/index.js'
import type { ServerLimits } from '../limits/index.js'
import { NodeService } from '../peer/gen/node_pb.js'
import type { Answer, Question } from '../peer/gen/node_pb.js'
import type { ServiceOwner } from '../scheduler/index.js'
import { serviceReportSchema } from '../vms/index.js'
import type { FleetOwner } from '../vms/index.js'
import { parseJson } from '../shared/index.js'
import { answerPeerCall } from '../storeAccess/index.js'
import type { StoreAccess } from '../storeAccess/index.js'

/** Largest message, in bytes; fits a job with many steps and its text. */
export const MAX_MESSAGE_BYTES = 1024 * 1024

/** Finds owners on this node. */
export interface LocalOwners {
  service(name: string): ServiceOwner | undefined
  fleet(): FleetOwner | undefined
}

/** Calls targets for the owners on other nodes. */
export interface ForwardRoute {
  handle: ForwardServer['handle']
  /** Share of its processor time that this node uses. */
  busyShare(): number
}

/** Fields of an answer besides `owns`. */
type AnswerFields = Partial<
  Pick<Answer, 'status' | 'organisation' | 'queue' | 'waiting' | 'wait' | 'loads'>
>

const offeredJobSchema = z.object({
  job: jobSchema,
  /** Version of the job's row. */
  rowVersion: z.number(),
})
/** A new job as one node offers it to another, encoded as JSON. */
export type OfferedJob = z.infer<typeof offeredJobSchema>

/** Passes on text that fits the schema; other text is ignored, as the owner also reads the store. */
function withParsed<T>(
  schema: z.ZodType<T>,
  text: string,
  use: (value: T) => void,
): AnswerFields {
  const parsed = schema.safeParse(parseJson(text))
  if (parsed.success) use(parsed.data)
  return {}
}

/** Handlers of questions, by kind of question. */
const ANSWER_HANDLERS: Record<
  NonNullable<Question['about']['case']>,
  (owner: ServiceOwner, text: string, queue: string | undefined) => AnswerFields
> = {
  offer: (owner, text) =>
    withParsed(offeredJobSchema, text, ({ job, rowVersion }) =>
      owner.offer(job, rowVersion),
    ),
  expect: (owner, text) => withParsed(jobSchema, text, (job) => owner.expect(job)),
  cancel(owner, id, queue) {
    owner.cancel(id, queue)
    return {}
  },
  status: (owner, id) => ({
    status: owner.status(id) ?? '',
    organisation: owner.organisationOf(id) ?? '',
    queue: owner.queueOf(id) ?? '',
  }),
  waiting: (owner, queue) => ({ waiting: owner.waiting(queue) }),
  explain: (owner, id) => ({ wait: JSON.stringify(owner.explain(id)) ?? '' }),
  loads: (owner) => ({ loads: JSON.stringify(owner.loads()) }),
}

function answer(local: LocalOwners, { service, about, queue }: Question) {
  const owner = local.service(service)
  if (!owner || about.case === undefined) return { owns: false }
  return { owns: true, ...ANSWER_HANDLERS[about.case](owner, about.value, queue) }
}

/** Part of the memory for jobs below which other nodes are told how much is free. */
const SCARCE_SHARE = 0.5
const KB = 1024

/** The memory for jobs as other nodes are told of it; empty while it is plentiful. */
function describeRoom(memory: JobMemory): Partial<Answer> {
  const free = memory.available()
  if (free >= memory.limit * SCARCE_SHARE) return {}
  return {
    freeJobKb: Math.max(0, Math.floor(free / KB)),
    freedJobKbPerSecond: Math.floor(memory.freedPerSecond() / KB),
    ...(free <= 0 && { full: true }),
  }
}

/** Answers the questions of one call; the first answer about a service carries its load. */
function answerAll(
  local: LocalOwners,
  questions: readonly Question[],
  memory: JobMemory,
) {
  const room = describeRoom(memory)
  return answerEach(local, questions).map((each) =>
    each.owns ? { ...each, ...room } : each,
  )
}

function answerEach(local: LocalOwners, questions: readonly Question[]) {
  const loaded = new Set<string>()
  return questions.map((each) => {
    const answered = answer(local, each)
    if (!answered.owns || loaded.has(each.service)) return answered
    loaded.add(each.service)
    const load = local.service(each.service)?.load()
    return load ? { ...answered, load: JSON.stringify(load) } : answered
  })
}

/** Routes that answer other nodes about the services owned here and relay their store calls. */
export function ownerRoutes(
  local: LocalOwners,
  access: StoreAccess,
  memory: JobMemory = createJobMemory(),
  forwarding?: ForwardRoute,
): (router: ConnectRouter) => void {
  return (router) =>
    router.service(NodeService, {
      ask: ({ questions }) => ({ answers: answerAll(local, questions, memory) }),
      fleetReport(req) {
        const report = serviceReportSchema.safeParse(parseJson(req.report))
        const answer = report.success ? local.fleet()?.report(report.data) : undefined
        if (!answer) return { taken: false, answer: '' }
        return { taken: true, answer: JSON.stringify(answer) }
      },
      async forwardOrders({ session, calls }) {
        if (!forwarding)
          throw new ConnectError('calls are not forwarded', Code.Unimplemented)
        const reply = await forwarding.handle(session, calls)
        return { ...reply, busyShare: forwarding.busyShare() }
      },
      async storeCall(req) {
        return { answer: await answerPeerCall(access, req.call) }
      },
    })
}

/** Opens the port for other nodes; rejects if it cannot be opened. */
export async function listenForNodes(
  host: string,
  port: number,
  routes: (router: ConnectRouter) => void,
  limits: ServerLimits,
): Promise<Server> {
  const server = limits.createServer(
    'nodes',
    connectNodeAdapter({ routes, readMaxBytes: MAX_MESSAGE_BYTES }),
  )
  await new Promise<void>((resolve, reject) => {
    server.once('error', reject)
    server.listen(port, host, resolve)
  })
  return server
}
