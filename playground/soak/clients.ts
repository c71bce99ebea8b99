/** Clients of a run: they hand jobs in, ask for states, cancel, and check each answer. */
import { errors } from 'undici'
import type { Dispatcher } from 'undici'
import { sleep } from '../../src/shared/index.js'
import { exponential } from '../random.js'
import type { Random } from '../random.js'
import type { Calm } from './calm.js'
import { createJobView } from './jobViews.js'
import type { JobView, StepView } from './jobViews.js'
import { DEADLINE_MS } from './nodes.js'
import type { SoakNode } from './nodes.js'
import type { Report, RunChecks } from './runChecks.js'

/** A queue as clients know it. */
export interface SoakQueue {
  name: string
  host: string
  path: string
  service: string
  maxAttempts: number
}

/** Attempts to hand a job in, and the longest pause between two, in ms. */
const MAX_ATTEMPTS = 10
const MAX_PAUSE_MS = 1000
/** Pause after an attempt that nothing is known of, in ms. */
const UNSURE_PAUSE_MS = 200
/** Shares of jobs that are sent once more, cancelled, that always fail, and that last. */
const RESENT_SHARE = 0.1
const CANCELLED_SHARE = 0.06
const HOPELESS_SHARE = 0.04
const LASTING_SHARE = 0.04
/** Time between two questions for a state, in ms. */
const QUESTION_MS = 60
/** A job is known to all nodes so long after it was accepted, in ms. */
const VISIBLE_MS = 3000
/** A connection that ends so soon after a request was sent may have been ending before. */
const CROSSED_MS = 200

/** What a client heard; `status` 0: no answer, 1: no connection, so nothing was sent. */
interface Heard {
  status: number
  state: string | undefined
  retryAfterMs: number
}
const NO_ANSWER = 0
const NOT_SENT = 1

/** The clients, while they work. */
export interface Clients {
  /** Sends jobs until the time is over, and waits for the last answer. */
  work(lengthMs: number): Promise<void>
  /** Asks for all jobs until each has ended or the time is over; returns those left. */
  settle(ms: number): Promise<JobView[]>
}

/** Creates the clients. */
export function createClients(opts: {
  random: Random
  nodes: SoakNode[]
  queues: SoakQueue[]
  checks: RunChecks
  calm: Calm
  unplanned: Calm
  jobsPerSecond: number
  report: Report
  note(what: string, more: Record<string, unknown>): void
}): Clients {
  const { random, nodes, queues, checks, calm, unplanned, report, note } = opts
  const { jobs } = checks
  let nextJob = 1
  let nextNode = 0

  /** A request that ended without an answer, against what nodes promise. */
  function checkSilence(node: SoakNode, what: string, tookMs: number, err: Error): void {
    const isTimeout = err instanceof errors.HeadersTimeoutError
    if (calm.isCalm() && calm.calmMs() > tookMs && isTimeout) {
      report('no answer', `${what} at ${node.name} within ${DEADLINE_MS} ms`)
    }
    const wasPlanned = node.isStopping() && unplanned.isCalm()
    if (wasPlanned && !isTimeout && tookMs > CROSSED_MS) {
      report(
        'cut by a planned stop',
        `${what} at ${node.name} after ${tookMs} ms: ${err}`,
      )
    }
  }

  async function call(
    method: Dispatcher.HttpMethod,
    queue: SoakQueue,
    id: string,
    body?: unknown,
  ): Promise<Heard> {
    nextNode = (nextNode + 1 + Math.floor(random() * nodes.length)) % nodes.length
    const node = nodes[nextNode]!
    const since = performance.now()
    const what = `${method} ${id}`
    try {
      const res = await node.clients.request({
        method,
        path: queue.path + id,
        headers: { host: queue.host, 'content-type': 'application/json' },
        body: body === undefined ? null : JSON.stringify(body),
      })
      const text = await res.body.text()
      const { state } = (text === '' ? {} : JSON.parse(text)) as { state?: string }
      note('answer', { what, node: node.name, status: res.statusCode, state })
      const retryAfterMs = Number(res.headers['retry-after'] ?? 0) * 1000
      return { status: res.statusCode, state, retryAfterMs }
    } catch (cause) {
      const err = cause as Error & { code?: string }
      const tookMs = Math.round(performance.now() - since)
      note('no answer', { what, node: node.name, tookMs, reason: err.message })
      if (err.code === 'ECONNREFUSED') {
        return { status: NOT_SENT, state: undefined, retryAfterMs: 0 }
      }
      checkSilence(node, what, tookMs, err)
      return { status: NO_ANSWER, state: undefined, retryAfterMs: UNSURE_PAUSE_MS }
    }
  }

  const queueOf = (job: JobView): SoakQueue =>
    queues.find(({ name }) => name === job.queue)!

  const between = (low: number, high: number): number =>
    Math.round(low + (high - low) * random())

  function drawSteps(cpu: number): StepView[] {
    const first = { count: between(1, 4), cpu, after: [] }
    return random() < 0.6 ? [first] : [first, { count: between(1, 3), cpu, after: [0] }]
  }

  function drawJob(): JobView {
    const queue = queues[Math.floor(random() * queues.length)]!
    const isLasting = random() < LASTING_SHARE
    const cpu = between(100, 900)
    const ms = isLasting ? 0 : Math.round(50 + exponential(random, 450))
    const fail = !isLasting && random() < HOPELESS_SHARE
    const job = createJobView({
      id: (nextJob++).toString(16).padStart(16, '0'),
      queue: queue.name,
      service: queue.service,
      spec: JSON.stringify({ ms, cpu, ...(fail && { fail }) }),
      steps: isLasting ? [{ count: between(1, 2), cpu, after: [] }] : drawSteps(cpu),
      isLasting,
      maxAttempts: queue.maxAttempts,
    })
    jobs.set(job.id, job)
    return job
  }

  function bodyOf({ spec, steps, isLasting }: JobView): unknown {
    const { ms } = JSON.parse(spec) as { ms: number }
    return {
      spec,
      steps: steps.map(({ count, cpu, after }) => ({
        count,
        cpu,
        after_revision: after,
        estimated_ms: ms,
        long_running: isLasting,
      })),
    }
  }

  /** Sends a job until it is taken or surely is not. */
  async function handIn(job: JobView): Promise<void> {
    let isUnsure = false
    for (let each = 0; each < MAX_ATTEMPTS; each++) {
      const couldNot = !job.mayBeTaken
      job.mayBeTaken = true
      const heard = await call('POST', queueOf(job), job.id, bodyOf(job))
      if (heard.status >= 200 && heard.status < 300) {
        job.acceptedAt ??= performance.now()
        return
      }
      const isRejected = [NOT_SENT, 429, 503].includes(heard.status)
      if (!isRejected) isUnsure = true
      if (!isUnsure && couldNot) job.mayBeTaken = false
      if (![NOT_SENT, NO_ANSWER, 429, 502, 503, 504].includes(heard.status)) {
        return report('wrong answer', `POST ${job.id}: ${heard.status}`)
      }
      await sleep(Math.min(MAX_PAUSE_MS, heard.retryAfterMs) * (0.5 + random()))
    }
  }

  const isFailedRightly = ({ tasks, maxAttempts }: JobView): boolean =>
    tasks.some(({ failedEnds }) => failedEnds >= maxAttempts)

  /** What must hold when callers are shown a state. */
  const STATE_CHECKS: Record<string, (job: JobView) => boolean> = {
    queued: () => true,
    running: () => true,
    completed: ({ tasks, isLasting }) =>
      !isLasting && tasks.every(({ doneEnds }) => doneEnds.size > 0),
    failed: (job) => !job.isLasting && isFailedRightly(job),
    cancelled: ({ cancelSentAt }) => cancelSentAt !== undefined,
  }
  const FINAL = ['completed', 'failed', 'cancelled']

  function checkState(job: JobView, state: string): void {
    if (!STATE_CHECKS[state]?.(job)) report('wrong state', `${job.id} is shown ${state}`)
    if (job.outcome !== undefined && state !== job.outcome) {
      report('wrong state', `${job.id} is shown ${state} after ${job.outcome}`)
    }
    if (FINAL.includes(state)) job.outcome = state
  }

  async function ask(job: JobView): Promise<void> {
    const { status, state } = await call('GET', queueOf(job), job.id)
    if (status === 200) return checkState(job, String(state))
    const knownFor = performance.now() - (job.acceptedAt ?? Infinity)
    if (status === 410 && knownFor > VISIBLE_MS && calm.isCalm()) {
      report('accepted job unknown', `${job.id} after ${Math.round(knownFor)} ms`)
    }
  }

  async function cancel(job: JobView): Promise<void> {
    job.cancelSentAt ??= performance.now()
    const { status } = await call('DELETE', queueOf(job), job.id)
    const isAcked = status === 410 || (status >= 200 && status < 300)
    if (isAcked) job.cancelAckedAt ??= performance.now()
  }

  async function liveOf(job: JobView): Promise<void> {
    await handIn(job)
    if (random() < RESENT_SHARE) {
      await sleep(between(0, 3000))
      await handIn(job)
    }
    if (random() < CANCELLED_SHARE) {
      await sleep(between(0, 1500))
      await cancel(job)
    }
  }

  const open = (): JobView[] =>
    [...jobs.values()].filter(
      ({ acceptedAt, outcome }) => acceptedAt !== undefined && outcome === undefined,
    )

  async function askNowAndThen(endsAt: number): Promise<void> {
    const questions: Promise<void>[] = []
    while (performance.now() < endsAt) {
      const known = open()
      const job = known[Math.floor(random() * known.length)]
      if (job) questions.push(ask(job))
      await sleep(QUESTION_MS)
    }
    await Promise.all(questions)
  }

  return {
    async work(lengthMs) {
      const endsAt = performance.now() + lengthMs
      const lives: Promise<void>[] = [askNowAndThen(endsAt)]
      while (performance.now() < endsAt) {
        lives.push(liveOf(drawJob()))
        await sleep(exponential(random, 1000 / opts.jobsPerSecond))
      }
      await Promise.all(lives)
    },
    async settle(ms) {
      const endsAt = performance.now() + ms
      const isOver = (): boolean => performance.now() > endsAt
      for (const job of open()) if (job.isLasting) await cancel(job)
      while (open().length > 0 && !isOver()) {
        for (const job of open()) {
          if (isOver()) break
          if (job.isLasting && job.cancelAckedAt === undefined) await cancel(job)
          await ask(job)
        }
        await sleep(QUESTION_MS)
      }
      return open()
    },
  }
}
