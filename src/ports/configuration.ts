/** The configuration that operators accept, in internal types. */

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
}

/** One accepted configuration. */
export interface Configuration {
  version: number
  queues: Queue[]
  services: Map<string, ServicePool>
  limits: { headerBytes: number; bodyBytes: number; headerMs: number; idleMs: number }
  /** One message for each invalid part, which is left out. */
  invalidParts: string[]
}

/** A maintenance wave: maintains each VM once, at most `maxDown` at a time. */
export interface Wave {
  id: number
  vms: string[]
  durationMs: number
  maxDown: number
}
