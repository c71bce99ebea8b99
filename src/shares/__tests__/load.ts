/** Plays a load of organisations on the modules that divide room, without targets or messages. */
import { compareUrgency } from '../../scheduler/urgency.js'
import { createAccounts, createShareLedger, createShareOrder } from '../index.js'
import type { Accounts, JobStanding, Weights } from '../index.js'

const STEP_MS = 20
const TASK_CPU = 1000
const MEAN_RUN_MS = 400
const OBJECTIVE_MS = 1200
/** Expected time of a job, whose longest task decides, as the owner of a service estimates it. */
const JOB_MS = 1.4 * MEAN_RUN_MS
const EXCHANGE_MS = 140

export interface PlayedOrganisation {
  name: string
  weight: number
  /** Tasks per second in each service. */
  perSecond(service: number, atMs: number): number
}

export interface PlayOptions {
  organisations: PlayedOrganisation[]
  /** Tasks that run at once in each service at a time. */
  slots(service: number, atMs: number): number
  services?: number
  forMs: number
  seed?: number
  /** Whether room is divided by weight; otherwise the earliest deadline is served first. */
  isWeighted?: boolean
}

/** What became of the tasks of an organisation. */
export interface Served {
  sent: number
  inTime: number
  /** Share of its tasks that were done in time. */
  share: number
}

interface PlayedJob {
  organisation: string
  arrivedAt: number
  runMs: number
}

/** A generator of numbers from 0 to 1 (Park and Miller, "Random number generators", CACM 1988). */
function createRandom(seed: number): () => number {
  let state = seed
  return () => (state = (state * 48_271) % 2_147_483_647) / 2_147_483_647
}

function standingOf({ arrivedAt }: PlayedJob, now: number): JobStanding {
  const endsAt = now + JOB_MS - arrivedAt
  if (endsAt <= OBJECTIVE_MS) return 'timely'
  return endsAt <= 3 * OBJECTIVE_MS ? 'late' : 'useless'
}

/** One service with its own accounts and order. */
function createPlayedService(weights: Weights) {
  const accounts: Accounts = createAccounts(weights.of)
  return {
    accounts,
    order: createShareOrder(accounts),
    waiting: new Set<PlayedJob>(),
    running: [] as { job: PlayedJob; startedAt: number; endsAt: number }[],
    others: new Map<string, number>(),
  }
}

/** Plays the load; returns what became of the tasks of each organisation. */
export function playLoad(opts: PlayOptions): Map<string, Served> {
  const { organisations, services: count = 1, forMs, isWeighted = true } = opts
  // A generator for each organisation, so that what one sends does not change the others.
  const randoms = organisations.map((_, index) =>
    createRandom((opts.seed ?? 1) * 1000 + index * 7 + 1),
  )
  const byName = new Map(organisations.map((each) => [each.name, each]))
  const weights: Weights = {
    of: (name) => byName.get(name)?.weight ?? 1,
    total: organisations.reduce((sum, { weight }) => sum + weight, 0),
  }
  const ledger = createShareLedger(1)
  const services = Array.from({ length: count }, () => createPlayedService(weights))
  const served = new Map<string, Served>()
  for (const { name } of organisations) served.set(name, { sent: 0, inTime: 0, share: 1 })

  /** Tasks of the last moments still run at the end. */
  const isCounted = (arrivedAt: number): boolean =>
    arrivedAt < forMs - OBJECTIVE_MS - STEP_MS

  function exchange(): void {
    for (const [index, { accounts, others }] of services.entries()) {
      const given: Record<string, number> = {}
      for (const { name } of organisations) given[name] = accounts.of(name).own
      const answer = ledger.answer(`s${index}`, 1, { given })
      for (const [name, total] of Object.entries(answer.given)) {
        accounts.addOthers(name, total - (others.get(name) ?? 0))
        others.set(name, total)
      }
    }
  }

  function step(index: number, now: number): void {
    const service = services[index]!
    const { accounts, order, waiting } = service
    for (const [sender, { name, perSecond }] of organisations.entries()) {
      const random = randoms[sender]!
      let expected = (perSecond(index, now) * STEP_MS) / 1000
      for (; expected > 0; expected--) {
        if (expected < 1 && random() >= expected) continue
        const runMs = MEAN_RUN_MS * (0.5 + random())
        waiting.add({ organisation: name, arrivedAt: now, runMs })
        if (isCounted(now)) served.get(name)!.sent++
      }
    }
    service.running = service.running.filter(({ job, startedAt, endsAt }) => {
      if (endsAt > now) return true
      const { organisation, arrivedAt } = job
      accounts.addOwn(organisation, TASK_CPU * (endsAt - startedAt - MEAN_RUN_MS))
      if (endsAt - arrivedAt <= OBJECTIVE_MS && isCounted(arrivedAt))
        served.get(organisation)!.inTime++
      return false
    })
    // Their callers have given up; without this, the load grows without bound.
    for (const job of waiting) if (standingOf(job, now) === 'useless') waiting.delete(job)
    const slots = opts.slots(index, now)
    const round = order.begin({
      jobs: [...waiting].map((job) => ({
        job,
        organisation: job.organisation,
        priority: 0,
        standing: standingOf(job, now),
        cost: TASK_CPU * MEAN_RUN_MS,
      })),
      weights,
      roomCpu: slots * TASK_CPU,
      now,
    })
    const ordered = [...waiting]
      .map((job) => {
        const share = round.shares.get(job)!
        const urgency = {
          priority: 0,
          standing: standingOf(job, now),
          deadline: job.arrivedAt,
          ...(isWeighted && { isBeyondShare: share.isBeyond, turn: share.turn }),
        }
        return { job, urgency }
      })
      .sort((a, b) => compareUrgency(a.urgency, b.urgency))
    for (const { job } of ordered.slice(0, Math.max(0, slots - service.running.length))) {
      waiting.delete(job)
      service.running.push({ job, startedAt: now, endsAt: now + job.runMs })
      accounts.addOwn(job.organisation, TASK_CPU * MEAN_RUN_MS)
      order.noteServed(job.organisation, 0, now)
    }
    if (waiting.size === 0) order.noteDrained()
  }

  for (let now = 0; now < forMs; now += STEP_MS) {
    for (const index of services.keys()) step(index, now)
    if (now % EXCHANGE_MS === 0) exchange()
  }
  for (const each of served.values())
    each.share = each.sent === 0 ? 1 : each.inTime / each.sent
  return served
}
