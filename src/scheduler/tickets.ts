/**
 * Fetches and caches tickets, the permissions of the advice service to start a step on a target.
 * They are needed for queues whose policy restricts the targets of a step. Each step has at most
 * one request in flight; its tickets are reused while they are valid.
 */
import type { Step } from '../jobs/index.js'
import type { Advice } from '../ports/index.js'
import { describeError, monotonicMs } from '../shared/index.js'
import type { Logger } from '../shared/index.js'
import type { TargetAgent } from './types.js'

/** Largest number of targets in one request; the platform regards 30 as usual. */
const MAX_CANDIDATES = 30
/** Least remaining validity of a ticket in use, in ms: about the time that an order takes. */
const MIN_VALID_MS = 150
/** Pause after a failed request, in ms. */
const RETRY_MS = 300

/** Tickets of all steps. */
export interface Tickets {
  /** Ticket for a start; undefined while there is none, or if the target is not permitted. */
  find(step: Step, agent: TargetAgent): string | undefined
  /** Requests tickets for a waiting step, unless the last answer is still valid. */
  request(step: Step, agents: TargetAgent[]): void
  /** Discards a ticket that the target refused. */
  discard(step: Step, targetId: string): void
}

/** Last answer of the advice service for a step. */
interface StepAdvice {
  /** Tickets by target id. */
  tickets: Map<string, string>
  /** Monotonic time until which the answer is valid, in ms; after a failure, end of the pause. */
  validUntil: number
  isRequesting: boolean
}

/** Creates an empty cache. */
export function createTickets(opts: {
  advice: Advice | undefined
  log: Logger
  /** Called when new tickets have arrived. */
  changed(): void
}): Tickets {
  const { advice, log } = opts
  const adviceByStep = new WeakMap<Step, StepAdvice>()

  async function requestTickets(
    step: Step,
    state: StepAdvice,
    ids: string[],
  ): Promise<void> {
    if (!advice) return log.event('adviceMissing', { job: step.job.spec.id })
    state.isRequesting = true
    const name = `${step.job.spec.id}.${step.occurrence}.${step.index}`
    const sentAt = monotonicMs()
    const res = await advice.ask(name, ids)
    state.isRequesting = false
    if (res.isErr()) {
      log.event('adviceFailed', { step: name, reason: describeError(res.error) })
      state.validUntil = monotonicMs() + RETRY_MS
      return
    }
    const { tickets, validMs } = res.value
    state.tickets = new Map(tickets.map(({ targetId, ticket }) => [targetId, ticket]))
    state.validUntil = sentAt + validMs
    log.event('adviceTaken', {
      step: name,
      asked: ids.length,
      good: tickets.length,
      validMs,
    })
    opts.changed()
  }

  return {
    find(step, agent) {
      const state = adviceByStep.get(step)
      if (!state || state.validUntil - monotonicMs() < MIN_VALID_MS) return undefined
      return state.tickets.get(agent.target.id)
    },
    request(step, agents) {
      const state = adviceByStep.get(step) ?? {
        tickets: new Map(),
        validUntil: 0,
        isRequesting: false,
      }
      adviceByStep.set(step, state)
      if (state.isRequesting || state.validUntil - monotonicMs() >= MIN_VALID_MS) return
      const candidates = agents.filter(
        (agent) => agent.isUsable() && agent.room.fits(step),
      )
      const ids = candidates.slice(0, MAX_CANDIDATES).map(({ target }) => target.id)
      if (ids.length > 0) void requestTickets(step, state, ids)
    },
    discard: (step, targetId) => void adviceByStep.get(step)?.tickets.delete(targetId),
  }
}
