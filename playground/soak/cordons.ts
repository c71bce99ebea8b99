/** Cordoned data halls of a run, as operators have requested them. */
import type { SimVm } from '../sim/simFleet.js'
import type { SimPlatform } from '../sim/wireServer.js'

/** Time after which nodes must start tasks again in a hall whose cordon was lifted, in ms. */
const LIFTED_GRACE_MS = 1500

/** Cordons and lifts the cordons of halls. */
export interface Cordons {
  /** Cordons halls; the result lifts the cordons, unless a later request keeps them. */
  cordon(halls: readonly string[]): () => void
  /** Time for which the hall of a target has been cordoned, in ms; 0 if it is not. */
  cordonedMs(targetId: string): number
  /** Whether nodes must know that tasks may be started on a VM. */
  isOpen(vm: SimVm): boolean
}

/** Creates the cordons of a run, without any. */
export function createCordons(platform: SimPlatform): Cordons {
  const { vms } = platform
  /** Number of requests in force, and time of the first one and of the last end, in ms. */
  const requests = new Map<string, { count: number; since: number; liftedAt: number }>()

  function cordon(hall: string): void {
    const before = requests.get(hall)
    const count = (before?.count ?? 0) + 1
    const since = before && before.count > 0 ? before.since : performance.now()
    requests.set(hall, { count, since, liftedAt: Infinity })
    platform.setCordoned(hall, true)
  }

  function lift(hall: string): void {
    const request = requests.get(hall)
    if (!request) return
    request.count--
    if (request.count > 0) return
    request.liftedAt = performance.now()
    platform.setCordoned(hall, false)
  }

  return {
    cordon(halls) {
      halls.forEach(cordon)
      return () => halls.forEach(lift)
    },
    cordonedMs(targetId) {
      const vm = vms.find(({ target }) => target?.id === targetId)
      const request = vm && requests.get(vm.hall)
      return request && request.count > 0 ? performance.now() - request.since : 0
    },
    isOpen({ hall }) {
      const request = requests.get(hall)
      if (!request) return true
      return request.count === 0 && performance.now() - request.liftedAt > LIFTED_GRACE_MS
    },
  }
}
