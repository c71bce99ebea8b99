/**
 * State machine for the jobs of one service: decides which tasks may start, how the end of a
 * run changes its task, and when a job reaches its outcome. It sends no orders and writes no
 * rows; callbacks of its options request both.
 */
import type { ReportedEnd, RunEndKind } from '../ports/index.js'
import { addCrash, countedTask, noteUptime } from './crashes.js'
import {
  areAllDone,
  closeOccurrence,
  createJob,
  dueTimeOf,
  findOccurrence,
  findTask,
  isStepDone,
  isUnblocked,
  jobIdOf,
  occurrencesOf,
  openOccurrence,
  tasksOf,
} from './job.js'
import type { Job, JobRules, Occurrence, Step, Task, TaskCopy } from './job.js'
import { noteDelay } from './jobDelays.js'
import { createJobMemory, jobBytes, occurrenceBytes, openJobBytes } from './jobMemory.js'
import type { JobMemory } from './jobMemory.js'
import { restoreProgress } from './progress.js'
import type { SegmentRows } from './progress.js'
import type { CrashRole, Progress } from './records.js'
import { MAX_TASKS_PER_JOB } from './schema.js'
import type { JobOutcome, JobSpec } from './schema.js'
import { noteChanged } from './segmentRows.js'
import { tasksPerOccurrence } from './segments.js'

/** Settings, clocks and callbacks of a job book. */
export interface JobBookOptions {
  /** The settings by which a job runs. */
  rulesOf(spec: JobSpec): JobRules
  /** Monotonic clock, in ms. */
  now(): number
  /** Wall clock, in ms since 1970. */
  wallMs(): number
  /** Called when a job's progress has changed and its row must be written. */
  progressChanged(job: Job): void
  /** Called when a run of the task on the target is no longer needed and must be stopped. */
  runUnwanted(task: Task, targetId: string): void
  /**
   * Called when a task has no copy any more.
   * @param droppedSince start of the run that was thrown away, in ms (monotonic)
   */
  copyEnded?(task: Task, copy: TaskCopy, outcome: CopyOutcome, droppedSince: number): void
  /** Called when tasks may have become startable. */
  wake(): void
  /** Called for each task that may start from now on. */
  becameReady?(task: Task): void
  /** Called when a target has reported a run or an end of a job that is left in the store. */
  leftJobReported?(id: string): void
  /** Memory for the jobs of all owners on the node; without a limit by default. */
  memory?: JobMemory
  /** Called when a job reaches its outcome, before the outcome is durable. */
  outcomeReached(job: Job, outcome: JobOutcome, cause: string): void
}

/**
 * How a task came to have no copy. `won`: the copy was done first. `lost`: the other run was done
 * first. `ended`: the copy ended or vanished, and the other run goes on. `promoted`: the other run
 * ended or vanished, and the copy goes on as the present run. `notStarted`: its start did not take
 * place. `cancelled`: the job reached its outcome.
 */
export type CopyOutcome =
  'won' | 'lost' | 'ended' | 'promoted' | 'notStarted' | 'cancelled'

/** The jobs of one service. */
export interface JobBook {
  readonly jobs: ReadonlyMap<string, Job>
  /**
   * Jobs without an outcome. Finished jobs stay in `jobs` for minutes; iterating over all of
   * them at each new job takes an owner with 400 jobs 5 % of its time (165 of 3080 ms).
   */
  readonly open: ReadonlySet<Job>
  /** Tasks that may start now, in no particular order. */
  ready: ReadonlySet<Task>
  /** Adds a job; a job that is already in the book is returned unchanged. */
  add(
    spec: JobSpec,
    opts?: {
      progress?: Progress
      segments?: SegmentRows
      version?: number
      gated?: boolean
    },
  ): Job
  /** Cancels a job; returns undefined if it is not in the book. */
  cancel(id: string): Job | undefined
  /** Lets the tasks of one job, or of all, start: the runs of the previous owner are known now. */
  allowStarts(only?: Job): void
  /** Keeps reported ends of a job that exists but cannot be added yet, until it is added. */
  holdEnds(id: string): void
  /** Holds a job that is left in the store, as there is no memory for it now. */
  leave(id: string): void
  /** Whether a job is left in the store. */
  isLeft(id: string): boolean
  /** Records that a target has reported a run or an end of a held job. */
  noteReported(task: string): void
  /**
   * Whether the job of the task is still to be read from the store; reported ends are kept in memory
   * alone until then.
   */
  isUnread(task: string): boolean
  /** Stops holding a job; returns the ends that were kept. */
  releaseEnds(id: string): HeldEnd[]
  /**
   * Whether jobs may exist that are not in the book, because not all rows have been read.
   * Meanwhile every job that is not in the book counts as held.
   */
  mayLackJobs: boolean
  /** Whether the job of the task is held. */
  isHeld(task: string): boolean
  /** Opens occurrences that have become due. */
  markDue(): void
  /** Records that a start was ordered. */
  place(task: Task, targetId: string, run: number): void
  /** Records a second run of a placed task: one that was ordered, or of the previous owner. */
  placeCopy(task: Task, targetId: string, run: number): void
  /** Records that a target is known to run the task, under this run number. */
  noteBegun(task: Task, run: number): void
  /** Records that an ordered start did not take place; without another run the task is ready. */
  unplace(task: Task, run: number): void
  /**
   * Applies a reported end of a run. Returns its task, or undefined if the task is not in the
   * book, is already done, or belongs to a job that has an outcome.
   */
  applyEnd(targetId: string, end: ReportedEnd): Task | undefined
  /** Records that a run ended without a report: its target is gone or its lease has expired. */
  runVanished(task: Task, targetId: string): void
  /**
   * Records that the target crashed during a run of the task. Fails the job when the task reaches
   * a crash limit; otherwise the task stays placed until `runVanished`.
   */
  noteCrash(task: Task, run: number, role: CrashRole): void
  /** Records the confirmed uptime of a run of the task, in ms. */
  noteUptime(task: Task, ms: number): void
  /** Number of open jobs of a queue that have not begun; repeating jobs are not counted. */
  waiting(queue: string): number
  /** Forgets all but the id of a finished job whose row has left the intake. */
  forget(id: string): void
  /** Whether the job has been forgotten and not been removed since. */
  isForgotten(id: string): boolean
  remove(id: string): void
  /** Gives back the memory of all jobs, as the book is not used any more. */
  close(): void
  task(name: string): Task | undefined
}

/** Kinds of run ends that rule out a crash of the target. */
const NON_CRASH_ENDS: ReadonlySet<RunEndKind> = new Set(['done', 'failed'])

/** A reported end of a task whose job is not in the book yet. */
interface HeldEnd {
  targetId: string
  end: ReportedEnd
}

/** Creates an empty book. */
export function createJobBook(opts: JobBookOptions): JobBook {
  const jobs = new Map<string, Job>()
  const open = new Set<Job>()
  const ready = new Set<Task>()
  const jobsNotFullyDue = new Set<Job>()
  const { memory = createJobMemory() } = opts
  /** Reported ends of held jobs, by job id. */
  const heldEnds = new Map<string, HeldEnd[]>()
  /** Reported ends of jobs that are not in the book, kept while jobs may be missing; by job id. */
  const unmatchedEnds = new Map<string, HeldEnd[]>()
  let mayMissJobs = false
  /** Ids of the jobs that are left in the store. */
  const left = new Set<string>()
  /** Ids of finished jobs of which nothing else is kept. */
  const forgotten = new Set<string>()

  /** Removes the task from its job's count of placed tasks; the caller then sets its phase. */
  const countUnplaced = (task: Task): void => {
    if (task.phase !== 'placed') return
    const { job } = task.step
    job.placed--
    if (job.placed === 0) job.idleSince = opts.now()
  }

  const addReady = (task: Task): void => {
    ready.add(task)
    opts.becameReady?.(task)
  }

  const makeReady = (task: Task): void => {
    countUnplaced(task)
    task.phase = 'ready'
    task.targetId = undefined
    task.readySince = opts.now()
    if (!task.step.job.gated) addReady(task)
  }

  /** Clears the copy of a task; returns it. */
  const clearCopy = (
    task: Task,
    outcome: CopyOutcome,
    droppedSince: (copy: TaskCopy) => number,
  ): TaskCopy | undefined => {
    const { copy } = task
    if (!copy) return undefined
    task.copy = undefined
    opts.copyEnded?.(task, copy, outcome, droppedSince(copy))
    return copy
  }

  const startOf = ({ startedAt }: TaskCopy): number => startedAt

  /** Makes the copy the present run of its task. */
  const promote = (task: Task, { targetId, run, startedAt }: TaskCopy): void =>
    void Object.assign(task, { targetId, presentRun: run, startedAt })

  /** Handles the end of the present run: its copy goes on, or the task is ready again. */
  const presentRunEnded = (task: Task): void => {
    const copy = clearCopy(task, 'promoted', () => Infinity)
    if (copy) promote(task, copy)
    else makeReady(task)
  }

  /** Stops all runs of a placed task, except a run that has just ended. */
  const stopRuns = (task: Task, endedRun?: number): void => {
    if (task.phase !== 'placed') return
    const { targetId, presentRun } = task
    // Cleared first: a start that is still queued is undone at once, and must not be counted again.
    const copy = clearCopy(task, 'cancelled', startOf)
    if (copy && copy.run !== endedRun) opts.runUnwanted(task, copy.targetId)
    if (targetId !== undefined && presentRun !== endedRun)
      opts.runUnwanted(task, targetId)
  }

  /** Stops the other run of a task of which one run is done. */
  const stopOtherRun = (task: Task, doneOn: string, doneRun: number): void => {
    const presentTarget = task.targetId
    const hasWon = task.copy?.targetId === doneOn && doneRun >= task.copy.run
    const copy = hasWon
      ? clearCopy(task, 'won', () => task.startedAt)
      : clearCopy(task, 'lost', startOf)
    if (hasWon && copy) promote(task, copy)
    else if (copy) opts.runUnwanted(task, copy.targetId)
    if (presentTarget !== undefined && presentTarget !== doneOn)
      opts.runUnwanted(task, presentTarget)
  }

  const unblockStep = (step: Step): void => {
    if (step.unblocked) return
    step.unblocked = true
    for (const task of step.tasks) if (task.phase === 'blocked') makeReady(task)
  }

  const unblock = (occurrence: Occurrence): void => {
    for (const step of occurrence.steps) {
      if (isUnblocked(occurrence, step)) unblockStep(step)
    }
    opts.wake()
  }

  const finish = (job: Job, outcome: JobOutcome, cause: string): void => {
    if (job.outcome) return
    job.outcome = outcome
    job.endedAtMs = opts.wallMs()
    open.delete(job)
    jobsNotFullyDue.delete(job)
    for (const task of tasksOf(job)) {
      ready.delete(task)
      stopRuns(task)
    }
    job.occurrences = []
    countBytes(job)
    opts.outcomeReached(job, outcome, cause)
    opts.progressChanged(job)
  }

  const markDone = (task: Task): void => {
    if (task.phase === 'done') return
    ready.delete(task)
    countUnplaced(task)
    task.phase = 'done'
    noteChanged(task)
    const { step } = task
    step.doneCount++
    if (!isStepDone(step)) return
    step.tasks = []
    const occurrence = findOccurrence(step.job, step.occurrence)
    if (!occurrence) return
    occurrence.openSteps--
    if (occurrence.openSteps > 0) return unblock(occurrence)
    occurrenceDone(step.job, occurrence)
  }

  const occurrenceDone = (job: Job, { number }: Occurrence): void => {
    closeOccurrence(job, number)
    countBytes(job)
    if (areAllDone(job)) finish(job, 'completed', 'all tasks done')
    else markJobDue(job)
  }

  /** Counts what a job takes now. An open job keeps the memory of one occurrence for the next. */
  const countBytes = (job: Job): void => {
    const { spec, occurrences, outcome } = job
    const bytes = outcome ? jobBytes(spec) : openJobBytes(spec, occurrences.length)
    memory.change(bytes - job.bytes)
    job.bytes = bytes
  }

  /** Whether the tasks of one more occurrence may be kept. */
  const mayOpenOccurrence = ({ spec, occurrences }: Job): boolean => {
    if (occurrences.length === 0) return true
    const tasks = (occurrences.length + 1) * tasksPerOccurrence(spec)
    if (tasks > MAX_TASKS_PER_JOB) return false
    return memory.free() >= occurrenceBytes(spec)
  }

  /** Opens an occurrence of which a target has reported a run, whether or not it is due. */
  const openReported = (job: Job, number: number): Occurrence => {
    const occurrence = openOccurrence(job, number)
    countBytes(job)
    return occurrence
  }

  /**
   * Opens the occurrences of a job that have become due, as far as their tasks may be kept; the others
   * follow as earlier ones are done.
   */
  const markJobDue = (job: Job): void => {
    const count = occurrencesOf(job.spec)
    while (job.nextOccurrence < count) {
      const number = job.nextOccurrence
      if (!job.doneOccurrences.has(number)) {
        if (dueTimeOf(job.spec, number) > opts.wallMs()) return
        if (!findOccurrence(job, number) && !mayOpenOccurrence(job)) return
        const occurrence = openOccurrence(job, number)
        countBytes(job)
        occurrence.due = true
        unblock(occurrence)
      }
      job.nextOccurrence++
    }
    jobsNotFullyDue.delete(job)
  }

  /** Fails the task and its job because of a run of the task. */
  const failJob = (task: Task, run: number, cause: string): void => {
    // The end of an earlier run may use up the attempts while a later run is on another target.
    stopRuns(task, run)
    countUnplaced(task)
    task.phase = 'failed'
    finish(task.step.job, 'failed', cause)
  }

  /** Counts a failed run; fails the job when the task has used up its attempts. */
  const countFailure = (task: Task, run: number): void => {
    const { job, spec, tasks } = task.step
    if (spec.lasting) return
    const counted = spec.gang ? (tasks[0] ?? task) : task
    counted.failedRuns = new Set(counted.failedRuns).add(run)
    noteChanged(counted)
    const { maxAttempts } = opts.rulesOf(job.spec)
    const { size } = counted.failedRuns
    if (size < maxAttempts) return
    failJob(task, run, `${task.name} failed ${size} times, ${maxAttempts} allowed`)
  }

  /** The tasks that a `done` end completes: all members of a gang, otherwise the task itself. */
  const gangMembers = (task: Task): Task[] =>
    task.step.spec.gang ? task.step.tasks : [task]

  const END_HANDLERS: Record<RunEndKind, (task: Task) => void> = {
    done(task) {
      if (task.step.spec.lasting) return makeReady(task)
      for (const member of gangMembers(task)) markDone(member)
    },
    failed: presentRunEnded,
    stopped: presentRunEnded,
    lapsed: presentRunEnded,
    broken: presentRunEnded,
    alone: presentRunEnded,
  }

  /** Keeps an end until its job is added. */
  function holdEnd(targetId: string, end: ReportedEnd): void {
    const id = jobIdOf(end.task)
    const kept = heldEnds.get(id)
    book.noteReported(end.task)
    if (kept) return void kept.push({ targetId, end })
    if (!mayMissJobs || jobs.has(id)) return
    unmatchedEnds.set(id, [...(unmatchedEnds.get(id) ?? []), { targetId, end }])
  }

  const book: JobBook = {
    jobs,
    open,
    ready,
    add(spec, { progress, segments, version = 0, gated = false } = {}) {
      const known = jobs.get(spec.id)
      if (known) return known
      const job = createJob(spec, opts.now())
      job.progressVersion = version
      job.gated = gated
      if (progress) restoreProgress(job, progress, segments)
      jobs.set(spec.id, job)
      countBytes(job)
      if (job.outcome) {
        book.releaseEnds(spec.id)
        return job
      }
      open.add(job)
      jobsNotFullyDue.add(job)
      book.markDue()
      for (const { targetId, end } of book.releaseEnds(spec.id))
        book.applyEnd(targetId, end)
      return job
    },
    cancel(id) {
      const job = jobs.get(id)
      if (!job || job.cancelRequested) return job
      job.cancelRequested = true
      finish(job, 'cancelled', 'cancelled by the caller')
      return job
    },
    allowStarts(only) {
      for (const job of only ? [only] : jobs.values()) {
        if (!job.gated) continue
        job.gated = false
        if (job.outcome) continue
        for (const task of tasksOf(job)) if (task.phase === 'ready') addReady(task)
      }
      opts.wake()
    },
    holdEnds(id) {
      left.delete(id)
      if (jobs.has(id) || heldEnds.has(id)) return
      heldEnds.set(id, unmatchedEnds.get(id) ?? [])
      unmatchedEnds.delete(id)
    },
    leave(id) {
      book.holdEnds(id)
      left.add(id)
    },
    isLeft: (id) => left.has(id),
    noteReported(task) {
      const id = jobIdOf(task)
      if (left.has(id)) opts.leftJobReported?.(id)
    },
    releaseEnds(id) {
      left.delete(id)
      const ends = [...(heldEnds.get(id) ?? []), ...(unmatchedEnds.get(id) ?? [])]
      heldEnds.delete(id)
      unmatchedEnds.delete(id)
      return ends
    },
    get mayLackJobs() {
      return mayMissJobs
    },
    set mayLackJobs(may) {
      mayMissJobs = may
      if (!may) unmatchedEnds.clear()
    },
    isHeld(task) {
      const id = jobIdOf(task)
      if (heldEnds.has(id)) return true
      return mayMissJobs && !jobs.has(id) && !forgotten.has(id)
    },
    isUnread: (task) => left.has(jobIdOf(task)) || (mayMissJobs && book.isHeld(task)),
    markDue() {
      for (const job of jobsNotFullyDue) markJobDue(job)
    },
    place(task, targetId, run) {
      ready.delete(task)
      const { job } = task.step
      if (task.phase === 'ready')
        noteDelay(job.delays, 'waitedMs', opts.now() - task.readySince)
      if (task.phase !== 'placed') job.placed++
      task.phase = 'placed'
      task.targetId = targetId
      task.run = Math.max(task.run, run)
      task.presentRun = run
      task.startedAt = Infinity
    },
    placeCopy(task, targetId, run) {
      task.run = Math.max(task.run, run)
      task.copy = { targetId, run, orderedAt: opts.now(), startedAt: Infinity }
    },
    noteBegun(task, run) {
      task.step.job.begun = true
      const { copy } = task
      if (copy?.run === run) copy.startedAt = Math.min(copy.startedAt, opts.now())
      if (task.phase !== 'placed' || task.presentRun !== run) return
      task.startedAt = Math.min(task.startedAt, opts.now())
    },
    unplace(task, run) {
      if (task.phase !== 'placed' || task.step.job.outcome) return
      if (task.copy?.run === run) clearCopy(task, 'notStarted', () => Infinity)
      else if (task.presentRun === run) presentRunEnded(task)
    },
    applyEnd(targetId, end) {
      holdEnd(targetId, end)
      const task = book.task(end.task)
      if (!task || task.step.job.outcome || task.phase === 'done') return undefined
      task.run = Math.max(task.run, end.run)
      task.step.job.begun = true
      if (NON_CRASH_ENDS.has(end.kind)) book.noteUptime(task, Infinity)
      // A run that completes the task counts even if another run has been placed since.
      if (end.kind === 'done' && !task.step.spec.lasting) {
        if (task.phase === 'placed') stopOtherRun(task, targetId, end.run)
        END_HANDLERS.done(task)
        opts.progressChanged(task.step.job)
        return task
      }
      const present = task.phase === 'placed' && task.targetId === targetId
      if (end.checkpoint !== '') task.checkpoint = end.checkpoint
      noteChanged(task)
      if (end.kind === 'failed') countFailure(task, end.run)
      if (task.step.job.outcome) return task
      if (task.copy?.targetId === targetId && end.run >= task.copy.run)
        clearCopy(task, 'ended', startOf)
      else if (present && end.run >= task.presentRun) END_HANDLERS[end.kind](task)
      opts.progressChanged(task.step.job)
      opts.wake()
      return task
    },
    runVanished(task, targetId) {
      if (task.phase !== 'placed' || task.step.job.outcome) return
      if (task.copy?.targetId === targetId) clearCopy(task, 'ended', startOf)
      else if (task.targetId === targetId) presentRunEnded(task)
      opts.wake()
    },
    noteCrash(task, run, role) {
      const { job } = task.step
      if (job.outcome || task.phase === 'done') return
      const isAtLimit = addCrash(task, run, role)
      noteChanged(countedTask(task))
      if (isAtLimit) failJob(task, run, `${task.name} crashed its targets`)
      else opts.progressChanged(job)
    },
    noteUptime(task, ms) {
      if (noteUptime(task, ms)) opts.wake()
    },
    waiting(queue) {
      let count = 0
      for (const job of open) {
        const counts = job.spec.queue === queue && job.spec.repetitions === 0
        if (counts && !job.begun) count++
      }
      return count
    },
    forget(id) {
      const isKnown = jobs.has(id)
      book.remove(id)
      if (isKnown) forgotten.add(id)
    },
    isForgotten: (id) => forgotten.has(id),
    remove(id) {
      forgotten.delete(id)
      const job = jobs.get(id)
      if (!job) return
      open.delete(job)
      jobs.delete(id)
      memory.change(-job.bytes)
    },
    close() {
      for (const id of [...jobs.keys()]) book.remove(id)
    },
    task(name) {
      const job = jobs.get(jobIdOf(name))
      return job && findTask(job, name, (number) => openReported(job, number))
    },
  }
  return book
}
