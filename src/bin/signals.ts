/**
 * Buffers signals of the platform until a handler is registered. A signal without a
 * handler ends the process. Loading the code of a node takes 0.3 s or more on a weak VM;
 * without the buffer, a SIGHUP 5 to 300 ms after the start ends the process. Until Node.js
 * itself has started (0.17 s for `node -e 0` on a busy machine), a signal still ends it.
 */

/** Signals that the platform sends. */
export type PlatformSignal = 'SIGHUP' | 'SIGTERM'

/** Registers handlers for buffered signals. */
export interface Signals {
  /** Calls the handler for each signal from now on, and once if one has arrived before. */
  handle(signal: PlatformSignal, handler: () => void): void
}

const SIGNALS: readonly PlatformSignal[] = ['SIGHUP', 'SIGTERM']

/** A global key, because the code loaded later is a bundle with its own copy of this file. */
const SIGNALS_KEY = Symbol.for('rillshunt.signals')

/** Buffers signals from now on; later calls return the same buffer. */
export function bufferSignals(): Signals {
  const globals = globalThis as { [SIGNALS_KEY]?: Signals }
  return (globals[SIGNALS_KEY] ??= createSignalBuffer())
}

function createSignalBuffer(): Signals {
  const handlers = new Map<PlatformSignal, () => void>()
  const pending = new Set<PlatformSignal>()
  for (const signal of SIGNALS) {
    process.on(signal, () => {
      const handler = handlers.get(signal)
      if (handler) handler()
      else pending.add(signal)
    })
  }
  return {
    handle(signal, handler) {
      handlers.set(signal, handler)
      if (pending.delete(signal)) handler()
    },
  }
}
