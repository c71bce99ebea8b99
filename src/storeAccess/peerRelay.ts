/**
 * Relays store calls through a peer that reaches the store. One peer is used until a call to it
 * fails. While no peer is known, calls fail after a short wait instead of trying every peer.
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
  createProbes,
  decodeAnswer,
  encodeAnswer,
  failedAnswer,
  storeCallSchema,
} from './storeCall.js'
import type { StoreAnswer, StoreCall } from './storeCall.js'

/** Name of the relay in errors. */
const STEP = 'store.relay'

/** Access of the relay to the other nodes. */
export interface PeerRelayOptions {
  /** Addresses of the nodes to ask in a search. */
  peers(): string[]
  /** Sends an encoded call to a peer and resolves with its encoded answer; rejects on failure. */
  send(address: string, call: string, timeoutMs: number): Promise<string>
  log: Logger
}

/** Creates the relay of one node; the first call starts the search for a peer. */
export function createPeerRelay(opts: PeerRelayOptions): StoreRelay {
  const { log } = opts
  const nextProbe = createProbes()
  /** Address of the peer in use; undefined if none is known. */
  let currentPeer: string | undefined
  let search: Promise<void> | undefined
  let searchedAt = -Infinity
  /** Time until the next search may start, in ms; doubled after each search without a result. */
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

  /** Probes the store through several peers and selects the first that succeeds. */
  async function findPeer(): Promise<void> {
    searchedAt = monotonicMs()
    await Promise.all(
      opts.peers().map(async (address) => {
        const answer = await ask(address, nextProbe(), PEER_PROBE_TIMEOUT_MS)
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

  /** Resolves once a peer is known, the search has ended, or `PEER_SEARCH_WAIT_MS` have passed. */
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
      answer.error.failure !== 'rejected' &&
      currentPeer === address
    ) {
      currentPeer = undefined
      log.event('storePeerLost', { peer: address, reason: describeError(answer.error) })
    }
    return answer
  }
}

/** Makes an encoded call on behalf of a peer, and returns the encoded answer. */
export async function answerPeerCall(access: StoreAccess, text: string): Promise<string> {
  const call = storeCallSchema.safeParse(parseJson(text))
  if (call.success) return encodeAnswer(await access.callForPeer(call.data))
  const place = { step: STEP, peer: 'peer' }
  return encodeAnswer(failedAnswer('refused', 'the call has the wrong shape', place))
}
