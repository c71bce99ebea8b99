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

/** A run on one incarnation of a target. */
interface RunView {
  run: number
  target: string
  /** Start of the incarnation, in ms since 1970. */
  lifeStartMs: number
}

/** End of a run, with whether it was reported to the owner and acknowledged by it. */
interface EndView extends RunView {
  what: LedgerEvent
  at: number
  isListed: boolean
  isNoted: boolean
}

/** A task with its active runs, at most one unless a guarantee is violated, and earlier ends. */
export interface TaskView {
  name: string
  step: number
  active: RunView[]
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
      return { name, step, active: [], startedAt: -Infinity, ends: [] }
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
  const { what, run, target, lifeStartMs, at } = entry
  const isSameRun = (other: RunView): boolean =>
    other.run === run && other.target === target && other.lifeStartMs === lifeStartMs
  if (what === 'start') {
    task.active.push({ run, target, lifeStartMs })
    task.startedAt = at
  } else if (what === 'listed' || what === 'noted') {
    const end = task.ends.find(isSameRun)
    if (end) end[what === 'noted' ? 'isNoted' : 'isListed'] = true
  } else {
    const end = { what, run, target, lifeStartMs, at, isListed: false, isNoted: false }
    task.ends.push(end)
    task.active = task.active.filter((active) => !isSameRun(active))
  }
}
