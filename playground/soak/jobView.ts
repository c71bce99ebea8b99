/** What a run of the soak knows of each job from outside: from its callers and its targets. */
import type { LedgerEvent, WatchedEntry } from '../sim/simTarget.js'

/** A queue as callers know it. */
export interface SoakQueue {
  name: string
  path: string
  service: string
  maxAttempts: number
}

/** One step as callers ask for it; `after` are the earlier steps that it waits for. */
export interface StepView {
  count: number
  cpu: number
  after: number[]
}

/** How a run ended, and whether its owner was told of that and has acknowledged it. */
interface EndView {
  what: LedgerEvent
  run: number
  target: string
  at: number
  isListed: boolean
  isNoted: boolean
}

/** One task with the run that goes on, if any, and the ends of the earlier ones. */
export interface TaskView {
  name: string
  step: number
  active: { run: number; target: string } | undefined
  startedAt: number
  ends: EndView[]
}

/** One job. */
export interface JobView {
  id: string
  queue: SoakQueue
  spec: string
  steps: StepView[]
  isLasting: boolean
  tasks: TaskView[]
  /** Some attempt to hand it in may have been taken. */
  mayBeTaken: boolean
  acceptedAt?: number
  cancelSentAt?: number
  cancelAckedAt?: number
  /** Its final state, once callers were shown one. */
  outcome?: string
}

/** The tasks of a job that has not run. */
export const tasksOf = (id: string, steps: StepView[]): TaskView[] =>
  steps.flatMap(({ count }, step) =>
    Array.from({ length: count }, (_, index): TaskView => {
      const name = `${id}.0.${step}.${index}`
      return { name, step, active: undefined, startedAt: -Infinity, ends: [] }
    }),
  )

/** How many runs of a task ended so; with `noted` only what its owner has acknowledged. */
export const countEnds = (task: TaskView, what: LedgerEvent, noted = false): number =>
  task.ends.filter((end) => end.what === what && (end.isNoted || !noted)).length

/** Whether all tasks of the earlier steps that a task waits for have ended well. */
export const areDependenciesDone = (
  { tasks, steps }: JobView,
  { step }: TaskView,
): boolean =>
  tasks.every(
    (other) => !steps[step]!.after.includes(other.step) || countEnds(other, 'done') > 0,
  )

/** Whether a task has used up its attempts as far as its owner may know: the job is over. */
export const hasExhaustedAttempts = ({ tasks, queue, isLasting }: JobView): boolean => {
  const isReportedFailure = ({ what, isListed }: EndView) => what === 'failed' && isListed
  const isExhausted = ({ ends }: TaskView) =>
    ends.filter(isReportedFailure).length >= queue.maxAttempts
  return !isLasting && tasks.some(isExhausted)
}

/** Takes a start, an end or the word of an end over from a target. */
export function recordEntry(task: TaskView, entry: WatchedEntry): void {
  const { what, run, target, at } = entry
  if (what === 'start') {
    task.active = { run, target }
    task.startedAt = at
  } else if (what === 'listed' || what === 'noted') {
    const end = task.ends.find((each) => each.run === run && each.target === target)
    if (end) end[what === 'noted' ? 'isNoted' : 'isListed'] = true
  } else {
    task.ends.push({ what, run, target, at, isListed: false, isNoted: false })
    if (task.active?.target === target) task.active = undefined
  }
}
