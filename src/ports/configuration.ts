/** The configuration that the operators accept, as the product sees it. */

/** A queue that callers hand jobs to. */
export interface Queue {
  name: string
  host: string
  pathPrefix: string
  service: string
  /** 0 comes first. */
  priority: number
  /** Failed runs of a task after which its job fails. */
  maxAttempts: number
  /** Objective of a job: `stretch` times its longest chain plus `latencyMs`. */
  stretch: number
  latencyMs: number
  /** Time limits of the advice service; undefined where the queue has no policy. */
  advice: { decideMs: number; eachMs: number; validMs: number } | undefined
}

/** A pool of VMs that run the tasks of its queues. */
export interface ServicePool {
  name: string
  /** Whether its targets reject what does not fit. */
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
  /** What of it could not be read and is left out, one message each. */
  unread: string[]
}

/** A wave of maintenance: each VM once, at most `maxDown` at a time. */
export interface Wave {
  id: number
  vms: string[]
  durationMs: number
  maxDown: number
}
