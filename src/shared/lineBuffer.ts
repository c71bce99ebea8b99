/** Gathers log lines for a moment, so that a busy process makes fewer system calls. */
import { Writable } from 'node:stream'

/** Longest time that a line is held, in ms. A kill loses at most this much. */
const HOLD_MS = 20
/** Lines are passed on at once when so many characters are held. */
const MAX_HELD = 16 * 1024

/** A stream that passes lines on to `sink` in batches, and all of them when it ends. */
export function createLineBuffer(sink: NodeJS.WritableStream): Writable {
  let held = ''
  let timer: NodeJS.Timeout | undefined

  const flush = () => {
    clearTimeout(timer)
    timer = undefined
    if (held === '') return
    sink.write(held)
    held = ''
  }

  return new Writable({
    decodeStrings: false,
    write(chunk: string | Buffer, _encoding, done) {
      held += String(chunk)
      if (held.length >= MAX_HELD) flush()
      else timer ??= setTimeout(flush, HOLD_MS)
      done()
    },
    final(done) {
      flush()
      done()
    },
  })
}
