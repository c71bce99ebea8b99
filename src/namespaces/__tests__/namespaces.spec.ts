/** Addresses keep the names under which their jobs are recorded, whatever queues serve them. */
import fc from 'fast-check'
import { createRowTable } from '../../../playground/sim/rowTable.js'
import { describe, it } from '../../../test/describe.js'
import type { Configuration, RowStore } from '../../ports/index.js'
import { createMemoryLogger, sleep } from '../../shared/index.js'
import { NAMESPACES_TABLE, bindingKey, createNamespaces } from '../index.js'
import type { AddressedQueue, Namespaces } from '../index.js'

const queueOf = (name: string, path: string, service = 'one'): AddressedQueue => ({
  name,
  host: 'h.example',
  pathPrefix: path,
  service,
})

interface Process {
  namespaces: Namespaces
  configure(queues: AddressedQueue[]): void
  /** Number of calls to the store. */
  calls(): number
  bind(queue: AddressedQueue): Promise<string | undefined>
  find(queue: AddressedQueue): Promise<string | undefined>
}

/** Starts a process; all processes of a test share one store. */
function startProcess(store: RowStore, queues: AddressedQueue[]): Process {
  let calls = 0
  const counted: RowStore = {
    ...store,
    read: (...args) => (calls++, store.read(...args)),
    commit: (tx) => (calls++, store.commit(tx)),
  }
  let current = { queues } as unknown as Configuration
  let listener: () => void = () => undefined
  const configuration = {
    current: () => current,
    subscribe(each: () => void) {
      listener = each
      return () => undefined
    },
  }
  const log = createMemoryLogger()
  const namespaces = createNamespaces({ store: counted, configuration, log })
  return {
    namespaces,
    configure(next) {
      current = { queues: next } as unknown as Configuration
      listener()
    },
    calls: () => calls,
    bind: async (queue) =>
      (await namespaces.bind(queue)).map(({ name }) => name).unwrapOr(undefined),
    find: async (queue) =>
      (await namespaces.find(queue)).map(({ name }) => name).unwrapOr(undefined),
  }
}

const A = queueOf('r-a', '/a/')
const B = queueOf('r-b', '/b/')

describe('createNamespaces', () => {
  describe('address whose queue is replaced by one of another name', () => {
    const next = queueOf('r-next', '/a/', 'two')

    // Guards against a job that runs twice, as its second row has another key.
    it('keeps its name on nodes that bound it and on those that did not', async (t) => {
      const table = createRowTable()
      const first = startProcess(table.forNode('n1'), [A])
      t.is(await first.bind(A), 'r-a')
      first.configure([next])
      t.is(await first.bind(next), 'r-a')
      t.is(await startProcess(table.forNode('n2'), [next]).find(next), 'r-a')
    })

    // Guards against jobs that all nodes forget if all processes are killed in between.
    it('keeps its name if no process remembers the former queue', async (t) => {
      const table = createRowTable()
      await startProcess(table.forNode('n1'), [A]).bind(A)
      t.is(await startProcess(table.forNode('n2'), [next]).bind(next), 'r-a')
    })

    // Guards against two names while a hall that is cut off has an older configuration.
    it('has one name for nodes with different configurations', async (t) => {
      const table = createRowTable()
      const late = startProcess(table.forNode('n1'), [A])
      const current = startProcess(table.forNode('n2'), [next])
      const names = await Promise.all([late.bind(A), current.bind(next)])
      t.is(names[0], names[1])
    })

    // Guards against jobs that earlier versions recorded before the address was bound.
    it('is bound to the first queue that the process knew there', async (t) => {
      const table = createRowTable()
      const process = startProcess(table.forNode('n1'), [A])
      process.configure([next])
      t.is(await process.bind(next), 'r-a')
    })

    // Guards against jobs that nodes of an earlier version record while both versions run.
    it('is also looked up under the name of its queue', async (t) => {
      const table = createRowTable()
      await startProcess(table.forNode('n1'), [A]).bind(A)
      const found = await startProcess(table.forNode('n2'), [next]).namespaces.find(next)
      t.deepEqual(found._unsafeUnwrap().names, ['r-a', 'r-next'])
    })
  })

  // Guards against answers about the jobs of the other queue.
  it('keeps the names of two addresses whose queues are swapped', async (t) => {
    const table = createRowTable()
    const process = startProcess(table.forNode('n1'), [A, B])
    await process.bind(A)
    await process.bind(B)
    const swapped = [queueOf('r-b', '/a/'), queueOf('r-a', '/b/')] as const
    process.configure([...swapped])
    t.is(await process.bind(swapped[0]), 'r-a')
    t.is(await process.bind(swapped[1]), 'r-b')
    t.deepEqual(process.namespaces.known(swapped[0])?.names, ['r-a'])
  })

  // Guards against jobs that cannot be found after their queue moved to another address.
  it('gives a queue that moves to a new address the name of its jobs', async (t) => {
    const table = createRowTable()
    const process = startProcess(table.forNode('n1'), [A])
    await process.bind(A)
    const moved = { ...A, host: 'other.example' }
    process.configure([moved])
    t.is(await process.bind(moved), 'r-a')
  })

  // Guards against waiting jobs that are not counted after a route changed its service.
  it('knows all services for which jobs were accepted', async (t) => {
    const table = createRowTable()
    const first = startProcess(table.forNode('n1'), [A])
    await first.bind(A)
    const moved = { ...A, service: 'two' }
    const second = startProcess(table.forNode('n2'), [moved])
    await second.bind(moved)
    const found = await startProcess(table.forNode('n3'), [moved]).namespaces.find(moved)
    t.deepEqual(found._unsafeUnwrap().services.sort(), ['one', 'two'])
  })

  describe('store that is away', () => {
    it('refuses new addresses and still serves bound ones', async (t) => {
      const table = createRowTable()
      const process = startProcess(table.forNode('n1'), [A, B])
      await process.bind(A)
      table.faults.down = true
      t.is(await process.bind(A), 'r-a')
      t.is(await process.bind(B), undefined)
    })

    // Guards against a refusal of all jobs at a node whose store part is down when jobs arrive.
    it('has told the bindings before the first request', async (t) => {
      const table = createRowTable()
      await startProcess(table.forNode('n1'), [A]).bind(A)
      const process = startProcess(table.forNode('n2'), [A])
      await sleep(20)
      table.faults.down = true
      t.is(await process.bind(A), 'r-a')
    })
  })

  describe('binding that cannot be read', () => {
    // Guards against an answer that no such job exists while its name is not known.
    it('is not replaced, and leaves lookups unanswered', async (t) => {
      const table = createRowTable()
      const key = bindingKey(A)
      table.put(key, '{"host":')
      const process = startProcess(table.forNode('n1'), [A])
      t.is(await process.bind(A), undefined)
      t.is(await process.find(A), undefined)
      t.is(table.get(key)?.value, '{"host":')
    })

    it('includes the row of another address', async (t) => {
      const table = createRowTable()
      await startProcess(table.forNode('n1'), [B]).bind(B)
      table.put(bindingKey(A), table.get(bindingKey(B))!.value)
      t.is(await startProcess(table.forNode('n2'), [A]).bind(A), undefined)
    })
  })

  // Guards against calls to the store for each request.
  it('calls the store no more once an address is bound', async (t) => {
    const table = createRowTable()
    const process = startProcess(table.forNode('n1'), [A])
    await Promise.all([process.bind(A), process.bind(A), process.bind(A)])
    const calls = process.calls()
    t.true(calls <= 2)
    for (let each = 0; each < 10; each++) {
      await process.bind(A)
      await process.find(A)
    }
    process.configure([queueOf('r-next', '/a/')])
    await process.bind(queueOf('r-next', '/a/'))
    t.is(process.calls(), calls)
    t.is(table.rows(NAMESPACES_TABLE).length, 1)
  })

  // Guards against a second name for an address by any order of changes, losses and kills.
  it('gives an address one name, and forgets no service', async (t) => {
    const names = fc.constantFrom('q1', 'q2', 'q3')
    const paths = fc.constantFrom('/a/', '/b/')
    const services = fc.constantFrom('one', 'two', 'three')
    const event = fc.record({
      node: fc.nat(2),
      kind: fc.constantFrom('configure', 'bind', 'bind', 'bind', 'kill', 'lose'),
      queues: fc.uniqueArray(fc.record({ name: names, path: paths, service: services }), {
        minLength: 1,
        maxLength: 2,
        selector: ({ path }) => path,
      }),
    })
    await fc.assert(
      fc.asyncProperty(fc.array(event, { maxLength: 25 }), async (events) => {
        const table = createRowTable()
        table.faults.lostMs = 0
        table.faults.random = () => 0
        const queuesOf = (each: (typeof events)[number]): AddressedQueue[] =>
          each.queues.map(({ name, path, service }) => queueOf(name, path, service))
        const configured = [0, 1, 2].map(() => [queueOf('q1', '/a/')])
        const start = (node: number): Process =>
          startProcess(table.forNode(`n${node}`), configured[node]!)
        const processes = configured.map((_, node) => start(node))
        const bound = new Map<string, string>()
        const accepted = new Map<string, Set<string>>()
        const pending: Promise<unknown>[] = []
        for (const each of events) {
          const { node } = each
          if (each.kind === 'configure') {
            configured[node] = queuesOf(each)
            processes[node]!.configure(configured[node])
          }
          if (each.kind === 'kill') processes[node] = start(node)
          if (each.kind === 'lose')
            Object.assign(table.faults, {
              lostShare: table.faults.lostShare === 0 ? 1 : 0,
              lateMs: 2,
            })
          if (each.kind !== 'bind') continue
          const process = processes[node]!
          for (const queue of configured[node]!)
            pending.push(
              process.bind(queue).then((name) => {
                if (name === undefined) return
                const first = bound.get(queue.pathPrefix) ?? name
                bound.set(queue.pathPrefix, first)
                if (name !== first) throw new Error(`${name} and ${first}`)
                const known = accepted.get(queue.pathPrefix) ?? new Set()
                accepted.set(queue.pathPrefix, known.add(queue.service))
              }),
            )
          if (events.indexOf(each) % 2 === 0) await Promise.all(pending)
        }
        await Promise.all(pending)
        await sleep(4)
        table.faults.lostShare = 0
        const last = startProcess(table.forNode('last'), [])
        for (const [path, known] of accepted) {
          const found = await last.namespaces.find(queueOf('q9', path))
          const { name, services: all } = found._unsafeUnwrap()
          if (name !== bound.get(path)) throw new Error(`${name} at the end`)
          for (const service of known)
            if (!all.includes(service)) throw new Error(`${service} is forgotten`)
        }
      }),
      { numRuns: 60, seed: 65, endOnFailure: true },
    )
    t.pass()
  })
})
