/**
 * A connection as the HTTP parser sees it. The parser handles all that one read of a socket has
 * brought before any answer is sent, so that it is given the bytes in slices, each with few heads of
 * requests and few chunks of bodies, and no further slice while the connection has enough to do.
 */
import type { Socket } from 'node:net'
import { Duplex } from 'node:stream'

/** Lines in a slice; each chunk of a body takes two, and becomes an object of its own. */
const MAX_LINES = 512
/**
 * Bytes of a body that the parser may be ahead of its reader. Each chunk in them is an object, of
 * one byte each at the worst.
 */
const MAX_UNREAD_BODY_BYTES = 1024
/** Empty lines in a slice, each of which may end the head of a request. */
const HEADS_PER_SLICE = 2

const LF = 0x0a
const CR = 0x0d

/** Reports what passes through a connection. */
export interface PacedStreamHooks {
  /** Whether the parser may be given more. */
  mayParse(): boolean
  /** Bytes have arrived from the client. */
  onArrived(bytes: number): void
  /** A slice is about to be given to the parser. */
  onParse(bytes: number): void
  /** Bytes of answers wait to be sent; negative once they are. */
  onUnsent(bytes: number): void
}

/** The stream that is given to the HTTP server. */
export interface PacedStream extends Duplex {
  /** Goes on after `mayParse` was false. */
  proceed(): void
  /** Closes the connection at once, and drops what is still to be sent. */
  reset(): void
  /** Closes the connection once all answers are sent. */
  destroySoon(): void
}

/** Index after the last byte of the next slice of `bytes`. */
export function endOfSlice(bytes: Buffer): number {
  let heads = 0
  let lines = 0
  for (let at = bytes.indexOf(LF); at !== -1; at = bytes.indexOf(LF, at + 1)) {
    const after = bytes[at + 1] === CR ? at + 2 : at + 1
    if (bytes[after] === LF && ++heads === HEADS_PER_SLICE) return after + 1
    if (++lines === MAX_LINES) return at + 1
  }
  return bytes.length
}

/** A chunk of an answer. */
interface WrittenChunk {
  chunk: Buffer | string
  encoding: BufferEncoding
}

const lengthOf = (chunk: Buffer | string, encoding: BufferEncoding): number =>
  typeof chunk === 'string' ? Buffer.byteLength(chunk, encoding) : chunk.length

/** Wraps a socket. */
export function createPacedStream(socket: Socket, hooks: PacedStreamHooks): PacedStream {
  /** Bytes that have arrived and not been given to the parser. */
  let rest: Buffer | undefined
  let isWanted = false
  let isEnded = false
  let timer: NodeJS.Immediate | undefined

  const stream = new Duplex({
    allowHalfOpen: true,
    readableHighWaterMark: MAX_UNREAD_BODY_BYTES,
    decodeStrings: false,
    read() {
      isWanted = true
      if (rest) schedule()
      else socket.resume()
    },
    write(chunk: Buffer | string, encoding, done) {
      const bytes = lengthOf(chunk, encoding)
      hooks.onUnsent(bytes)
      socket.write(chunk, encoding, (cause) => {
        hooks.onUnsent(-bytes)
        done(cause)
      })
    },
    writev(chunks: WrittenChunk[], done) {
      const bytes = chunks.reduce(
        (sum, { chunk, encoding }) => sum + lengthOf(chunk, encoding),
        0,
      )
      hooks.onUnsent(bytes)
      socket.cork()
      const noteSent = (cause?: Error | null): void => {
        hooks.onUnsent(-bytes)
        done(cause)
      }
      for (const [index, { chunk, encoding }] of chunks.entries())
        socket.write(chunk, encoding, index === chunks.length - 1 ? noteSent : undefined)
      socket.uncork()
    },
    final(done) {
      socket.end(done)
    },
    destroy(cause, done) {
      if (timer) clearImmediate(timer)
      rest = undefined
      socket.destroy()
      done(cause)
    },
  }) as PacedStream

  function parse(): void {
    timer = undefined
    if (!rest || !isWanted || stream.destroyed || !hooks.mayParse()) return
    const end = endOfSlice(rest)
    const slice = rest.subarray(0, end)
    rest = end < rest.length ? rest.subarray(end) : undefined
    isWanted = false
    hooks.onParse(slice.length)
    stream.push(slice)
    if (rest) schedule()
    else if (isEnded) stream.push(null)
  }

  /** Gives the next slice in another turn of the event loop, so that no client fills one. */
  function schedule(): void {
    timer ??= setImmediate(parse)
  }

  socket.on('data', (chunk: Buffer) => {
    hooks.onArrived(chunk.length)
    if (stream.destroyed) return
    rest = rest ? Buffer.concat([rest, chunk]) : chunk
    if (!timer) parse()
    if (rest) socket.pause()
  })
  socket.on('end', () => {
    isEnded = true
    if (!rest) stream.push(null)
  })
  socket.on('timeout', () => stream.emit('timeout'))
  socket.on('error', (cause) => stream.destroy(cause))
  socket.on('close', () => stream.destroy())

  return Object.assign(stream, {
    proceed() {
      if (rest) schedule()
    },
    reset() {
      socket.resetAndDestroy()
      stream.destroy()
    },
    destroySoon() {
      if (stream.writableFinished) return socket.destroySoon()
      stream.once('finish', () => socket.destroySoon())
      stream.end()
    },
    // The HTTP server closes idle connections with this method, if there is one.
    setTimeout(ms: number) {
      socket.setTimeout(ms)
      return stream
    },
  })
}
