/**
 * Writes text to a file descriptor without blocking: otherwise a pipe whose reader has stopped
 * reading would block the whole process. Text that exceeds the buffer is dropped and counted.
 */
import { write } from 'node:fs'
import { Writable } from 'node:stream'

/** Largest buffer of text that the reader has not taken yet, in characters. */
const MAX_BUFFERED_CHARS = 1024 * 1024
/** Pause before a write to a full pipe is retried, in ms. */
const FULL_PIPE_RETRY_MS = 20

/** Creates a stream that accepts text immediately and writes it as the reader takes it. */
export function createFdSink(fd: number): Writable {
  let buffered = ''
  let droppedBatches = 0
  let writing = false
  let onDrained: (() => void) | undefined

  const flush = (): void => {
    if (writing) return
    if (buffered === '') return onDrained?.()
    const chunk = Buffer.from(buffered, 'utf8')
    buffered = ''
    writing = true
    send(chunk)
  }

  /** A pipe may take only a part of the chunk; a full one fails with EAGAIN. */
  const send = (chunk: Buffer): void => {
    write(fd, chunk, (err, written) => {
      if (err?.code === 'EAGAIN')
        return void setTimeout(() => send(chunk), FULL_PIPE_RETRY_MS)
      if (!err && written < chunk.length) return send(chunk.subarray(written))
      // A closed pipe has no reader to report the error to: the text is dropped.
      writing = false
      flush()
    })
  }

  return new Writable({
    decodeStrings: false,
    write(chunk: string | Buffer, _encoding, done) {
      const text = String(chunk)
      if (buffered.length + text.length > MAX_BUFFERED_CHARS) droppedBatches++
      else {
        if (droppedBatches > 0)
          buffered += `${JSON.stringify({ logBatchesDropped: droppedBatches })}\n`
        droppedBatches = 0
        buffered += text
      }
      flush()
      done()
    },
    final(done) {
      onDrained = done
      flush()
    },
  })
}
