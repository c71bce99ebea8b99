/** The configuration that operators accept, in internal types. */
import type { Resources } from './targetOrders.js'

/** A queue to which callers submit jobs. */
export interface Queue {
  name: string
  host: string
  pathPrefix: string
  service: string
  /** 0 is the highest priority. */
  priority: number
  /** Number of failed runs of a task after which its job fails. */
  maxAttempts: number
  /** Latency objective of a job: `stretch` times its longest chain plus `latencyMs`. */
  stretch: number
  latencyMs: number
  /** Whether callers need no key; has no effect where there are no organisations. */
  public?: boolean
  /** Time limits of the advice service; undefined when the queue has no advice policy. */
  advice: { decideMs: number; eachMs: number; validMs: number } | undefined
}

/** A pool of VMs that run the tasks of its queues. */
export interface ServicePool {
  name: string
  /** Whether its targets reject tasks that exceed their capacity. */
  guardsCapacity: boolean
  /** Whether it holds idle VMs that are switched off. */
  spare: boolean
  /** Time for which its targets are slow after their start, in ms; 0 or undefined if unknown. */
  coldStartMs?: number
  /** Starts per second that a cold target takes; 0 or undefined for no limit. */
  coldPerSecond?: number
}

/** A customer of the operators, whose callers authenticate with its keys. */
export interface Organisation {
  name: string
  /** Digests of its keys, by `digestKey`; the keys themselves are not kept. */
  keyDigests: string[]
  /** Its share relative to the others when there is not enough room for all. */
  weight: number
  /** Most that its tasks may use at the same time on all targets; 0 for no limit. */
  maximum: Resources
}

/** One accepted configuration. */
export interface Configuration {
  version: number
  queues: Queue[]
  services: Map<string, ServicePool>
  /** By name; undefined where callers need no keys. */
  organisations?: Map<string, Organisation>
  /**
   * Organisations that this configuration lacks, according to the newest earlier one that names
   * them. Their jobs go on; their keys are not accepted.
   */
  formerOrganisations?: Map<string, Organisation>
  limits: { headerBytes: number; bodyBytes: number; headerMs: number; idleMs: number }
  /** One message for each invalid part, which is left out. */
  invalidParts: string[]
  /** Whether an organisation is among the invalid parts, so that not all keys are known. */
  lacksOrganisations?: boolean
}

/** A maintenance wave: maintains each VM once, at most `maxDown` at a time. */
export interface Wave {
  id: number
  vms: string[]
  durationMs: number
  maxDown: number
}
