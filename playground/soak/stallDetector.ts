/**
 * Follows every accepted job for its whole life: a job that may start and has room starts.
 * The fault that it guards against: a job had nothing running for seconds while tasks of it
 * could run, since its owner trusted none of the few targets of the pool.
 */
import type { SimVm } from '../sim/simFleet.js'
import type { SimTarget } from '../sim/simTarget.js'
import type { DisturbanceTracker } from './disturbances.js'
import { countEnds, hasExhaustedAttempts, areDependenciesDone } from './jobView.js'
import type { JobView, TaskView } from './jobView.js'
import type { Report, RunChecks } from './runChecks.js'

/** Longest time for which a job stands still, in ms; for a task that lasts it is longer. */
const MAX_STALL_MS = 3000
const MAX_LASTING_TASK_STALL_MS = 6000
/** A target counts once it has been of use so long, in ms: nodes must have heard of it. */
const DISCOVERY_MS = 1000
/** Room that must be there, as a multiple of the need of the task. */
const ROOM_FACTOR = 2
/** A run out of reach may go on so long: a lease of 6 s and the skew of clocks, in ms. */
const MAX_UNREACHABLE_RUN_MS = 6600

/** A target as the watch sees it. */
export interface WatchedTarget {
  vm: SimVm
  isReachable(): boolean
}

/** The watch. */
export interface StallDetector {
  /** Looks at all jobs; to be called all the time. */
  check(): void
  /** Longest time for which a job stood still in disturbances, in ms. */
  longestStallMs(): number
}

/** Creates the watch. */
export function createStallDetector(opts: {
  checks: RunChecks
  disturbances: DisturbanceTracker
  targets: WatchedTarget[]
  isServed(): boolean
  report: Report
}): StallDetector {
  const { checks, disturbances, targets, report } = opts
  /** Since when each life of a target is of use. */
  const usableSince = new WeakMap<SimTarget, number>()
  /** Since when each job, or task that lasts, stands still. */
  const stalledSince = new Map<string, number>()
  const reported = new Set<string>()
  let longestStall = 0

  function updateUsableSince({ vm, isReachable }: WatchedTarget, now: number): void {
    if (!vm.target) return
    const isUsable = vm.state === 'up' && vm.listing === 'ready' && isReachable()
    if (!isUsable) usableSince.delete(vm.target)
    else if (!usableSince.has(vm.target)) usableSince.set(vm.target, now)
  }

  const currentIncarnation = (id: string): SimTarget | undefined =>
    targets.find(({ vm }) => vm.target?.id === id)?.vm.target

  function isKnown(id: string, now: number): boolean {
    const target = currentIncarnation(id)
    return (
      target !== undefined && now - (usableSince.get(target) ?? Infinity) > DISCOVERY_MS
    )
  }

  const findVmWithRoom = (job: JobView, task: TaskView, now: number): SimVm | undefined =>
    targets.find(({ vm }) => {
      if (vm.pool !== job.queue.service) return false
      if (!vm.target || !isKnown(vm.target.id, now)) return false
      const free = vm.capacity.cpu - (checks.usedCpu.get(vm.target.id) ?? 0)
      return free >= ROOM_FACTOR * job.steps[task.step]!.cpu
    })?.vm

  /** Whether a run may go on as far as a node can know. */
  function mayRun({ active, ends }: TaskView, now: number): boolean {
    if (active) return true
    const last = ends.at(-1)
    if (!last || last.isNoted || isKnown(last.target, now)) return false
    return now - last.at < MAX_UNREACHABLE_RUN_MS
  }

  /** Whether the life that the target `id` had at time `at` has ended. */
  const hasEnded = (id: string, at: number): boolean =>
    (currentIncarnation(id)?.startedAt ?? Infinity) > at

  /** Whether the owner may know of an end that its target did not live to have acknowledged. */
  const mayBeDone = ({ ends }: TaskView): boolean =>
    ends.some(
      ({ what, isListed, target, at }) =>
        what === 'done' && isListed && hasEnded(target, at),
    )

  const mayStart = (job: JobView, task: TaskView, now: number): boolean =>
    areDependenciesDone(job, task) &&
    !mayRun(task, now) &&
    (job.isLasting || (countEnds(task, 'done', true) === 0 && !mayBeDone(task)))

  /** Where a task of these could run, while none of them runs. */
  function checkTasks(job: JobView, tasks: TaskView[], key: string, now: number): void {
    const isRunning = tasks.some(({ active }) => active !== undefined)
    const task = isRunning ? undefined : tasks.find((each) => mayStart(job, each, now))
    const vm = task && findVmWithRoom(job, task, now)
    if (!vm) return void stalledSince.delete(key)
    const since = stalledSince.get(key) ?? now
    stalledSince.set(key, since)
    longestStall = Math.max(longestStall, now - since)
    const limitMs = job.isLasting ? MAX_LASTING_TASK_STALL_MS : MAX_STALL_MS
    if (now - since <= limitMs || reported.has(key)) return
    reported.add(key)
    report('stood still', `${task.name} could run on ${vm.target?.id} (${vm.pool})`)
  }

  return {
    check() {
      const now = performance.now()
      for (const target of targets) updateUsableSince(target, now)
      if (!disturbances.isUndisturbed() || !opts.isServed()) return stalledSince.clear()
      for (const job of checks.jobs.values()) {
        if (job.acceptedAt === undefined || job.outcome !== undefined) continue
        if (job.cancelSentAt !== undefined || hasExhaustedAttempts(job)) continue
        if (!job.isLasting) checkTasks(job, job.tasks, job.id, now)
        else for (const task of job.tasks) checkTasks(job, [task], task.name, now)
      }
    },
    longestStallMs: () => Math.round(longestStall),
  }
}
