/** Whether a target answers, and for how long it has not. */
import { monotonicMs } from '../shared/index.js'
import type { Logger } from '../shared/index.js'

/** The silence of one target. */
export interface TargetSilence {
  isAnswering(): boolean
  /** Calls of which the first was sent at this steady time, in ms, went unanswered. */
  noteMissed(sentAt: number): void
  /** It counts as silent from now on. */
  begin(reason: string): void
  /**
   * It has answered.
   * @param ends ends of runs that came with the answer
   * @returns how long it had not answered, in ms
   */
  end(ends: number): number
}

/** A target that answers until the contrary is seen. */
export function createTargetSilence(targetId: string, log: Logger): TargetSilence {
  let isAnswering = true
  let missedSince: number | undefined

  return {
    isAnswering: () => isAnswering,
    noteMissed: (sentAt) => void (missedSince ??= sentAt),
    begin(reason) {
      if (isAnswering) log.event('targetSilent', { target: targetId, reason })
      isAnswering = false
    },
    end(ends) {
      const silentMs = missedSince === undefined ? 0 : monotonicMs() - missedSince
      const fields = { target: targetId, silentMs: Math.round(silentMs), ends }
      if (!isAnswering) log.event('targetAnswers', fields)
      isAnswering = true
      missedSince = undefined
      return silentMs
    },
  }
}
