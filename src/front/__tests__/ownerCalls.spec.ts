import { describe, it } from '../../../test/describe.js'
import type { NodeRegistry } from '../../ownership/index.js'
import { createMemoryLogger, sleep } from '../../shared/index.js'
import { makeJob } from '../../../test/jobRig.js'
import { createOwnerCalls } from '../index.js'
import type { NodeClients } from '../index.js'

/** A node whose rows name one owner, and another one once they are read again. */
function startCalls(known: string | undefined, fresh: string | undefined) {
  const asked: string[] = []
  let owner = known
  let refreshes = 0
  const registry = {
    self: { id: 'self', life: 'l' },
    ownerOf: () => (owner === undefined ? undefined : { id: owner, address: owner }),
    async refreshSoon() {
      refreshes++
      owner = fresh
    },
  } as unknown as NodeRegistry
  const clients = {
    at: (address: string) => ({
      async ask({ questions }: { questions: unknown[] }) {
        asked.push(address)
        if (address === 'dead') throw new Error('no answer in time')
        const owns = address === 'owner'
        return { answers: questions.map(() => ({ owns, status: 'running', waiting: 3 })) }
      },
    }),
  } as unknown as NodeClients
  const local = { service: () => undefined, fleet: () => undefined }
  const calls = createOwnerCalls({ registry, local, clients, log: createMemoryLogger() })
  return { calls, asked, refreshes: () => refreshes }
}

describe('createOwnerCalls', () => {
  // After all nodes had lost power, each node's first job waited up to a second for its owner.
  it('offers a job to an owner that only fresh rows name', async (t) => {
    const { calls, asked } = startCalls(undefined, 'owner')
    calls.offer(makeJob({}), 1)
    await sleep(10)
    t.deepEqual(asked, ['owner'])
  })

  it('asks the next owner when the one that it knew gave the service up', async (t) => {
    const { calls, asked } = startCalls('former', 'owner')
    t.is(await calls.status('svc', 'a'), 'running')
    t.deepEqual(asked, ['former', 'owner'])
  })

  it('asks the next owner when the one that it knew does not answer', async (t) => {
    const { calls, asked } = startCalls('dead', 'owner')
    t.is(await calls.waiting('svc', 'queue'), 3)
    t.deepEqual(asked, ['dead', 'owner'])
  })

  it('does not ask twice where the rows still say the same', async (t) => {
    const { calls, asked, refreshes } = startCalls('former', 'former')
    t.is(await calls.status('svc', 'a'), undefined)
    t.deepEqual(asked, ['former'])
    t.is(refreshes(), 1)
  })

  it('leaves alone a service that this node is about to own', async (t) => {
    const { calls, asked, refreshes } = startCalls('self', 'self')
    t.is(await calls.status('svc', 'a'), undefined)
    t.deepEqual([asked, refreshes()], [[], 0])
  })
})

/**
 * What users saw: jobs that were cancelled went on, and new jobs were not begun, while their
 * owner's targets had room.
 * Order of events: the owner's processor is full, so that it answers after 0.4 s and more; each
 * call of an entry is given up before, and what it carried is told by nobody any more.
 * Cause: news was told once, within the time that a caller's question may take.
 * Evidence: 94 questions unanswered in two seconds, of 45 jobs accepted in them 2 taken on.
 */
describe('news for an owner that answers late', () => {
  /** An owner that hears nothing of its first calls, and the times that they were given. */
  function startLate(lostCalls: number) {
    const heard: string[] = []
    const patience: Record<string, number[]> = {}
    let calls = 0
    const registry = {
      self: { id: 'self', life: 'l' },
      ownerOf: () => ({ id: 'owner', address: 'owner' }),
      refreshSoon: async () => undefined,
    } as unknown as NodeRegistry
    const clients = {
      at: () => ({
        async ask(
          { questions }: { questions: { about: { case: string; value: string } }[] },
          { timeoutMs }: { timeoutMs: number },
        ) {
          for (const { about } of questions) (patience[about.case] ??= []).push(timeoutMs)
          if (++calls <= lostCalls) throw new Error('no answer in time')
          for (const { about } of questions) heard.push(about.case)
          return {
            answers: questions.map(() => ({ owns: true, status: '', waiting: 0 })),
          }
        },
      }),
    } as unknown as NodeClients
    const local = { service: () => undefined, fleet: () => undefined }
    const log = createMemoryLogger()
    const calling = createOwnerCalls({ registry, local, clients, log })
    return { calling, heard, patience, calls: () => calls }
  }

  it('is told until the owner has answered', async (t) => {
    const { calling, heard } = startLate(3)
    calling.cancel('svc', 'a')
    calling.offer(makeJob({}), 1)
    await sleep(3000)
    t.deepEqual(heard.sort(), ['cancel', 'offer'])
  })

  it('has more time than the question of a caller who waits', async (t) => {
    const { calling, patience } = startLate(0)
    calling.cancel('svc', 'a')
    await calling.status('svc', 'b')
    t.true(patience['cancel']![0]! >= 2000)
    t.true(patience['status']![0]! < 1000)
  })

  it('does not wait for a question that is under way', async (t) => {
    const { calling, heard } = startLate(0)
    void calling.status('svc', 'b')
    calling.cancel('svc', 'a')
    await sleep(5)
    t.deepEqual(heard, ['status', 'cancel'])
  })

  it('spares such an owner questions that the store can answer', async (t) => {
    const { calling, calls } = startLate(1)
    t.is(await calling.status('svc', 'a'), undefined)
    await Promise.all(['b', 'c', 'd'].map((id) => calling.status('svc', id)))
    t.is(calls(), 1)
    await sleep(1100)
    await calling.status('svc', 'e')
    t.is(calls(), 2)
  })
})
