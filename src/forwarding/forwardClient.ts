/**
 * Sends messages to a forwarder: the unary JSON form of the Connect protocol, over the HTTP client
 * that calls the targets. An owner sends hundreds of messages a second, and the general client of
 * that protocol takes several times as much processor time for each.
 */
import { err, ok } from 'neverthrow'
import type { Result } from 'neverthrow'
import { z } from 'zod'
import { NodeService } from '../peer/gen/node_pb.js'
import { callError, createHttpClient } from '../shared/index.js'
import type { PlatformError } from '../shared/index.js'
import { MAX_MESSAGES_UNDER_WAY, MESSAGE_TIMEOUT_MS } from './constants.js'

const STEP = 'node.forwardOrders'
const { forwardOrders } = NodeService.method
const PATH = `/${NodeService.typeName}/${forwardOrders.name}`
const HEADERS = { 'connect-protocol-version': '1' }

/** A message to a forwarder: calls, encoded as JSON. */
export interface ForwardRequest {
  session: string
  calls: string
}

/** The JSON form leaves fields out that are empty. */
const responseSchema = z.object({
  /** Differs whenever the forwarder has forgotten earlier calls of the session. */
  life: z.string().default(''),
  /** Answers, encoded as JSON. */
  answers: z.string().default(''),
  /** Share of its processor time that the forwarder uses. */
  busyShare: z.number().default(0),
})
/** The answer to a message. */
export type ForwardResponse = z.infer<typeof responseSchema>

/** Sends messages to one node. */
export interface ForwardClient {
  /** Sends a message; fails if no answer comes in time. */
  send(req: ForwardRequest): Promise<Result<ForwardResponse, PlatformError>>
  close(): void
}

/** Creates a client, which opens connections on demand. */
export function createForwardClient(address: string): ForwardClient {
  const http = createHttpClient({ address, connections: MAX_MESSAGES_UNDER_WAY })
  return {
    async send(req) {
      const res = await http.call({
        step: STEP,
        method: 'POST',
        path: PATH,
        headers: HEADERS,
        body: req,
        timeoutMs: MESSAGE_TIMEOUT_MS,
      })
      if (res.isErr()) return err(res.error)
      const { status, body } = res.value
      const parsed = responseSchema.safeParse(body)
      if (status === 200 && parsed.success) return ok(parsed.data)
      return err(callError(STEP, address, 'refused', `node answered ${status}`))
    },
    close: http.close,
  }
}
