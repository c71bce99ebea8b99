/** Buffers log lines briefly, so that a busy process makes fewer system calls. */
import { Writable } from 'node:stream'

/** Longest time that a line is buffered, in ms. A kill loses at most these lines. */
const MAX_BUFFER_MS = 20
/** Number of buffered characters at which lines are passed on immediately. */
const MAX_BUFFERED_CHARS = 16 * 1024

/** Creates a stream that passes lines to `sink` in batches, and flushes when it ends. */
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
