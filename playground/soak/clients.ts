/** Clients of a run: they submit jobs, query states, cancel jobs and check each answer. */
import { errors } from 'undici'
import type { Dispatcher } from 'undici'
import { sleep } from '../../src/shared/index.js'
import type { DisturbanceTracker } from './disturbances.js'
import { countEnds } from './jobView.js'
import type { JobView } from './jobView.js'
import { DEADLINE_MS } from './nodes.js'
import type { SoakNode } from './nodes.js'
import { isInForce } from './organisations.js'
import type { SoakRoutes } from './routes.js'
import type { Report, RunChecks } from './runChecks.js'

/** Host header of requests to all queues. */
export const QUEUE_HOST = 'q.example'
/** Most attempts to submit a job, and the longest pause between two of them, in ms. */
const MAX_SUBMIT_ATTEMPTS = 10
const MAX_PAUSE_MS = 1000
/** Pause after an attempt without an answer, in ms. */
const RETRY_PAUSE_MS = 200
/** Time after its acceptance within which a job is known to all nodes, in ms. */
const VISIBILITY_MS = 3000
/**
 * A connection that ends within this time of a request may have been closed before the request
 * arrived, in ms.
 */
const KEEP_ALIVE_RACE_MS = 200

/** Result of a call: an HTTP status, or that nothing was sent, or that no answer came. */
interface CallResult {
  status: number | 'not sent' | 'no answer'
  state?: string | undefined
  retryAfterMs?: number
}
/** Results after which the job was certainly not accepted and must never run. */
const REJECTIONS: CallResult['status'][] = ['not sent', 401, 429, 503]
/** Results after which the job may have been accepted; it is sent again under the same id. */
const UNKNOWN_OUTCOMES: CallResult['status'][] = ['no answer', 502, 504]

/** Fewest targets that crash under a task before its job may be shown as failed. */
const MIN_CRASHES_TO_FAIL = 3

/** Conditions that must hold when a state is returned to callers. */
const STATE_CHECKS: Record<string, (job: JobView) => boolean> = {
  queued: () => true,
  running: () => true,
  completed: ({ tasks, isLasting }) =>
    !isLasting && tasks.every((task) => countEnds(task, 'done') > 0),
  failed: ({ tasks, isLasting, queue }) =>
    tasks.some(
      (task) =>
        (!isLasting && countEnds(task, 'failed') >= queue.maxAttempts) ||
        countEnds(task, 'killed') >= MIN_CRASHES_TO_FAIL,
    ),
  cancelled: ({ cancelSentAt }) => cancelSentAt !== undefined,
}
const FINAL_STATES = ['completed', 'failed', 'cancelled']

/** Sends single calls to nodes. */
export interface CallerApi {
  /** @param key key to present; undefined for none */
  call(
    method: Dispatcher.HttpMethod,
    job: JobView,
    key: string | undefined,
  ): Promise<CallResult>
}

/** Requests of clients for a job. */
export interface Clients extends CallerApi {
  /** Submits a job until it is accepted; gives up after {@link MAX_SUBMIT_ATTEMPTS}. */
  submit(job: JobView): Promise<void>
  queryState(job: JobView): Promise<void>
  cancel(job: JobView): Promise<void>
}

/** Creates clients that send requests to all nodes round robin. */
export function createClients(opts: {
  nodes: SoakNode[]
  checks: RunChecks
  routes: SoakRoutes
  disturbances: DisturbanceTracker
  /** Like `disturbances`, but without planned stops. */
  unplannedDisturbances: DisturbanceTracker
  report: Report
  writeTrace(what: string, more: object): void
}): Clients {
  const { nodes, routes, disturbances, unplannedDisturbances, report, writeTrace } = opts
  let nextNode = 0

  /** Checks a request that ended without an answer against the guarantees of nodes. */
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

  const isRejection = ({ queue }: JobView, status: CallResult['status']): boolean =>
    REJECTIONS.includes(status) || (status === 404 && routes.mayBeMissing(queue))

  async function call(method: Dispatcher.HttpMethod, job: JobView): Promise<CallResult> {
    const key = job.organisation?.key
    const res = await send(method, job, key)
    if (res.status === 401) checkRefusal(job, key)
    return res
  }

  /** Reports the refusal of a caller that needs no key, or whose key all nodes must know. */
  function checkRefusal({ id, organisation }: JobView, key: string | undefined): void {
    if (!organisation) return report('wrong answer', `${id}: 401 without organisations`)
    if (key !== organisation.key || !isInForce(organisation.keySince)) return
    if (disturbances.isUndisturbed()) report('valid key refused', id)
  }

  async function send(
    method: Dispatcher.HttpMethod,
    job: JobView,
    key: string | undefined,
  ): Promise<CallResult> {
    const { id, queue } = job
    const body = method === 'POST' ? bodyOf(job) : null
    const node = nodes[nextNode++ % nodes.length]!
    const what = `${method} ${id}`
    const since = performance.now()
    const headers = {
      host: QUEUE_HOST,
      'content-type': 'application/json',
      ...(key !== undefined && { authorization: `Bearer ${key}` }),
    }
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

  /** Checks a state against the final one, if any, that was returned before the request. */
  function checkState(
    job: JobView,
    state: string,
    previousState: string | undefined,
  ): void {
    const isRight = STATE_CHECKS[state]?.(job) ?? false
    if (!isRight || (previousState !== undefined && previousState !== state)) {
      report('wrong state', `${job.id} is shown ${state}, before ${previousState}`)
    }
    if (FINAL_STATES.includes(state)) job.outcome = state
  }

  return {
    call: send,
    async submit(job) {
      let isOutcomeUnknown = job.mayBeTaken
      job.sentAt ??= performance.now()
      for (let each = 0; each < MAX_SUBMIT_ATTEMPTS; each++) {
        job.mayBeTaken = true
        const { status, retryAfterMs } = await call('POST', job)
        if (status === 200) {
          job.acceptedAt ??= performance.now()
          return
        }
        if (UNKNOWN_OUTCOMES.includes(status)) isOutcomeUnknown = true
        else if (!isRejection(job, status)) {
          return report('wrong answer', `POST ${job.id}: ${status}`)
        }
        job.mayBeTaken = isOutcomeUnknown
        await sleep(Math.min(MAX_PAUSE_MS, retryAfterMs ?? RETRY_PAUSE_MS))
      }
    },
    async queryState(job) {
      const previousState = job.outcome
      const { status, state } = await call('GET', job)
      if (status === 200) return checkState(job, String(state), previousState)
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
