/** Whether a target answers, and for how long it has not. */
import { monotonicMs } from '../shared/index.js'
import type { Logger } from '../shared/index.js'

/** The silence of one target. */
export interface TargetSilence {
  isAnswering(): boolean
  /** Calls of which the first was sent at this steady time, in ms, went unanswered. */
  missed(sentAt: number): void
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
  let answering = true
  let missedSince: number | undefined

  return {
    isAnswering: () => answering,
    missed: (sentAt) => void (missedSince ??= sentAt),
    begin(reason) {
      if (answering) log.event('targetSilent', { target: targetId, reason })
      answering = false
    },
    end(ends) {
      const silentMs = missedSince === undefined ? 0 : monotonicMs() - missedSince
      const fields = { target: targetId, silentMs: Math.round(silentMs), ends }
      if (!answering) log.event('targetAnswers', fields)
      answering = true
      missedSince = undefined
      return silentMs
    },
  }
}
