/** Requests about jobs whose queue has been replaced, moved to another service or removed. */
import { createRowTable } from '../../../playground/sim/rowTable.js'
import { describe, it } from '../../../test/describe.js'
import { makeJob } from '../../../test/jobRig.js'
import type { ConfigurationHolder } from '../../directory/index.js'
import { INTAKE_TABLE, cancelKey, encodeJob, intakeKey } from '../../jobs/index.js'
import { createNamespaces } from '../../namespaces/index.js'
import type { Namespaces } from '../../namespaces/index.js'
import type { Configuration, Queue } from '../../ports/index.js'
import { createMemoryLogger } from '../../shared/index.js'
import { createJobService } from '../index.js'
import type { JobService, NewJob, OwnerCalls } from '../index.js'

const ID = '00000000000000a1'
const JOB: NewJob = {
  id: ID,
  spec: '{}',
  steps: makeJob({}).steps,
  repetitions: 0,
  intervalMs: 0,
  startAtMs: 0,
}
const queueOf = (name: string, service = 'one', pathPrefix = '/a/'): Queue => ({
  name,
  host: 'h.example',
  pathPrefix,
  service,
  priority: 0,
  maxAttempts: 2,
  stretch: 1.6,
  latencyMs: 600,
  advice: undefined,
})
const FIRST = queueOf('r-first')
const NEXT = queueOf('r-next', 'two')

interface Scene {
  table: ReturnType<typeof createRowTable>
  offered: string[]
  cancelled: string[]
  /** Numbers of waiting jobs by `SERVICE QUEUE`, as the owners count them. */
  waiting: Map<string, number>
  /** Starts a node whose configuration has one queue. */
  startNode(queue: Queue): JobService
  /** Ends the reads of nodes that the store has not answered. */
  stop(): void
}

function startScene(): Scene {
  const table = createRowTable()
  const offered: string[] = []
  const cancelled: string[] = []
  const waiting = new Map<string, number>()
  const started: Namespaces[] = []
  const owners = {
    offer: ({ id, service }: { id: string; service: string }) =>
      void offered.push(`${service} ${id}`),
    expect: () => undefined,
    cancel: (service: string, id: string, queue: string) =>
      void cancelled.push(`${service} ${queue} ${id}`),
    status: async () => undefined,
    waiting: async (service: string, queue: string) =>
      waiting.get(`${service} ${queue}`) ?? 0,
  } as unknown as OwnerCalls
  return {
    table,
    offered,
    cancelled,
    waiting,
    startNode(queue) {
      const log = createMemoryLogger()
      const configuration = {
        current: () =>
          ({ queues: [queue], invalidParts: [] }) as unknown as Configuration,
        subscribe: () => () => undefined,
        freshAt: () => Infinity,
        cordons: () => new Map(),
      } as unknown as ConfigurationHolder
      const store = table.forNode('n')
      const namespaces = createNamespaces({ store, configuration, log })
      started.push(namespaces)
      return createJobService({ store, configuration, owners, namespaces, log })
    },
    stop: () => started.forEach((each) => void each.stop()),
  }
}

const rowsOf = ({ table }: Scene): string[] =>
  table.rows(INTAKE_TABLE).map(({ key }) => key)

describe('job whose queue was replaced by another one of the same address', () => {
  async function submitToFirst(): Promise<Scene> {
    const scene = startScene()
    await scene.startNode(FIRST).submit(FIRST, JOB)
    return scene
  }

  // Guards against a job that runs twice at the same time.
  it('is not accepted anew when it is sent again', async (t) => {
    const scene = await submitToFirst()
    t.is((await scene.startNode(NEXT).submit(NEXT, JOB)).kind, 'accepted')
    t.deepEqual(scene.offered, [`one ${ID}`])
    t.deepEqual(rowsOf(scene), [ID])
  })

  // Guards against 410 for a job that was accepted and runs.
  it('is still known', async (t) => {
    const scene = await submitToFirst()
    const answer = await scene.startNode(NEXT).status(NEXT, ID)
    t.deepEqual(answer, { kind: 'ok', value: 'queued' })
  })

  // Guards against jobs that nobody can cancel any more.
  it('can be cancelled, at the owner of its own service', async (t) => {
    const scene = await submitToFirst()
    t.is((await scene.startNode(NEXT).cancel(NEXT, ID)).kind, 'ok')
    t.deepEqual(scene.cancelled, [`one r-first ${ID}`])
    t.truthy(scene.table.get(cancelKey('r-first', ID)))
  })

  // Guards against a number of waiting jobs that leaves out those of the former service.
  it('is counted while it waits', async (t) => {
    const scene = await submitToFirst()
    scene.waiting.set('one r-first', 3).set('two r-first', 4)
    t.deepEqual(await scene.startNode(NEXT).waiting(NEXT), { kind: 'ok', value: 7 })
  })

  // Guards against a job that nodes of two versions accept one after the other.
  it('is found if an earlier version recorded it under the name of the queue', async (t) => {
    const scene = await submitToFirst()
    const job = makeJob({}, [{ count: 1 }], { queue: 'r-next', service: 'two' })
    scene.table.put(intakeKey('r-next', job.id), encodeJob(job))
    const node = scene.startNode(NEXT)
    t.is((await node.submit(NEXT, { ...JOB, id: job.id })).kind, 'accepted')
    t.is((await node.status(NEXT, job.id)).kind, 'ok')
    t.is(scene.offered.length, 1)
    t.is(scene.table.get(intakeKey('r-first', job.id)), undefined)
  })
})

describe('jobs of one id at two addresses', () => {
  // Guards against a cancel that reaches the job at the other address.
  it('are cancelled separately', async (t) => {
    const scene = startScene()
    const other = queueOf('r-other', 'two', '/b/')
    await scene.startNode(FIRST).submit(FIRST, JOB)
    const node = scene.startNode(other)
    await node.submit(other, JOB)
    t.is((await node.cancel(other, ID)).kind, 'ok')
    t.deepEqual(scene.cancelled, [`two r-other ${ID}`])
    t.is(scene.table.get(cancelKey('r-first', ID)), undefined)
  })
})

describe('job of a bound address whose queue has another service', () => {
  // Guards against refusals of all jobs of a route that is moved while one part of the store is away.
  it('is accepted while the binding cannot be written', async (t) => {
    const scene = startScene()
    const node = scene.startNode(FIRST)
    await node.submit(FIRST, JOB)
    scene.table.faults.refusedParts.add('addresses')
    const id = '00000000000000a2'
    t.is((await node.submit(NEXT, { ...JOB, id })).kind, 'accepted')
    t.deepEqual(scene.offered, [`one ${ID}`, `two ${id}`])
    t.truthy(scene.table.get(intakeKey('r-first', id)))
  })
})

describe('job of an address that is not bound', () => {
  // Guards against an accepted job that a later queue of the address would not find.
  it('is refused while the binding cannot be written, and leaves no row', async (t) => {
    const scene = startScene()
    scene.table.faults.refusedParts.add('addresses')
    t.is((await scene.startNode(FIRST).submit(FIRST, JOB)).kind, 'refused')
    t.deepEqual(rowsOf(scene), [])
    scene.stop()
  })

  // Guards against callers that wait for a silent store until their deadline.
  it('is refused within about a second while the store is silent', async (t) => {
    const scene = startScene()
    scene.table.faults.silentParts.add('addresses')
    const began = performance.now()
    t.is((await scene.startNode(FIRST).submit(FIRST, JOB)).kind, 'refused')
    t.true(performance.now() - began < 1300)
    scene.stop()
  })
})
