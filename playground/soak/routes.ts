/** Routes to the queues of a run, as operators remove, add, rename and move them. */
import type { SoakQueue } from './jobView.js'

/** Time after a change by which every node that is not cut off has the configuration, in ms. */
const APPLY_MS = 4000
/** Longest time for which a node may use an older configuration, in ms. */
const MAX_STALE_MS = 15_000

interface RouteState {
  queue: SoakQueue
  name: string
  /** Services in order, each with the monotonic time from which it counts, in ms. */
  services: { service: string; since: number }[]
  /** Number of faults that keep the route away. */
  removals: number
  /** Monotonic time of the last end of a removal, in ms. */
  addedAt: number
}

/** The routes of a run. Each queue keeps its path and its attempts. */
export interface SoakRoutes {
  /** Routes of the next configuration. */
  entries(): SoakQueue[]
  /** Whether callers of a queue may be told that there is no such queue. */
  mayBeMissing(queue: SoakQueue): boolean
  /** Services for which nodes may have accepted a job that was sent in a period, in ms. */
  servicesBetween(queue: SoakQueue, from: number, until: number): Set<string>
  remove(which: number): void
  add(which: number): void
  rename(which: number): void
  /** Exchanges the names of two routes. */
  swapNames(which: number): void
  /** Gives a route the service of the next one. */
  move(which: number): void
}

/** Starts with a route for each queue. */
export function createRoutes(queues: readonly SoakQueue[]): SoakRoutes {
  let renames = 0
  const states = queues.map((queue): RouteState => ({
    queue,
    name: queue.name,
    services: [{ service: queue.service, since: -Infinity }],
    removals: 0,
    addedAt: -Infinity,
  }))
  const stateOf = (which: number): RouteState => states[which % states.length]!
  const findState = (queue: SoakQueue): RouteState =>
    states.find((each) => each.queue === queue)!
  const serviceOf = ({ services }: RouteState): string => services.at(-1)!.service

  return {
    entries: () =>
      states.flatMap((state) =>
        state.removals > 0
          ? []
          : { ...state.queue, name: state.name, service: serviceOf(state) },
      ),
    mayBeMissing(queue) {
      const { removals, addedAt } = findState(queue)
      return removals > 0 || performance.now() - addedAt < APPLY_MS
    },
    servicesBetween(queue, from, until) {
      const { services } = findState(queue)
      const isUsed = (index: number): boolean => {
        const endedAt = services[index + 1]?.since ?? Infinity
        return services[index]!.since <= until && endedAt > from - MAX_STALE_MS
      }
      return new Set(
        services.flatMap(({ service }, index) => (isUsed(index) ? service : [])),
      )
    },
    remove: (which) => void stateOf(which).removals++,
    add(which) {
      const state = stateOf(which)
      state.removals--
      state.addedAt = performance.now()
    },
    rename: (which) => void (stateOf(which).name = `r-renamed-${++renames}`),
    swapNames(which) {
      const [one, other] = [stateOf(which), stateOf(which + 1)]
      ;[one.name, other.name] = [other.name, one.name]
    },
    move(which) {
      const state = stateOf(which)
      const names = queues.map(({ service }) => service)
      const next = names[(names.indexOf(serviceOf(state)) + 1) % names.length]!
      state.services.push({ service: next, since: performance.now() })
    },
  }
}
