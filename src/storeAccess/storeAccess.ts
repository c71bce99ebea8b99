/**
 * The store as a node uses it. If the store refuses this node, or cannot be reached from it, a
 * peer makes the call instead. A commit is relayed only if the direct one certainly had no effect,
 * so that no commit is made twice.
 */
import type { Result } from 'neverthrow'
import type {
  ObservedRowStore,
  RowCommit,
  RowStore,
  RowTransaction,
  StoreResult,
} from '../ports/index.js'
import { monotonicMs, sleep } from '../shared/index.js'
import type { Logger, PlatformError, PlatformFailure } from '../shared/index.js'
import { createCircuitBreaker, isBroken } from './circuitBreaker.js'
import { createCommitTimeout } from './commitTimeout.js'
import { RELAYED_POLL_MS } from './constants.js'
import { createPartBreaker } from './partBreaker.js'
import {
  STORE_PLACE,
  failedAnswer,
  isAnswered,
  makeStoreCall,
  partOf,
  probeOf,
} from './storeCall.js'
import type { StoreAnswer, StoreCall } from './storeCall.js'
import { describeExcess, describeTransaction, limitsOf } from './transactions.js'

/** Answer to a call that is not sent because its part of the store is down. */
const PART_DOWN = failedAnswer('unreachable', 'not sent: a part is down', STORE_PLACE)

/** Failures that a peer would be answered as well. */
const FINAL_FAILURES: ReadonlySet<PlatformFailure> = new Set(['compacted', 'rejected'])

/** Makes a store call through a peer; undefined if no peer is known to reach the store. */
export type StoreRelay = (call: StoreCall) => Promise<StoreAnswer | undefined>

/** Access of one node to the store. */
export interface StoreAccess {
  /** The store for this node's own calls. */
  store: RowStore
  /** Makes a call on behalf of a peer; it is not relayed further. */
  callForPeer(call: StoreCall): Promise<StoreAnswer>
  /** Sets the relay to use when the store cannot be called directly. */
  setRelay(relay: StoreRelay): void
  stop(): void
}

/** Creates the access; without a relay, calls only go to the store directly. */
export function createStoreAccess(opts: {
  direct: RowStore & Partial<ObservedRowStore>
  log: Logger
  silentMs?: number
  probeMs?: number
}): StoreAccess {
  const { direct, log } = opts
  const breaker = createCircuitBreaker({ ...opts, store: direct })
  direct.onBytes?.(breaker.noteBytes)
  const parts = createPartBreaker({
    ...opts,
    probe: async (part) => isAnswered(await makeStoreCall(direct, probeOf(part), 0)),
  })
  const withCommitTimeout = createCommitTimeout()
  const limits = limitsOf(direct)
  let relay: StoreRelay | undefined
  let isRelaying = false

  const noteRelaying = (relays: boolean, reason: string): void => {
    if (relays !== isRelaying)
      log.event(relays ? 'storeRelayed' : 'storeDirect', { reason })
    isRelaying = relays
  }

  /** Whether the call had no effect, or is a read, and a peer may succeed with it. */
  const isWorthRelaying = (call: StoreCall, answer: StoreAnswer): boolean => {
    if (answer.isOk() || FINAL_FAILURES.has(answer.error.failure)) return false
    return call.method !== 'commit' || answer.error.failure !== 'unknown'
  }

  /** Makes a call directly; undefined if it is not sent because its part is down. */
  async function callDirect(
    call: StoreCall,
    waitMs: number,
  ): Promise<StoreAnswer | undefined> {
    const part = partOf(call)
    if (part !== undefined && !breaker.isOpen() && !(await parts.admit(part)))
      return undefined
    const sentAt = monotonicMs()
    const send = (): Promise<StoreAnswer> => makeStoreCall(direct, call, waitMs)
    const answer = await breaker.run(send, waitMs, part)
    if (part === undefined) return answer
    if (isAnswered(answer)) parts.noteAnswer(part, sentAt)
    // A store that is down as a whole says nothing about the part.
    else if (isBroken(answer) && !breaker.isOpen()) parts.noteLost(part, sentAt)
    return answer
  }

  async function run(call: StoreCall, waitMs: number): Promise<StoreAnswer> {
    const answer = await callDirect(call, waitMs)
    // The other parts answer this node, so that its peers do not reach this one either.
    if (!answer) return PART_DOWN
    if (answer.isOk()) noteRelaying(false, 'the store answers this node')
    if (!relay || !isWorthRelaying(call, answer)) return answer
    if (waitMs > 0) await sleep(Math.min(waitMs, RELAYED_POLL_MS))
    const relayed = await relay(call)
    if (!relayed) return answer
    if (relayed.isOk()) noteRelaying(true, answer.isErr() ? answer.error.message : '')
    return relayed
  }

  /** Runs a call; `T` must be the type of its answer. */
  const runAs = <T>(call: StoreCall, waitMs = 0): StoreResult<T> =>
    run(call, waitMs) as StoreResult<T>

  /** Commits within the limits of the store. What it refuses for good is logged here alone. */
  async function commit(tx: RowTransaction): StoreResult<RowCommit> {
    const excess = describeExcess(tx, limits)
    const answer: Result<RowCommit, PlatformError> =
      excess === undefined
        ? await withCommitTimeout(() => runAs({ method: 'commit', tx }))
        : failedAnswer('rejected', excess, STORE_PLACE)
    if (answer.isErr() && answer.error.failure === 'rejected')
      log.event('writeRejected', {
        ...describeTransaction(tx),
        reason: answer.error.message,
      })
    return answer
  }

  return {
    store: {
      limits,
      commit,
      read: (table, part, range) => runAs({ method: 'read', table, part, range }),
      parts: (table) => runAs({ method: 'parts', table }),
      changes: (table, after, waitMs) =>
        runAs({ method: 'changes', table, after }, waitMs),
    },
    // Does not wait for changes, which would block the connection of the peer.
    callForPeer: async (call) => (await callDirect(call, 0)) ?? PART_DOWN,
    setRelay: (given) => void (relay = given),
    stop: () => breaker.stop(),
  }
}
