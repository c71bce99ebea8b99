/** Tracks whether a peer is reached: whether its last message is recent enough. */
import { watchSilence } from '../shared/index.js'
import type { SilenceWatch } from '../shared/index.js'

/** Reachability of one peer. */
export interface Reachability {
  /** Records that a message of the peer has arrived. */
  noteMessage(): void
  isReached(): boolean
  /** Stops tracking; the peer counts as not reached from then on. */
  stop(): void
}

/**
 * Starts tracking one peer, which counts as not reached until its first message.
 * @param timeoutMs longest silence of a reached peer; time in which this process could
 *   not read does not count.
 */
export function createReachability(timeoutMs: number): Reachability {
  let watch: SilenceWatch | undefined
  let stopped = false
  return {
    noteMessage() {
      if (stopped) return
      if (watch) watch.heard()
      else watch = watchSilence(timeoutMs, () => (watch = undefined))
    },
    isReached: () => watch !== undefined,
    stop() {
      stopped = true
      watch?.stop()
      watch = undefined
    },
  }
}
