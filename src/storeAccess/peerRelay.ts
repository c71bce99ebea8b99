/**
 * Finds a peer that reaches the store, and has it make calls for this node. One peer
 * serves until it fails; while none is known, calls fail fast instead of trying each.
 */
import { describeError, monotonicMs, parseJson, sleep } from '../shared/index.js'
import type { Logger } from '../shared/index.js'
import {
  PEER_SEARCH_PAUSE_MAX_MS,
  PEER_SEARCH_PAUSE_MS,
  PEER_SEARCH_POLL_MS,
  PEER_PROBE_TIMEOUT_MS,
  PEER_SEARCH_WAIT_MS,
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
  let currentPeer: string | undefined
  let search: Promise<void> | undefined
  let searchedAt = -Infinity
  /** Time to the next search; longer after each that found nobody. */
  let pauseMs = PEER_SEARCH_PAUSE_MS

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
  async function findPeer(): Promise<void> {
    searchedAt = monotonicMs()
    await Promise.all(
      opts.peers().map(async (address) => {
        const answer = await ask(address, PROBE, PEER_PROBE_TIMEOUT_MS)
        if (answer.isErr() || currentPeer !== undefined) return
        currentPeer = address
        pauseMs = PEER_SEARCH_PAUSE_MS
        log.event('storePeerFound', { peer: address })
      }),
    )
    if (currentPeer === undefined)
      pauseMs = Math.min(2 * pauseMs, PEER_SEARCH_PAUSE_MAX_MS)
  }

  const isSearching = (): boolean => currentPeer === undefined && search !== undefined

  /** Resolves once a peer is known, or after a short wait. */
  async function ensurePeer(): Promise<void> {
    if (currentPeer !== undefined) return
    if (!search && monotonicMs() - searchedAt > pauseMs) {
      search = findPeer().finally(() => (search = undefined))
    }
    const endsAt = monotonicMs() + PEER_SEARCH_WAIT_MS
    while (isSearching() && monotonicMs() < endsAt) await sleep(PEER_SEARCH_POLL_MS)
  }

  return async (call) => {
    await ensurePeer()
    const address = currentPeer
    if (address === undefined) return undefined
    const answer = await ask(address, call, RELAY_TIMEOUT_MS)
    if (
      answer.isErr() &&
      answer.error.failure !== 'compacted' &&
      currentPeer === address
    ) {
      currentPeer = undefined
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
