/**
 * Evidence against targets that answer well and work badly: they fail what they start,
 * stand still, or are slow. Such a target gets nothing new for a while, then one task to
 * show that it is well again.
 */
import type { Step, Task } from '../jobs/index.js'
import { monotonicMs } from '../shared/index.js'
import type { Logger } from '../shared/index.js'
import type { RunTimes } from './runTimes.js'
import type { TargetAgent } from './targetAgent.js'
import type { Placement } from './targetRuns.js'

/** Ends of a target that are looked at, and how long they count, in ms. */
const RECENT_ENDS = 10
const RECENT_MS = 8000
/** Failed runs, of so many jobs, that bring a target under suspicion. */
const SUSPECT_FAILURES = 2
const SUSPECT_JOBS = 2
/** Share of its ends that must have failed; above it, jobs alone do not explain it. */
const SUSPECT_SHARE = 0.5
/** Time without new tasks, in ms; doubled each time the trial fails. */
const EXCLUDE_MS = 5000
const MAX_EXCLUDE_MS = 20_000
/** Share of the targets that may be excluded: more than that is not their fault. */
const MAX_EXCLUDED_SHARE = 0.34
/** A task whose percent stands still for so long hangs, in ms: two long polls. */
const STALL_MS = 2300
/** A task is slow when it has got on by less than this part of what is usual. */
const SLOW_SHARE = 0.3
/** Nothing is said of a task's speed before it has run so long, in ms. */
const SPEED_AFTER_MS = 1200
/** Slow tasks at the same time that bring a target under suspicion. */
const SUSPECT_SLOW = 2

export interface Health {
  noteEnd(agent: TargetAgent, task: Task, kind: string): void
  /** Whether the target may get a task that ends by itself; others only avoid it. */
  allows(agent: TargetAgent): boolean
  /** Steady time up to which it is kept off, in ms; in the past where it is not. */
  excludedUntil(agent: TargetAgent): number
  /** Looks at what runs; returns runs that would be done sooner elsewhere. */
  sweep(agents: TargetAgent[]): { agent: TargetAgent; placement: Placement }[]
  forget(agent: TargetAgent): void
}

interface End {
  at: number
  job: string
  failed: boolean
}

interface TargetRecord {
  ends: End[]
  excludedUntil: number
  excludeMs: number
  /** After an exclusion it gets one task at a time until one ends well. */
  onTrial: boolean
}

interface Progress {
  percent: number
  since: number
}

export function createHealth(opts: {
  runTimes: RunTimes
  agentCount(): number
  log: Logger
}): Health {
  const { runTimes, log } = opts
  const records = new Map<TargetAgent, TargetRecord>()
  const progress = new WeakMap<Placement, Progress>()

  const recordOf = (agent: TargetAgent): TargetRecord => {
    let record = records.get(agent)
    if (!record) {
      record = { ends: [], excludedUntil: 0, excludeMs: EXCLUDE_MS, onTrial: false }
      records.set(agent, record)
    }
    return record
  }

  const excludedCount = (): number =>
    [...records.values()].filter((each) => each.excludedUntil > monotonicMs()).length

  function exclude(agent: TargetAgent, reason: string): void {
    const record = recordOf(agent)
    const now = monotonicMs()
    if (record.excludedUntil > now) return
    if (excludedCount() + 1 > Math.max(1, opts.agentCount() * MAX_EXCLUDED_SHARE)) return
    record.excludedUntil = now + record.excludeMs
    record.excludeMs = Math.min(MAX_EXCLUDE_MS, record.excludeMs * 2)
    record.onTrial = true
    record.ends = []
    const forMs = record.excludedUntil - now
    log.event('targetSuspect', {
      target: agent.target.id,
      reason,
      forMs: Math.round(forMs),
    })
  }

  function trust(agent: TargetAgent, record: TargetRecord): void {
    record.onTrial = false
    log.event('targetTrusted', { target: agent.target.id, reason: 'trial ended well' })
  }

  /** Counted between reports: without news nothing is said. */
  const isStalled = (placement: Placement): boolean => {
    const { percent, reportedAt } = placement
    const before = progress.get(placement)
    if (before?.percent !== percent) {
      progress.set(placement, { percent, since: reportedAt })
      return false
    }
    return reportedAt - before.since > STALL_MS
  }

  const isSlow = (placement: Placement, step: Step, ranMs: number): boolean => {
    if (ranMs < SPEED_AFTER_MS || !runTimes.knows(step)) return false
    const usual = (100 * ranMs) / runTimes.meanOf(step)
    return placement.percent < Math.min(95, usual * SLOW_SHARE)
  }

  /** Whether the rest would be done sooner from the start elsewhere. */
  const isSlowerThanAnew = (placement: Placement, step: Step, ranMs: number): boolean => {
    const leftMs = (ranMs * (100 - placement.percent)) / Math.max(1, placement.percent)
    return leftMs > 2 * runTimes.meanOf(step)
  }

  /** Whether a task that ends by itself is on the target. */
  const hasPassing = (agent: TargetAgent): boolean =>
    [...agent.placements.values()].some(({ task }) => !task?.step.spec.lasting)

  function sweepOne(agent: TargetAgent, now: number): Placement[] {
    const stalled: Placement[] = []
    const slow: Placement[] = []
    for (const placement of agent.placements.values()) {
      const { task } = placement
      const { spec } = task?.step ?? {}
      const judged = task && spec && !spec.lasting && !spec.gang && !spec.fills
      if (!judged || placement.state !== 'running') continue
      if (placement.reportedAt === 0) continue
      const ranMs = placement.reportedAt - task.startedAt
      if (isStalled(placement)) stalled.push(placement)
      else if (isSlow(placement, task.step, ranMs)) {
        if (isSlowerThanAnew(placement, task.step, ranMs)) slow.push(placement)
      }
    }
    if (stalled.length > 0) exclude(agent, 'tasks stand still')
    else if (slow.length >= SUSPECT_SLOW) exclude(agent, 'tasks are slow')
    return recordOf(agent).excludedUntil > now ? [...stalled, ...slow] : stalled
  }

  return {
    noteEnd(agent, task, kind) {
      if (kind !== 'done' && kind !== 'failed') return
      const record = recordOf(agent)
      const now = monotonicMs()
      const failed = kind === 'failed'
      const job = task.step.job.spec.id
      record.ends = [...record.ends, { at: now, job, failed }]
        .filter(({ at }) => now - at < RECENT_MS)
        .slice(-RECENT_ENDS)
      if (!failed) {
        if (record.onTrial && record.excludedUntil <= now) trust(agent, record)
        return
      }
      if (record.onTrial && record.excludedUntil <= now)
        return exclude(agent, 'trial failed')
      const failures = record.ends.filter((end) => end.failed)
      const jobs = new Set(failures.map((end) => end.job))
      const enough = failures.length >= SUSPECT_FAILURES && jobs.size >= SUSPECT_JOBS
      const mostly = failures.length >= record.ends.length * SUSPECT_SHARE
      if (enough && mostly) exclude(agent, 'tasks of several jobs fail')
    },
    allows(agent) {
      const record = records.get(agent)
      if (!record) return true
      if (record.excludedUntil > monotonicMs()) return false
      return !record.onTrial || !hasPassing(agent)
    },
    excludedUntil: (agent) => records.get(agent)?.excludedUntil ?? 0,
    sweep(agents) {
      const now = monotonicMs()
      return agents
        .filter((agent) => agent.isAnswering())
        .flatMap((agent) =>
          sweepOne(agent, now).map((placement) => ({ agent, placement })),
        )
    },
    forget: (agent) => void records.delete(agent),
  }
}
