import { describe, it } from '../../../test/describe.js'
import { sleep } from '../../shared/index.js'
import { createQuestionBatches } from '../questionBatches.js'
import type { NewQuestion } from '../questionBatches.js'

const ADDRESS = '10.0.0.1:7060'
/** Time-out of a call, in ms. */
const ANSWER_TIMEOUT_MS = 400

const statusOf = (id: string): NewQuestion => ({
  service: 'one',
  about: { case: 'status', value: id },
})

/** A node that answers a call when the test says so, each question with the id it asks about. */
function startNode() {
  const calls: string[][] = []
  const pending: { answer(): void; fail(): void }[] = []
  const batches = createQuestionBatches((_address, questions) => {
    const ids = questions.map(({ about }) => about.value ?? '')
    calls.push(ids)
    return new Promise((resolve, reject) => {
      const answers = ids.map((id) => ({ owns: true, status: id, waiting: 0 }))
      pending.push({
        answer: () => resolve(answers as never),
        fail: () => reject(new Error('no answer in time')),
      })
    })
  }, ANSWER_TIMEOUT_MS)
  const ask = async (id: string): Promise<string> => {
    const answer = await batches.ask(ADDRESS, statusOf(id))
    return answer.isOk() ? answer.value.status : 'failed'
  }
  return { calls, pending, ask }
}

describe('createQuestionBatches', () => {
  describe('while a call is in flight', () => {
    it('collects further questions for the next call', async (t) => {
      const { calls, pending, ask } = startNode()
      const answers = ['a', 'b', 'c'].map(ask)
      t.deepEqual(calls, [['a']])
      pending[0]?.answer()
      t.is(await answers[0], 'a')
      t.deepEqual(calls, [['a'], ['b', 'c']])
      pending[1]?.answer()
      t.deepEqual(await Promise.all(answers), ['a', 'b', 'c'])
    })

    it('does not delay questions to another node', async (t) => {
      const addresses: string[] = []
      const batches = createQuestionBatches((address) => {
        addresses.push(address)
        return new Promise(() => undefined)
      }, ANSWER_TIMEOUT_MS)
      void batches.ask('n1', statusOf('a'))
      void batches.ask('n2', statusOf('b'))
      t.deepEqual(addresses, ['n1', 'n2'])
    })
  })

  describe('call that fails', () => {
    it('fails only its own questions; the next ones are sent', async (t) => {
      const { pending, ask } = startNode()
      const answers = ['a', 'b'].map(ask)
      pending[0]?.fail()
      t.is(await answers[0], 'failed')
      pending[1]?.answer()
      t.is(await answers[1], 'b')
    })

    it('fails the questions that have waited longer than the time-out', async (t) => {
      const { calls, pending, ask } = startNode()
      const answers = ['a', 'b'].map(ask)
      await sleep(450)
      pending[0]?.fail()
      t.deepEqual(await Promise.all(answers), ['failed', 'failed'])
      t.is(calls.length, 1)
    })
  })

  describe('many or long questions', () => {
    it('are split over several calls without losing any', async (t) => {
      const { calls, pending, ask } = startNode()
      const ids = Array.from({ length: 500 }, (_, each) => `${each}`)
      const answers = ids.map(ask)
      for (let call = 0; call < 4; call++) {
        pending[call]?.answer()
        await sleep(1)
      }
      t.deepEqual(await Promise.all(answers), ids)
      t.true(calls.every((each) => each.length <= 200))
    })

    it('are sent one per call if two do not fit into a message', async (t) => {
      const { calls, pending, ask } = startNode()
      const answers = ['a', 'b'.repeat(400_000), 'c'.repeat(400_000)].map(ask)
      for (let call = 0; call < 3; call++) {
        pending[call]?.answer()
        await sleep(1)
      }
      await Promise.all(answers)
      t.deepEqual(
        calls.map((each) => each.length),
        [1, 1, 1],
      )
    })
  })
})
