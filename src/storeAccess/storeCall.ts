/** Calls of the store as data, so that one node can make them for another. */
import { err, ok } from 'neverthrow'
import type { Result } from 'neverthrow'
import { z } from 'zod'
import type { RowStore } from '../ports/index.js'
import { PlatformError } from '../shared/index.js'

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

/** Answer to any call; which one it is follows from the call. */
export type StoreAnswer = Result<unknown, PlatformError>

/** Answer to a call as it is passed between nodes. */
export const storeAnswerSchema = z.union([
  z.object({ value: z.unknown() }),
  z.object({
    failure: z.enum(['refused', 'unreachable', 'unknown', 'compacted']),
    reason: z.string(),
  }),
])

/** Makes the call. A read of changes does not wait: a peer's connection is not held up. */
export function makeStoreCall(store: RowStore, call: StoreCall): Promise<StoreAnswer> {
  const handlers = {
    commit: (each: StoreCall & { method: 'commit' }) => store.commit(each.tx),
    read: (each: StoreCall & { method: 'read' }) =>
      store.read(each.table, each.part, each.range as Parameters<RowStore['read']>[2]),
    parts: (each: StoreCall & { method: 'parts' }) => store.parts(each.table),
    changes: (each: StoreCall & { method: 'changes' }) =>
      store.changes(each.table, each.after, 0),
  }
  return handlers[call.method](call as never)
}

/** The answer as text for another node. */
export function encodeAnswer(answer: StoreAnswer): string {
  return JSON.stringify(
    answer.isOk()
      ? { value: answer.value }
      : { failure: answer.error.failure, reason: answer.error.message },
  )
}

/** The answer of another node; an unreadable one says nothing about the call's effect. */
export function decodeAnswer(value: unknown, peer: string): StoreAnswer {
  const step = 'store.relay'
  const answer = storeAnswerSchema.safeParse(value)
  if (!answer.success) {
    const props = { step, peer, failure: 'unknown' as const }
    return err(new PlatformError('answer of a peer has the wrong shape', { props }))
  }
  if ('value' in answer.data) return ok(answer.data.value)
  const { failure, reason } = answer.data
  return err(new PlatformError(reason, { props: { step, peer, failure } }))
}
