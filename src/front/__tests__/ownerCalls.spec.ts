import { describe, it } from '../../../test/describe.js'
import type { NodeRegistry } from '../../ownership/index.js'
import { createMemoryLogger, sleep } from '../../shared/index.js'
import { makeJob } from '../../../test/jobRig.js'
import { createOwnerCalls } from '../index.js'
import type { NodeClients } from '../index.js'

/** Calls of a node whose rows name one owner, and another one once they are reread. */
function startCalls(known: string | undefined, fresh: string | undefined) {
  const asked: string[] = []
  let owner = known
  let refreshes = 0
  const registry = {
    self: { id: 'self', life: 'l' },
    ownerOf: () => (owner === undefined ? undefined : { id: owner, address: owner }),
    async refreshIfStale() {
      refreshes++
      owner = fresh
    },
  } as unknown as NodeRegistry
  const clients = {
    at: (address: string) => ({
      async ask({ questions }: { questions: unknown[] }) {
        asked.push(address)
        if (address === 'dead') throw new Error('no answer in time')
        const owns = address === 'owner' || address === 'earlierBuild'
        const organisation = address === 'earlierBuild' ? undefined : 'org'
        const answer = { owns, status: 'running', organisation, waiting: 3 }
        return { answers: questions.map(() => answer) }
      },
    }),
  } as unknown as NodeClients
  const local = { service: () => undefined, fleet: () => undefined }
  const calls = createOwnerCalls({ registry, local, clients, log: createMemoryLogger() })
  return { calls, asked, refreshes: () => refreshes }
}

describe('createOwnerCalls', () => {
  // After a power loss of all nodes, each node's first job would wait up to a second for its owner.
  it('offers a job to an owner that only reread rows name', async (t) => {
    const { calls, asked } = startCalls(undefined, 'owner')
    calls.offer(makeJob({}), 1)
    await sleep(10)
    t.deepEqual(asked, ['owner'])
  })

  it('asks the next owner if the known one has given up the service', async (t) => {
    const { calls, asked } = startCalls('former', 'owner')
    t.deepEqual(await calls.status('svc', 'a'), {
      status: 'running',
      organisation: 'org',
    })
    t.deepEqual(asked, ['former', 'owner'])
  })

  it('does not use a state of which the owner cannot tell whose it is', async (t) => {
    const { calls } = startCalls('earlierBuild', 'earlierBuild')
    t.is(await calls.status('svc', 'a'), undefined)
  })

  it('asks the next owner if the known one does not answer', async (t) => {
    const { calls, asked } = startCalls('dead', 'owner')
    t.is(await calls.waiting('svc', 'queue'), 3)
    t.deepEqual(asked, ['dead', 'owner'])
  })

  it('does not ask again if the reread rows name the same owner', async (t) => {
    const { calls, asked, refreshes } = startCalls('former', 'former')
    t.is(await calls.status('svc', 'a'), undefined)
    t.deepEqual(asked, ['former'])
    t.is(refreshes(), 1)
  })

  it('asks nobody about a service that this node is about to own', async (t) => {
    const { calls, asked, refreshes } = startCalls('self', 'self')
    t.is(await calls.status('svc', 'a'), undefined)
    t.deepEqual([asked, refreshes()], [[], 0])
  })
})

/**
 * Guards against cancelled jobs that go on, and new jobs that are not started although targets
 * have room. An owner with a saturated processor answers after 0.4 s and more; notifications that
 * are sent once, with the time-out of a caller's question, are then lost (94 unanswered questions
 * in 2 s, and 2 of the 45 jobs accepted meanwhile reach their owner).
 */
describe('owner that answers late', () => {
  /** An owner that does not receive its first calls; records the time-outs of all calls. */
  function startLate(lostCalls: number) {
    const received: string[] = []
    const timeouts: Record<string, number[]> = {}
    let calls = 0
    const registry = {
      self: { id: 'self', life: 'l' },
      ownerOf: () => ({ id: 'owner', address: 'owner' }),
      refreshIfStale: async () => undefined,
    } as unknown as NodeRegistry
    const clients = {
      at: () => ({
        async ask(
          { questions }: { questions: { about: { case: string; value: string } }[] },
          { timeoutMs }: { timeoutMs: number },
        ) {
          for (const { about } of questions) (timeouts[about.case] ??= []).push(timeoutMs)
          if (++calls <= lostCalls) throw new Error('no answer in time')
          for (const { about } of questions) received.push(about.case)
          return {
            answers: questions.map(() => ({ owns: true, status: '', waiting: 0 })),
          }
        },
      }),
    } as unknown as NodeClients
    const local = { service: () => undefined, fleet: () => undefined }
    const log = createMemoryLogger()
    const ownerCalls = createOwnerCalls({ registry, local, clients, log })
    return { ownerCalls, received, timeouts, calls: () => calls }
  }

  it('is notified until it answers', async (t) => {
    const { ownerCalls, received } = startLate(3)
    ownerCalls.cancel('svc', 'a', 'q')
    ownerCalls.offer(makeJob({}), 1)
    await sleep(3000)
    t.deepEqual(received.sort(), ['cancel', 'offer'])
  })

  it('has more time for a notification than for the question of a waiting caller', async (t) => {
    const { ownerCalls, timeouts } = startLate(0)
    ownerCalls.cancel('svc', 'a', 'q')
    await ownerCalls.status('svc', 'b')
    t.true(timeouts['cancel']![0]! >= 2000)
    t.true(timeouts['status']![0]! < 1000)
  })

  it('is notified without waiting for a question in flight', async (t) => {
    const { ownerCalls, received } = startLate(0)
    void ownerCalls.status('svc', 'b')
    ownerCalls.cancel('svc', 'a', 'q')
    await sleep(5)
    t.deepEqual(received, ['status', 'cancel'])
  })

  it('is not asked what the store can answer until the backoff ends', async (t) => {
    const { ownerCalls, calls } = startLate(1)
    t.is(await ownerCalls.status('svc', 'a'), undefined)
    await Promise.all(['b', 'c', 'd'].map((id) => ownerCalls.status('svc', id)))
    t.is(calls(), 1)
    await sleep(1100)
    await ownerCalls.status('svc', 'e')
    t.is(calls(), 2)
  })
})
