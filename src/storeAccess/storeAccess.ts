/**
 * The store as a node uses it. A store that turns only this node away, or cannot be
 * reached from here, is called through a peer, which makes the same call. Only what has
 * taken no effect for certain is passed on, so no call is ever made twice.
 */
import type { ObservedRowStore, RowStore, StoreResult } from '../ports/index.js'
import { sleep } from '../shared/index.js'
import type { Logger } from '../shared/index.js'
import { createCircuitBreaker } from './circuitBreaker.js'
import { createCommitTimeout } from './commitTimeout.js'
import { RELAYED_POLL_MS } from './constants.js'
import { makeStoreCall } from './storeCall.js'
import type { StoreAnswer, StoreCall } from './storeCall.js'

/** Makes a call of the store through a peer; undefined when none can help now. */
export type StoreRelay = (call: StoreCall) => Promise<StoreAnswer | undefined>

/** Access of one node to the store. */
export interface StoreAccess {
  /** The store for this node's own use. */
  store: RowStore
  /** Makes a call for a peer; it is not passed on to another one. */
  callForPeer(call: StoreCall): Promise<StoreAnswer>
  /** Says how to reach the store through peers, once peers can be known. */
  relayThrough(relay: StoreRelay): void
  stop(): void
}

/** Creates the access; until a relay is given, calls go to the store only. */
export function createStoreAccess(opts: {
  direct: RowStore & Partial<ObservedRowStore>
  log: Logger
  silentMs?: number
  probeMs?: number
}): StoreAccess {
  const { direct, log } = opts
  const breaker = createCircuitBreaker({ ...opts, store: direct })
  direct.onBytes?.(breaker.noteBytes)
  const withCommitTimeout = createCommitTimeout()
  let relay: StoreRelay | undefined
  let isRelaying = false

  const noteRelaying = (relays: boolean, reason: string): void => {
    if (relays !== isRelaying)
      log.event(relays ? 'storeRelayed' : 'storeDirect', { reason })
    isRelaying = relays
  }

  /** Whether the call has taken no effect and a peer may get through with it. */
  const isWorthRelaying = (call: StoreCall, answer: StoreAnswer): boolean => {
    if (answer.isOk() || answer.error.failure === 'compacted') return false
    return call.method !== 'commit' || answer.error.failure !== 'unknown'
  }

  async function run(call: StoreCall, waitMs: number): Promise<StoreAnswer> {
    const answer = await breaker.run(() => makeStoreCall(direct, call, waitMs), waitMs)
    if (answer.isOk()) noteRelaying(false, 'the store answers this node')
    if (!relay || !isWorthRelaying(call, answer)) return answer
    if (waitMs > 0) await sleep(Math.min(waitMs, RELAYED_POLL_MS))
    const relayed = await relay(call)
    if (!relayed) return answer
    if (relayed.isOk()) noteRelaying(true, answer.isErr() ? answer.error.message : '')
    return relayed
  }

  /** The same with the type of the call's answer, which the caller must know. */
  const runAs = <T>(call: StoreCall, waitMs = 0): StoreResult<T> =>
    run(call, waitMs) as StoreResult<T>

  return {
    store: {
      commit: (tx) => withCommitTimeout(() => runAs({ method: 'commit', tx })),
      read: (table, part, range) => runAs({ method: 'read', table, part, range }),
      parts: (table) => runAs({ method: 'parts', table }),
      changes: (table, after, waitMs) =>
        runAs({ method: 'changes', table, after }, waitMs),
    },
    // It does not wait for changes: a peer's connection is not held up.
    callForPeer: (call) => breaker.run(() => makeStoreCall(direct, call, 0)),
    relayThrough: (given) => void (relay = given),
    stop: () => breaker.stop(),
  }
}
