/** Small helpers without a better home. Keep this file short. */
import { setMaxListeners } from 'node:events'

/** A controller whose signal many tasks may wait on. */
export function createStopController(): AbortController {
  const controller = new AbortController()
  setMaxListeners(0, controller.signal)
  return controller
}

/** Resolves after `ms` milliseconds, or at once when the signal fires. Never rejects. */
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

/** Resolves at the steady time, in ms; at once where that is past, or when the signal fires. */
export async function sleepUntil(at: number, signal?: AbortSignal): Promise<void> {
  const leftMs = at - monotonicMs()
  if (leftMs > 0) await sleep(leftMs, signal)
}

/** Milliseconds on the monotonic clock; unrelated to the time of day. */
export function monotonicMs(): number {
  return performance.now()
}

/** A delay drawn evenly from 0 to `capMs` doubled per attempt, for retries with full jitter. */
export function fullJitter(attempt: number, baseMs: number, capMs: number): number {
  const ceiling = Math.min(capMs, baseMs * 2 ** Math.min(attempt, 20))
  return Math.random() * ceiling
}

/** JSON with object keys in sorted order, so that equal values give equal text. */
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

/** Part of an interval by which {@link jittered} spreads it. */
const JITTER_SHARE = 0.2

/** The interval, a tenth shorter or longer at random, so that processes do not march in step. */
export function jittered(ms: number): number {
  return ms * (1 - JITTER_SHARE / 2 + Math.random() * JITTER_SHARE)
}

/** Parsed JSON, or undefined: the schema check that follows reports it as misshapen. */
export function parseJson(text: string): unknown {
  try {
    return JSON.parse(text)
  } catch {
    return undefined
  }
}

/** The text, or its beginning and its whole length when it is longer than that. */
export function cutText(text: string, maxLength: number): string {
  if (text.length <= maxLength) return text
  return `${text.slice(0, maxLength)}… (${text.length} characters)`
}
