/**
 * Decides under which name the id of a job is recorded, see docs/design/namespaces.md. Callers know a
 * job by host, path prefix and id, while operators may replace the queue behind that address. So
 * each address is bound once to a namespace: the name of the first queue that accepted a job there.
 */
import { err, ok } from 'neverthrow'
import type { Result } from 'neverthrow'
import type { ConfigurationHolder } from '../directory/index.js'
import type { Queue, RowStore, StoredRow } from '../ports/index.js'
import {
  PlatformError,
  createInvalidRows,
  createStopController,
  describeError,
  jittered,
  monotonicMs,
  sleep,
} from '../shared/index.js'
import type { Logger } from '../shared/index.js'
import {
  NAMESPACES_PART,
  NAMESPACES_TABLE,
  bindingKey,
  decodeBinding,
  encodeBinding,
} from './namespaceRow.js'
import type { Address, Binding } from './namespaceRow.js'

/** Pause after a failed read in the background, in ms; jittered. */
const RETRY_MS = 500
/** Age up to which a read shows that an address is not bound, in ms. */
const MAX_READ_AGE_MS = 500
/** Most attempts to write a binding; each fails only because another node wrote it. */
const MAX_WRITES = 5

/** The queue of a request, as far as it matters here. */
export type AddressedQueue = Pick<Queue, 'name' | 'host' | 'pathPrefix' | 'service'>

/** Where the jobs of an address are recorded. */
export interface Namespace {
  /** Name under which new jobs are recorded. */
  name: string
  /** All names under which jobs of the address may be recorded, the first one is `name`. */
  names: string[]
  /** Services that may have jobs of the namespace. */
  services: string[]
}

/** The namespaces of all addresses. */
export interface Namespaces {
  /** Namespace as far as this node knows it; undefined if it has read no binding. Asks nobody. */
  known(queue: AddressedQueue): Namespace | undefined
  /** Namespace for lookups; reads the bindings if the address is not known to be bound. */
  find(queue: AddressedQueue): Promise<Result<Namespace, PlatformError>>
  /**
   * Namespace for a new job. The binding is durable when this returns, so that every node, under
   * every later configuration, finds the job.
   */
  bind(queue: AddressedQueue): Promise<Result<Namespace, PlatformError>>
  /** Services for which jobs were accepted, according to the bindings that this node has read. */
  services(): ReadonlySet<string>
  stop(): Promise<void>
}

interface StoredBinding {
  binding: Binding
  version: number
}

const bindingError = (reason: string): PlatformError =>
  new PlatformError(reason, {
    props: { step: 'namespaces.bind', peer: 'store', failure: 'refused' as const },
  })

/** Starts reading the bindings. */
export function createNamespaces(opts: {
  store: RowStore
  configuration: Pick<ConfigurationHolder, 'current' | 'subscribe'>
  log: Logger
}): Namespaces {
  const { store, configuration, log } = opts
  const stopping = createStopController()
  const unreadRows = createInvalidRows(log, NAMESPACES_TABLE)
  /** Bindings by address. */
  const bindings = new Map<string, StoredBinding>()
  /** Services of all bindings; a binding never loses one. */
  const services = new Set<string>()
  /** Keys of the rows that cannot be read. */
  const unreadable = new Set<string>()
  /** Name of the first queue of each address in the life of this process. */
  const firstNames = new Map<string, string>()
  /** Namespaces that have been looked up since the last change of a binding, by queue. */
  const lookups = new Map<string, Namespace>()
  /** Writes in progress, by address and service. */
  const writes = new Map<string, Promise<Result<Namespace, PlatformError>>>()
  let reading: Promise<Result<void, PlatformError>> | undefined
  let readAt = -Infinity
  let learning: Promise<void> | undefined

  const addressOf = ({ host, pathPrefix }: Address): string => `${host}\n${pathPrefix}`

  function setBinding(binding: Binding, version: number): void {
    bindings.set(addressOf(binding), { binding, version })
    for (const service of binding.services) services.add(service)
    lookups.clear()
  }

  function noteRow({ key, value, version }: StoredRow): void {
    const decoded = decodeBinding(value)
    if (!decoded || bindingKey(decoded).key !== key) {
      unreadable.add(key)
      return unreadRows.note(
        key,
        'its address accepts no jobs on nodes that do not know it',
      )
    }
    unreadable.delete(key)
    unreadRows.clear(key)
    const known = bindings.get(addressOf(decoded))
    if (!known || known.version < version) setBinding(decoded, version)
  }

  async function readAll(): Promise<Result<void, PlatformError>> {
    const sentAt = monotonicMs()
    const res = await store.read(NAMESPACES_TABLE, NAMESPACES_PART)
    if (res.isErr()) return err(res.error)
    for (const row of res.value.rows) noteRow(row)
    readAt = sentAt
    return ok(undefined)
  }

  /** Reads all bindings; concurrent calls share one read. */
  function read(): Promise<Result<void, PlatformError>> {
    reading ??= readAll().finally(() => (reading = undefined))
    return reading
  }

  /** Reads all bindings unless the last read is recent. */
  const refresh = async (): Promise<Result<void, PlatformError>> =>
    monotonicMs() - readAt < MAX_READ_AGE_MS ? ok(undefined) : read()

  /** Bindings of all addresses that share a namespace. */
  const sharing = (namespace: string): Binding[] =>
    [...bindings.values()].flatMap(({ binding: each }) =>
      each.namespace === namespace ? each : [],
    )

  /**
   * Other name under which a node that knows no bindings records jobs of the address; undefined if
   * that name is the namespace of another address.
   */
  function unboundName(queue: AddressedQueue, namespace: string): string | undefined {
    const isOther = queue.name !== namespace && sharing(queue.name).length === 0
    return isOther ? queue.name : undefined
  }

  function namespaceOf(queue: AddressedQueue, name: string): Namespace {
    const other = unboundName(queue, name)
    const ofNamespace = sharing(name).flatMap((each) => each.services)
    return {
      name,
      names: other === undefined ? [name] : [name, other],
      services: [...new Set([queue.service, ...ofNamespace])],
    }
  }

  const firstNameOf = (queue: AddressedQueue): string =>
    firstNames.get(addressOf(queue)) ?? queue.name

  const bindingOf = (queue: AddressedQueue): Binding | undefined =>
    bindings.get(addressOf(queue))?.binding

  const isBound = (queue: AddressedQueue): boolean =>
    bindingOf(queue)?.services.includes(queue.service) === true

  function known(queue: AddressedQueue): Namespace | undefined {
    const binding = bindingOf(queue)
    if (!binding) return undefined
    const key = `${addressOf(queue)}\n${queue.name}\n${queue.service}`
    const found = lookups.get(key) ?? namespaceOf(queue, binding.namespace)
    lookups.set(key, found)
    return found
  }

  /** Writes the binding, or adds the queue's service to it; false if another node was first. */
  async function writeOnce(
    queue: AddressedQueue,
  ): Promise<Result<boolean, PlatformError>> {
    const key = bindingKey(queue)
    const stored = bindings.get(addressOf(queue))
    const { host, pathPrefix, service } = queue
    const next: Binding = {
      host,
      pathPrefix,
      namespace: stored?.binding.namespace ?? firstNameOf(queue),
      services: [...(stored?.binding.services ?? []), service],
    }
    const res = await store.commit({
      conditions: [{ ...key, version: stored?.version ?? 0 }],
      puts: [{ ...key, value: encodeBinding(next) }],
      removals: [],
    })
    if (res.isErr()) return err(res.error)
    if (!res.value.committed) {
      for (const row of res.value.current) noteRow(row)
      return ok(false)
    }
    setBinding(next, res.value.version)
    log.event('namespaceBound', {
      queue: queue.name,
      namespace: next.namespace,
      services: next.services,
    })
    return ok(true)
  }

  async function write(queue: AddressedQueue): Promise<Result<Namespace, PlatformError>> {
    const fresh = await refresh()
    if (fresh.isErr()) return err(fresh.error)
    for (let tries = 0; !isBound(queue) && tries < MAX_WRITES; tries++) {
      const written = await writeOnce(queue)
      if (written.isErr()) return err(written.error)
    }
    const found = isBound(queue) ? known(queue) : undefined
    return found ? ok(found) : err(bindingError('the binding cannot be written'))
  }

  /** Notes the first names, and reads the bindings if the configuration has new addresses. */
  function noteConfiguration(): void {
    let hasNew = false
    for (const queue of configuration.current()?.queues ?? []) {
      const address = addressOf(queue)
      if (firstNames.has(address)) continue
      firstNames.set(address, queue.name)
      hasNew ||= !bindings.has(address)
    }
    if (hasNew) learning ??= learn().finally(() => (learning = undefined))
  }

  /** Reads ahead of the first request, which a store that is down would otherwise refuse. */
  async function learn(): Promise<void> {
    while (!stopping.signal.aborted) {
      const res = await read()
      if (res.isOk()) return
      log.event('namespacesNotRead', { reason: describeError(res.error) })
      await sleep(jittered(RETRY_MS), stopping.signal)
    }
  }

  const unsubscribe = configuration.subscribe(noteConfiguration)
  noteConfiguration()

  return {
    known,
    async find(queue) {
      if (!isBound(queue)) {
        const fresh = await refresh()
        if (fresh.isErr() && !bindingOf(queue)) return err(fresh.error)
      }
      if (!bindingOf(queue) && unreadable.has(bindingKey(queue).key))
        return err(bindingError('the binding of the address cannot be read'))
      return ok(known(queue) ?? namespaceOf(queue, firstNameOf(queue)))
    },
    async bind(queue) {
      const found = isBound(queue) ? known(queue) : undefined
      if (found) return ok(found)
      const key = `${addressOf(queue)}\n${queue.service}`
      const pending = writes.get(key) ?? write(queue).finally(() => writes.delete(key))
      writes.set(key, pending)
      return pending
    },
    services: () => services,
    async stop() {
      stopping.abort()
      unsubscribe()
      await learning
    },
  }
}
