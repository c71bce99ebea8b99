/**
 * Serves a request from its head to the end of its answer: admission, choice of a target,
 * attempts.
 */
import type { IncomingMessage, ServerResponse } from 'node:http'
import { nanoid } from 'nanoid'
import type { ResolvedConfig } from '../config/index.js'
import { memoize, monotonicMs, sleep } from '../shared/index.js'
import type { Logger, Metrics } from '../shared/index.js'
import type { ServiceLine, TableHolder } from '../table/index.js'
import { refuse } from './answers.js'
import type { Outcome, RefusalKind } from './answers.js'
import { CALLER_LEFT } from '../limits/index.js'
import { DEADLINE_PASSED, openBody } from './body.js'
import { readCall } from './call.js'
import type { Call } from './call.js'
import { createCancellation } from './cancellation.js'
import type { Cancellation } from './cancellation.js'
import { POLICIES } from './chooser.js'
import type { PolicyName } from './chooser.js'
import { ONCE_CLAIM_ATTEMPTS, ONCE_CLAIM_PAUSE_MS } from './constants.js'
import { createLimiter } from './limiter.js'
import type { Admission, Limiter } from './limiter.js'
import type { Once, Verdict } from './once.js'
import { createRetryBudget } from './retryBudget.js'
import { acceptsRequests } from './target.js'
import { createRetryLoop } from './retryLoop.js'
import type { Exchange } from './retryLoop.js'
import type { TargetView } from './targetView.js'

export interface Router {
  /** Serves a request; resolves when its answer has ended. Never rejects. */
  serve(req: IncomingMessage, res: ServerResponse): Promise<void>
  /** Requests in flight and queued, per service. */
  loads(): { service: string; inFlight: number; queued: number }[]
  loadOf(service: string): { inFlight: number; queued: number }
  /** Admits queued requests up to the capacity. */
  admitWaiting(): void
  /** Requests that have not ended, over all services. */
  open(): number
  /** Resolves once no request is open. */
  drained(): Promise<void>
}

/** Options of {@link createRouter}. */
export interface RouterOptions {
  cfg: ResolvedConfig
  table: TableHolder
  view: TargetView
  once: Pick<Once, 'begin' | 'end'>
  /** Most requests of a service that may be in flight here now. */
  usable(service: string): number
  log: Logger
  metrics: Metrics
  /**
   * Policy for choosing targets.
   * @default 'twoChoices'
   */
  policy?: PolicyName
}

/**
 * How a request ended: an outcome for the caller, or a caller that cannot be answered.
 */
type Ending = Outcome | 'broken' | 'caller-left'

const ADMISSION_REFUSALS: Record<Exclude<Admission, 'admitted'>, RefusalKind> = {
  'queue full': 'queue full',
  'deadline passed': 'deadline before sending',
  'caller left': 'deadline before sending',
}

/** Weight of a team that owns no service. */
const DEFAULT_WEIGHT = 1

/** Weight of each team: the sum of the weights of its services. */
function teamWeights(services: Iterable<ServiceLine>): Map<string, number> {
  const weights = new Map<string, number>()
  for (const { team, weight } of services) {
    weights.set(team, (weights.get(team) ?? 0) + weight)
  }
  return weights
}

/** Creates the router. */
export function createRouter(opts: RouterOptions): Router {
  const { cfg, table, view, log, metrics } = opts
  const limiters = new Map<string, Limiter>()
  const budget = createRetryBudget(cfg.requests.retry_share)
  let weights = teamWeights(table.current()?.table.services.values() ?? [])
  const drainWaiters: (() => void)[] = []
  let open = 0

  // Cached, because looking up labels for each request takes noticeable CPU time.
  const metricsOf = memoize((service) => ({
    outcome: memoize((outcome) => metrics.requests.labels({ service, outcome })),
    attempt: memoize((result) => metrics.attempts.labels({ service, result })),
    latency: metrics.latency.labels({ service }),
  }))

  const tryTargets = createRetryLoop({
    attempts: cfg.requests.attempts,
    choose: POLICIES[opts.policy ?? 'twoChoices'](),
    budget,
    targets: view.targets,
    log,
    recordAttempt: (service, result) => metricsOf(service).attempt(result).inc(),
  })

  const lineOf = (service: string): ServiceLine | undefined =>
    table.current()?.table.services.get(service)

  function limiterOf(service: string): Limiter {
    const known = limiters.get(service)
    if (known) return known
    const limiter = createLimiter({
      capacity: () => capacityOf(service),
      maxQueue: cfg.requests.queue,
      weightOf: (team) => weights.get(team) ?? DEFAULT_WEIGHT,
    })
    limiters.set(service, limiter)
    return limiter
  }

  function slotsOf(service: string): number {
    let slots = 0
    for (const target of view.targets(service))
      if (acceptsRequests(target)) slots += target.slots
    return slots
  }

  const capacityOf = (service: string): number =>
    Math.min(opts.usable(service), slotsOf(service))

  const admitAllWaiting = () => {
    for (const limiter of limiters.values()) limiter.admitWaiting()
  }
  view.subscribe(admitAllWaiting)
  table.subscribe(() => {
    weights = teamWeights(table.current()?.table.services.values() ?? [])
    admitAllWaiting()
  })

  function refuseAs(exchange: Exchange, kind: RefusalKind, detail: string): Ending {
    const { call, res } = exchange
    if (log.enabled('notRouted')) {
      const { id, service } = call
      log.event('notRouted', { request: id, service, reason: kind, detail })
    }
    return refuse(res, kind, call.id, detail)
  }

  async function handle(req: IncomingMessage, res: ServerResponse): Promise<void> {
    const read = readCall(req, cfg.requests.deadline)
    if (read.isErr()) {
      refuse(res, 'bad request', undefined, read.error)
      metrics.requests.inc({ service: '', outcome: 'not-run' })
      return
    }
    const call = read.value
    const cancellation = createCancellation()
    const timer = setTimeout(cancellation.cancel, call.deadline - call.arrivedAt)
    res.on('close', cancellation.cancel)
    const ending = await serveCall(call, req, res, cancellation)
    clearTimeout(timer)
    if (ending === 'broken') res.destroy()
    const serviceLabel = lineOf(call.service) ? call.service : ''
    const serviceMetrics = metricsOf(serviceLabel)
    serviceMetrics.outcome(ending).inc()
    serviceMetrics.latency.observe((monotonicMs() - call.arrivedAt) / 1000)
    if (log.enabled('requestEnded')) {
      log.event('requestEnded', {
        request: call.id,
        service: call.service,
        outcome: ending,
        tookMs: Math.round(monotonicMs() - call.arrivedAt),
      })
    }
  }

  async function serveCall(
    call: Call,
    req: IncomingMessage,
    res: ServerResponse,
    cancellation: Cancellation,
  ): Promise<Ending> {
    const line = lineOf(call.service)
    const exchange: Exchange = { call, req, res, cancellation, body: { kind: 'none' } }
    if (!line) {
      const detail = table.current() ? 'no such service' : 'no table is in force yet'
      const kind = table.current() ? 'unknown service' : 'no target'
      return refuseAs(exchange, kind, detail)
    }
    const body = await openBody(req, cfg.requests.buffer_body, cancellation)
    if (body === CALLER_LEFT) return 'caller-left'
    if (body === DEADLINE_PASSED) {
      if (res.destroyed) return 'caller-left'
      return refuseAs(exchange, 'deadline before sending', 'the body is incomplete')
    }
    budget.deposit()
    const limiter = limiterOf(call.service)
    const priority = call.priority ?? line.priority
    if (line.limit === 0) return refuseAs(exchange, 'no target', 'the limit is 0')
    if (slotsOf(call.service) === 0 && priority !== 'deferrable') {
      return refuseAs(exchange, 'no target', 'no target takes work')
    }
    const { deadline } = call
    const team = call.team ?? line.team
    const admission = await limiter.admit({ priority, team, deadline, cancellation })
    if (admission !== 'admitted') {
      if (res.destroyed) return 'caller-left'
      return refuseAs(exchange, ADMISSION_REFUSALS[admission], admission)
    }
    const admittedAt = monotonicMs()
    try {
      const ready = { ...exchange, body }
      const isGuarded = !call.repeatable && call.idGiven
      return isGuarded ? await serveOnce(ready) : await sendToTarget(ready)
    } finally {
      limiter.release(monotonicMs() - admittedAt)
    }
  }

  /** Claims the id, and repeats the claim a few times while its owner is being replaced. */
  async function claimOnce({ call, cancellation }: Exchange): Promise<Verdict> {
    const token = nanoid()
    let verdict = await opts.once.begin(call.id, token)
    const isStandInPossible = () => verdict.kind === 'unsure' && verdict.standIn
    for (let asked = 1; isStandInPossible() && asked < ONCE_CLAIM_ATTEMPTS; asked++) {
      await sleep(ONCE_CLAIM_PAUSE_MS)
      if (cancellation.cancelled) break
      verdict = await opts.once.begin(call.id, token)
    }
    return verdict
  }

  /** Sends an unrepeatable request with a caller's id only if the id is new. */
  async function serveOnce(exchange: Exchange): Promise<Ending> {
    const { id } = exchange.call
    const verdict = await claimOnce(exchange)
    if (verdict.kind === 'unsure') return refuseAs(exchange, 'unsure', verdict.reason)
    if (verdict.kind === 'repeat') {
      return refuseAs(exchange, 'repeat', `the first one: ${verdict.state}`)
    }
    const ending = await sendToTarget(exchange)
    const state = ending === 'broken' || ending === 'caller-left' ? 'unknown' : ending
    void opts.once.end(id, state)
    return ending
  }

  async function sendToTarget(exchange: Exchange): Promise<Ending> {
    const result = await tryTargets(exchange)
    if (result.kind === 'answered' || result.kind === 'broken') return result.kind
    if (result.kind === 'caller-left' || exchange.res.destroyed) return 'caller-left'
    const isDeadlinePassed = exchange.cancellation.cancelled
    if (result.kind === 'unknown') {
      return refuseAs(
        exchange,
        isDeadlinePassed ? 'deadline after sending' : 'no answer',
        result.reason,
      )
    }
    return refuseAs(
      exchange,
      isDeadlinePassed ? 'deadline before sending' : 'no target',
      result.reason,
    )
  }

  return {
    async serve(req, res) {
      open++
      try {
        await handle(req, res)
      } catch (cause) {
        log.event('unexpectedError', { step: 'router.serve', reason: String(cause) })
        res.destroy()
      } finally {
        open--
        if (open === 0) for (const done of drainWaiters.splice(0)) done()
      }
    },
    loads: () =>
      [...limiters].map(([service, limiter]) => ({
        service,
        inFlight: limiter.inFlight(),
        queued: limiter.queued(),
      })),
    loadOf(service) {
      const limiter = limiters.get(service)
      return { inFlight: limiter?.inFlight() ?? 0, queued: limiter?.queued() ?? 0 }
    },
    admitWaiting: admitAllWaiting,
    open: () => open,
    drained: () =>
      open === 0
        ? Promise.resolve()
        : new Promise((resolve) => drainWaiters.push(resolve)),
  }
}
