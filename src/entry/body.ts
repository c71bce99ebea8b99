/**
 * The body of a caller's request. A small body is read before routing and can be sent
 * again; a large one is streamed once, with backpressure, and is never buffered whole.
 */
import type { IncomingMessage } from 'node:http'
import { Readable } from 'node:stream'

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

/** The caller disconnected while its body was being read. */
export const CALLER_LEFT = Symbol('caller left')

/**
 * Reads a body of known length up to `bufferLimit` bytes whole; prepares any other for
 * streaming.
 */
export async function readBody(
  req: IncomingMessage,
  bufferLimit: number,
): Promise<RequestBody | typeof CALLER_LEFT> {
  const chunked = req.headers['transfer-encoding'] !== undefined
  const length = Number(req.headers['content-length'] ?? 0)
  if (!chunked && length === 0) return { kind: 'none' }
  if (!chunked && length <= bufferLimit) return readBuffered(req)
  return streamBody(req, chunked ? undefined : length)
}

function readBuffered(req: IncomingMessage): Promise<RequestBody | typeof CALLER_LEFT> {
  return new Promise((resolve) => {
    const chunks: Buffer[] = []
    req.on('data', (chunk: Buffer) => chunks.push(chunk))
    req.on('end', () => {
      const bytes = chunks.length === 1 ? chunks[0]! : Buffer.concat(chunks)
      resolve({ kind: 'buffered', bytes })
    })
    req.on('close', () => resolve(CALLER_LEFT))
    req.on('error', () => resolve(CALLER_LEFT))
  })
}

/**
 * Reads from the caller only when an attempt reads, so that an attempt that never
 * connected has consumed none of the body.
 */
function streamBody(req: IncomingMessage, length: number | undefined): RequestBody {
  let isStarted = false
  const start = (stream: Readable) => {
    isStarted = true
    req.on('data', (chunk: Buffer) => {
      if (!stream.push(chunk)) req.pause()
    })
    req.on('end', () => stream.push(null))
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
