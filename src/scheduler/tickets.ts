/**
 * Permissions of the advice service, for queues whose policy lets a step run only on some
 * targets. One call per step at a time; tickets are reused while they hold.
 */
import type { Step } from '../jobs/index.js'
import type { Advice } from '../ports/index.js'
import { describeError, monotonicMs } from '../shared/index.js'
import type { Logger } from '../shared/index.js'
import type { TargetAgent } from './types.js'

/** Targets named in one call: the platform counts a call on 30 as usual. */
const MAX_CANDIDATES = 30
/** A ticket is not used when it holds for less than this, in ms: about an order's way. */
const MIN_VALID_MS = 150
/** Pause after a call that failed, in ms. */
const RETRY_MS = 300

export interface Tickets {
  /** Ticket for a start; undefined when the target may not be used, or not yet. */
  find(step: Step, agent: TargetAgent): string | undefined
  /** Asks for a step that waits, if nothing is known that holds. */
  want(step: Step, agents: TargetAgent[]): void
  /** A target did not accept the ticket. */
  discard(step: Step, targetId: string): void
}

interface StepAdvice {
  tickets: Map<string, string>
  validUntil: number
  isAsking: boolean
}

export function createTickets(opts: {
  advice: Advice | undefined
  log: Logger
  /** New tickets have come. */
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
    state.isAsking = true
    const name = `${step.job.spec.id}.${step.occurrence}.${step.index}`
    const sentAt = monotonicMs()
    const res = await advice.ask(name, ids)
    state.isAsking = false
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
    want(step, agents) {
      const state = adviceByStep.get(step) ?? {
        tickets: new Map(),
        validUntil: 0,
        isAsking: false,
      }
      adviceByStep.set(step, state)
      if (state.isAsking || state.validUntil - monotonicMs() >= MIN_VALID_MS) return
      const candidates = agents.filter(
        (agent) => agent.isUsable() && agent.room.fits(step),
      )
      const ids = candidates.slice(0, MAX_CANDIDATES).map(({ target }) => target.id)
      if (ids.length > 0) void requestTickets(step, state, ids)
    },
    discard: (step, targetId) => void adviceByStep.get(step)?.tickets.delete(targetId),
  }
}
