/** Time-outs of calls to peers. */
import type { CallOptions } from '@connectrpc/connect'
import { Code, ConnectError } from '@connectrpc/connect'
import { watchSilence } from '../shared/index.js'

/**
 * Calls a peer and cancels the call when no reply arrives in time. Time in which this
 * process could not read does not count: a reply that has arrived is used even if it is
 * read late.
 * @param timeoutMs longest wait for the reply.
 * @param run makes the call with the given options.
 * @param signal cancels the call at once.
 */
export async function callWithTimeout<T>(
  timeoutMs: number,
  run: (options: CallOptions) => Promise<T>,
  signal?: AbortSignal,
): Promise<T> {
  const controller = new AbortController()
  const cancel = () => controller.abort(new ConnectError('call cancelled', Code.Canceled))
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
