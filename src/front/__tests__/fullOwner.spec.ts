import type { ExecutionContext } from 'ava'
import type { AddressInfo } from 'node:net'
import { createRowTable } from '../../../playground/sim/rowTable.js'
import { describe, it } from '../../../test/describe.js'
import {
  ONE_QUEUE as QUEUE,
  queueNamespaces,
  smallVmLimits,
} from '../../../test/fixtures.js'
import { makeJob } from '../../../test/jobRig.js'
import { createJobMemory } from '../../jobs/index.js'
import type { ConfigurationHolder } from '../../directory/index.js'
import type { NodeRegistry } from '../../ownership/index.js'
import { createMemoryLogger } from '../../shared/index.js'
import type { StoreAccess } from '../../storeAccess/index.js'
import {
  createJobService,
  createNodeClients,
  createOwnerCalls,
  listenForNodes,
  ownerRoutes,
} from '../index.js'
import type { LocalOwners, NewJob } from '../index.js'

const jobOf = (id: string): NewJob => makeJob({}, [{ count: 1 }], { id })

/** A front, and an owner on another node that is full or not. */
async function setUp(t: ExecutionContext) {
  const memory = createJobMemory(100_000)
  let taken = 0
  /** Fills the memory of the owner, or frees it. */
  const state = {
    set isFull(isFull: boolean) {
      memory.change((isFull ? memory.limit : 0) - taken)
      taken = isFull ? memory.limit : 0
    },
  }
  const owner = { waiting: () => 0, offer: () => undefined, load: () => undefined }
  const there = { service: () => owner, fleet: () => undefined }
  const routes = ownerRoutes(there as unknown as LocalOwners, {} as StoreAccess, memory)
  const server = await listenForNodes('127.0.0.1', 0, routes, smallVmLimits())
  const clients = createNodeClients()
  t.teardown(() => {
    clients.close()
    server.close()
  })
  const address = `127.0.0.1:${(server.address() as AddressInfo).port}`
  const registry = {
    self: { id: 'self', life: 'l' },
    ownerOf: () => ({ id: 'other', address }),
    refreshIfStale: async () => undefined,
  } as unknown as NodeRegistry
  const log = createMemoryLogger()
  const local = { service: () => undefined, fleet: () => undefined }
  const owners = createOwnerCalls({ registry, local, clients, log })
  const configuration = {
    current: () => undefined,
    freshAt: () => 0,
    cordons: () => new Map(),
  } as unknown as ConfigurationHolder
  const table = createRowTable()
  const store = table.forNode('n')
  const namespaces = queueNamespaces
  const jobs = createJobService({ store, configuration, owners, namespaces, log })
  return { state, owners, table, jobs }
}

describe('an owner that holds as many jobs as its memory allows', () => {
  // Jobs accepted without end would fill the memory of their owner.
  it('has new jobs refused until it has room', async (t) => {
    const { state, owners, table, jobs } = await setUp(t)
    t.is((await jobs.submit(QUEUE, jobOf('00000000000000a1'))).kind, 'accepted')
    state.isFull = true
    await owners.waiting('one', 'q')
    const version = table.version()
    const refused = await jobs.submit(QUEUE, jobOf('00000000000000a2'))
    t.is(refused.kind, 'refused')
    t.is(table.version(), version, 'nothing is stored')
    state.isFull = false
    await owners.waiting('one', 'q')
    t.is((await jobs.submit(QUEUE, jobOf('00000000000000a2'))).kind, 'accepted')
  })

  // A refusal says that the job never runs.
  it('does not have a job refused that is stored', async (t) => {
    const { state, owners, jobs } = await setUp(t)
    const job = jobOf('00000000000000a1')
    t.is((await jobs.submit(QUEUE, job)).kind, 'accepted')
    state.isFull = true
    await owners.waiting('one', 'q')
    t.is((await jobs.submit(QUEUE, job)).kind, 'accepted')
  })
})
