/** Interface of the advice service, which decides on which targets a step may run. */
import type { Result } from 'neverthrow'
import type { PlatformError } from '../shared/index.js'

/** Permission to start tasks of a step on a target. */
export interface Ticket {
  targetId: string
  ticket: string
}

export interface AdviceAnswer {
  tickets: Ticket[]
  validMs: number
}

export interface Advice {
  /** @param step id of the step, as `JOB.OCCURRENCE.STEP` */
  ask(step: string, targetIds: string[]): Promise<Result<AdviceAnswer, PlatformError>>
}
