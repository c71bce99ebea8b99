/**
 * Finds stalled and slow runs and determines the cause: the target if other runs are slow there too
 * or the same step is faster elsewhere, the job if its tasks simply take long.
 */
import { startOfRun } from '../jobs/index.js'
import type { Step, Task } from '../jobs/index.js'
import { monotonicMs } from '../shared/index.js'
import type { ColdTargets } from './coldTargets.js'
import type { RunTimes } from './runTimes.js'
import type { Suspicion } from './suspicion.js'
import type { TargetAgent } from './types.js'
import type { Placement } from './targetRuns.js'

/** A run whose percentage has not changed for this long is stalled, in ms: two long polls. */
const STALL_MS = 2300
/** A run that needs longer for one percent is stalled after this multiple of that time. */
const STALL_FACTOR = 3
/**
 * A stalled run may restart on its own target after this time, in ms, if no other has room, since
 * the stall may concern this run alone. A requested VM would have arrived by then (3 s).
 */
const RESTART_IN_PLACE_AFTER_MS = 10_000
/**
 * Multiple of the stall limit for a run that stood still while its target was cold. A target that is
 * merely slow then shows progress, and one that hangs is found within its cold time.
 */
const COLD_STALL_FACTOR = 4
/** Maximum number of doublings of a task's stall limit: one for each time the task was moved. */
const MAX_DOUBLINGS = 3
/** A run is slow below this share of the usual pace. */
const SLOW_PACE = 0.3
/** A slow run is not moved from this progress on, in percent. */
const NEARLY_DONE_PERCENT = 95
/** A target is not slow if other runs there reach this share of the usual pace. */
const NORMAL_PACE = 0.5
/** A step is faster on another target if its pace there is at least this multiple. */
const FASTER_FACTOR = 2
/** Minimum run time before the pace of a run is measured, in ms. */
const MIN_MEASURED_RUN_MS = 1200
/** Number of slow runs at the same time that makes a target suspect. */
const MIN_SLOW_RUNS = 2
/**
 * Maximum number of times a slow task is moved, by cause. Each move discards the task's progress.
 * If the cause is unclear, one move reveals it: the task is slow again or not.
 */
const MAX_SLOW_MOVES: Record<Cause, number> = { target: 2, unclear: 1, job: 0 }
/** Maximum number of targets recorded for a step that was slow there; a few are sufficient. */
const MAX_SLOW_TARGETS = 8
/** Time for which the pace of a finished run counts for its target, in ms. */
const RECENT_MS = 8000
/** Maximum number of finished runs that are kept for each target. */
const RECENT_RUNS = 10

/** A stalled or slow run that would be finished sooner if it were restarted. */
export interface UnhealthyRun {
  agent: TargetAgent
  placement: Placement
  task: Task
  /** Whether the run is stopped even if no other target has room, and restarts on its target. */
  mayRestartInPlace: boolean
}

/** The check for stalled and slow runs of one service. */
export interface RunMonitor {
  /** Records a run that succeeded; returns whether it was slow. */
  noteDone(agent: TargetAgent, task: Task): boolean
  /** Checks all present runs, marks targets as suspect and returns the runs to move. */
  sweep(agents: TargetAgent[]): UnhealthyRun[]
  /** Records that a run was stopped to be restarted. */
  noteMoved(run: UnhealthyRun): void
  /** Discards the records of a target that is gone. */
  forget(agent: TargetAgent): void
}

/** The pace of a run that has lasted long enough to be measured. */
interface Pace {
  step: Step
  agent: TargetAgent
  /** Progress per time as a multiple of the usual value for the queue. */
  pace: number
  /** Monotonic times of the start of the run and of its last report or end, in ms. */
  startedAt: number
  at: number
}

/** The step and the start time of a run. */
type RunStart = Pick<Task, 'step' | 'startedAt'>

/** Paces of runs, grouped once per sweep, so that each run is compared only with related ones. */
interface Paces {
  byAgent: Map<TargetAgent, Pace[]>
  byStep: Map<Step, Pace[]>
}

/** Why a run is slow. */
type Cause = 'target' | 'job' | 'unclear'

interface SlowRun extends UnhealthyRun {
  cause: Cause
}

interface StalledRun extends UnhealthyRun {
  /** Whether the step has also been stalled or slow on a second target where others are normal. */
  isStepFaulty: boolean
}

interface Progress {
  percent: number
  since: number
}

/** Creates the check for stalled and slow runs, without any records. */
export function createRunMonitor(
  runTimes: RunTimes,
  suspicion: Suspicion,
  coldTargets: Pick<ColdTargets, 'wasColdSince'>,
): RunMonitor {
  const progress = new WeakMap<Placement, Progress>()
  const moves = new WeakMap<Task, number>()
  /** Targets on which a step was slow or stalled. */
  const slowTargets = new WeakMap<Step, Set<TargetAgent>>()
  /** Steps whose tasks take long on any target. */
  const longRunningSteps = new WeakSet<Step>()
  const done = new Map<TargetAgent, Pace[]>()
  /** Stalled runs that have been counted as evidence against their target, once each. */
  const countedStalls = new WeakSet<Placement>()

  /** Whether the target was slow after its start for some of the time since `at`. */
  const wasColdSince = ({ target }: TargetAgent, at: number): boolean =>
    coldTargets.wasColdSince(target.id, at)

  const movesOf = (task: Task): number => moves.get(task) ?? 0

  /**
   * Returns the time for which a run has been stalled, in ms; 0 below the limit. Measured between
   * reports, so that missing reports do not count as a stall.
   */
  function stalledMs(agent: TargetAgent, placement: Placement, task: Task): number {
    const { percent, reportedAt } = placement
    const before = progress.get(placement)
    if (before?.percent !== percent) {
      progress.set(placement, { percent, since: reportedAt })
      return 0
    }
    const percentMs =
      percent > 0 ? (before.since - startOfRun(task, placement.run)) / percent : 0
    const doubled = 2 ** Math.min(MAX_DOUBLINGS, movesOf(task))
    const extension = wasColdSince(agent, before.since) ? COLD_STALL_FACTOR : 1
    const limitMs = Math.max(STALL_MS, STALL_FACTOR * percentMs) * doubled * extension
    const ms = reportedAt - before.since
    return ms > limitMs ? ms : 0
  }

  /**
   * Returns the pace of a run; undefined before it can be measured, and for a run on a target that
   * was cold meanwhile.
   */
  function paceOf(agent: TargetAgent, placement: Placement): Pace | undefined {
    const { task, run, state, reportedAt, percent } = placement
    if (!task || state !== 'running' || !hasMeasurableSpeed(task.step)) return undefined
    const startedAt = startOfRun(task, run)
    const ranMs = reportedAt - startedAt
    if (ranMs < MIN_MEASURED_RUN_MS || !runTimes.hasEnoughRuns(task.step))
      return undefined
    if (wasColdSince(agent, startedAt)) return undefined
    const pace = (percent * runTimes.meanRunMs(task.step)) / (100 * ranMs)
    return { step: task.step, agent, pace, startedAt, at: reportedAt }
  }

  const pacesOn = (agent: TargetAgent): Pace[] =>
    [...agent.placements.values()].flatMap((placement) => paceOf(agent, placement) ?? [])

  const recentlyDone = (agent: TargetAgent): Pace[] =>
    (done.get(agent) ?? []).filter(({ at }) => monotonicMs() - at < RECENT_MS)

  /**
   * Returns the paces of other jobs on the target since a run began, without long-running steps.
   * Earlier ones do not count, as a target may have become slow since.
   */
  const otherJobsOn = (agent: TargetAgent, run: RunStart, all: Paces): Pace[] =>
    (all.byAgent.get(agent) ?? []).filter(
      ({ step, at }) =>
        at >= run.startedAt && step.job !== run.step.job && !longRunningSteps.has(step),
    )

  const isNormalPace = (others: Pace[]): boolean =>
    others.length > 0 && medianOf(others) >= NORMAL_PACE

  /** Whether the step has been slow or stalled on another target where other jobs are normal. */
  const isSlowAmongNormalRuns = (
    run: RunStart,
    agent: TargetAgent,
    all: Paces,
  ): boolean =>
    [...(slowTargets.get(run.step) ?? [])].some(
      (other) => other !== agent && isNormalPace(otherJobsOn(other, run, all)),
    )

  /** Determines why a run is slow on its target. */
  function findCause(run: Pace, all: Paces): Cause {
    const { step, pace, agent } = run
    if (longRunningSteps.has(step)) return 'job'
    const ofStep = all.byStep.get(step) ?? []
    const elsewhere = ofStep.filter((each) => each.agent !== agent)
    if (elsewhere.some((each) => each.pace >= pace * FASTER_FACTOR)) return 'target'
    const others = otherJobsOn(agent, run, all)
    if (others.length > 0) return isNormalPace(others) ? 'job' : 'target'
    return isSlowAmongNormalRuns(run, agent, all) ? 'job' : 'unclear'
  }

  function recordSlowTarget(step: Step, agent: TargetAgent): void {
    const known = slowTargets.get(step) ?? new Set()
    if (known.size < MAX_SLOW_TARGETS) slowTargets.set(step, known.add(agent))
  }

  /** Whether the rest of a run takes longer than a restart elsewhere, including the move. */
  function isSlowerThanRestart({ step, pace }: Pace, percent: number): boolean {
    const leftMs =
      ((100 - percent) / 100) * (runTimes.meanRunMs(step) / Math.max(pace, 1e-3))
    return leftMs > 2 * runTimes.meanRunMs(step)
  }

  /** Returns the slow runs on one target, except those whose job is the cause. */
  function slowRuns(agent: TargetAgent, all: Paces): SlowRun[] {
    const found: SlowRun[] = []
    for (const placement of agent.placements.values()) {
      const { task, percent } = placement
      const own = paceOf(agent, placement)
      if (!task || !own || own.pace >= SLOW_PACE || percent >= NEARLY_DONE_PERCENT)
        continue
      if (!isSlowerThanRestart(own, percent)) continue
      const cause = findCause(own, all)
      recordSlowTarget(task.step, agent)
      if (cause === 'job') longRunningSteps.add(task.step)
      else found.push({ agent, placement, task, cause, mayRestartInPlace: false })
    }
    return found
  }

  function stalledRuns(agent: TargetAgent, all: Paces): StalledRun[] {
    const found: StalledRun[] = []
    for (const placement of agent.placements.values()) {
      const { task, run, state, reportedAt } = placement
      if (!task || state !== 'running' || reportedAt === 0) continue
      const ms = hasMeasurableSpeed(task.step) ? stalledMs(agent, placement, task) : 0
      if (ms === 0) continue
      const runStart = { step: task.step, startedAt: startOfRun(task, run) }
      const areOthersNormal = isNormalPace(otherJobsOn(agent, runStart, all))
      const isStepFaulty = areOthersNormal && isSlowAmongNormalRuns(runStart, agent, all)
      const mayRestartInPlace = areOthersNormal || ms > RESTART_IN_PLACE_AFTER_MS
      found.push({ agent, placement, task, mayRestartInPlace, isStepFaulty })
      recordSlowTarget(task.step, agent)
    }
    return found
  }

  function sweepTarget(agent: TargetAgent, all: Paces): UnhealthyRun[] {
    const stalled = stalledRuns(agent, all)
    const slow = slowRuns(agent, all).filter(
      (run) => !stalled.some(({ placement }) => placement === run.placement),
    )
    const stepsOf = (runs: UnhealthyRun[]): Step[] => runs.map(({ task }) => task.step)
    const newlyStalled = stalled.filter(
      ({ placement, isStepFaulty }) => !isStepFaulty && !countedStalls.has(placement),
    )
    for (const { placement } of newlyStalled) countedStalls.add(placement)
    if (newlyStalled.length > 0)
      suspicion.exclude(agent, 'tasks stand still', stepsOf(newlyStalled))
    else if (slow.length >= MIN_SLOW_RUNS)
      suspicion.exclude(agent, 'tasks are slow', stepsOf(slow))
    if (suspicion.standingOf(agent) !== 'suspect') return stalled
    const movable = slow.filter(
      ({ task, cause }) => movesOf(task) < MAX_SLOW_MOVES[cause],
    )
    return [...stalled, ...movable]
  }

  return {
    noteDone(agent, task) {
      const { step } = task
      const { startedAt } = task
      if (!Number.isFinite(startedAt) || wasColdSince(agent, startedAt)) return false
      if (!hasMeasurableSpeed(step) || !runTimes.hasEnoughRuns(step)) return false
      const at = monotonicMs()
      const pace = runTimes.meanRunMs(step) / Math.max(1, at - startedAt)
      const recent = [...recentlyDone(agent), { step, agent, pace, startedAt, at }]
      done.set(agent, recent.slice(-RECENT_RUNS))
      return pace < SLOW_PACE
    },
    sweep(agents) {
      const answering = agents.filter((agent) => agent.isAnswering())
      const all = groupPaces(
        answering.flatMap((agent) => [...pacesOn(agent), ...recentlyDone(agent)]),
      )
      const found = answering.flatMap((agent) => sweepTarget(agent, all))
      suspicion.retractEvidence((step) => longRunningSteps.has(step))
      return found
    },
    noteMoved: ({ task }) => void moves.set(task, movesOf(task) + 1),
    forget: (agent) => void done.delete(agent),
  }
}

/**
 * Whether the progress of the step's runs can be measured: its tasks end by themselves, do not wait
 * for other members of a gang and do not depend on spare processor time.
 */
const hasMeasurableSpeed = ({ spec }: Step): boolean =>
  !spec.lasting && !spec.gang && !spec.fills

function groupPaces(paces: Pace[]): Paces {
  const byAgent = new Map<TargetAgent, Pace[]>()
  const byStep = new Map<Step, Pace[]>()
  for (const pace of paces) {
    addTo(byAgent, pace.agent, pace)
    addTo(byStep, pace.step, pace)
  }
  return { byAgent, byStep }
}

function addTo<K>(groups: Map<K, Pace[]>, key: K, pace: Pace): void {
  const group = groups.get(key)
  if (group) group.push(pace)
  else groups.set(key, [pace])
}

function medianOf(paces: Pace[]): number {
  const sorted = paces.map(({ pace }) => pace).sort((a, b) => a - b)
  return sorted[Math.floor(sorted.length / 2)] ?? 0
}
