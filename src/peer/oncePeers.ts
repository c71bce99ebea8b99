/** Calls and routes for claims of unrepeatable requests between entries. */
import type { Client, ServiceImpl } from '@connectrpc/connect'
import { Code, ConnectError } from '@connectrpc/connect'
import { fromThrowable } from 'neverthrow'
import { z } from 'zod'
import type { ClaimRecord, ClaimHandover, Once, OncePeers } from '../entry/index.js'
import { PeerError } from '../shared/index.js'
import {
  CALL_TIMEOUT_MS,
  MAX_CLAIMS_PER_MESSAGE,
  CLAIM_TRANSFER_TIMEOUT_MS,
} from './constants.js'
import type { Claim, PeerService } from './gen/peer_pb.js'
import { callWithTimeout } from './callWithTimeout.js'

const stateSchema = z.enum(['running', 'answered', 'unknown'])
const settleSchema = z.enum(['running', 'answered', 'unknown', 'not-run'])

type PeerClient = Client<typeof PeerService>

/** Creates the claim calls to other entries, which are named by id. */
export function createOncePeers(
  ownId: string,
  clientOf: (peer: string) => PeerClient | undefined,
): OncePeers {
  const client = (peer: string): PeerClient => {
    const found = clientOf(peer)
    if (found) return found
    throw new PeerError('peer is not in the settings', {
      props: { step: 'once.call', peer },
    })
  }
  return {
    async claim(peer, id, owner, token) {
      const res = await callWithTimeout(CALL_TIMEOUT_MS, (options) =>
        client(peer).claimId({ node: ownId, id, owner, token }, options),
      )
      if (res.verdict === 'first') return { kind: 'first' }
      const { reason, standIn } = res
      if (res.verdict === 'unsure') return { kind: 'unsure', reason, standIn }
      return { kind: 'repeat', state: stateSchema.parse(res.state) }
    },
    async settle(peer, id, state) {
      await callWithTimeout(CALL_TIMEOUT_MS, (options) =>
        client(peer).settle({ node: ownId, id, state }, options),
      )
    },
    async collect(peer) {
      const { claims, complete } = await callWithTimeout(
        CLAIM_TRANSFER_TIMEOUT_MS,
        (options) => client(peer).collect({ node: ownId }, options),
      )
      return { claims: decodeClaims(claims), complete }
    },
    async handOver(peer, legacy) {
      const message = { node: ownId, ...encodeClaims(legacy) }
      await callWithTimeout(CLAIM_TRANSFER_TIMEOUT_MS, (options) =>
        client(peer).handOver(message, options),
      )
    },
  }
}

/** Encodes claims. A list over the limit keeps its last ones and is marked incomplete. */
function encodeClaims({ claims, complete }: ClaimHandover) {
  const kept = claims.slice(-MAX_CLAIMS_PER_MESSAGE)
  const encoded = kept.map(({ id, state, ageMs, token }) => {
    return { id, state, ageMs: BigInt(Math.round(ageMs)), token }
  })
  return { claims: encoded, complete: complete && kept.length === claims.length }
}

/** Decodes claims. Throws on an unknown state. */
function decodeClaims(claims: Claim[]): ClaimRecord[] {
  return claims.map(({ id, state, ageMs, token }) => {
    return { id, state: stateSchema.parse(state), ageMs: Number(ageMs), token }
  })
}

type OnceMethods = 'claimId' | 'settle' | 'collect' | 'handOver'

/** Creates the routes that answer claim calls of other entries. */
export function onceRoutes(
  answer: () => Once['answer'] | undefined,
  isPeer: (id: string) => boolean,
): Pick<ServiceImpl<typeof PeerService>, OnceMethods> {
  function answersFor(node: string): Once['answer'] {
    const found = answer()
    if (!isPeer(node))
      throw new ConnectError('not in the settings', Code.PermissionDenied)
    if (found) return found
    throw new ConnectError('this process is no entry, or is starting', Code.Unavailable)
  }
  return {
    claimId(req) {
      const verdict = answersFor(req.node).claim(req.id, req.owner, req.token)
      const state = verdict.kind === 'repeat' ? verdict.state : ''
      const reason = verdict.kind === 'unsure' ? verdict.reason : ''
      const standIn = verdict.kind === 'unsure' && verdict.standIn
      return { verdict: verdict.kind, state, reason, standIn }
    },
    settle(req) {
      const state = settleSchema.safeParse(req.state)
      if (!state.success) throw new ConnectError('no such state', Code.InvalidArgument)
      answersFor(req.node).settle(req.id, state.data)
      return {}
    },
    collect: (req) => encodeClaims(answersFor(req.node).collect(req.node)),
    handOver(req) {
      const answer = answersFor(req.node)
      const claims = fromThrowable(decodeClaims)(req.claims)
      if (claims.isErr()) throw new ConnectError('no such state', Code.InvalidArgument)
      answer.handOver(req.node, { claims: claims.value, complete: req.complete })
      return {}
    },
  }
}
