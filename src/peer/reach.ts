/** Whether a peer is reached: it has spoken, and has not been silent for too long since. */
import { watchSilence } from '../shared/index.js'
import type { SilenceWatch } from '../shared/index.js'

/** What is known of a peer's silence. */
export interface Reach {
  /** The peer has spoken. */
  heard(): void
  isReached(): boolean
  /** Ends the watch; the peer counts as not reached from then on. */
  stop(): void
}

/**
 * Creates the watch over one peer, which is not reached until it has spoken.
 * @param ms silence that is borne, in which only time counts that this process could hear.
 */
export function createReach(ms: number): Reach {
  let watch: SilenceWatch | undefined
  let stopped = false
  return {
    heard() {
      if (stopped) return
      if (watch) watch.heard()
      else watch = watchSilence(ms, () => (watch = undefined))
    },
    isReached: () => watch !== undefined,
    stop() {
      stopped = true
      watch?.stop()
      watch = undefined
    },
  }
}
