/** Tracks whether a target answers, and for how long it has not answered. */
import { monotonicMs } from '../shared/index.js'
import type { Logger } from '../shared/index.js'

/** Answering state of one target. */
export interface TargetSilence {
  isAnswering(): boolean
  /**
   * Notes unanswered calls.
   * @param sentAt monotonic time of the first of them, in ms
   */
  noteMissed(sentAt: number): void
  /** Marks the target as silent. */
  markSilent(reason: string): void
  /**
   * Marks the target as answering.
   * @param ends number of ended runs in the answer
   * @returns time for which it had not answered, in ms
   */
  markAnswering(ends: number): number
}

/** Creates the state of a target, which counts as answering until it is marked as silent. */
export function createTargetSilence(targetId: string, log: Logger): TargetSilence {
  let isAnswering = true
  let missedSince: number | undefined

  return {
    isAnswering: () => isAnswering,
    noteMissed: (sentAt) => void (missedSince ??= sentAt),
    markSilent(reason) {
      if (isAnswering) log.event('targetSilent', { target: targetId, reason })
      isAnswering = false
    },
    markAnswering(ends) {
      const silentMs = missedSince === undefined ? 0 : monotonicMs() - missedSince
      const fields = { target: targetId, silentMs: Math.round(silentMs), ends }
      if (!isAnswering) log.event('targetAnswers', fields)
      isAnswering = true
      missedSince = undefined
      return silentMs
    },
  }
}
