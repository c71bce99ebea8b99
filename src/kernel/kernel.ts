/**
 * Micro-kernel: named services that are started in the order of their dependencies and
 * stopped in reverse. A service accesses another one only through `get`.
 */
import { err, ok } from 'neverthrow'
import type { Result } from 'neverthrow'
import { KernelError, describeError } from '../shared/index.js'
import type { Logger } from '../shared/index.js'

/**
 * Names and types of all services. Each area adds its own by declaration merging.
 */
// eslint-disable-next-line @typescript-eslint/no-empty-object-type
export interface ServiceMap {}

/** Name of a service. */
export type ServiceName = keyof ServiceMap & string

/** Context that a service may use while it starts and runs. */
export interface ServiceContext {
  /** Returns a started service by name. Throws when it is not declared in `needs`. */
  get<N extends ServiceName>(name: N): ServiceMap[N]
  log: Logger
}

/** One service of a kernel. */
export interface ServiceDefinition<N extends ServiceName = ServiceName> {
  name: N
  /** Services that must run before this one starts, and until it has stopped. */
  needs: readonly ServiceName[]
  start(ctx: ServiceContext): Promise<ServiceMap[N]>
  /** Stops the service after its work in flight has finished. */
  stop?(service: ServiceMap[N]): Promise<void>
}

/** Checks a definition against the type of its service. */
export function defineService<N extends ServiceName>(
  definition: ServiceDefinition<N>,
): ServiceDefinition {
  return definition as unknown as ServiceDefinition
}

/** A set of services that start and stop together. */
export interface Kernel {
  /** Starts every service. On failure, stops those already started. */
  start(): Promise<Result<void, KernelError>>
  /** Stops the services as planned, in reverse order. Later calls wait for the first. */
  stop(): Promise<void>
  get<N extends ServiceName>(name: N): ServiceMap[N]
}

/** Creates a kernel over the definitions. */
export function createKernel(definitions: ServiceDefinition[], log: Logger): Kernel {
  const running = new Map<string, unknown>()
  const started: ServiceDefinition[] = []
  let stopping: Promise<void> | undefined

  const getRunning = (name: string): unknown => {
    if (!running.has(name)) throw new KernelError(`no service '${name}' is running`)
    return running.get(name)
  }

  async function startService(definition: ServiceDefinition): Promise<void> {
    const ctx: ServiceContext = {
      log: log.child({ component: definition.name }),
      get: (name) => {
        if (!definition.needs.includes(name)) {
          throw new KernelError(`'${definition.name}' does not declare '${name}'`)
        }
        return getRunning(name) as never
      },
    }
    running.set(definition.name, await definition.start(ctx))
    started.push(definition)
  }

  async function stopStarted(): Promise<void> {
    for (const definition of started.splice(0).reverse()) {
      try {
        await definition.stop?.(running.get(definition.name) as never)
      } catch (cause) {
        const reason = describeError(cause)
        log.event('serviceStopFailed', { failed: definition.name, reason })
      }
      running.delete(definition.name)
    }
  }

  return {
    async start() {
      const ordered = sortByNeeds(definitions)
      if (ordered.isErr()) return err(ordered.error)
      for (const definition of ordered.value) {
        if (stopping) return err(new KernelError('stopped while it was starting'))
        try {
          await startService(definition)
        } catch (cause) {
          const reason = describeError(cause)
          log.event('serviceFailed', { failed: definition.name, reason })
          await stopStarted()
          const step = `kernel.start.${definition.name}`
          return err(new KernelError(reason, { cause, props: { step } }))
        }
      }
      log.event('kernelStarted', { services: started.map((each) => each.name) })
      return ok(undefined)
    },
    stop() {
      stopping ??= (async () => {
        log.event('kernelStopping')
        await stopStarted()
        log.event('kernelStopped')
      })()
      return stopping
    },
    get: (name) => getRunning(name) as never,
  }
}

/** Sorts definitions so that dependencies come first; fails on missing services and cycles. */
function sortByNeeds(
  definitions: ServiceDefinition[],
): Result<ServiceDefinition[], KernelError> {
  const byName = new Map(definitions.map((each) => [each.name as string, each]))
  const ordered: ServiceDefinition[] = []
  const state = new Map<string, 'visiting' | 'done'>()

  const visit = (name: string, path: string[]): string | undefined => {
    if (state.get(name) === 'done') return undefined
    if (state.get(name) === 'visiting') return `cycle: ${[...path, name].join(' -> ')}`
    const definition = byName.get(name)
    if (!definition) return `'${path.at(-1)}' needs '${name}', which does not exist`
    state.set(name, 'visiting')
    for (const need of definition.needs) {
      const problem = visit(need, [...path, name])
      if (problem) return problem
    }
    state.set(name, 'done')
    ordered.push(definition)
    return undefined
  }

  for (const definition of definitions) {
    const problem = visit(definition.name, [])
    if (problem) return err(new KernelError(problem, { props: { step: 'kernel.order' } }))
  }
  return ok(ordered)
}
