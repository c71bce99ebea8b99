/**
 * A cheap stand-in for `AbortSignal` on the path of requests: a signal that fires at the
 * end of every request made a tenth of the entry's processor time (docs/measurements.md).
 */

/** Tells whether a request is given up, and calls back when it is. */
export interface Cancellation {
  readonly cancelled: boolean
  /** Calls back on cancellation; at once when it has happened. Returns how to end this. */
  subscribe(listener: () => void): () => void
}

/** The side that cancels. */
export interface CancellationSource extends Cancellation {
  cancel(): void
}

/** Creates a source that is not cancelled. */
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
