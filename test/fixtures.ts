/** Fixtures shared by the tests of several areas. */
import { Readable } from 'node:stream'
import type { HttpBindings } from '@hono/node-server'
import { ok } from 'neverthrow'
import type { AddressedQueue, Namespace, Namespaces } from '../src/namespaces/index.js'
import { createJobBook } from '../src/jobs/index.js'
import type { JobBook, JobBookOptions } from '../src/jobs/index.js'
import { createServerLimits } from '../src/limits/index.js'
import type { ServerLimits } from '../src/limits/index.js'
import type { Organisation, Queue, Vm, VmList } from '../src/ports/index.js'
import { createMemoryLogger } from '../src/shared/index.js'

/** A queue without any options. */
export const ONE_QUEUE: Queue = {
  name: 'q',
  host: 'q.example',
  pathPrefix: '/q/',
  service: 'one',
  priority: 0,
  maxAttempts: 2,
  stretch: 1.6,
  latencyMs: 600,
  advice: undefined,
}

/** Limits of servers on a small VM. */
export const smallVmLimits = (): ServerLimits =>
  createServerLimits({
    vm: { memory_mb: 160, file_descriptors: 1024 },
    log: createMemoryLogger(),
  })

/** Bindings of an application whose request has this body. */
export function bindingsOf(body: string): HttpBindings {
  const incoming = Object.assign(Readable.from([Buffer.from(body)]), { headers: {} })
  return { incoming } as unknown as HttpBindings
}

/** CPU capacity of a VM from {@link vmOf}, in thousandths of a core. */
export const VM_CPU = 10_000

/** A VM that is up. `number` determines its name and the id of its target. */
export const vmOf = (number: number, pool: string): Vm => ({
  name: `m${number}`,
  pool,
  state: 'up',
  hall: 'h1',
  labels: [],
  capacity: { cpu: VM_CPU, memMb: 1000, gpu: 0 },
  targetId: `i${number}`,
})

/** A list of VMs without unreadable rows. */
export const listOf = (vms: readonly Vm[]): VmList => ({
  vms: vms.map((vm) => ({ ...vm })),
  unreadable: [],
  isComplete: true,
})

/** An empty job book with both clocks fixed at 0 and callbacks that do nothing. */
export const createFrozenJobBook = (more: Partial<JobBookOptions> = {}): JobBook =>
  createJobBook({
    rulesOf: () => ({ maxAttempts: 1 }),
    now: () => 0,
    wallMs: () => 0,
    progressChanged: () => undefined,
    runUnwanted: () => undefined,
    wake: () => undefined,
    outcomeReached: () => undefined,
    ...more,
  })

/** Organisations without keys and maxima, by name. */
export const organisationsOf = (
  weights: Record<string, number>,
): Map<string, Organisation> =>
  new Map(
    Object.entries(weights).map(([name, weight]) => {
      const maximum = { cpu: 0, memMb: 0, gpu: 0 }
      return [name, { name, keyDigests: [], weight, maximum }]
    }),
  )

/**
 * Load of a service that serves no further job in time, as its owner sends it.
 * @param queue queue whose run times are known
 */
export const fullLoad = (queue: string, term = 1, sequence = 1) => ({
  term,
  sequence,
  idleCpu: 0,
  attainableCpu: 1000,
  backlog: [
    {
      priority: 0,
      beyondShare: false,
      timelyWork: 1e6,
      lateWork: 0,
      timelyStarts: 100,
      lateStarts: 0,
    },
  ],
  runMs: { [queue]: 500 },
})

const ownNamespace = ({ name, service }: AddressedQueue): Namespace => ({
  name,
  names: [name],
  services: [service],
})

/** Namespaces where each queue has kept its address, so that no row is needed. */
export const queueNamespaces: Namespaces = {
  known: ownNamespace,
  find: async (queue) => ok(ownNamespace(queue)),
  bind: async (queue) => ok(ownNamespace(queue)),
  services: () => new Set(),
  stop: async () => undefined,
}
