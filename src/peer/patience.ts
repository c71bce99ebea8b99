/** Bounds of the wait for a peer's answer. */
import type { CallOptions } from '@connectrpc/connect'
import { Code, ConnectError } from '@connectrpc/connect'
import { watchSilence } from '../shared/index.js'

/**
 * Calls a peer and gives up when it stays silent. Time in which this process could not
 * read does not count: an answer that has arrived is taken, however late it is read.
 * @param ms silence that is borne.
 * @param run makes the call with the options that it is given.
 * @param ended ends the call at once.
 */
export async function callPatiently<T>(
  ms: number,
  run: (options: CallOptions) => Promise<T>,
  ended?: AbortSignal,
): Promise<T> {
  const givingUp = new AbortController()
  const giveUp = () => givingUp.abort(new ConnectError('given up', Code.Canceled))
  const watch = watchSilence(ms, () => {
    const reason = `no answer within ${ms} ms`
    givingUp.abort(new ConnectError(reason, Code.DeadlineExceeded))
  })
  ended?.addEventListener('abort', giveUp)
  if (ended?.aborted) giveUp()
  try {
    return await run({ signal: givingUp.signal })
  } finally {
    watch.stop()
    ended?.removeEventListener('abort', giveUp)
  }
}
