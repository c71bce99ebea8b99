/**
 * Refusals of the front when something fails on the way. A refusal says that the job never runs, so
 * that the store must hold no row of it before or after; and whatever the front does not know must
 * lead to an admission, as without the feature.
 */
import type { AddressInfo } from 'node:net'
import type { ExecutionContext } from 'ava'
import { toJson } from '@bufbuild/protobuf'
import { createRowTable } from '../../../playground/sim/rowTable.js'
import { describe, it } from '../../../test/describe.js'
import { fullLoad, queueNamespaces, smallVmLimits } from '../../../test/fixtures.js'
import { QUEUE, SERVICE, makeJob } from '../../../test/jobRig.js'
import { createFrontAdmission } from '../../admission/index.js'
import type { ConfigurationHolder } from '../../directory/index.js'
import { encodeEnded, encodeJob, endedKey, intakeKey } from '../../jobs/index.js'
import type { JobSpec } from '../../jobs/index.js'
import type { NodeRegistry } from '../../ownership/index.js'
import type { NewQuestion } from '../questionBatches.js'
import { createMemoryLogger, sleep } from '../../shared/index.js'
import { AnswerSchema } from '../../peer/gen/node_pb.js'
import type { StoreAccess } from '../../storeAccess/index.js'
import {
  createJobService,
  createNodeClients,
  createOwnerCalls,
  listenForNodes,
  ownerRoutes,
} from '../index.js'
import type { LocalOwners, NodeClients } from '../index.js'

describe('answers to other nodes', () => {
  /** Starts the routes of a node with an owner, and asks it two questions in one call. */
  async function askTwice(t: ExecutionContext, load: object | undefined) {
    const owner = { cancel: () => true, waiting: () => 3, load: () => load }
    const local = { service: () => owner, fleet: () => undefined }
    const routes = ownerRoutes(local as unknown as LocalOwners, {} as StoreAccess)
    const server = await listenForNodes('127.0.0.1', 0, routes, smallVmLimits())
    const clients = createNodeClients()
    t.teardown(() => {
      clients.close()
      server.close()
    })
    const { port } = server.address() as AddressInfo
    const questions = ['waiting', 'cancel'].map((kind) => ({
      service: SERVICE,
      about: { case: kind, value: 'x' } as NewQuestion['about'],
    }))
    return clients.at(`127.0.0.1:${port}`).ask({ questions })
  }

  it('carry the load once in a call', async (t) => {
    const { answers } = await askTwice(t, { term: 1 })
    t.deepEqual(
      answers.map(({ load }) => load),
      ['{"term":1}', undefined],
    )
  })

  // Nodes of builds without the feature must see the same bytes as before.
  it('have no new field without the feature', async (t) => {
    const { answers } = await askTwice(t, undefined)
    t.deepEqual(
      answers.map((each) => Object.keys(toJson(AnswerSchema, each) as object)),
      [['owns', 'waiting'], ['owns']],
    )
  })
})

/** Load of a service that serves no further job in time. */
const loadText = (term: number, sequence = 1): string =>
  JSON.stringify(fullLoad(QUEUE.name, term, sequence))
const idleText = (term: number, sequence: number): string =>
  JSON.stringify({ term, sequence, idleCpu: 1000 })

/** A front whose owner is on another node; tests set what it answers. */
function startFront() {
  const peer = {
    owner: 'a:1' as string | undefined,
    isAnswering: true,
    load: loadText(1) as string | undefined,
  }
  const asked: string[] = []
  const registry = {
    self: { id: 'self', life: 'l' },
    ownerOf: () =>
      peer.owner === undefined ? undefined : { id: peer.owner, address: peer.owner },
    refreshIfStale: async () => undefined,
  } as unknown as NodeRegistry
  const clients = {
    at: () => ({
      async ask({ questions }: { questions: NewQuestion[] }) {
        for (const { about } of questions) asked.push(about.case ?? '')
        if (!peer.isAnswering) throw new Error('no answer in time')
        const answer = { owns: true, status: '', organisation: '', waiting: 0 }
        return {
          answers: questions.map((_, index) => ({
            ...answer,
            ...(index === 0 && { load: peer.load }),
          })),
        }
      },
    }),
  } as unknown as NodeClients
  const log = createMemoryLogger()
  const local = { service: () => undefined, fleet: () => undefined }
  const owners = createOwnerCalls({ registry, local, clients, log })
  const table = createRowTable()
  const store = table.forNode('n')
  const reads = { count: 0, areSilent: false }
  const cordons = new Map<string, number>()
  const jobs = createJobService({
    namespaces: queueNamespaces,
    store: {
      ...store,
      read(...args) {
        reads.count++
        return reads.areSilent ? new Promise(() => undefined) : store.read(...args)
      },
    },
    halls: ['h1'],
    configuration: {
      current: () => undefined,
      freshAt: () => 0,
      cordons: () => cordons,
    } as unknown as ConfigurationHolder,
    owners,
    admission: createFrontAdmission({ loadOf: owners.load }),
    log,
  })
  /** Learns the load from an answer to some question. */
  const learn = async (): Promise<void> => void (await owners.status(SERVICE, 'any'))
  const submit = async (job: JobSpec): Promise<string> =>
    (await jobs.submit(QUEUE, job)).kind
  const isStored = (job: JobSpec): boolean =>
    table.get(intakeKey(job.queue, job.id)) !== undefined
  return { peer, asked, owners, table, reads, cordons, log, learn, submit, isStored }
}

const makeTinyJob = (): JobSpec => makeJob({ cpu: 1000 })

describe('front with admission', () => {
  it('refuses by the load that an answer carried, without writing a row', async (t) => {
    const { learn, submit, isStored, log } = startFront()
    await learn()
    const job = makeTinyJob()
    t.is(await submit(job), 'refused')
    await sleep(50)
    t.false(isStored(job))
    const event = log.events.find(({ name }) => name === 'jobRefused')
    t.like(event?.fields, { job: job.id, reason: 'backlog', term: 1, priority: 0 })
    t.is(typeof event?.fields['loadAgeMs'], 'number')
  })

  it('notifies the owner once of a refused job, however often it returns', async (t) => {
    const { learn, submit, asked } = startFront()
    await learn()
    const job = makeTinyJob()
    for (let tries = 0; tries < 3; tries++) t.is(await submit(job), 'refused')
    await sleep(20)
    t.is(asked.filter((each) => each === 'expect').length, 1)
  })

  describe('admits', () => {
    it('before it has asked anything', async (t) => {
      const { submit, isStored } = startFront()
      const job = makeTinyJob()
      t.is(await submit(job), 'accepted')
      t.true(isStored(job))
    })

    it('once the load is older than 1 s, as the owner is lost', async (t) => {
      const { peer, learn, submit } = startFront()
      await learn()
      peer.isAnswering = false
      t.is(await submit(makeTinyJob()), 'refused')
      await sleep(1100)
      t.is(await submit(makeTinyJob()), 'accepted')
    })

    it('once another node owns the service, or none', async (t) => {
      const { peer, learn, submit } = startFront()
      await learn()
      peer.isAnswering = false
      for (const owner of ['b:1', undefined]) {
        peer.owner = owner
        t.is(await submit(makeTinyJob()), 'accepted')
      }
    })

    it('by the load of the present term, whatever an earlier one says', async (t) => {
      const { peer, learn, submit } = startFront()
      peer.load = idleText(2, 1)
      await learn()
      peer.load = loadText(1, 99)
      await learn()
      t.is(await submit(makeTinyJob()), 'accepted')
    })

    it('if the owner is of a build that sends no load, or an unreadable one', async (t) => {
      for (const load of [undefined, '', '{"term":1}', '[]']) {
        const { peer, learn, submit } = startFront()
        peer.load = load
        await learn()
        t.is(await submit(makeTinyJob()), 'accepted')
      }
    })
  })

  describe('while the store is away', () => {
    it('answers as without admission', async (t) => {
      const { table, learn, submit, log } = startFront()
      await learn()
      table.faults.down = true
      t.is(await submit(makeTinyJob()), 'refused')
      const [event] = log.events.filter(({ name }) => name === 'jobRefused')
      t.is(event?.fields['failure'], 'refused')
    })

    // The deadlines of callers are about 3 s, and a read of a silent store takes as long.
    it('does not wait for a read that is not answered, with or without cordons', async (t) => {
      for (const halls of [[], ['h1']]) {
        const { reads, cordons, learn, submit, isStored } = startFront()
        for (const hall of halls) cordons.set(hall, 0)
        await learn()
        reads.areSilent = true
        const job = makeTinyJob()
        t.is(await Promise.race([submit(job), sleep(2500)]), 'accepted')
        t.true(isStored(job))
      }
    })

    it('reads once for cordons and overload together', async (t) => {
      const { table, reads, cordons, learn, submit } = startFront()
      cordons.set('h1', 0)
      await learn()
      table.faults.down = true
      const before = reads.count
      await submit(makeTinyJob())
      t.is(reads.count - before, 1)
    })
  })

  describe('does not refuse a job that is stored already', () => {
    // Its caller has not received the answer to an earlier try, or sends it twice.
    it('by a try on another node', async (t) => {
      const { table, learn, submit } = startFront()
      await learn()
      const job = makeTinyJob()
      table.put(intakeKey(job.queue, job.id), encodeJob(job))
      t.is(await submit(job), 'accepted')
    })

    it('and has ended', async (t) => {
      const { table, learn, submit } = startFront()
      await learn()
      const job = makeTinyJob()
      const ended = { outcome: 'completed' as const, tasks: 2 }
      const times = { acceptedAtMs: 1, endedAtMs: 2 }
      const value = encodeEnded({
        queue: job.queue,
        service: SERVICE,
        ...ended,
        ...times,
      })
      table.put(endedKey(job.queue, job.id), value)
      t.is(await submit(job), 'accepted')
    })

    it('by a write on this node whose outcome is unknown', async (t) => {
      const { table, learn, submit, isStored } = startFront()
      const job = makeTinyJob()
      table.faults.lostShare = 1
      table.faults.lateMs = 2500
      t.is(await submit(job), 'uncertain')
      table.faults.lostShare = 0
      await learn()
      t.is(await submit(job), 'accepted')
      t.true(isStored(job))
    })
  })
})
