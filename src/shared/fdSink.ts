/**
 * Writes text to a file descriptor without ever blocking: a pipe whose reader stands
 * still would otherwise stop the whole process. What does not fit is dropped and counted.
 */
import { write } from 'node:fs'
import { Writable } from 'node:stream'

/** Text that may wait for the reader, in characters. */
const MAX_WAITING = 1024 * 1024
/** Pause before a full pipe is tried again, in ms. */
const RETRY_MS = 20

/** Creates a stream that accepts text at once and writes it as the reader takes it. */
export function createFdSink(fd: number): Writable {
  let waiting = ''
  let dropped = 0
  let writing = false
  let idle: (() => void) | undefined

  const next = (): void => {
    if (writing) return
    if (waiting === '') return idle?.()
    const chunk = Buffer.from(waiting, 'utf8')
    waiting = ''
    writing = true
    send(chunk)
  }

  /** A pipe may take only a part; a full one asks to come again. */
  const send = (chunk: Buffer): void => {
    write(fd, chunk, (err, written) => {
      if (err?.code === 'EAGAIN') return void setTimeout(() => send(chunk), RETRY_MS)
      if (!err && written < chunk.length) return send(chunk.subarray(written))
      // A closed reader cannot be told of anything: the text is given up.
      writing = false
      next()
    })
  }

  return new Writable({
    decodeStrings: false,
    write(chunk: string | Buffer, _encoding, done) {
      const text = String(chunk)
      if (waiting.length + text.length > MAX_WAITING) dropped++
      else {
        if (dropped > 0) waiting += `${JSON.stringify({ logBatchesDropped: dropped })}\n`
        dropped = 0
        waiting += text
      }
      next()
      done()
    },
    final(done) {
      idle = done
      next()
    },
  })
}
