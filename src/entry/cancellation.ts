/**
 * A lightweight replacement for `AbortSignal` on the request path, where a signal fired at
 * the end of every request takes a tenth of the entry's CPU time (docs/measurements.md).
 */

/** Tells whether a request is cancelled, and calls back when it is. */
export interface Cancellation {
  readonly cancelled: boolean
  /**
   * Calls back on cancellation, at once if already cancelled. Returns an unsubscriber.
   */
  subscribe(listener: () => void): () => void
}

/** A cancellation that its holder can trigger. */
export interface CancellationSource extends Cancellation {
  cancel(): void
}

/** Creates a source that is not yet cancelled. */
export function createCancellation(): CancellationSource {
  let listeners: (() => void)[] | undefined
  const source = {
    cancelled: false,
    subscribe(listener: () => void) {
      if (source.cancelled) {
        listener()
        return noop
      }
      listeners ??= []
      listeners.push(listener)
      return () => {
        const at = listeners?.indexOf(listener) ?? -1
        if (at >= 0) listeners?.splice(at, 1)
      }
    },
    cancel() {
      if (source.cancelled) return
      source.cancelled = true
      const called = listeners
      listeners = undefined
      for (const listener of called ?? []) listener()
    },
  }
  return source
}

const noop = () => {}
