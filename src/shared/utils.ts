/** Small general helpers. Keep this file short. */
import { setMaxListeners } from 'node:events'

/** Creates a controller whose signal may have any number of listeners. */
export function createStopController(): AbortController {
  const controller = new AbortController()
  setMaxListeners(0, controller.signal)
  return controller
}

/** Resolves after `ms` milliseconds, or immediately when the signal fires. Never rejects. */
export function sleep(ms: number, signal?: AbortSignal): Promise<void> {
  return new Promise((resolve) => {
    if (signal?.aborted) return resolve()
    const done = () => {
      clearTimeout(timer)
      signal?.removeEventListener('abort', done)
      resolve()
    }
    const timer = setTimeout(done, ms)
    signal?.addEventListener('abort', done)
  })
}

/** Resolves at a monotonic time, in ms; immediately when it is past or the signal fires. */
export async function sleepUntil(at: number, signal?: AbortSignal): Promise<void> {
  const leftMs = at - monotonicMs()
  if (leftMs > 0) await sleep(leftMs, signal)
}

/** Milliseconds on the monotonic clock; unrelated to the time of day. */
export function monotonicMs(): number {
  return performance.now()
}

/**
 * Returns a random delay for retries with full jitter, uniform from 0 to `baseMs` doubled per
 * attempt, at most `capMs`.
 */
export function fullJitter(attempt: number, baseMs: number, capMs: number): number {
  const ceiling = Math.min(capMs, baseMs * 2 ** Math.min(attempt, 20))
  return Math.random() * ceiling
}

/** Encodes JSON with sorted object keys, so that equal values give equal text. */
export function canonicalJson(value: unknown): string {
  return JSON.stringify(value, (_key, inner: unknown) => {
    if (inner === null || typeof inner !== 'object' || Array.isArray(inner)) return inner
    const entries = Object.entries(inner).sort(([a], [b]) => (a < b ? -1 : 1))
    return Object.fromEntries(entries)
  })
}

/** Groups items by a key, in the order of their first appearance. */
export function groupBy<T, K>(items: Iterable<T>, keyOf: (item: T) => K): Map<K, T[]> {
  const groups = new Map<K, T[]>()
  for (const item of items) {
    const key = keyOf(item)
    const group = groups.get(key)
    if (group) group.push(item)
    else groups.set(key, [item])
  }
  return groups
}

/** Share of an interval over which {@link jittered} spreads it. */
const JITTER_SHARE = 0.2

/** Varies an interval at random by up to a tenth, so that processes do not run in step. */
export function jittered(ms: number): number {
  return ms * (1 - JITTER_SHARE / 2 + Math.random() * JITTER_SHARE)
}

/** Parses JSON; undefined when it is invalid, which the following schema check reports. */
export function parseJson(text: string): unknown {
  try {
    return JSON.parse(text)
  } catch {
    return undefined
  }
}

/** Returns the text; a longer one is cut to `maxLength`, followed by its original length. */
export function cutText(text: string, maxLength: number): string {
  if (text.length <= maxLength) return text
  return `${text.slice(0, maxLength)}… (${text.length} characters)`
}
