/**
 * Finds runs that stand still or crawl, and says whose fault it is: the target's, where other
 * runs are slow there too or the same step gets on elsewhere; the job's, where its tasks
 * are long by nature.
 */
import type { Step, Task } from '../jobs/index.js'
import { monotonicMs } from '../shared/index.js'
import type { RunTimes } from './runTimes.js'
import type { Suspicion } from './suspicion.js'
import type { TargetAgent } from './types.js'
import type { Placement } from './targetRuns.js'

/** A task whose percent stands still for so long hangs, in ms: two long polls. */
const STALL_MS = 2300
/** One that takes longer for a percent hangs after so many times as long. */
const STALL_FACTOR = 3
/**
 * A run that hangs with nowhere else to go begins anew where it is after so long, in ms: hanging
 * may be the run's alone. By then a VM that was asked for would have come (3 s).
 */
const RESTART_IN_PLACE_AFTER_MS = 10_000
/** Moves of one task after which the time above is not doubled any more. */
const MAX_DOUBLINGS = 3
/** A task is slow when it has got on by less than this part of what is usual. */
const SLOW_PACE = 0.3
/** A task that has got so far, in percent, is left to end. */
const NEARLY_DONE_PERCENT = 95
/** A target on which others get on by this part of what is usual is not slow. */
const NORMAL_PACE = 0.5
/** A step is faster elsewhere when it gets on so many times as fast there. */
const FASTER_FACTOR = 2
/** Nothing is said of a task's speed before it has run so long, in ms. */
const MIN_MEASURED_RUN_MS = 1200
/** Slow tasks at the same time that bring a target under suspicion. */
const MIN_SLOW_RUNS = 2
/**
 * A task is moved so often for being slow, by whose fault that is: each move throws away what
 * it has done, and one whose fault is not known tells by being slow again.
 */
const MAX_SLOW_MOVES: Record<Cause, number> = { target: 2, unclear: 1, job: 0 }
/** Targets on which a step was slow that are kept: some tell as much as all. */
const MAX_BAD_TARGETS = 8
/** Time for which the speed of a run that is done speaks for its target, in ms. */
const RECENT_MS = 8000
/** Runs done that are kept for each target. */
const RECENT_RUNS = 10

/** A run that would be done sooner elsewhere. */
export interface BadRun {
  agent: TargetAgent
  placement: Placement
  task: Task
  /** Whether it is stopped also where no other target has room, to begin anew there. */
  mayRestartInPlace: boolean
}

/** The runs of one service that are looked at. */
export interface BadRuns {
  /** Notes a run that was done; returns whether it was slow. */
  noteDone(agent: TargetAgent, task: Task): boolean
  /** Looks at what runs; brings targets under suspicion and returns runs to move. */
  sweep(agents: TargetAgent[]): BadRun[]
  /** A run was stopped to be done elsewhere. */
  noteMoved(run: BadRun): void
  forget(agent: TargetAgent): void
}

/** A run that has gone on for long enough to say something. */
interface Pace {
  step: Step
  agent: TargetAgent
  /** How fast it gets on; 1 is usual for its queue. */
  pace: number
  /** Steady times of its start and of what is known of it, in ms. */
  startedAt: number
  at: number
}

/** A run of a step, by its start. */
type RunStart = Pick<Task, 'step' | 'startedAt'>

/** How fast runs get on, grouped once a look: each run is compared with few. */
interface Paces {
  byAgent: Map<TargetAgent, Pace[]>
  byStep: Map<Step, Pace[]>
}

/** Whose fault it is that a run is slow. */
type Cause = 'target' | 'job' | 'unclear'

interface SlowRun extends BadRun {
  cause: Cause
}

interface StalledRun extends BadRun {
  /** Whether the step stands still on a second target where others get on. */
  isStepFaulty: boolean
}

interface Progress {
  percent: number
  since: number
}

/** Creates a look at runs, without any history. */
export function createBadRuns(runTimes: RunTimes, suspicion: Suspicion): BadRuns {
  const progress = new WeakMap<Placement, Progress>()
  const moves = new WeakMap<Task, number>()
  /** Targets on which a step was slow or stood still. */
  const badTargets = new WeakMap<Step, Set<TargetAgent>>()
  /** Steps whose tasks are slow by nature. */
  const longRunningSteps = new WeakSet<Step>()
  const done = new Map<TargetAgent, Pace[]>()
  /** Runs that stood still and have been held against their target, once each. */
  const countedStalls = new WeakSet<Placement>()

  const movesOf = (task: Task): number => moves.get(task) ?? 0

  /**
   * Time for which a run has stood still, in ms; 0 below the limit. Counted between reports:
   * without news nothing is said.
   */
  function stalledMs(placement: Placement, task: Task): number {
    const { percent, reportedAt } = placement
    const before = progress.get(placement)
    if (before?.percent !== percent) {
      progress.set(placement, { percent, since: reportedAt })
      return 0
    }
    const pointMs = percent > 0 ? (before.since - task.startedAt) / percent : 0
    const doubled = 2 ** Math.min(MAX_DOUBLINGS, movesOf(task))
    const limitMs = Math.max(STALL_MS, STALL_FACTOR * pointMs) * doubled
    const ms = reportedAt - before.since
    return ms > limitMs ? ms : 0
  }

  /** How fast a run gets on; undefined before that can be said. */
  function paceOf(agent: TargetAgent, placement: Placement): Pace | undefined {
    const { task, state, reportedAt, percent } = placement
    if (!task || state !== 'running' || !hasMeasurableSpeed(task.step)) return undefined
    const ranMs = reportedAt - task.startedAt
    if (ranMs < MIN_MEASURED_RUN_MS || !runTimes.knows(task.step)) return undefined
    const pace = (percent * runTimes.meanOf(task.step)) / (100 * ranMs)
    return { step: task.step, agent, pace, startedAt: task.startedAt, at: reportedAt }
  }

  const pacesOn = (agent: TargetAgent): Pace[] =>
    [...agent.placements.values()].flatMap((placement) => paceOf(agent, placement) ?? [])

  const recentlyDone = (agent: TargetAgent): Pace[] =>
    (done.get(agent) ?? []).filter(({ at }) => monotonicMs() - at < RECENT_MS)

  /**
   * How other jobs, that are not long by nature, have got on there since a run began: what was
   * done before says nothing of a target that has turned slow.
   */
  const otherJobsOn = (agent: TargetAgent, run: RunStart, all: Paces): Pace[] =>
    (all.byAgent.get(agent) ?? []).filter(
      ({ step, at }) =>
        at >= run.startedAt && step.job !== run.step.job && !longRunningSteps.has(step),
    )

  const isNormalPace = (others: Pace[]): boolean =>
    others.length > 0 && medianOf(others) >= NORMAL_PACE

  /** Whether the step is as bad on another target, where other jobs get on as usual. */
  const isBadAmongNormalRuns = (run: RunStart, agent: TargetAgent, all: Paces): boolean =>
    [...(badTargets.get(run.step) ?? [])].some(
      (other) => other !== agent && isNormalPace(otherJobsOn(other, run, all)),
    )

  /** Whose fault it is that a step is slow on a target. */
  function findCause(run: Pace, all: Paces): Cause {
    const { step, pace, agent } = run
    if (longRunningSteps.has(step)) return 'job'
    const ofStep = all.byStep.get(step) ?? []
    const elsewhere = ofStep.filter((each) => each.agent !== agent)
    if (elsewhere.some((each) => each.pace >= pace * FASTER_FACTOR)) return 'target'
    const others = otherJobsOn(agent, run, all)
    if (others.length > 0) return isNormalPace(others) ? 'job' : 'target'
    return isBadAmongNormalRuns(run, agent, all) ? 'job' : 'unclear'
  }

  function noteBad(step: Step, agent: TargetAgent): void {
    const known = badTargets.get(step) ?? new Set()
    if (known.size < MAX_BAD_TARGETS) badTargets.set(step, known.add(agent))
  }

  /** Whether the rest takes longer than the whole would elsewhere, and its way there. */
  function isSlowerThanRestart({ step, pace }: Pace, percent: number): boolean {
    const leftMs =
      ((100 - percent) / 100) * (runTimes.meanOf(step) / Math.max(pace, 1e-3))
    return leftMs > 2 * runTimes.meanOf(step)
  }

  /** Runs on one target that are slow through no fault of their own. */
  function slowRuns(agent: TargetAgent, all: Paces): SlowRun[] {
    const found: SlowRun[] = []
    for (const placement of agent.placements.values()) {
      const { task, percent } = placement
      const own = paceOf(agent, placement)
      if (!task || !own || own.pace >= SLOW_PACE || percent >= NEARLY_DONE_PERCENT)
        continue
      if (!isSlowerThanRestart(own, percent)) continue
      const cause = findCause(own, all)
      noteBad(task.step, agent)
      if (cause === 'job') longRunningSteps.add(task.step)
      else found.push({ agent, placement, task, cause, mayRestartInPlace: false })
    }
    return found
  }

  function stalledRuns(agent: TargetAgent, all: Paces): StalledRun[] {
    const found: StalledRun[] = []
    for (const placement of agent.placements.values()) {
      const { task, state, reportedAt } = placement
      if (!task || state !== 'running' || reportedAt === 0) continue
      const ms = hasMeasurableSpeed(task.step) ? stalledMs(placement, task) : 0
      if (ms === 0) continue
      const areOthersNormal = isNormalPace(otherJobsOn(agent, task, all))
      const isStepFaulty = areOthersNormal && isBadAmongNormalRuns(task, agent, all)
      const mayRestartInPlace = areOthersNormal || ms > RESTART_IN_PLACE_AFTER_MS
      found.push({ agent, placement, task, mayRestartInPlace, isStepFaulty })
      noteBad(task.step, agent)
    }
    return found
  }

  function sweepOne(agent: TargetAgent, all: Paces): BadRun[] {
    const stalled = stalledRuns(agent, all)
    const slow = slowRuns(agent, all).filter(
      (run) => !stalled.some(({ placement }) => placement === run.placement),
    )
    const stepsOf = (runs: BadRun[]): Step[] => runs.map(({ task }) => task.step)
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
      if (!hasMeasurableSpeed(step) || !runTimes.knows(step)) return false
      const at = monotonicMs()
      const pace = runTimes.meanOf(step) / Math.max(1, at - task.startedAt)
      const { startedAt } = task
      const recent = [...recentlyDone(agent), { step, agent, pace, startedAt, at }]
      done.set(agent, recent.slice(-RECENT_RUNS))
      return pace < SLOW_PACE
    },
    sweep(agents) {
      const answering = agents.filter((agent) => agent.isAnswering())
      const all = groupPaces(
        answering.flatMap((agent) => [...pacesOn(agent), ...recentlyDone(agent)]),
      )
      const found = answering.flatMap((agent) => sweepOne(agent, all))
      suspicion.retractEvidence((step) => longRunningSteps.has(step))
      return found
    },
    noteMoved: ({ task }) => void moves.set(task, movesOf(task) + 1),
    forget: (agent) => void done.delete(agent),
  }
}

/** Whether a run of the step can be judged by how far it gets: it ends by itself, alone. */
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
