/**
 * Sends a request once over a verified connection and streams the answer to the caller
 * with backpressure. The result states whether the request ran, if known.
 */
import type { ServerResponse } from 'node:http'
import type { Client, Dispatcher } from 'undici'
import { describeError } from '../shared/index.js'
import type { RequestBody } from './body.js'
import type { Call } from './call.js'
import type { Cancellation } from './cancellation.js'
import { OUTCOME_HEADER, REQUEST_ID_HEADER } from './constants.js'
import { headersForCaller } from './headers.js'

/** Result of an attempt. */
export type AttemptResult =
  /** The whole answer was passed to the caller. */
  | { kind: 'answered'; status: number }
  /** The request did not run: no byte was sent, or the target refused it. */
  | { kind: 'not-run'; reason: string; refusedByTarget: boolean }
  /** Bytes were sent, but no answer arrived; nothing was passed to the caller. */
  | { kind: 'unknown'; reason: string }
  /** The answer broke off after its head; the caller's connection must be closed too. */
  | { kind: 'broken'; reason: string }
  /** The caller disconnected. */
  | { kind: 'caller-left' }

/** Options of {@link runAttempt}. */
export interface AttemptOptions {
  client: Client
  call: Call
  headers: string[]
  body: RequestBody
  res: ServerResponse
  /** Cancelled when the caller disconnects or the deadline passes. */
  cancellation: Cancellation
}

const TARGET_REFUSAL = 'not-run'

/** Value of the response header with this lower-case name; the first of several. */
function headerOf(headers: Record<string, string | string[] | undefined>, name: string) {
  const value = headers[name]
  return Array.isArray(value) ? value[0] : value
}

const cancelledError = () => new Error('the request was given up')

/** Sends the request and streams the answer. Never rejects. */
export function runAttempt(opts: AttemptOptions): Promise<AttemptResult> {
  const { client, call, res, cancellation } = opts
  return new Promise((resolve) => {
    let isSent = false
    let isHeadSent = false
    let refusal: string | undefined
    let status = 0
    /** Bytes of the answer still to come; NaN if the target sent no content length. */
    let bytesLeft = NaN
    let control: Dispatcher.DispatchController | undefined

    const finish = (result: AttemptResult) => {
      unsubscribe()
      res.off('drain', onDrain)
      resolve(result)
    }
    const onDrain = () => control?.resume()

    const failureResult = (reason: string): AttemptResult => {
      if (res.destroyed && !res.writableFinished) return { kind: 'caller-left' }
      if (isHeadSent && bytesLeft === 0) return { kind: 'answered', status }
      if (isHeadSent) return { kind: 'broken', reason }
      if (refusal !== undefined) {
        return { kind: 'not-run', reason: refusal, refusedByTarget: true }
      }
      if (isSent) return { kind: 'unknown', reason }
      return { kind: 'not-run', reason, refusedByTarget: false }
    }

    const handler: Dispatcher.DispatchHandler = {
      onRequestStart(controller) {
        // undici calls this right before the first byte is written.
        control = controller
        if (cancellation.cancelled) return controller.abort(cancelledError())
        isSent = true
      },
      onResponseStart(controller, statusCode, headers, statusMessage) {
        if (statusCode < 200) return
        status = statusCode
        if (headerOf(headers, OUTCOME_HEADER) === TARGET_REFUSAL) {
          refusal = `target refused with ${statusCode}`
          return
        }
        isHeadSent = true
        bytesLeft = Number(headerOf(headers, 'content-length') ?? NaN)
        const raw = rawHeaders(controller, headers)
        const responseHeaders = headersForCaller(raw)
        responseHeaders.push(OUTCOME_HEADER, 'answered')
        if (headerOf(headers, REQUEST_ID_HEADER) === undefined) {
          responseHeaders.push(REQUEST_ID_HEADER, call.id)
        }
        res.writeHead(statusCode, statusMessage, responseHeaders)
      },
      onResponseData(controller, chunk) {
        if (refusal !== undefined) return
        bytesLeft -= chunk.length
        // The answer is complete; ending it with its last chunk saves a call.
        if (bytesLeft === 0) return void res.end(chunk)
        if (!res.write(chunk)) controller.pause()
      },
      onResponseEnd(_controller, trailers) {
        if (refusal !== undefined) return finish(failureResult(refusal))
        const names = Object.keys(trailers ?? {})
        if (names.length > 0) res.addTrailers(trailers as Record<string, string>)
        if (!res.writableEnded) res.end()
        finish({ kind: 'answered', status })
      },
      onResponseError(_controller, cause) {
        finish(failureResult(describeError(cause)))
      },
    }

    const unsubscribe = cancellation.subscribe(() => control?.abort(cancelledError()))
    res.on('drain', onDrain)
    client.dispatch(requestOptions(opts), handler)
  })
}

function rawHeaders(
  controller: Dispatcher.DispatchController,
  headers: Record<string, string | string[] | undefined>,
): string[] {
  const raw = (controller as { rawHeaders?: (Buffer | string)[] }).rawHeaders
  if (raw)
    return raw.map((each) => (typeof each === 'string' ? each : each.toString('latin1')))
  return Object.entries(headers).flatMap(([name, value]) =>
    [value ?? []].flat().flatMap((each) => [name, each]),
  )
}

function requestOptions(opts: AttemptOptions): Dispatcher.DispatchOptions {
  const { call, headers, body } = opts
  const method = call.method as Dispatcher.HttpMethod
  const base = { method, path: call.path, headers }
  if (body.kind === 'none') return { ...base, body: null }
  if (body.kind === 'buffered') return { ...base, body: body.bytes }
  const withLength =
    body.length === undefined
      ? headers
      : [...headers, 'content-length', String(body.length)]
  return { ...base, headers: withLength, body: body.open() }
}
