/** Calls of the store as data, so that one node can make them for another. */
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
const rangeSchema = z.object({ from: z.string(), until: z.string() }).partial()

/** One call of the store. */
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
/** One call of the store. */
export type StoreCall = z.infer<typeof storeCallSchema>

/** Answer to a call; the call tells what a value is, if it is not known from elsewhere. */
export type StoreAnswer<T = unknown> = Result<T, PlatformError>

/** Where calls that are given up or not sent have failed. */
export const STORE_PLACE: ErrorPlace = { step: 'store', peer: 'store' }

/** Whether the store itself has answered, be it to refuse. */
export const isAnswered = (answer: StoreAnswer): boolean =>
  answer.isOk() ||
  answer.error.failure === 'refused' ||
  answer.error.failure === 'compacted'

/** A small read, which shows whether the store answers. */
export const PROBE: StoreCall = { method: 'read', table: 'probe', part: '' }

/** Answer to a call as it is passed between nodes. */
const storeAnswerSchema = z.union([
  z.object({ value: z.unknown() }),
  z.object({
    failure: z.enum(['refused', 'unreachable', 'unknown', 'compacted']),
    reason: z.string(),
  }),
])

/**
 * Makes the call.
 * @param waitMs time that the store may wait for changes before it answers
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

/** The answer to a call that failed. */
export function failedAnswer(
  failure: PlatformFailure,
  reason: string,
  place: ErrorPlace,
): StoreAnswer<never> {
  return err(new PlatformError(reason, { props: { ...place, failure } }))
}

/** The answer as text for another node. */
export function encodeAnswer(answer: StoreAnswer): string {
  return JSON.stringify(
    answer.isOk()
      ? { value: answer.value }
      : { failure: answer.error.failure, reason: answer.error.message },
  )
}

/**
 * The answer of another node; an unreadable one says nothing about the call's effect.
 * @param place where the call was made, for errors
 */
export function decodeAnswer(value: unknown, place: ErrorPlace): StoreAnswer {
  const answer = storeAnswerSchema.safeParse(value)
  if (!answer.success) {
    return failedAnswer('unknown', 'answer of a peer has the wrong shape', place)
  }
  if ('value' in answer.data) return ok(answer.data.value)
  return failedAnswer(answer.data.failure, answer.data.reason, place)
}
