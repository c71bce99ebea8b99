/** Tells callers when the owner of their jobs will have memory for them. */
import { openJobBytes } from '../jobs/index.js'
import type { JobSpec } from '../jobs/index.js'
import { monotonicMs } from '../shared/index.js'
import type { JobRoom } from './ownerCalls.js'
import { RETRY_AFTER_MS } from './storedJobs.js'

/** Longest time that a caller is told to wait, in ms. */
const MAX_WAIT_MS = 60_000
/** The time told while no memory has become free lately, in ms. */
const UNKNOWN_WAIT_MS = 10_000

/** Memory that callers have been told to come back for. */
interface Promised {
  bytes: number
  /** Monotonic time of the last change, in ms. */
  at: number
}

/** Waits of callers for memory, by service. */
export interface RoomWait {
  /**
   * Time until the owner is expected to have memory for a job, in ms; undefined if it has now. Each
   * caller is told to come back after those before it.
   */
  msFor(job: JobSpec, room: JobRoom): number | undefined
}

/** Creates the waits; nobody waits at first. */
export function createRoomWait(): RoomWait {
  const promised = new Map<string, Promised>()

  /** Bytes promised to earlier callers that have not become free since. */
  function bytesAhead(service: string, freedPerSecond: number): number {
    const { bytes, at } = promised.get(service) ?? { bytes: 0, at: 0 }
    return Math.max(0, bytes - ((monotonicMs() - at) / 1000) * freedPerSecond)
  }

  return {
    msFor(job, { freeBytes, freedPerSecond }) {
      const bytes = openJobBytes(job)
      if (bytes <= freeBytes) return undefined
      if (freedPerSecond <= 0) return UNKNOWN_WAIT_MS
      const ahead = bytesAhead(job.service, freedPerSecond)
      promised.set(job.service, { bytes: ahead + bytes, at: monotonicMs() })
      const missing = ahead + bytes - Math.max(0, freeBytes)
      const waitMs = Math.ceil((missing / freedPerSecond) * 1000)
      return Math.min(MAX_WAIT_MS, Math.max(RETRY_AFTER_MS, waitMs))
    },
  }
}
