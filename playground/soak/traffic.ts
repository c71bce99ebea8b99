/** The jobs of a run: drawn from its seed, handed in, asked for, some cancelled. */
import { sleep } from '../../src/shared/index.js'
import { exponential } from '../random.js'
import type { Random } from '../random.js'
import type { Clients } from './clients.js'
import { tasksOf } from './jobBook.js'
import type { JobView, SoakQueue, StepView } from './jobBook.js'
import type { SoakPlan } from './plan.js'

/** Shares of jobs that are sent once more, cancelled, and that last. */
const RESENT_SHARE = 0.1
const CANCELLED_SHARE = 0.06
const LASTING_SHARE = 0.04
/** Share of jobs of one step, and the mean time of a task, in ms. */
const ONE_STEP_SHARE = 0.6
const TASK_MS = 500
/** Longest pause before a job is sent once more, or cancelled, in ms. */
const RESEND_MS = 3000
const CANCEL_MS = 1500
/** Time between two questions for a state, in ms. */
const QUESTION_MS = 60

/** The jobs and their callers. */
export interface Traffic {
  /** Sends jobs until the time is over, and waits until their callers are done. */
  work(lengthMs: number): Promise<void>
  /** Asks for all jobs until each has ended or the time is over; returns those left. */
  settle(ms: number): Promise<JobView[]>
}

/** Creates the traffic of a run. */
export function createTraffic(opts: {
  random: Random
  queues: SoakQueue[]
  clients: Clients
  jobs: Map<string, JobView>
  plan: SoakPlan
}): Traffic {
  const { random, queues, clients, jobs, plan } = opts

  const between = (low: number, high: number): number =>
    Math.floor(low + (high - low) * random())

  function drawSteps(cpu: number): StepView[] {
    const first = { count: between(1, 5), cpu, after: [] }
    if (random() < ONE_STEP_SHARE) return [first]
    return [first, { count: between(1, 4), cpu, after: [0] }]
  }

  function drawJob(): JobView {
    const id = (jobs.size + 1).toString(16).padStart(16, '0')
    const queue = queues[between(0, queues.length)]!
    const cpu = between(100, 900)
    const isLasting = random() < LASTING_SHARE
    const steps = isLasting ? [{ count: between(1, 3), cpu, after: [] }] : drawSteps(cpu)
    const ms = isLasting ? 0 : Math.round(50 + exponential(random, TASK_MS))
    const fail = !isLasting && random() < plan.hopelessShare
    const spec = JSON.stringify({ ms, cpu, fail })
    const tasks = tasksOf(id, steps)
    const job = { id, queue, spec, steps, isLasting, tasks, mayBeTaken: false }
    jobs.set(id, job)
    return job
  }

  async function live(job: JobView): Promise<void> {
    await clients.submit(job)
    if (random() < RESENT_SHARE) {
      await sleep(between(0, RESEND_MS))
      await clients.submit(job)
    }
    if (random() < CANCELLED_SHARE) {
      await sleep(between(0, CANCEL_MS))
      await clients.cancel(job)
    }
  }

  const open = (): JobView[] =>
    [...jobs.values()].filter((job) => job.acceptedAt !== undefined && !job.outcome)

  async function askNowAndThen(endsAt: number): Promise<void> {
    const questions: Promise<void>[] = []
    while (performance.now() < endsAt) {
      const known = open()
      const job = known[between(0, known.length)]
      if (job) questions.push(clients.ask(job))
      await sleep(QUESTION_MS)
    }
    await Promise.all(questions)
  }

  return {
    async work(lengthMs) {
      const endsAt = performance.now() + lengthMs
      const lives = [askNowAndThen(endsAt)]
      while (performance.now() < endsAt) {
        lives.push(live(drawJob()))
        await sleep(exponential(random, 1000 / plan.jobsPerSecond))
      }
      await Promise.all(lives)
    },
    async settle(ms) {
      const endsAt = performance.now() + ms
      while (open().length > 0 && performance.now() < endsAt) {
        for (const job of open()) {
          if (job.isLasting && job.cancelAckedAt === undefined) await clients.cancel(job)
          await clients.ask(job)
        }
        await sleep(QUESTION_MS)
      }
      return open()
    },
  }
}
