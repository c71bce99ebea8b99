/**
 * Finds a peer that reaches the store, and has it make calls for this node. One peer
 * serves until it fails; while none is known, calls fail fast instead of trying each.
 */
import { err } from 'neverthrow'
import {
  PlatformError,
  describeError,
  monotonicMs,
  parseJson,
  sleep,
} from '../shared/index.js'
import type { Logger } from '../shared/index.js'
import {
  FIND_PAUSE_MS,
  FIND_STEP_MS,
  FIND_TIMEOUT_MS,
  FIND_WAIT_MS,
  RELAY_TIMEOUT_MS,
} from './constants.js'
import type { StoreRelay } from './storeAccess.js'
import { decodeAnswer, encodeAnswer, storeCallSchema } from './storeCall.js'
import type { StoreAnswer, StoreCall } from './storeCall.js'
import type { StoreAccess } from './storeAccess.js'

/** A call that shows whether a peer reaches the store. */
const PROBE: StoreCall = { method: 'read', table: 'probe', part: '' }

/** What the relay needs of the other nodes. */
export interface PeerRelayOptions {
  /** Addresses of nodes that may help, the best ones first. */
  peers(): string[]
  /** Sends a call, as text, to a peer and brings its answer; rejects when that fails. */
  send(address: string, call: string, timeoutMs: number): Promise<string>
  log: Logger
}

/** Creates the relay; it looks for a peer when it is first needed. */
export function createPeerRelay(opts: PeerRelayOptions): StoreRelay {
  const { log } = opts
  let via: string | undefined
  let finding: Promise<void> | undefined
  let soughtAt = -Infinity

  async function ask(
    address: string,
    call: StoreCall,
    timeoutMs: number,
  ): Promise<StoreAnswer> {
    try {
      const text = await opts.send(address, JSON.stringify(call), timeoutMs)
      return decodeAnswer(parseJson(text), address)
    } catch (cause) {
      const props = { step: 'store.relay', peer: address, failure: 'unknown' as const }
      return err(new PlatformError(describeError(cause), { props }))
    }
  }

  /** Takes the first peer that shows that it reaches the store. */
  async function find(): Promise<void> {
    soughtAt = monotonicMs()
    await Promise.all(
      opts.peers().map(async (address) => {
        const answer = await ask(address, PROBE, FIND_TIMEOUT_MS)
        if (answer.isErr() || via !== undefined) return
        via = address
        log.event('storePeerFound', { peer: address })
      }),
    )
  }

  const isFinding = (): boolean => via === undefined && finding !== undefined

  /** Resolves once a peer is known, or after a short wait. */
  async function ensurePeer(): Promise<void> {
    if (via !== undefined) return
    if (!finding && monotonicMs() - soughtAt > FIND_PAUSE_MS) {
      finding = find().finally(() => (finding = undefined))
    }
    const endsAt = monotonicMs() + FIND_WAIT_MS
    while (isFinding() && monotonicMs() < endsAt) await sleep(FIND_STEP_MS)
  }

  return async (call) => {
    await ensurePeer()
    const address = via
    if (address === undefined) return undefined
    const answer = await ask(address, call, RELAY_TIMEOUT_MS)
    if (answer.isErr() && answer.error.failure !== 'compacted' && via === address) {
      via = undefined
      log.event('storePeerLost', { peer: address, reason: describeError(answer.error) })
    }
    return answer
  }
}

/** Answers a peer's call, given as text, by our own access to the store. */
export async function answerPeerCall(access: StoreAccess, text: string): Promise<string> {
  const call = storeCallSchema.safeParse(parseJson(text))
  if (call.success) return encodeAnswer(await access.callForPeer(call.data))
  const props = { step: 'store.relay', peer: 'peer', failure: 'refused' as const }
  return encodeAnswer(err(new PlatformError('the call has the wrong shape', { props })))
}
