/**
 * Follows every accepted job for its whole life: a job that may start and has room starts.
 * The incident that it guards against: a job had nothing running for seconds while tasks of
 * it could run, since its owner trusted none of the few targets of the pool.
 */
import type { SimVm } from '../sim/simFleet.js'
import type { Calm } from './calm.js'
import { isTurnOf } from './jobViews.js'
import type { JobView, TaskView } from './jobViews.js'
import type { Report, RunChecks } from './runChecks.js'

/** Longest time for which a job may stand still, in ms; a lasting task has some more. */
const STILL_MS = 3000
const LASTING_STILL_MS = 6000
/** A target counts when it has been of use so long: nodes must have heard of it, in ms. */
const KNOWN_MS = 1000
/** Room that must be there, as a multiple of the need of the task. */
const ROOM_FACTOR = 2
/**
 * A run on a target out of reach may go on until its lease of 6 s is over, and some more for
 * clocks that differ: till then its task must not start again.
 */
const LEASE_MS = 6600

/** A target as the watch sees it. */
export interface WatchedTarget {
  vm: SimVm
  isReachable(): boolean
}

/** The watch. */
export interface StillWatch {
  /** Looks at all jobs. */
  look(): void
  /** Longest time for which a job stood still in calm, in ms. */
  longestMs(): number
}

/** Creates the watch. */
export function createStillWatch(opts: {
  checks: RunChecks
  calm: Calm
  targets: WatchedTarget[]
  isServed(): boolean
  report: Report
}): StillWatch {
  const { checks, calm, targets, report } = opts
  /** Since when each life of a target is of use. */
  const usableSince = new Map<string, number>()
  /** Since when each job, or task that lasts, stands still. */
  const stillSince = new Map<string, number>()
  const reported = new Set<string>()
  let longest = 0

  function lookAtTargets(now: number): void {
    for (const { vm, isReachable } of targets) {
      if (!vm.target) continue
      const { id } = vm.target
      const isUsable = vm.state === 'up' && vm.listing === 'ready' && isReachable()
      if (!isUsable) usableSince.delete(id)
      else if (!usableSince.has(id)) usableSince.set(id, now)
    }
  }

  const isKnown = (id: string, now: number): boolean =>
    now - (usableSince.get(id) ?? Infinity) > KNOWN_MS

  const roomFor = (job: JobView, task: TaskView, now: number): SimVm | undefined =>
    targets.find(({ vm }) => {
      if (vm.pool !== job.service || !vm.target || !isKnown(vm.target.id, now))
        return false
      const free = vm.capacity.cpu - checks.usedCpu(vm.target.id)
      return free >= ROOM_FACTOR * job.steps[task.step]!.cpu
    })?.vm

  /** Whether a run of the task may go on as far as a node can know. */
  const mayRun = ({ active, unheard }: TaskView, now: number): boolean =>
    active !== undefined ||
    (unheard !== undefined &&
      !isKnown(unheard.target, now) &&
      now - unheard.since < LEASE_MS)

  const mayStart = (job: JobView, task: TaskView, now: number): boolean =>
    !task.isDone &&
    (job.isLasting || task.failedNoted < job.maxAttempts) &&
    !mayRun(task, now) &&
    isTurnOf(job, task)

  function note(key: string, limitMs: number, now: number, detail: () => string): void {
    const since = stillSince.get(key) ?? now
    stillSince.set(key, since)
    longest = Math.max(longest, now - since)
    if (now - since <= limitMs || reported.has(key)) return
    reported.add(key)
    report('stood still', detail())
  }

  function lookAtTask(job: JobView, task: TaskView, key: string, now: number): boolean {
    const vm = mayStart(job, task, now) ? roomFor(job, task, now) : undefined
    if (!vm) return false
    note(key, job.isLasting ? LASTING_STILL_MS : STILL_MS, now, () => {
      const faults = JSON.stringify(vm.target?.faults)
      return `${task.name} could run on ${vm.target?.id} (${vm.name}, ${vm.pool}): ${faults}`
    })
    return true
  }

  function lookAtJob(job: JobView, now: number): void {
    if (job.isLasting) {
      for (const task of job.tasks) {
        if (!lookAtTask(job, task, task.name, now)) stillSince.delete(task.name)
      }
      return
    }
    const isRunning = job.tasks.some(({ active }) => active !== undefined)
    const isStill =
      !isRunning && job.tasks.some((task) => lookAtTask(job, task, job.id, now))
    if (!isStill) stillSince.delete(job.id)
  }

  return {
    look() {
      const now = performance.now()
      lookAtTargets(now)
      if (!calm.isCalm() || !opts.isServed()) return stillSince.clear()
      for (const job of checks.jobs.values()) {
        const isOpen = job.acceptedAt !== undefined && job.outcome === undefined
        if (isOpen && job.cancelSentAt === undefined) lookAtJob(job, now)
        else stillSince.delete(job.id)
      }
    },
    longestMs: () => Math.round(longest),
  }
}
