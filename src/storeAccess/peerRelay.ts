/**
 * Finds a peer that reaches the store, and has it make calls for this node. One peer
 * serves until it fails; while none is known, calls fail fast instead of trying each.
 */
import { describeError, monotonicMs, parseJson, sleep } from '../shared/index.js'
import type { Logger } from '../shared/index.js'
import {
  FIND_PAUSE_MAX_MS,
  FIND_PAUSE_MS,
  FIND_STEP_MS,
  FIND_TIMEOUT_MS,
  FIND_WAIT_MS,
  RELAY_TIMEOUT_MS,
} from './constants.js'
import type { StoreAccess, StoreRelay } from './storeAccess.js'
import {
  PROBE,
  decodeAnswer,
  encodeAnswer,
  failedAnswer,
  storeCallSchema,
} from './storeCall.js'
import type { StoreAnswer, StoreCall } from './storeCall.js'

/** Names the relay in errors. */
const STEP = 'store.relay'

/** What the relay needs of the other nodes. */
export interface PeerRelayOptions {
  /** Addresses of nodes that may help, the best ones first. */
  peers(): string[]
  /** Sends a call, as text, to a peer and brings its answer; rejects when that fails. */
  send(address: string, call: string, timeoutMs: number): Promise<string>
  log: Logger
}

/** Creates the relay of one node; it looks for a peer when it is first needed. */
export function createPeerRelay(opts: PeerRelayOptions): StoreRelay {
  const { log } = opts
  /** Address of the peer that serves now. */
  let chosen: string | undefined
  let search: Promise<void> | undefined
  let searchedAt = -Infinity
  /** Time to the next search; longer after each that found nobody. */
  let pauseMs = FIND_PAUSE_MS

  async function ask(
    address: string,
    call: StoreCall,
    timeoutMs: number,
  ): Promise<StoreAnswer> {
    const place = { step: STEP, peer: address }
    try {
      const text = await opts.send(address, JSON.stringify(call), timeoutMs)
      return decodeAnswer(parseJson(text), place)
    } catch (cause) {
      return failedAnswer('unknown', describeError(cause), place)
    }
  }

  /** Takes the first peer that shows that it reaches the store. */
  async function find(): Promise<void> {
    searchedAt = monotonicMs()
    await Promise.all(
      opts.peers().map(async (address) => {
        const answer = await ask(address, PROBE, FIND_TIMEOUT_MS)
        if (answer.isErr() || chosen !== undefined) return
        chosen = address
        pauseMs = FIND_PAUSE_MS
        log.event('storePeerFound', { peer: address })
      }),
    )
    if (chosen === undefined) pauseMs = Math.min(2 * pauseMs, FIND_PAUSE_MAX_MS)
  }

  const isSearching = (): boolean => chosen === undefined && search !== undefined

  /** Resolves once a peer is known, or after a short wait. */
  async function ensurePeer(): Promise<void> {
    if (chosen !== undefined) return
    if (!search && monotonicMs() - searchedAt > pauseMs) {
      search = find().finally(() => (search = undefined))
    }
    const endsAt = monotonicMs() + FIND_WAIT_MS
    while (isSearching() && monotonicMs() < endsAt) await sleep(FIND_STEP_MS)
  }

  return async (call) => {
    await ensurePeer()
    const address = chosen
    if (address === undefined) return undefined
    const answer = await ask(address, call, RELAY_TIMEOUT_MS)
    if (answer.isErr() && answer.error.failure !== 'compacted' && chosen === address) {
      chosen = undefined
      log.event('storePeerLost', { peer: address, reason: describeError(answer.error) })
    }
    return answer
  }
}

/** The other side of the relay: makes a peer's call, given as text, and answers as text. */
export async function answerPeerCall(access: StoreAccess, text: string): Promise<string> {
  const call = storeCallSchema.safeParse(parseJson(text))
  if (call.success) return encodeAnswer(await access.callForPeer(call.data))
  const place = { step: STEP, peer: 'peer' }
  return encodeAnswer(failedAnswer('refused', 'the call has the wrong shape', place))
}
