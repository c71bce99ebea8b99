/**
 * Batches questions to other nodes: while a call to a node is in flight, further questions to
 * it wait for the next call. A call costs both ends about 1 ms of processor time regardless of
 * its size, and an owner at its peak is asked some hundred times a second.
 */
import type { Result } from 'neverthrow'
import { err, ok } from 'neverthrow'
import {
  PlatformError,
  describeError,
  monotonicMs,
  takeFitting,
} from '../shared/index.js'
import type { Answer, Question } from '../peer/gen/node_pb.js'

/** A question without the fields that the generated code adds. */
export type NewQuestion = Omit<Question, '$typeName' | '$unknown'>

/** Name of the call in errors. */
const STEP = 'node.ask'
/** Most questions in one call; they take a few ms of the other node's time. */
const MAX_QUESTIONS_PER_CALL = 200
/** Most text in one call, in characters: in ASCII, half of the largest message. */
const MAX_TEXT_PER_CALL = 512 * 1024

const MESSAGE_LIMITS = { size: MAX_TEXT_PER_CALL, count: MAX_QUESTIONS_PER_CALL }

/** Sends questions to other nodes, in batches. */
export interface QuestionBatches {
  /** Asks the node at the address; an error if it does not answer in time. */
  ask(address: string, question: NewQuestion): Promise<Result<Answer, PlatformError>>
}

/** A question that waits to be sent or answered. */
interface Pending {
  question: NewQuestion
  askedAt: number
  settle(answer: Result<Answer, PlatformError>): void
}

/** Questions that wait to be sent to one node. */
interface PeerQueue {
  waiting: Pending[]
  isSending: boolean
}

const textOf = ({ about }: NewQuestion): string => about.value ?? ''

/**
 * Creates the batches; nothing is sent before the first question.
 * @param send calls a node; rejects if it does not answer in time
 * @param answerTimeoutMs longest wait for an answer, and longest wait to be sent, in ms
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
        each.settle(
          reply ? ok(reply) : failed(address, 'the reply has no answer to this question'),
        )
      }
    } catch (cause) {
      const reason = describeError(cause)
      for (const each of batch) each.settle(failed(address, reason))
    }
  }

  /** Fails questions that have waited longer than their callers wait. */
  function failExpired(address: string, line: PeerQueue): void {
    const cutoff = monotonicMs() - answerTimeoutMs
    const expired = line.waiting.filter(({ askedAt }) => askedAt < cutoff)
    if (expired.length === 0) return
    line.waiting = line.waiting.filter(({ askedAt }) => askedAt >= cutoff)
    for (const each of expired)
      each.settle(failed(address, 'timed out while earlier calls were in flight'))
  }

  async function sendQueued(address: string, line: PeerQueue): Promise<void> {
    line.isSending = true
    while (line.waiting.length > 0) {
      await sendBatch(
        address,
        takeFitting(
          line.waiting,
          ({ question }) => textOf(question).length,
          MESSAGE_LIMITS,
        ),
      )
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
