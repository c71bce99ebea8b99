/**
 * Orders copies of slow tasks for one service owner and records what they cost. The job book keeps the
 * copy of a task; this part decides, from the run times of the ended tasks of its step.
 */
import { isStepDone } from '../jobs/index.js'
import type { CopyOutcome, JobBook, Step, Task, TaskCopy } from '../jobs/index.js'
import type { Authority } from '../ownership/index.js'
import { RESOURCE_KINDS, zeroAmounts } from '../quotas/index.js'
import { monotonicMs } from '../shared/index.js'
import type { Logger } from '../shared/index.js'
import type { ColdTargets } from './coldTargets.js'
import { firstRunOf } from './constants.js'
import type { Health } from './health.js'
import type { JobSettings } from './jobSettings.js'
import { UNRESTRICTED_POLICY, stepHoldOf } from './placementRules.js'
import type { PlacementPolicy } from './placementRules.js'
import { rackOf } from './planner.js'
import { needOf } from './room.js'
import { MIN_SLOW_MS, allowsCopies, chooseCopies, paceOfStep } from './speculation.js'
import type { CopyBudget, CopyCandidate } from './speculation.js'
import type { Starter } from './starter.js'
import type { StartWindow } from './startWindow.js'
import type { Placement } from './targetRuns.js'
import type { TargetAgent } from './types.js'

/** Most run times kept of one step; more do not change the median much. */
const MAX_RUN_TIMES = 200
/** Most copies ordered by one check, and most slow runs tried, so that a check stays short. */
const MAX_COPIES_PER_CHECK = 4
const MAX_TRIED_PER_CHECK = 16
/** Time after which a slow run for whose copy no target had room is tried again, in ms. */
const RETRY_MS = 1000
/**
 * Number of waiting tasks above which no copy is ordered. With fewer, each is checked for whether it
 * could use the room of the copy.
 */
const MAX_CHECKED_WAITING = 200

/** Copies of slow tasks of one service. */
export interface SpeculativeCopies {
  /** Records that the present run of a task was done. */
  noteDone(task: Task): void
  /** Records that a task has no copy any more; parameters as of the job book's callback. */
  noteCopyEnded(
    task: Task,
    copy: TaskCopy,
    outcome: CopyOutcome,
    droppedSince: number,
  ): void
  /** Orders the copies that are worth it now; to be called periodically. */
  check(agents: readonly TargetAgent[]): void
}

/** Dependencies of the copies of one service. */
export interface SpeculativeCopiesOptions {
  authority: Authority
  settings: JobSettings
  book: JobBook
  starter: Pick<Starter, 'policyNow' | 'startCopy'>
  startWindow: Pick<StartWindow, 'isBehind'>
  health: Pick<Health, 'penaltyOf'>
  coldTargets: Pick<ColdTargets, 'isCold'>
  /** Whether jobs or runs of the predecessor may still be unknown. */
  isTakingOver(): boolean
  log: Logger
}

/** A slow run, its target and its task. */
interface SlowRun extends CopyCandidate {
  task: Task
  agent: TargetAgent
}

/** Work that a run of the step does per ms; a task without a processor request counts a little. */
const workRateOf = ({ spec }: Step): number => Math.max(1, spec.cpu)

/** Whether a placement is not the present run of a task: a copy, or a run that is being stopped. */
const isExtraRun = ({ task, run }: Placement): boolean =>
  task !== undefined &&
  task.step.spec.duplicates &&
  (task.phase !== 'placed' || task.presentRun !== run)

/** Creates the copies of an owner that has seen no task end. */
export function createSpeculativeCopies(
  opts: SpeculativeCopiesOptions,
): SpeculativeCopies {
  const { authority, book, starter, log } = opts
  const firstRun = firstRunOf(authority.term)
  /** Run times of ended tasks by step, in ms, of open steps that allow copies. */
  const endedMs = new Map<Step, number[]>()
  /** Monotonic time at which a copy of a task was last tried, in ms. */
  const triedAt = new WeakMap<Task, number>()
  /** Tasks that have had a copy. */
  const copied = new WeakSet<Task>()
  /** Expected work of the copies that run. */
  const expectedWork = new Map<Task, number>()
  let workDone = 0
  /** Work of copies that have ended. */
  let endedCopyWork = 0

  const isOver = (step: Step): boolean =>
    step.job.outcome !== undefined ||
    isStepDone(step) ||
    book.jobs.get(step.job.spec.id) !== step.job

  const mayCopy = (): boolean =>
    authority.mayOrder() &&
    authority.isConfirmed() &&
    !opts.startWindow.isBehind() &&
    !opts.isTakingOver() &&
    book.ready.size <= MAX_CHECKED_WAITING

  /** Whether a failed copy would use up the attempts of a task whose other run may succeed. */
  function isLastAttempt({ failedRuns, step }: Task): boolean {
    return failedRuns.size + 1 >= opts.settings.maxAttemptsOf(step.job.spec)
  }

  function slowRunsOf(
    step: Step,
    runTimes: readonly number[],
    agents: ReadonlyMap<string, TargetAgent>,
    now: number,
  ): SlowRun[] {
    if (step.crashSuspects.size > 0) return []
    const tasks = step.tasks.filter(
      (task) => task.phase === 'placed' && now - task.startedAt > MIN_SLOW_MS,
    )
    if (tasks.length === 0) return []
    const pace = paceOfStep(runTimes, step.spec.count, step.doneCount)
    if (!pace) return []
    const found: SlowRun[] = []
    for (const task of tasks) {
      if (task.copy || copied.has(task)) continue
      const elapsedMs = now - task.startedAt
      if (elapsedMs <= pace.slowAfterMs || isLastAttempt(task)) continue
      const agent = agents.get(task.targetId ?? '')
      const placement = agent?.placements.get(task.name)
      if (!agent || placement?.state !== 'running') continue
      const { percent } = placement
      const need = needOf(step)
      const workRate = workRateOf(step)
      found.push({ task, agent, elapsedMs, percent, pace, need, workRate })
    }
    return found
  }

  function budgetNow(agents: readonly TargetAgent[], now: number): CopyBudget {
    const usedRoom = zeroAmounts()
    const copyRoom = zeroAmounts()
    for (const { room, placements } of agents) {
      for (const kind of RESOURCE_KINDS)
        usedRoom[kind] += room.capacity[kind] - room.free[kind]
      for (const placement of placements.values()) {
        if (!placement.task || !isExtraRun(placement)) continue
        const need = needOf(placement.task.step)
        for (const kind of RESOURCE_KINDS) copyRoom[kind] += need[kind]
      }
    }
    let copyWork = endedCopyWork
    for (const [task, expected] of expectedWork) {
      const ranMs = task.copy ? now - task.copy.orderedAt : 0
      copyWork += Math.max(expected, ranMs * workRateOf(task.step))
    }
    return { usedRoom, copyRoom, workDone, copyWork }
  }

  /** Rank of a target for a copy: another hall counts most, then another rack. */
  function distanceOf(agent: TargetAgent, origin: TargetAgent): number {
    const isOtherHall = agent.target.hall !== origin.target.hall
    return (isOtherHall ? 2 : 0) + (rackOf(agent) !== rackOf(origin) ? 1 : 0)
  }

  function chooseTarget(
    { task, agent: origin }: SlowRun,
    agents: readonly TargetAgent[],
    policy: PlacementPolicy,
  ): TargetAgent | undefined {
    let best: TargetAgent | undefined
    let bestCost = Infinity
    for (const agent of agents) {
      if (agent === origin || !agent.isUsable() || agent.placements.has(task.name))
        continue
      const { free, countOf } = agent.room
      const view = { agent, free, countOf, startsLeft: agent.startsLeft() }
      if (stepHoldOf(view, task.step, policy) !== undefined) continue
      if (opts.health.penaltyOf(agent, task) > 0) continue
      if (opts.coldTargets.isCold(agent.target.id)) continue
      const cost = -distanceOf(agent, origin) * 1e9 - free.cpu
      if (cost >= bestCost) continue
      best = agent
      bestCost = cost
    }
    return best
  }

  /** Whether a waiting task could use the room on the target, or room that it becomes part of. */
  function isRoomAwaited(agent: TargetAgent, policy: PlacementPolicy): boolean {
    const { capacity, countOf } = agent.room
    const view = { agent, free: capacity, countOf, startsLeft: Infinity }
    const steps = new Set([...book.ready].map(({ step }) => step))
    return [...steps].some(
      (step) =>
        stepHoldOf(view, step, UNRESTRICTED_POLICY) === undefined &&
        !policy.exceedsQuota(step),
    )
  }

  /** Orders a copy if a target has room that no waiting task could use; returns whether it did. */
  function order(
    run: SlowRun,
    agents: readonly TargetAgent[],
    policy: PlacementPolicy,
  ): boolean {
    const { task, pace, elapsedMs, workRate } = run
    if (policy.exceedsQuota(task.step)) return false
    const agent = chooseTarget(run, agents, policy)
    if (!agent || isRoomAwaited(agent, policy)) return false
    copied.add(task)
    expectedWork.set(task, pace.expectedMs * workRate)
    const number = starter.startCopy(task, agent)
    log.event('copyOrdered', {
      task: task.name,
      run: number,
      target: agent.target.id,
      original: run.agent.target.id,
      elapsedMs: Math.round(elapsedMs),
      expectedMs: Math.round(pace.expectedMs),
    })
    return true
  }

  /** Orders the copies that are worth it among the slow runs that were not tried recently. */
  function orderAmong(
    slow: readonly SlowRun[],
    agents: readonly TargetAgent[],
    now: number,
  ): void {
    let ordered = 0
    let tried = 0
    /** Holds until an order changes the room and the quotas. */
    let policy: PlacementPolicy | undefined
    const wasTried = ({ task }: SlowRun): boolean =>
      now - (triedAt.get(task) ?? -Infinity) < RETRY_MS
    chooseCopies(
      slow.filter((run) => !wasTried(run)),
      budgetNow(agents, now),
      (run) => {
        if (ordered >= MAX_COPIES_PER_CHECK || tried >= MAX_TRIED_PER_CHECK) return false
        tried++
        triedAt.set(run.task, now)
        policy ??= starter.policyNow(agents)
        if (!order(run, agents, policy)) return false
        policy = undefined
        ordered++
        return true
      },
    )
  }

  return {
    noteDone(task) {
      const { step, startedAt, presentRun } = task
      const ranMs = monotonicMs() - startedAt
      if (step.spec.lasting || !Number.isFinite(ranMs)) return
      workDone += ranMs * workRateOf(step)
      // The start of an adopted run is not known.
      if (!allowsCopies(step) || presentRun < firstRun || isOver(step)) return
      const runTimes = endedMs.get(step)
      if (!runTimes) endedMs.set(step, [ranMs])
      else if (runTimes.length < MAX_RUN_TIMES) runTimes.push(ranMs)
    },
    noteCopyEnded(task, { run, targetId, orderedAt, startedAt }, outcome, droppedSince) {
      const now = monotonicMs()
      const ranMs = Number.isFinite(startedAt) ? now - startedAt : 0
      const wastedMs = Number.isFinite(droppedSince) ? now - droppedSince : 0
      expectedWork.delete(task)
      if (outcome === 'notStarted') copied.delete(task)
      else endedCopyWork += (now - orderedAt) * workRateOf(task.step)
      log.event('copyEnded', {
        task: task.name,
        run,
        target: targetId,
        outcome,
        ranMs: Math.round(ranMs),
        wastedMs: Math.round(wastedMs),
      })
    },
    check(agents) {
      if (endedMs.size === 0) return
      for (const step of endedMs.keys()) if (isOver(step)) endedMs.delete(step)
      if (!mayCopy()) return
      const now = monotonicMs()
      const byId = new Map(agents.map((agent) => [agent.target.id, agent]))
      const slow = [...endedMs].flatMap(([step, runTimes]) =>
        slowRunsOf(step, runTimes, byId, now),
      )
      if (slow.length === 0) return
      orderAmong(slow, agents, now)
    },
  }
}
