/**
 * The body of a caller's request. A small body is read before routing and can be sent
 * again; a large one is streamed once, with backpressure, and is never buffered whole.
 */
import type { IncomingMessage } from 'node:http'
import { Readable } from 'node:stream'
import type { Cancellation } from './cancellation.js'
import { BODY_TOO_LARGE, CALLER_LEFT, readBody, releaseBytes } from '../limits/index.js'

/** A request body. */
export type RequestBody =
  | { kind: 'none' }
  | { kind: 'buffered'; bytes: Buffer }
  /** `open` returns the stream for an attempt; once `isStarted`, no other may use it. */
  | {
      kind: 'streamed'
      length: number | undefined
      open(): Readable
      isStarted(): boolean
    }

/** The deadline passed before the end of the body. */
export const DEADLINE_PASSED = Symbol('deadline passed')

/** A body, or why there is none. */
type OpenedBody = RequestBody | typeof CALLER_LEFT | typeof DEADLINE_PASSED

/**
 * Reads a body of known length up to `bufferLimit` bytes whole; prepares any other for
 * streaming.
 */
export async function openBody(
  req: IncomingMessage,
  bufferLimit: number,
  cancellation: Cancellation,
): Promise<OpenedBody> {
  const chunked = req.headers['transfer-encoding'] !== undefined
  const length = Number(req.headers['content-length'] ?? 0)
  if (!chunked && length === 0) return { kind: 'none' }
  if (!chunked && length <= bufferLimit)
    return readBuffered(req, bufferLimit, cancellation)
  return streamBody(req, chunked ? undefined : length)
}

async function readBuffered(
  req: IncomingMessage,
  maxBytes: number,
  cancellation: Cancellation,
): Promise<OpenedBody> {
  let unsubscribe = (): void => undefined
  const passed = new Promise<typeof DEADLINE_PASSED>((resolve) => {
    unsubscribe = cancellation.subscribe(() => resolve(DEADLINE_PASSED))
  })
  const bytes = await Promise.race([readBody(req, maxBytes), passed])
  unsubscribe()
  if (bytes === DEADLINE_PASSED) return bytes
  if (bytes === CALLER_LEFT || bytes === BODY_TOO_LARGE) return CALLER_LEFT
  return { kind: 'buffered', bytes }
}

/**
 * Reads from the caller only when an attempt reads, so that an attempt that never
 * connected has consumed none of the body.
 */
function streamBody(req: IncomingMessage, length: number | undefined): RequestBody {
  let isStarted = false
  const start = (stream: Readable) => {
    isStarted = true
    const passOn = joinChunks((bytes) => {
      releaseBytes(req, bytes.length)
      if (!stream.push(bytes)) req.pause()
    })
    req.on('data', passOn.add)
    // A target may answer before the end of the body; the rest is then read without use.
    stream.once('close', () => req.off('data', passOn.add))
    req.on('end', () => {
      passOn.flush()
      stream.push(null)
    })
    req.on('close', () => {
      if (!req.complete) stream.destroy(new Error('the caller broke off its body'))
    })
    req.on('error', (cause) => stream.destroy(cause))
  }
  const open = () =>
    new Readable({
      read() {
        if (!isStarted) start(this)
        req.resume()
      },
    })
  return { kind: 'streamed', length, open, isStarted: () => isStarted }
}

/** Joins the chunks that arrive together: a caller may send chunks of one byte. */
function joinChunks(use: (bytes: Buffer) => void) {
  let chunks: Buffer[] = []
  const flush = (): void => {
    if (chunks.length === 0) return
    const bytes = chunks.length === 1 ? chunks[0]! : Buffer.concat(chunks)
    chunks = []
    use(bytes)
  }
  return {
    add(chunk: Buffer) {
      if (chunks.push(chunk) === 1) process.nextTick(flush)
    },
    flush,
  }
}
