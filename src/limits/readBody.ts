/** Reads bodies of requests. Their length is not known before their end if they are chunked. */
import type { IncomingMessage } from 'node:http'

/** The body is longer than allowed. */
export const BODY_TOO_LARGE = Symbol('body too large')
/** The caller disconnected before the end of its body. */
export const CALLER_LEFT = Symbol('caller left')

/** Size of the buffers that small chunks are copied to, in bytes. */
const BLOCK_BYTES = 16 * 1024

/** Collects chunks of any size in few buffers. */
function createBlocks() {
  const full: Buffer[] = []
  let block = Buffer.alloc(0)
  let used = 0
  let length = 0
  return {
    length: () => length,
    add(chunk: Buffer) {
      length += chunk.length
      for (let at = 0; at < chunk.length;) {
        if (used === block.length) {
          if (used > 0) full.push(block)
          // The first one is small, as most bodies are.
          block = Buffer.allocUnsafe(
            full.length > 0 || used > 0 ? BLOCK_BYTES : chunk.length,
          )
          used = 0
        }
        const copied = chunk.copy(block, used, at)
        used += copied
        at += copied
      }
    },
    take: () => Buffer.concat([...full, block.subarray(0, used)], length),
  }
}

/** Reads a whole body of at most `maxBytes`. */
export function readBody(
  req: IncomingMessage,
  maxBytes: number,
): Promise<Buffer | typeof BODY_TOO_LARGE | typeof CALLER_LEFT> {
  const declared = Number(req.headers['content-length'] ?? 0)
  if (declared > maxBytes) return Promise.resolve(BODY_TOO_LARGE)
  return new Promise((resolve) => {
    const blocks = createBlocks()
    const finish = (body: Buffer | typeof BODY_TOO_LARGE | typeof CALLER_LEFT): void => {
      req.off('data', onData)
      resolve(body)
    }
    const onData = (chunk: Buffer): void => {
      blocks.add(chunk)
      if (blocks.length() > maxBytes) finish(BODY_TOO_LARGE)
    }
    req.on('data', onData)
    req.once('end', () => finish(blocks.take()))
    req.once('close', () => finish(CALLER_LEFT))
    req.once('error', () => finish(CALLER_LEFT))
  })
}
