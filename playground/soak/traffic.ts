/** Traffic of a run: jobs drawn from its seed are submitted and queried; some are cancelled. */
import { sleep } from '../../src/shared/index.js'
import { exponential } from '../random.js'
import type { Random } from '../random.js'
import type { Clients } from './clients.js'
import { tasksOf } from './jobView.js'
import type { JobView, SoakQueue, StepView } from './jobView.js'
import type { SoakOrganisation, SoakOrganisations } from './organisations.js'
import type { SoakPlan } from './plan.js'

/** Fractions of jobs that are sent again, are cancelled, or run until they are stopped. */
const RESENT_SHARE = 0.1
const CANCELLED_SHARE = 0.06
const LASTING_SHARE = 0.04
/** Fraction of jobs with one step. */
const ONE_STEP_SHARE = 0.6
/** Longest delay before a job is sent again or cancelled, in ms. */
const MAX_RESEND_DELAY_MS = 3000
const MAX_CANCEL_DELAY_MS = 1500
/** Largest factor by which a slow target prolongs a task. */
const MAX_SLOWDOWN = 15
/** Interval of queries for states, in ms. */
const QUERY_INTERVAL_MS = 60

/** Traffic of a run. */
export interface Traffic {
  /** Submits jobs for `lengthMs` and waits until all requests of their callers have ended. */
  run(lengthMs: number): Promise<void>
  /** Queries all jobs until each has ended or timed out; returns those that have not ended. */
  settle(ms: number): Promise<JobView[]>
}

/** Longest run time of a job, in ms: all of its failing attempts, or one on a slow target. */
function maxRunMs({ spec, queue }: JobView): number {
  const { ms, fail } = JSON.parse(spec) as { ms: number; fail: boolean }
  return ms * (fail ? queue.maxAttempts : MAX_SLOWDOWN)
}

/** Creates the traffic of a run. */
export function createTraffic(opts: {
  random: Random
  queues: SoakQueue[]
  clients: Clients
  jobs: Map<string, JobView>
  organisations: SoakOrganisations
  plan: SoakPlan
}): Traffic {
  const { random, queues, clients, jobs, organisations, plan } = opts

  const between = (low: number, high: number): number =>
    Math.floor(low + (high - low) * random())

  const drawOrganisation = (): SoakOrganisation | undefined =>
    organisations.all[between(0, organisations.all.length)]

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
    const ms = isLasting ? 0 : Math.round(50 + exponential(random, plan.meanTaskMs))
    const fail = !isLasting && random() < plan.hopelessShare
    const spec = JSON.stringify({ ms, cpu, fail })
    const tasks = tasksOf(id, steps)
    const organisation = plan.organisations > 0 ? drawOrganisation() : undefined
    const job: JobView = {
      id,
      queue,
      organisation,
      spec,
      steps,
      isLasting,
      tasks,
      mayBeTaken: false,
    }
    jobs.set(id, job)
    return job
  }

  async function runCaller(job: JobView): Promise<void> {
    await clients.submit(job)
    if (random() < RESENT_SHARE) {
      await sleep(between(0, MAX_RESEND_DELAY_MS))
      await clients.submit(job)
    }
    if (random() < CANCELLED_SHARE) {
      await sleep(between(0, MAX_CANCEL_DELAY_MS))
      await clients.cancel(job)
    }
  }

  const unfinishedJobs = (): JobView[] =>
    [...jobs.values()].filter((job) => job.acceptedAt !== undefined && !job.outcome)

  async function pollStates(endsAt: number): Promise<void> {
    const queries: Promise<void>[] = []
    while (performance.now() < endsAt) {
      const known = unfinishedJobs()
      const job = known[between(0, known.length)]
      if (job) queries.push(clients.queryState(job))
      await sleep(QUERY_INTERVAL_MS)
    }
    await Promise.all(queries)
  }

  return {
    async run(lengthMs) {
      const endsAt = performance.now() + lengthMs
      const callers = [pollStates(endsAt)]
      while (performance.now() < endsAt) {
        callers.push(runCaller(drawJob()))
        await sleep(exponential(random, 1000 / plan.jobsPerSecond))
      }
      await Promise.all(callers)
    },
    async settle(ms) {
      const since = performance.now()
      const isInTime = (job: JobView): boolean =>
        performance.now() - since < ms + maxRunMs(job)
      while (unfinishedJobs().some(isInTime)) {
        for (const job of unfinishedJobs()) {
          if (job.isLasting && job.cancelAckedAt === undefined) await clients.cancel(job)
          await clients.queryState(job)
        }
        await sleep(QUERY_INTERVAL_MS)
      }
      return unfinishedJobs()
    },
  }
}
