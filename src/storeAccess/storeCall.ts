/** Serializable store calls and answers, so that one node can make calls for another. */
import { err, ok } from 'neverthrow'
import type { Result } from 'neverthrow'
import { z } from 'zod'
import type { RowRange, RowStore } from '../ports/index.js'
import { PlatformError } from '../shared/index.js'
import type { ErrorPlace, PlatformFailure } from '../shared/index.js'

const keyShape = { table: z.string(), part: z.string(), key: z.string() }

const transactionSchema = z.object({
  conditions: z.array(z.object({ ...keyShape, version: z.number() })),
  puts: z.array(z.object({ ...keyShape, value: z.string() })),
  removals: z.array(z.object(keyShape)),
})
const rangeSchema = z
  .object({ from: z.string(), until: z.string(), enoughRows: z.number() })
  .partial()

/** Schema of a store call. */
export const storeCallSchema = z.discriminatedUnion('method', [
  z.object({ method: z.literal('commit'), tx: transactionSchema }),
  z.object({
    method: z.literal('read'),
    table: z.string(),
    part: z.string(),
    range: rangeSchema.optional(),
  }),
  z.object({ method: z.literal('parts'), table: z.string() }),
  z.object({ method: z.literal('changes'), table: z.string(), after: z.number() }),
])
/** A store call. */
export type StoreCall = z.infer<typeof storeCallSchema>

/** Answer to a call; the method of the call determines the type of the value. */
export type StoreAnswer<T = unknown> = Result<T, PlatformError>

/** Place of failure of calls that are abandoned or not sent. */
export const STORE_PLACE: ErrorPlace = { step: 'store', peer: 'store' }

/** Whether the store itself answered, including a refusal. */
export const isAnswered = (answer: StoreAnswer): boolean =>
  answer.isOk() ||
  answer.error.failure === 'refused' ||
  answer.error.failure === 'rejected' ||
  answer.error.failure === 'compacted'

/** Returns a small read that shows whether a part answers. */
export const probeOf = (part: string): StoreCall => ({
  method: 'read',
  table: 'probe',
  part,
})
/** Number of parts that probes of the whole store read in turn. */
const PROBED_PARTS = 16

/**
 * Creates a source of small reads that show whether the store answers. Each reads another part, as
 * one may be down.
 */
export function createProbes(): () => StoreCall {
  let count = 0
  return () => probeOf(`probe/${count++ % PROBED_PARTS}`)
}

/** Returns the part that a call is for; undefined if it concerns all parts. */
export function partOf(call: StoreCall): string | undefined {
  if (call.method === 'read') return call.part
  if (call.method !== 'commit') return undefined
  const { conditions, puts, removals } = call.tx
  return [...conditions, ...puts, ...removals][0]?.part
}

/** Schema of an answer as it is sent between nodes. */
const storeAnswerSchema = z.union([
  z.object({ value: z.unknown() }),
  z.object({
    failure: z.enum(['refused', 'unreachable', 'unknown', 'compacted']),
    /** Whether it was refused for good. Nodes of earlier software versions do not tell. */
    isFinal: z.boolean().optional(),
    reason: z.string(),
  }),
])

/**
 * Makes a call.
 * @param waitMs longest time that the store waits for changes before it answers, in ms
 */
export function makeStoreCall(
  store: RowStore,
  call: StoreCall,
  waitMs: number,
): Promise<StoreAnswer> {
  switch (call.method) {
    case 'commit':
      return store.commit(call.tx)
    case 'read':
      return store.read(call.table, call.part, call.range as RowRange | undefined)
    case 'parts':
      return store.parts(call.table)
    case 'changes':
      return store.changes(call.table, call.after, waitMs)
  }
}

/** Creates the answer to a failed call. */
export function failedAnswer(
  failure: PlatformFailure,
  reason: string,
  place: ErrorPlace,
): StoreAnswer<never> {
  return err(new PlatformError(reason, { props: { ...place, failure } }))
}

/** Encodes an answer for another node. */
export function encodeAnswer(answer: StoreAnswer): string {
  if (answer.isOk()) return JSON.stringify({ value: answer.value })
  const { failure, message: reason } = answer.error
  return JSON.stringify(
    failure === 'rejected'
      ? { failure: 'refused', isFinal: true, reason }
      : { failure, reason },
  )
}

/**
 * Decodes the answer of another node. If it has the wrong shape, the effect of the call is unknown.
 * @param place where the call was made, for errors
 */
export function decodeAnswer(value: unknown, place: ErrorPlace): StoreAnswer {
  const answer = storeAnswerSchema.safeParse(value)
  if (!answer.success) {
    return failedAnswer('unknown', 'answer of a peer has the wrong shape', place)
  }
  if ('value' in answer.data) return ok(answer.data.value)
  const { failure, isFinal, reason } = answer.data
  return failedAnswer(isFinal ? 'rejected' : failure, reason, place)
}
