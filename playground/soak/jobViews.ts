/** What the soak knows of each job from outside: its callers' answers and its runs. */

/** One step as the callers ask for it. */
export interface StepView {
  count: number
  cpu: number
  /** Numbers of earlier steps that must be done first. */
  after: number[]
}

/** A run that goes on. */
export interface RunView {
  run: number
  target: string
  since: number
}

/** One task. */
export interface TaskView {
  name: string
  step: number
  active: RunView | undefined
  /** Start of its newest run. */
  startedAt: number
  /** An end `done` that its owner has acknowledged. */
  isDone: boolean
  /** Ends `done`, acknowledged or not, by target and run. */
  doneEnds: Set<string>
  /** Ends `failed`, acknowledged or not. */
  failedEnds: number
  /** Ends `failed` that the owner has acknowledged. */
  failedNoted: number
  /** The newest end, while nobody has acknowledged it. */
  unheard: RunView | undefined
}

/** One job. */
export interface JobView {
  id: string
  queue: string
  service: string
  spec: string
  steps: StepView[]
  isLasting: boolean
  maxAttempts: number
  tasks: TaskView[]
  acceptedAt: number | undefined
  /** Some attempt to hand it in may have been taken. */
  mayBeTaken: boolean
  cancelSentAt: number | undefined
  cancelAckedAt: number | undefined
  /** Its final state, once callers were shown one. */
  outcome: string | undefined
}

/** Creates the view of a job that nobody has handed in yet. */
export function createJobView(
  job: Pick<
    JobView,
    'id' | 'queue' | 'service' | 'spec' | 'steps' | 'isLasting' | 'maxAttempts'
  >,
): JobView {
  const tasks = job.steps.flatMap(({ count }, step) =>
    Array.from({ length: count }, (_, index): TaskView => {
      const name = `${job.id}.0.${step}.${index}`
      return {
        name,
        step,
        active: undefined,
        startedAt: -Infinity,
        isDone: false,
        doneEnds: new Set(),
        failedEnds: 0,
        failedNoted: 0,
        unheard: undefined,
      }
    }),
  )
  return {
    ...job,
    tasks,
    acceptedAt: undefined,
    mayBeTaken: false,
    cancelSentAt: undefined,
    cancelAckedAt: undefined,
    outcome: undefined,
  }
}

/** Whether all tasks of the earlier steps that a task waits for have ended well. */
export function isTurnOf(job: JobView, task: TaskView): boolean {
  const { after } = job.steps[task.step]!
  return job.tasks.every(
    ({ step, doneEnds }) => doneEnds.size > 0 || !after.includes(step),
  )
}
