/** Bounds of the wait for a peer's answer. */
import type { CallOptions } from '@connectrpc/connect'
import { Code, ConnectError } from '@connectrpc/connect'
import { watchSilence } from '../shared/index.js'

/**
 * Calls a peer and gives up when it stays silent. Time in which this process could not
 * read does not count: an answer that has arrived is taken, however late it is read.
 * @param timeoutMs silence that is borne.
 * @param run makes the call with the options that it is given.
 * @param signal ends the call at once.
 */
export async function callWithTimeout<T>(
  timeoutMs: number,
  run: (options: CallOptions) => Promise<T>,
  signal?: AbortSignal,
): Promise<T> {
  const controller = new AbortController()
  const cancel = () => controller.abort(new ConnectError('given up', Code.Canceled))
  const silenceWatch = watchSilence(timeoutMs, () => {
    const reason = `no answer within ${timeoutMs} ms`
    controller.abort(new ConnectError(reason, Code.DeadlineExceeded))
  })
  signal?.addEventListener('abort', cancel)
  if (signal?.aborted) cancel()
  try {
    return await run({ signal: controller.signal })
  } finally {
    silenceWatch.stop()
    signal?.removeEventListener('abort', cancel)
  }
}
