/** Gathers log lines for a moment, so that a busy process makes fewer system calls. */
import { Writable } from 'node:stream'

/** Longest time that a line is held, in ms. A kill loses at most this much. */
const MAX_BUFFER_MS = 20
/** Lines are passed on at once when so many characters are held. */
const MAX_BUFFERED_CHARS = 16 * 1024

/** A stream that passes lines on to `sink` in batches, and all of them when it ends. */
export function createLineBuffer(sink: NodeJS.WritableStream): Writable {
  let buffered = ''
  let timer: NodeJS.Timeout | undefined

  const flush = () => {
    clearTimeout(timer)
    timer = undefined
    if (buffered === '') return
    sink.write(buffered)
    buffered = ''
  }

  return new Writable({
    decodeStrings: false,
    write(chunk: string | Buffer, _encoding, done) {
      buffered += String(chunk)
      if (buffered.length >= MAX_BUFFERED_CHARS) flush()
      else timer ??= setTimeout(flush, MAX_BUFFER_MS)
      done()
    },
    final(done) {
      flush()
      done()
    },
  })
}
