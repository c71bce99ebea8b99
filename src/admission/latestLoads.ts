/** Newest loads of services that the owners on other nodes have sent to this node. */
import { parseJson } from '../shared/index.js'
import { serviceLoadSchema } from './types.js'
import type { ServiceLoad } from './types.js'

/** A load with its age. */
export interface KnownLoad {
  load: ServiceLoad
  /** Longest time since the load was sent, in ms. */
  ageMs: number
}

/** Loads by service. */
export interface LatestLoads {
  /**
   * Records a load, unless it is invalid or older than the known one.
   * @param from address of the node that sent it
   * @param askedAt monotonic time of the call that it answers, in ms; it is no older than that
   */
  note(service: string, text: string, from: string, askedAt: number): void
  /**
   * Returns the newest load of a service; undefined if there is none from its present owner.
   * @param owner address of the present owner; undefined if there is none
   */
  get(service: string, owner: string | undefined, now: number): KnownLoad | undefined
}

interface Entry {
  load: ServiceLoad
  text: string
  from: string
  askedAt: number
}

const isOlder = (load: ServiceLoad, known: ServiceLoad): boolean =>
  load.term < known.term || (load.term === known.term && load.sequence <= known.sequence)

/** Creates the record without any loads. */
export function createLatestLoads(): LatestLoads {
  const entries = new Map<string, Entry>()
  return {
    note(service, text, from, askedAt) {
      const known = entries.get(service)
      if (known?.text === text) return
      const parsed = serviceLoadSchema.safeParse(parseJson(text))
      if (!parsed.success || (known && isOlder(parsed.data, known.load))) return
      entries.set(service, { load: parsed.data, text, from, askedAt })
    },
    get(service, owner, now) {
      const known = entries.get(service)
      if (!known || known.from !== owner) return undefined
      return { load: known.load, ageMs: now - known.askedAt }
    },
  }
}
