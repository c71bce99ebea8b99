/** Calls to targets as an owner sends them to another node, and their answers, encoded as JSON. */
import { err, ok } from 'neverthrow'
import type { Result } from 'neverthrow'
import { z } from 'zod'
import type { OrderError, TargetReport, StartAnswer } from '../ports/index.js'
import { callError } from '../shared/index.js'

const targetSchema = z.object({ id: z.string(), address: z.string() })
/** The target of a call. */
export type CalledTarget = z.infer<typeof targetSchema>

/** Incarnation that an order is for; undefined from nodes of earlier software versions. */
const lifeStartMs = z.number().optional()
const startSchema = z.object({
  lifeStartMs,
  task: z.string(),
  run: z.number(),
  spec: z.string().default(''),
  leaseUntilMs: z.number(),
  token: z.number(),
  checkpoint: z.string().default(''),
  ticket: z.string().default(''),
})
const stopSchema = z.object({
  lifeStartMs,
  task: z.string(),
  run: z.number(),
  token: z.number(),
})
const paceSchema = z.object({ ...stopSchema.shape, percent: z.number() })
const syncSchema = z.object({
  lifeStartMs,
  token: z.number(),
  ackedSeq: z.number(),
  leaseUntilMs: z.number().optional(),
  waitMs: z.number(),
})

const callShape = {
  /** Number of the call, unique among those of one session. */
  seq: z.number(),
  target: targetSchema,
  timeoutMs: z.number(),
}
/** Schema of a call to a target; `close` ends the connections to it and has no answer. */
const callSchema = z.discriminatedUnion('kind', [
  z.object({ kind: z.literal('start'), order: startSchema, ...callShape }),
  z.object({ kind: z.literal('stop'), order: stopSchema, ...callShape }),
  z.object({ kind: z.literal('pace'), order: paceSchema, ...callShape }),
  z.object({ kind: z.literal('sync'), order: syncSchema, ...callShape }),
  z.object({ kind: z.literal('close'), ...callShape }),
])
/** A call to a target. */
export type ForwardedCall = z.infer<typeof callSchema>
/** Schema of the calls of one message. */
export const callsSchema = z.array(callSchema)

const failureSchema = z.object({
  failure: z.enum(['notDone', 'unanswered', 'gone', 'fenced', 'notSent']),
  reason: z.string(),
  /** Whether no connection to the target could be opened, so that nothing was sent. */
  isUnreachable: z.boolean(),
})
const answerSchema = z.object({
  seq: z.number(),
  value: z.unknown().optional(),
  failure: failureSchema.optional(),
})
/** The answer to a call. */
export type ForwardedAnswer = z.infer<typeof answerSchema>
/** Schema of the answers of one message. */
export const answersSchema = z.array(answerSchema)

const startAnswerSchema = z.discriminatedUnion('accepted', [
  z.object({ accepted: z.literal(true), clockMs: z.number() }),
  z.object({
    accepted: z.literal(false),
    clockMs: z.number(),
    reason: z.enum(['fenced', 'superseded', 'expired', 'full', 'ticket', 'other']),
  }),
])
/** Number of ends from which a report counts as incomplete if its forwarder does not tell. */
const FULL_REPORT_ENDS = 500

const wireReportSchema = z.object({
  lifeStartMs: z.number(),
  clockMs: z.number(),
  runs: z.array(
    z.object({
      task: z.string(),
      run: z.number(),
      checkpoint: z.string(),
      percent: z.number(),
      load: z.number(),
    }),
  ),
  ends: z.array(
    z.object({
      seq: z.number(),
      task: z.string(),
      run: z.number(),
      kind: z.enum(['done', 'failed', 'stopped', 'lapsed', 'broken', 'alone']),
      checkpoint: z.string(),
    }),
  ),
  /** Undefined from nodes of earlier software versions. */
  listsAllEnds: z.boolean().optional(),
})
const reportSchema = wireReportSchema.transform((report) => ({
  ...report,
  listsAllEnds: report.listsAllEnds ?? report.ends.length < FULL_REPORT_ENDS,
}))

/** Values of answers by kind of call. */
export interface AnswerValues {
  start: StartAnswer
  stop: boolean
  pace: boolean
  sync: TargetReport
}
/** Kinds of calls that have answers. */
export type CallKind = keyof AnswerValues

const VALUE_SCHEMAS: { [K in CallKind]: z.ZodType<AnswerValues[K]> } = {
  start: startAnswerSchema,
  stop: z.boolean(),
  pace: z.boolean(),
  sync: reportSchema,
}

/** Leaves out the empty texts of an order, which the schema restores. */
export function withoutEmptyTexts<T extends object>(order: T): T {
  const fields = Object.entries(order).filter(([, value]) => value !== '')
  return Object.fromEntries(fields) as T
}

/** Creates the error of a call whose answer did not come back. */
export function unansweredError(step: string, peer: string, reason: string): OrderError {
  return {
    failure: 'unanswered',
    reason,
    cause: callError(step, peer, 'unknown', reason),
  }
}

/** Encodes the result of a call. */
export function encodeResult(
  seq: number,
  res: Result<unknown, OrderError>,
): ForwardedAnswer {
  if (res.isOk()) return { seq, value: res.value }
  const { failure, reason, cause } = res.error
  const isUnreachable = cause.failure === 'unreachable'
  return { seq, value: undefined, failure: { failure, reason, isUnreachable } }
}

/** Decodes the answer to a call; one of the wrong shape counts as lost. */
export function decodeResult<K extends CallKind>(
  kind: K,
  { value, failure }: ForwardedAnswer,
  target: CalledTarget,
): Result<AnswerValues[K], OrderError> {
  const step = `orders.${kind}`
  if (failure) {
    const { reason, isUnreachable } = failure
    const kindOfFailure = isUnreachable ? 'unreachable' : 'unknown'
    const cause = callError(step, target.address, kindOfFailure, reason)
    return err({ failure: failure.failure, reason, cause })
  }
  const parsed = VALUE_SCHEMAS[kind].safeParse(value)
  if (parsed.success) return ok(parsed.data)
  return err(
    unansweredError(step, target.address, 'forwarded answer has the wrong shape'),
  )
}
