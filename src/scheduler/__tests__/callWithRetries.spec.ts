import { err, ok } from 'neverthrow'
import { describe, it } from '../../../test/describe.js'
import type { OrderFailure } from '../../ports/index.js'
import { PlatformError, createAdaptiveTimeout, sleep } from '../../shared/index.js'
import { callWithRetries } from '../callWithRetries.js'
import { ANSWER_TIMEOUT_MS, MIN_ANSWER_TIMEOUT_MS } from '../constants.js'

const failedResult = (failure: OrderFailure) => {
  const props = { step: 'orders.start', peer: 't1', failure: 'unknown' as const }
  return err({ failure, reason: failure, cause: new PlatformError(failure, { props }) })
}

/** Creates a target that usually answers in 1 ms and gives these results to the next calls. */
function createFakeTarget(results: unknown[]) {
  const roundTrip = createAdaptiveTimeout({
    minMs: MIN_ANSWER_TIMEOUT_MS,
    maxMs: ANSWER_TIMEOUT_MS,
  })
  roundTrip.note(1)
  const timeouts: number[] = []
  const send = async (timeoutMs: number) => {
    timeouts.push(timeoutMs)
    const res = results.shift() as ReturnType<typeof failedResult>
    if (res.isErr() && res.error.failure === 'unanswered') await sleep(timeoutMs)
    return res
  }
  return { roundTrip, timeouts, send }
}

describe('callWithRetries', () => {
  it('retries unanswered calls with increasing time-outs', async (t) => {
    const { roundTrip, timeouts, send } = createFakeTarget([
      failedResult('unanswered'),
      failedResult('unanswered'),
      ok(true),
    ])
    const { res, unansweredCalls } = await callWithRetries({ roundTrip, send })
    t.true(res.isOk())
    t.is(unansweredCalls, 2)
    t.deepEqual(timeouts.slice(0, 2), [MIN_ANSWER_TIMEOUT_MS, MIN_ANSWER_TIMEOUT_MS * 2])
  })

  it('gives up no later than a single call would', async (t) => {
    const { roundTrip, timeouts, send } = createFakeTarget(
      Array(9).fill(failedResult('unanswered')),
    )
    const { res } = await callWithRetries({ roundTrip, send })
    t.true(res.isErr())
    t.true(timeouts.reduce((sum, ms) => sum + ms) <= ANSWER_TIMEOUT_MS)
  })

  it('counts no call that has not left this node', async (t) => {
    const { roundTrip, timeouts, send } = createFakeTarget([
      failedResult('notSent'),
      failedResult('notSent'),
      ok(true),
    ])
    const before = roundTrip.timeoutMs()
    const { res, unansweredCalls } = await callWithRetries({ roundTrip, send })
    t.true(res.isOk())
    t.is(timeouts.length, 3)
    t.is(unansweredCalls, 0)
    t.is(roundTrip.timeoutMs(), before)
  })

  it('gives up a call that does not leave this node, without blaming the target', async (t) => {
    const { roundTrip, send } = createFakeTarget(Array(9).fill(failedResult('notSent')))
    const { res, unansweredCalls } = await callWithRetries({ roundTrip, send })
    t.is(res.isErr() && res.error.failure, 'notSent')
    t.is(unansweredCalls, 0)
  })

  for (const failure of ['gone', 'fenced', 'notDone'] as const) {
    it(`does not retry a call that fails as ${failure}`, async (t) => {
      const { roundTrip, timeouts, send } = createFakeTarget([failedResult(failure)])
      const { unansweredCalls } = await callWithRetries({ roundTrip, send })
      t.is(timeouts.length, 1)
      t.is(unansweredCalls, 0)
    })
  }

  it('does not retry once the answer is not wanted', async (t) => {
    const { roundTrip, timeouts, send } = createFakeTarget([failedResult('unanswered')])
    await callWithRetries({ roundTrip, send, mayRetry: () => false })
    t.is(timeouts.length, 1)
  })
})
