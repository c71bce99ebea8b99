/**
 * Questions to other nodes, gathered: while a call to a node is under way, what is asked of
 * it meanwhile waits and goes with the next one. A call costs both ends about 1 ms of
 * processor time, whatever it carries, and an owner at its peak is asked some hundred
 * times a second.
 */
import type { Result } from 'neverthrow'
import { err, ok } from 'neverthrow'
import { PlatformError, describeError, monotonicMs } from '../shared/index.js'
import type { Answer, Question } from '../peer/gen/node_pb.js'

/** A question as it is asked; the generated type without its name. */
export type NewQuestion = Omit<Question, '$typeName' | '$unknown'>

/** Names the call in errors. */
const STEP = 'node.ask'
/** Questions that one call carries at most: a few ms of the other node's time. */
const MAX_QUESTIONS_PER_CALL = 200
/** Bytes of text that one call carries at most: half of the largest message. */
const MAX_TEXT_PER_CALL = 512 * 1024

/** Asks other nodes. */
export interface QuestionBatches {
  /** Asks the node at the address; an error when it does not answer in time. */
  ask(address: string, question: NewQuestion): Promise<Result<Answer, PlatformError>>
}

/** A question that waits for its call or for the answer. */
interface Pending {
  question: NewQuestion
  askedAt: number
  settle(answer: Result<Answer, PlatformError>): void
}

/** What waits for one node. */
interface PeerQueue {
  waiting: Pending[]
  isSending: boolean
}

const textOf = ({ about }: NewQuestion): string => about.value ?? ''

/** Takes from the front as many as one call may carry, but one at least. */
function takeBatch(waiting: Pending[]): Pending[] {
  let text = 0
  let count = 0
  for (const { question } of waiting) {
    text += textOf(question).length
    if (count > 0 && (text > MAX_TEXT_PER_CALL || count >= MAX_QUESTIONS_PER_CALL)) break
    count++
  }
  return waiting.splice(0, count)
}

/**
 * Creates the gathering; nothing is sent before the first question.
 * @param send calls a node; rejects when it does not answer in time
 * @param answerTimeoutMs longest wait for an answer, and for the call to begin
 */
export function createQuestionBatches(
  send: (
    address: string,
    questions: NewQuestion[],
    timeoutMs: number,
  ) => Promise<Answer[]>,
  answerTimeoutMs: number,
): QuestionBatches {
  const queues = new Map<string, PeerQueue>()

  const failed = (address: string, reason: string): Result<Answer, PlatformError> => {
    const props = { step: STEP, peer: address, failure: 'unknown' as const }
    return err(new PlatformError(reason, { props }))
  }

  async function sendBatch(address: string, batch: Pending[]): Promise<void> {
    try {
      const questions = batch.map(({ question }) => question)
      const answers = await send(address, questions, answerTimeoutMs)
      for (const [index, each] of batch.entries()) {
        const reply = answers[index]
        each.settle(reply ? ok(reply) : failed(address, 'an answer is missing'))
      }
    } catch (cause) {
      const reason = describeError(cause)
      for (const each of batch) each.settle(failed(address, reason))
    }
  }

  /** Fails what has waited so long that its caller has no more time for it. */
  function failExpired(address: string, line: PeerQueue): void {
    const cutoff = monotonicMs() - answerTimeoutMs
    const expired = line.waiting.filter(({ askedAt }) => askedAt < cutoff)
    if (expired.length === 0) return
    line.waiting = line.waiting.filter(({ askedAt }) => askedAt >= cutoff)
    for (const each of expired)
      each.settle(failed(address, 'earlier calls took too long'))
  }

  async function sendQueued(address: string, line: PeerQueue): Promise<void> {
    line.isSending = true
    while (line.waiting.length > 0) {
      await sendBatch(address, takeBatch(line.waiting))
      failExpired(address, line)
    }
    line.isSending = false
  }

  return {
    ask(address, question) {
      let line = queues.get(address)
      if (!line) queues.set(address, (line = { waiting: [], isSending: false }))
      const { waiting, isSending } = line
      const answer = new Promise<Result<Answer, PlatformError>>((settle) => {
        waiting.push({ question, askedAt: monotonicMs(), settle })
      })
      if (!isSending) void sendQueued(address, line)
      return answer
    },
  }
}
