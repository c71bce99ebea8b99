/**
 * The most urgent part of a long backlog. Ranking all jobs takes time that grows with the backlog, so
 * that an owner with less and less time for its starts would plan longer and longer. Several plans share
 * one ranking: each looks at the tasks that it left waiting, in their order, and at those that have
 * become ready since.
 */
import type { Job, Step, Task } from '../jobs/index.js'
import { monotonicMs } from '../shared/index.js'
import type { Urgency } from './urgency.js'

/** Number of ready tasks up to which every plan ranks all jobs. */
export const SHORT_BACKLOG = 256
/** Least number of tasks on the list, and as a multiple of the starts that a plan may order. */
const MIN_TASKS = 256
const MIN_TASKS_PER_START = 4
/** Longest use of a ranking, in ms, and largest share of time that rankings take. */
const MAX_AGE_MS = 100
const MAX_RANKING_SHARE = 0.05

/** A ranking of all jobs with ready tasks. */
export interface Ranking {
  /** Steps with tasks that were left waiting, the most urgent first. */
  waiting: Iterable<Step>
  urgencies: ReadonlyMap<Job, Urgency>
  /** Whether a quota keeps the step from starting, however much room there is. */
  isHeld(step: Step): boolean
  /** Monotonic time at which it was begun, in ms. */
  at: number
  /** Number of starts that the plan could order. */
  startsLeft: number
}

/** What a plan looks at. */
export interface ShortBacklog {
  tasks: ReadonlySet<Task>
  /** Urgencies of the jobs by the ranking; undefined for those that have become ready since. */
  urgencyOf(job: Job): Urgency | undefined
}

/** The list of one owner. */
export interface Shortlist {
  /** Records a task that may start now. */
  noteReady(task: Task): void
  /** Replaces the list. */
  rank(ranking: Ranking): void
  /** Returns what the next plan is to look at; undefined if it is to rank all jobs. */
  next(ready: ReadonlySet<Task>, startsLeft: number): ShortBacklog | undefined
  /** Records a start; a job that may have only some in each round gets no more of them by this ranking. */
  notePlanned(job: Job): void
}

/** Creates an empty list, so that the first plan ranks all jobs. */
export function createShortlist(now: () => number = monotonicMs): Shortlist {
  let listed: Task[] = []
  let urgencies: ReadonlyMap<Job, Urgency> = new Map()
  /** Tasks that have become ready since the ranking. */
  let arrived = new Set<Task>()
  const served = new Set<Job>()
  let validUntil = -Infinity

  return {
    noteReady: (task) => void arrived.add(task),
    rank(ranking) {
      const limit = Math.max(MIN_TASKS, ranking.startsLeft * MIN_TASKS_PER_START)
      listed = []
      for (const step of ranking.waiting) {
        if (listed.length >= limit) break
        if (ranking.isHeld(step)) continue
        for (const task of step.tasks) if (task.phase === 'ready') listed.push(task)
      }
      urgencies = ranking.urgencies
      arrived = new Set()
      served.clear()
      const tookMs = now() - ranking.at
      validUntil = now() + Math.max(MAX_AGE_MS, tookMs / MAX_RANKING_SHARE)
    },
    next(ready, startsLeft) {
      if (ready.size <= SHORT_BACKLOG || now() >= validUntil) return undefined
      listed = listed.filter((task) => ready.has(task) && !served.has(task.step.job))
      const isExhausted = listed.length + arrived.size < startsLeft
      if (isExhausted) return undefined
      // A listed task whose start did not take place has become ready again.
      const tasks = new Set(listed)
      for (const task of arrived) if (ready.has(task)) tasks.add(task)
      return { tasks, urgencyOf: (job) => urgencies.get(job) }
    },
    notePlanned(job) {
      if (urgencies.get(job)?.maxStarts !== undefined) served.add(job)
    },
  }
}
