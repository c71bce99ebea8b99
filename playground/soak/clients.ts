/** Clients of a run: they hand jobs in, ask for states, cancel, and check each answer. */
import { errors } from 'undici'
import type { Dispatcher } from 'undici'
import { sleep } from '../../src/shared/index.js'
import type { DisturbanceTracker } from './disturbances.js'
import { countEnds } from './jobView.js'
import type { JobView } from './jobView.js'
import { DEADLINE_MS } from './nodes.js'
import type { SoakNode } from './nodes.js'
import type { Report, RunChecks } from './runChecks.js'

/** Host by which clients name all queues. */
export const QUEUE_HOST = 'q.example'
/** Attempts to hand a job in, and the longest pause between two, in ms. */
const MAX_SUBMIT_ATTEMPTS = 10
const MAX_PAUSE_MS = 1000
/** Pause after an attempt that nothing is known of, in ms. */
const RETRY_PAUSE_MS = 200
/** A job is known to all nodes so long after it was accepted, in ms. */
const VISIBILITY_MS = 3000
/** A connection that ends so soon after a request was sent may have been ending before. */
const KEEP_ALIVE_RACE_MS = 200

/** What a client heard: a status, or that nothing was sent, or that no answer came. */
interface CallResult {
  status: number | 'not sent' | 'no answer'
  state?: string | undefined
  retryAfterMs?: number
}
/** The job was not taken: it never runs. */
const REJECTIONS: CallResult['status'][] = ['not sent', 429, 503]
/** The job may have been taken: the same id is sent again. */
const UNKNOWN_OUTCOMES: CallResult['status'][] = ['no answer', 502, 504]

/** What must hold when callers are shown a state. */
const STATE_CHECKS: Record<string, (job: JobView) => boolean> = {
  queued: () => true,
  running: () => true,
  completed: ({ tasks, isLasting }) =>
    !isLasting && tasks.every((task) => countEnds(task, 'done') > 0),
  failed: ({ tasks, isLasting, queue }) =>
    !isLasting && tasks.some((task) => countEnds(task, 'failed') >= queue.maxAttempts),
  cancelled: ({ cancelSentAt }) => cancelSentAt !== undefined,
}
const FINAL_STATES = ['completed', 'failed', 'cancelled']

/** What clients do with a job. */
export interface Clients {
  /** Sends a job until it is taken or surely is not. */
  submit(job: JobView): Promise<void>
  queryState(job: JobView): Promise<void>
  cancel(job: JobView): Promise<void>
}

/** Creates clients that use all nodes in turn. */
export function createClients(opts: {
  nodes: SoakNode[]
  checks: RunChecks
  disturbances: DisturbanceTracker
  /** As `disturbances`, but for planned stops. */
  unplannedDisturbances: DisturbanceTracker
  report: Report
  writeTrace(what: string, more: object): void
}): Clients {
  const { nodes, disturbances, unplannedDisturbances, report, writeTrace } = opts
  let nextNode = 0

  /** A request that ended without an answer, against what nodes promise. */
  function checkMissingReply(
    node: SoakNode,
    what: string,
    tookMs: number,
    err: Error,
  ): void {
    const isLate = err instanceof errors.HeadersTimeoutError
    if (isLate && disturbances.isUndisturbed() && disturbances.undisturbedMs() > tookMs) {
      report('no answer', `${what} at ${node.name} within ${DEADLINE_MS} ms`)
    }
    const wasCut = !isLate && tookMs > KEEP_ALIVE_RACE_MS && node.isStopping()
    if (wasCut && unplannedDisturbances.isUndisturbed()) {
      report(
        'cut by a planned stop',
        `${what} at ${node.name} after ${tookMs} ms: ${err}`,
      )
    }
  }

  async function call(
    method: Dispatcher.HttpMethod,
    { id, queue }: JobView,
    body: string | null = null,
  ): Promise<CallResult> {
    const node = nodes[nextNode++ % nodes.length]!
    const what = `${method} ${id}`
    const since = performance.now()
    const headers = { host: QUEUE_HOST, 'content-type': 'application/json' }
    try {
      const path = queue.path + id
      const res = await node.clients.request({ method, path, headers, body })
      const text = await res.body.text()
      const { state } = (text === '' ? {} : JSON.parse(text)) as { state?: string }
      const status = res.statusCode
      writeTrace('answer', { call: what, node: node.name, status, state })
      const retryAfterMs = Number(res.headers['retry-after'] ?? 0) * 1000
      return { status, state, retryAfterMs }
    } catch (cause) {
      const err = cause as Error & { code?: string }
      const tookMs = Math.round(performance.now() - since)
      writeTrace('no answer', {
        call: what,
        node: node.name,
        tookMs,
        reason: err.message,
      })
      if (err.code === 'ECONNREFUSED') return { status: 'not sent' }
      checkMissingReply(node, what, tookMs, err)
      return { status: 'no answer' }
    }
  }

  function bodyOf({ spec, steps, isLasting }: JobView): string {
    const { ms } = JSON.parse(spec) as { ms: number }
    const wireSteps = steps.map(({ count, cpu, after }) => ({
      count,
      cpu,
      after_revision: after,
      estimated_ms: ms,
      long_running: isLasting,
    }))
    return JSON.stringify({ spec, steps: wireSteps })
  }

  /** Checks a state against that which callers had been shown when they asked for it. */
  function checkState(job: JobView, state: string, shown: string | undefined): void {
    const isRight = STATE_CHECKS[state]?.(job) ?? false
    if (!isRight || (shown !== undefined && shown !== state)) {
      report('wrong state', `${job.id} is shown ${state}, before ${shown}`)
    }
    if (FINAL_STATES.includes(state)) job.outcome = state
  }

  return {
    async submit(job) {
      let isOutcomeUnknown = job.mayBeTaken
      for (let each = 0; each < MAX_SUBMIT_ATTEMPTS; each++) {
        job.mayBeTaken = true
        const { status, retryAfterMs } = await call('POST', job, bodyOf(job))
        if (status === 200) {
          job.acceptedAt ??= performance.now()
          return
        }
        if (UNKNOWN_OUTCOMES.includes(status)) isOutcomeUnknown = true
        else if (!REJECTIONS.includes(status)) {
          return report('wrong answer', `POST ${job.id}: ${status}`)
        }
        job.mayBeTaken = isOutcomeUnknown
        await sleep(Math.min(MAX_PAUSE_MS, retryAfterMs ?? RETRY_PAUSE_MS))
      }
    },
    async queryState(job) {
      const shown = job.outcome
      const { status, state } = await call('GET', job)
      if (status === 200) return checkState(job, String(state), shown)
      const knownMs = performance.now() - (job.acceptedAt ?? Infinity)
      if (status === 410 && knownMs > VISIBILITY_MS && disturbances.isUndisturbed()) {
        report('accepted job unknown', `${job.id} after ${Math.round(knownMs)} ms`)
      }
    },
    async cancel(job) {
      job.cancelSentAt ??= performance.now()
      const { status } = await call('DELETE', job)
      if (status === 200 || status === 410) job.cancelAckedAt ??= performance.now()
    },
  }
}
