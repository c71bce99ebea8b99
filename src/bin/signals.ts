/**
 * Signals of the platform, kept from the first moment of the process on. Without a handler
 * a signal ends the process: while the code of a node was loaded, 0.3 s and more on a weak
 * VM, one SIGHUP did (5 to 300 ms after the start, tried at ten moments). What comes
 * before somebody can act on it is handed over later. Until Node.js itself has started
 * (0.17 s, `node -e 0` on a busy machine) a signal still ends the process.
 */

/** Signals that the platform sends. */
export type PlatformSignal = 'SIGHUP' | 'SIGTERM'

/** Signals by what they ask for. */
export interface Signals {
  /** Calls the handler for each signal from now on, and once if one has come already. */
  handle(signal: PlatformSignal, handler: () => void): void
}

const SIGNALS: readonly PlatformSignal[] = ['SIGHUP', 'SIGTERM']

/** Found by the code that is loaded later, which is a bundle of its own. */
const SIGNALS_KEY = Symbol.for('rillshunt.signals')

/** Holds signals from now on; the second call returns what the first one made. */
export function holdSignals(): Signals {
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
