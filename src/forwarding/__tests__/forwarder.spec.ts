import { ok } from 'neverthrow'
import { describe, it, itAlone } from '../../../test/describe.js'
import { createMemoryLogger, sleep } from '../../shared/index.js'
import { MAX_QUEUE_MS } from '../constants.js'
import type { ForwardRequest, ForwardResponse } from '../forwardClient.js'
import { createForwarder } from '../forwarder.js'
import type { NewCall } from '../forwarder.js'

const STOP: NewCall = {
  kind: 'stop',
  target: { id: 't', address: 't:1' },
  order: { task: 'a.0.0.0', run: 1, token: 1 },
  timeoutMs: 100,
}

/** Creates a forwarder whose node answers every call at once, as `life`. */
function setUp(state: { life: string }) {
  const log = createMemoryLogger()
  const sent: number[] = []
  const send = async ({ calls }: ForwardRequest) => {
    const seqs = (JSON.parse(calls) as { seq: number }[]).map(({ seq }) => seq)
    sent.push(...seqs)
    await sleep(5)
    const answers = JSON.stringify(seqs.map((seq) => ({ seq, value: true })))
    const res: ForwardResponse = { life: state.life, answers, busyShare: 0.25 }
    return ok(res)
  }
  return { forwarder: createForwarder({ address: 'n:1', send, log }), sent, log }
}

const blockFor = (ms: number): void => {
  const endsAt = performance.now() + ms
  while (performance.now() < endsAt);
}

describe('createForwarder', () => {
  it('shares messages between calls and tells how busy the node is', async (t) => {
    const { forwarder, sent } = setUp({ life: 'a' })
    const outcomes = await Promise.all([forwarder.call(STOP), forwarder.call(STOP)])
    t.deepEqual(
      outcomes.map((each) => typeof each),
      ['object', 'object'],
    )
    t.deepEqual(sent, [1, 2])
    t.is(forwarder.busyShare(), 0.25)
  })

  it('does not take a node for lost that has forgotten a session without calls', async (t) => {
    const state = { life: 'a' }
    const { forwarder, log } = setUp(state)
    await forwarder.call(STOP)
    state.life = 'b'
    t.is(typeof (await forwarder.call(STOP)), 'object')
    t.deepEqual(log.events, [])
  })

  itAlone('sends no call that waited while the process was frozen', async (t) => {
    const { forwarder, sent } = setUp({ life: 'a' })
    const outcome = forwarder.call(STOP)
    blockFor(MAX_QUEUE_MS + 50)
    t.is(await outcome, 'notSent')
    t.deepEqual(sent, [])
  })
})
