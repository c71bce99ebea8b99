/**
 * Counts target crashes per task. Tasks that may cause crashes run in isolation, and fail after
 * a number of crashes. A crash ends every run on the target, so a task counts as a likely cause
 * only if its run began recently.
 */
import type { Step, Task } from './job.js'
import type { CrashRole } from './records.js'

/**
 * A task fails after this many crashes of which it is a likely cause, if `MIN_SOLE_CRASHES` of
 * them have the role `sole`.
 */
const MAX_CRASHES = 3
/** Crashes with the role `sole` that a task needs to fail at `MAX_CRASHES`. */
const MIN_SOLE_CRASHES = 2
/** A task fails after this many crashes of which it is a likely cause, whatever their roles. */
const MAX_SHARED_CRASHES = 5
/** Crashes after which a task becomes a suspect even if it is a likely cause of none of them. */
const MIN_PRESENT_CRASHES = 2
/** Uptime from which a run counts as stable, in ms of the target's clock. */
const STABLE_AFTER_MS = 100
/** The same for a task that may crash its targets some time after its start, in ms. */
export const LONG_STABLE_AFTER_MS = 2000

/**
 * The task whose `crashes` hold the count: the task itself, or the first task of a gang, whose
 * members run together.
 */
export const countedTask = (task: Task): Task =>
  task.step.spec.gang ? (task.step.tasks[0] ?? task) : task

/** Uptime from which a run of the task counts as stable, in ms. */
export function stableAfterMs(task: Task): number {
  const roles = [...countedTask(task).crashes.values()]
  const mayCrashLate = roles.length > 1 && roles.includes('present')
  return mayCrashLate ? LONG_STABLE_AFTER_MS : STABLE_AFTER_MS
}

const countCrashes = (task: Task, matches: (role: CrashRole) => boolean): number =>
  [...countedTask(task).crashes.values()].filter(matches).length

/** Number of crashes of which no run of another job is a likely cause. */
const soleCrashes = (task: Task): number => countCrashes(task, (role) => role === 'sole')

/** Number of crashes of which a run of the task is a likely cause. */
const likelyCrashes = (task: Task): number =>
  countCrashes(task, (role) => role !== 'present')

const isSuspect = (counted: Task): boolean =>
  likelyCrashes(counted) > 0 || counted.crashes.size >= MIN_PRESENT_CRASHES

function isAtLimit(counted: Task): boolean {
  const likely = likelyCrashes(counted)
  const isSoleCause = soleCrashes(counted) >= MIN_SOLE_CRASHES
  return (isSoleCause && likely >= MAX_CRASHES) || likely >= MAX_SHARED_CRASHES
}

/** Records a crash during a run of the task; true when the task has reached a crash limit. */
export function addCrash(task: Task, run: number, role: CrashRole): boolean {
  const counted = countedTask(task)
  if (!counted.crashes.has(run)) counted.crashes = new Map(counted.crashes).set(run, role)
  if (isSuspect(counted)) counted.step.crashSuspects.add(counted)
  return isAtLimit(counted)
}

/** Records the uptime of a run, in ms; true when the task is no longer a suspect. */
export function noteUptime(task: Task, ms: number): boolean {
  const counted = countedTask(task)
  if (counted.crashes.size === 0 || ms < stableAfterMs(task)) return false
  if (ms >= LONG_STABLE_AFTER_MS) counted.crashes = new Map()
  return counted.step.crashSuspects.delete(counted)
}

/** Whether the task must run in isolation until one of its runs is stable. */
export const isCrashSuspect = (task: Task): boolean =>
  task.step.crashSuspects.has(countedTask(task))

/** The suspects among the tasks, those with the most sole crashes first. */
export const crashSuspectsOf = (tasks: Task[]): Task[] =>
  tasks.filter(isCrashSuspect).sort((a, b) => soleCrashes(b) - soleCrashes(a))

/** Whether some crash of the task has no other job as a likely cause, and so is likely to recur. */
export const isSoleSuspect = (task: Task): boolean => soleCrashes(countedTask(task)) > 0

/** Whether the step has a suspect with such a crash. */
export const hasSoleSuspect = ({ crashSuspects }: Step): boolean =>
  [...crashSuspects].some(isSoleSuspect)

/** Whether a suspect of the step is placed; other suspects of the step wait until it ends. */
export function hasSuspectRunning({ crashSuspects, tasks, spec }: Step): boolean {
  const isPlaced = ({ phase }: Task): boolean => phase === 'placed'
  if (spec.gang) return crashSuspects.size > 0 && tasks.some(isPlaced)
  return [...crashSuspects].some(isPlaced)
}
