/** State of each job of a run, as observed by its callers and on the targets. */
import type { LedgerEvent, WatchedEntry } from '../sim/runLedger.js'
import type { SoakOrganisation } from './organisations.js'

/** A queue with the settings that callers rely on. */
export interface SoakQueue {
  name: string
  path: string
  service: string
  maxAttempts: number
}

/** A step of a submitted job; `after` holds the indices of the steps that it depends on. */
export interface StepView {
  count: number
  cpu: number
  after: number[]
}

/** End of a run, with whether it was reported to the owner and acknowledged by it. */
interface EndView {
  what: LedgerEvent
  run: number
  target: string
  at: number
  isListed: boolean
  isNoted: boolean
}

/** A task with its active run, if any, and the ends of its earlier runs. */
export interface TaskView {
  name: string
  step: number
  active: { run: number; target: string } | undefined
  startedAt: number
  ends: EndView[]
}

/** A job with its tasks. */
export interface JobView {
  id: string
  queue: SoakQueue
  /** Organisation of its caller; undefined in a run without organisations. */
  organisation?: SoakOrganisation | undefined
  spec: string
  steps: StepView[]
  isLasting: boolean
  tasks: TaskView[]
  /** Whether some attempt to submit it may have been accepted. */
  mayBeTaken: boolean
  /** Monotonic time at which it was sent first, in ms. */
  sentAt?: number
  acceptedAt?: number
  cancelSentAt?: number
  cancelAckedAt?: number
  /** Final state that was returned to callers. */
  outcome?: string
}

/** Creates the tasks of a job that has not run. */
export const tasksOf = (id: string, steps: StepView[]): TaskView[] =>
  steps.flatMap(({ count }, step) =>
    Array.from({ length: count }, (_, index): TaskView => {
      const name = `${id}.0.${step}.${index}`
      return { name, step, active: undefined, startedAt: -Infinity, ends: [] }
    }),
  )

/** Number of ends of one kind; with `acknowledgedOnly`, of those acknowledged by the owner. */
export const countEnds = (
  task: TaskView,
  what: LedgerEvent,
  acknowledgedOnly = false,
): number =>
  task.ends.filter((end) => end.what === what && (end.isNoted || !acknowledgedOnly))
    .length

/** Whether all tasks of the steps that a task depends on are done. */
export const areDependenciesDone = (
  { tasks, steps }: JobView,
  { step }: TaskView,
): boolean =>
  tasks.every(
    (other) => !steps[step]!.after.includes(other.step) || countEnds(other, 'done') > 0,
  )

/** Whether the job is over, as the owner knows that a task has used up its attempts. */
export const hasExhaustedAttempts = ({ tasks, queue, isLasting }: JobView): boolean => {
  const isReportedFailure = ({ what, isListed }: EndView) => what === 'failed' && isListed
  const isExhausted = ({ ends }: TaskView) =>
    ends.filter(isReportedFailure).length >= queue.maxAttempts
  return !isLasting && tasks.some(isExhausted)
}

/** Applies an event of a target to a task. */
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
