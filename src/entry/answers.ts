/** Answers created by the entry itself. Each states whether the request ran, if known. */
import type { ServerResponse } from 'node:http'
import { OUTCOME_HEADER, REQUEST_ID_HEADER, RETRY_AFTER_S } from './constants.js'

/** Outcome of a request as reported to the caller. */
export type Outcome = 'answered' | 'not-run' | 'unknown'

/** Reasons for an answer created by the entry. */
export type RefusalKind =
  | 'bad request'
  | 'unknown service'
  | 'no target'
  | 'queue full'
  | 'overloaded'
  | 'deadline before sending'
  | 'stopping'
  | 'no answer'
  | 'deadline after sending'
  | 'repeat'
  | 'unsure'

interface RefusalSpec {
  status: number
  outcome: Outcome
  /** Whether the caller may succeed by retrying later. */
  retryLater: boolean
}

const REFUSALS: Record<RefusalKind, RefusalSpec> = {
  'bad request': { status: 400, outcome: 'not-run', retryLater: false },
  'unknown service': { status: 404, outcome: 'not-run', retryLater: false },
  'no target': { status: 503, outcome: 'not-run', retryLater: true },
  'queue full': { status: 503, outcome: 'not-run', retryLater: true },
  overloaded: { status: 503, outcome: 'not-run', retryLater: true },
  'deadline before sending': { status: 504, outcome: 'not-run', retryLater: true },
  stopping: { status: 503, outcome: 'not-run', retryLater: true },
  'no answer': { status: 502, outcome: 'unknown', retryLater: false },
  'deadline after sending': { status: 504, outcome: 'unknown', retryLater: false },
  // This request did not run, but an earlier one with the same id may have.
  repeat: { status: 409, outcome: 'unknown', retryLater: false },
  unsure: { status: 503, outcome: 'unknown', retryLater: true },
}

/**
 * Sends a refusal and returns its outcome. Sends nothing if an answer has begun or the
 * caller's connection is closed.
 */
export function refuse(
  res: ServerResponse,
  kind: RefusalKind,
  requestId: string | undefined,
  detail: string,
): Outcome {
  const { status, outcome, retryLater } = REFUSALS[kind]
  if (res.headersSent || res.destroyed) return outcome
  const body = JSON.stringify({ outcome, reason: kind, detail, requestId })
  res.writeHead(status, {
    'content-type': 'application/json',
    'content-length': Buffer.byteLength(body),
    [OUTCOME_HEADER]: outcome,
    ...(requestId !== undefined && { [REQUEST_ID_HEADER]: requestId }),
    ...(retryLater && { 'retry-after': String(RETRY_AFTER_S) }),
  })
  res.end(body)
  return outcome
}
