/**
 * Attempts of one request: chooses a target, sends the request and decides whether to
 * retry. The result covers all attempts: it is `not-run` only if none of them ran.
 */
import type { IncomingMessage, ServerResponse } from 'node:http'
import { fullJitter, sleep } from '../shared/index.js'
import type { Logger } from '../shared/index.js'
import { runAttempt } from './attempt.js'
import type { AttemptResult } from './attempt.js'
import type { RequestBody } from './body.js'
import type { Call } from './call.js'
import type { Cancellation } from './cancellation.js'
import { eligibleTargets } from './chooser.js'
import type { Policy } from './chooser.js'
import { REQUEST_ID_HEADER, RETRY_BASE_MS, RETRY_CAP_MS } from './constants.js'
import { headersForTarget } from './headers.js'
import type { RetryBudget } from './retryBudget.js'
import { acceptsRequests } from './target.js'
import type { Target } from './target.js'

/** A request being served, with its response. */
export interface Exchange {
  call: Call
  req: IncomingMessage
  res: ServerResponse
  body: RequestBody
  /** Cancelled when the caller disconnects or the deadline passes. */
  cancellation: Cancellation
}

/** Options of {@link createRetryLoop}. */
export interface RetryLoopOptions {
  /** Most attempts per request. */
  attempts: number
  choose: Policy
  budget: RetryBudget
  targets(service: string): readonly Target[]
  log: Logger
  recordAttempt(service: string, result: AttemptResult['kind']): void
}

type Failure = Extract<AttemptResult, { kind: 'not-run' | 'unknown' }>

const isFailure = (result: AttemptResult): result is Failure =>
  result.kind === 'not-run' || result.kind === 'unknown'

const noTarget: Failure = {
  kind: 'not-run',
  reason: 'no target takes work',
  refusedByTarget: false,
}

/** Creates the function that sends a request with retries; it never rejects. */
export function createRetryLoop(opts: RetryLoopOptions) {
  const { budget, log } = opts

  return async function tryTargets(exchange: Exchange): Promise<AttemptResult> {
    const { call, cancellation } = exchange
    const tried = new Set<Target>()
    let worstFailure = noTarget
    for (let attempt = 1; attempt <= opts.attempts; attempt++) {
      if (attempt > 1) {
        if (!budget.withdraw()) break
        await sleep(fullJitter(attempt - 2, RETRY_BASE_MS, RETRY_CAP_MS))
        if (cancellation.cancelled) break
      }
      const candidates = eligibleTargets(opts.targets(call.service), tried)
      if (candidates.length === 0) break
      const target = opts.choose(candidates, Math.random)
      tried.add(target)
      logRoute(call, target, candidates, attempt)
      const result = await attemptAt(target, exchange)
      opts.recordAttempt(call.service, result.kind)
      if (!isFailure(result)) return result
      logFailure(call, target, result, attempt)
      // A later attempt that did not run does not settle whether an earlier one ran.
      if (worstFailure.kind !== 'unknown') worstFailure = result
      if (!mayRepeat(result, exchange) || cancellation.cancelled) break
    }
    return worstFailure
  }

  function logRoute(
    call: Call,
    target: Target,
    candidates: readonly Target[],
    attempt: number,
  ): void {
    if (!log.enabled('routed')) return
    const { vm, job, inFlight, reportedLoad } = target
    const { id: request, service } = call
    const from = candidates.length
    const decision = { request, service, vm, job, inFlight, reportedLoad, from, attempt }
    log.event('routed', decision)
  }

  function logFailure(call: Call, target: Target, result: Failure, attempt: number) {
    const { kind, reason } = result
    const { vm, job } = target
    log.event('attemptFailed', { request: call.id, vm, job, kind, reason, attempt })
  }
}

/** Whether the request may be sent again after this failure. */
function mayRepeat(result: Failure, { call, body }: Exchange): boolean {
  // Bytes read from the caller's stream cannot be sent again.
  if (body.kind === 'streamed' && body.isStarted()) return false
  return result.kind === 'not-run' || call.repeatable
}

async function attemptAt(target: Target, exchange: Exchange): Promise<AttemptResult> {
  const { call, req, res, body, cancellation } = exchange
  target.inFlight++
  try {
    const connection = await target.acquire()
    if (connection.isErr()) {
      target.recordAttempt(false)
      const reason = connection.error.message
      return { kind: 'not-run', reason, refusedByTarget: false }
    }
    const client = connection.value
    if (!acceptsRequests(target)) {
      target.release(client, true)
      return {
        kind: 'not-run',
        reason: 'target is leaving',
        refusedByTarget: true,
      }
    }
    const headers = headersForTarget(req.rawHeaders)
    if (!call.idGiven) headers.push(REQUEST_ID_HEADER, call.id)
    const result = await runAttempt({ client, call, headers, body, res, cancellation })
    const refused = result.kind === 'not-run' && result.refusedByTarget
    target.release(client, result.kind === 'answered' || refused)
    if (result.kind !== 'caller-left') target.recordAttempt(isSuccess(result))
    return result
  } finally {
    target.inFlight--
  }
}

function isSuccess(result: AttemptResult): boolean {
  return result.kind === 'answered' && result.status < 500
}
