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
  let looks = 0
  const registry = {
    self: { id: 'self', life: 'l' },
    ownerOf: () => (owner === undefined ? undefined : { id: owner, address: owner }),
    async refreshSoon() {
      looks++
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
  return { calls, asked, looks: () => looks }
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
    const { calls, asked, looks } = startCalls('former', 'former')
    t.is(await calls.status('svc', 'a'), undefined)
    t.deepEqual(asked, ['former'])
    t.is(looks(), 1)
  })

  it('leaves alone a service that this node is about to own', async (t) => {
    const { calls, asked, looks } = startCalls('self', 'self')
    t.is(await calls.status('svc', 'a'), undefined)
    t.deepEqual([asked, looks()], [[], 0])
  })
})
