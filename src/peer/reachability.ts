/** Whether a peer is reached: it has spoken, and has not been silent for too long since. */
import { watchSilence } from '../shared/index.js'
import type { SilenceWatch } from '../shared/index.js'

/** What is known of a peer's silence. */
export interface Reachability {
  /** The peer has spoken. */
  noteMessage(): void
  isReached(): boolean
  /** Ends the watch; the peer counts as not reached from then on. */
  stop(): void
}

/**
 * Creates the watch over one peer, which is not reached until it has spoken.
 * @param timeoutMs silence that is borne, in which only time counts that this process could hear.
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
