/**
 * Checks that every accepted job makes progress: if a task may start and a target has room for
 * it, some task of the job runs. Guards against an owner that suspects all of the few targets of
 * a pool, so that a job has nothing running for seconds although its tasks could run.
 */
import type { SimVm } from '../sim/simFleet.js'
import type { SimTarget } from '../sim/simTarget.js'
import type { Cordons } from './cordons.js'
import type { SoakRoutes } from './routes.js'
import type { DisturbanceTracker } from './disturbances.js'
import { countEnds, hasExhaustedAttempts, areDependenciesDone } from './jobView.js'
import type { JobView, TaskView } from './jobView.js'
import { hasFreeQuota } from './organisations.js'
import type { Report, RunChecks } from './runChecks.js'

/**
 * Longest time for which a job may have no run although one of its tasks could start, in ms. The
 * second limit applies to tasks that run until stopped.
 */
const MAX_STALL_MS = 3000
const MAX_LASTING_TASK_STALL_MS = 6000
/** Time after which nodes must know that a target is usable, in ms. */
const GRACE_MS = 1000
/** Free CPU that a target must have, as a multiple of the task's need. */
const ROOM_FACTOR = 2
/** Longest time that a run may continue out of reach, in ms: a lease of 6 s plus clock skew. */
const MAX_UNREACHABLE_RUN_MS = 6600

/** A target that the detector considers. */
export interface WatchedTarget {
  vm: SimVm
  isReachable(): boolean
}

/** Detector of jobs that do not run although they could. */
export interface StallDetector {
  /** Checks all jobs; to be called periodically. */
  check(): void
  /** Longest stall of a job in undisturbed time, in ms. */
  longestStallMs(): number
}

/** Creates a detector. */
export function createStallDetector(opts: {
  checks: RunChecks
  routes: SoakRoutes
  disturbances: DisturbanceTracker
  targets: WatchedTarget[]
  cordons: Cordons
  isServed(): boolean
  report: Report
}): StallDetector {
  const { checks, routes, disturbances, targets, cordons, report } = opts
  /** Monotonic time since which each incarnation of a target has been usable, in ms. */
  const usableSince = new WeakMap<SimTarget, number>()
  /** Monotonic time since which a job, or a task that runs until stopped, is stalled, in ms. */
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
    const found = currentIncarnation(id)
    return found !== undefined && now - (usableSince.get(found) ?? Infinity) > GRACE_MS
  }

  /** Pool that runs the job; undefined if its route changed the service as it was sent. */
  function poolOf({ queue, sentAt = -Infinity, acceptedAt = Infinity }: JobView) {
    const [pool, ...others] = routes.servicesBetween(queue, sentAt, acceptedAt)
    return others.length === 0 ? pool : undefined
  }

  function findVmWithRoom(job: JobView, task: TaskView, now: number): SimVm | undefined {
    const pool = poolOf(job)
    return targets.find(({ vm }) => {
      if (vm.pool !== pool || !cordons.isOpen(vm)) return false
      if (!vm.target || !isKnown(vm.target.id, now)) return false
      const free = vm.capacity.cpu - (checks.usedCpu.get(vm.target.id) ?? 0)
      return free >= ROOM_FACTOR * job.steps[task.step]!.cpu
    })?.vm
  }

  /** Whether the owner must assume that a run of the task is still active. */
  function mayRun({ active, ends }: TaskView, now: number): boolean {
    if (active.length > 0) return true
    const last = ends.at(-1)
    if (!last || last.isNoted || isKnown(last.target, now)) return false
    return now - last.at < MAX_UNREACHABLE_RUN_MS
  }

  /** Whether the incarnation that the target `id` had at time `at` has ended. */
  const hasEnded = (id: string, at: number): boolean =>
    (currentIncarnation(id)?.startedAt ?? Infinity) > at

  /** Whether the owner may know of an end whose target ended before the acknowledgement. */
  const mayBeDone = ({ ends }: TaskView): boolean =>
    ends.some(
      ({ what, isListed, target, at }) =>
        what === 'done' && isListed && hasEnded(target, at),
    )

  const mayStart = (job: JobView, task: TaskView, now: number): boolean =>
    areDependenciesDone(job, task) &&
    !mayRun(task, now) &&
    (job.isLasting || (countEnds(task, 'done', true) === 0 && !mayBeDone(task)))

  /** Reports a stall if none of `tasks` runs although one of them could for too long. */
  function checkTasks(job: JobView, tasks: TaskView[], key: string, now: number): void {
    const isRunning = tasks.some(({ active }) => active.length > 0)
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

  /** Forgets the stall of a job that its quota may hold. */
  function forget(job: JobView): void {
    stalledSince.delete(job.id)
    for (const { name } of job.tasks) stalledSince.delete(name)
  }

  return {
    check() {
      const now = performance.now()
      for (const target of targets) updateUsableSince(target, now)
      if (!disturbances.isUndisturbed() || !opts.isServed()) return stalledSince.clear()
      for (const job of checks.jobs.values()) {
        if (job.acceptedAt === undefined || job.outcome !== undefined) continue
        if (job.cancelSentAt !== undefined || hasExhaustedAttempts(job)) continue
        if (job.organisation && !hasFreeQuota(job.organisation)) {
          forget(job)
          continue
        }
        if (!job.isLasting) checkTasks(job, job.tasks, job.id, now)
        else for (const task of job.tasks) checkTasks(job, [task], task.name, now)
      }
    },
    longestStallMs: () => Math.round(longestStall),
  }
}
