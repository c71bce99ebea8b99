/** Starts ready tasks on permitted targets, with a ticket if their queue requires one. */
import type { Job, JobBook, Step, Task } from '../jobs/index.js'
import type { Authority } from '../ownership/index.js'
import { monotonicMs } from '../shared/index.js'
import type { Logger } from '../shared/index.js'
import { firstRunOf } from './constants.js'
import type { ColdTargets } from './coldTargets.js'
import type { FairShares } from './fairShares.js'
import type { Health } from './health.js'
import type { PlacementPolicy } from './placementRules.js'
import type { JobSettings } from './jobSettings.js'
import type { Isolation, IsolationRound } from './isolation.js'
import { createPacking } from './packing.js'
import { planStarts } from './planner.js'
import type { Plan } from './planner.js'
import type { QuotaRound, ServiceQuotas } from './serviceQuotas.js'
import type { Shortlist } from './shortlist.js'
import type { StartWindow } from './startWindow.js'
import type { Roster } from './roster.js'
import type { RunTimes } from './runTimes.js'
import { createSuspectRound } from './suspectPolicy.js'
import type { SuspectRound } from './suspectPolicy.js'
import type { TargetAgent } from './types.js'
import type { Tickets } from './tickets.js'
import { pacedUrgencies, urgencyOf } from './urgency.js'
import type { Urgency } from './urgency.js'
import type { WeightedShares } from './weightedShares.js'

/** Dependencies of the starter. */
export interface StarterOptions {
  authority: Authority
  settings: JobSettings
  book: JobBook
  roster: Roster
  runTimes: RunTimes
  health: Health
  coldTargets: ColdTargets
  tickets: Tickets
  isolation: Isolation
  startWindow: StartWindow
  shortlist: Shortlist
  quotas: ServiceQuotas
  shares: FairShares
  /** The same shares where room is divided by weight; undefined elsewhere. */
  weightedShares: WeightedShares | undefined
  /** Room that the owner can use, in thousandths of a core; Infinity without a limit. */
  usableCpu(): number
  /** Called with the number of starts that were ordered. */
  ordered(starts: number): void
  log: Logger
}

/** Starts tasks. */
export interface Starter {
  /** Returns the placement policy that applies at this moment. */
  policyNow(agents: readonly TargetAgent[]): PlacementPolicy
  /** Starts a second run of a placed task; returns its number. */
  startCopy(task: Task, agent: TargetAgent): number
  /** Starts the ready tasks that the given targets can run now. */
  start(agents: TargetAgent[]): void
}

/** Creates the starter of one owner. */
export function createStarter(opts: StarterOptions): Starter {
  const { authority, settings, book, roster, runTimes, health, tickets } = opts
  const { coldTargets, isolation, startWindow, shortlist, quotas } = opts
  const { shares, weightedShares, log } = opts
  const firstRun = firstRunOf(authority.term)

  const needsTicket = (step: Step): boolean =>
    settings.of(step.job.spec)?.advice !== undefined

  const tries = new WeakMap<Job, number>()

  const beginRound = (agents: readonly TargetAgent[], now: number): SuspectRound =>
    createSuspectRound({
      health,
      agents,
      now,
      tries,
      maxAttemptsOf: (job) => settings.maxAttemptsOf(job.spec),
    })

  const isCold = ({ target }: TargetAgent): boolean => coldTargets.isCold(target.id)

  const isSound = (agent: TargetAgent): boolean => health.standingOf(agent) === 'sound'

  function policyOf(
    agents: readonly TargetAgent[],
    { isSuspect }: SuspectRound,
    { forbids }: IsolationRound,
    { exceeds }: QuotaRound,
  ): PlacementPolicy {
    // The rule is evaluated for each target.
    const ticketNeeds = new Map<Step, boolean>()
    const isTicketNeeded = (step: Step): boolean => {
      const known = ticketNeeds.get(step)
      if (known !== undefined) return known
      const isNeeded = needsTicket(step)
      ticketNeeds.set(step, isNeeded)
      return isNeeded
    }
    return {
      exceedsQuota: exceeds,
      isRostered: (agent) => roster.has(agent.target.id),
      isSurplus: createPacking(agents, opts.usableCpu(), isSound, isCold),
      isIsolated: forbids,
      isSuspect,
      lacksTicket: (agent, step) =>
        isTicketNeeded(step) && tickets.find(step, agent) === undefined,
    }
  }

  const nextRunOf = (task: Task): number => Math.max(task.run + 1, firstRun)

  const ticketFor = (step: Step, agent: TargetAgent): string =>
    needsTicket(step) ? (tickets.find(step, agent) ?? '') : ''

  const addShare = (job: Job, urgency: Urgency): Urgency =>
    weightedShares
      ? weightedShares.order(job, urgency)
      : { ...urgency, isBeyondShare: shares.isBeyondShare(job) }

  const delayedUrgencyOf = (job: Job, now: number, delayMs = 0): Urgency =>
    urgencyOf(job, settings.of(job.spec), runTimes, now, delayMs + startWindow.delayMs())

  /** Returns a lookup of the urgencies of jobs with ready tasks, by a ranking of all of them. */
  function rankJobs(
    agents: readonly TargetAgent[],
    now: number,
    { exceeds }: QuotaRound,
  ): (job: Job) => Urgency {
    const sharedUrgencyOf = (job: Job, delayMs: number): Urgency =>
      addShare(job, delayedUrgencyOf(job, now, delayMs))
    const known = weightedShares?.begin({
      ready: book.ready,
      agents,
      now,
      urgencyOf: (job) => delayedUrgencyOf(job, now),
      isHeld: (step) => exceeds(step),
    })
    const perSecond = startWindow.perSecond()
    if (!startWindow.isBehind() || perSecond === 0)
      return (job) => known?.get(job) ?? sharedUrgencyOf(job, 0)
    const paced = pacedUrgencies({
      ready: book.ready,
      perSecond,
      urgencyOf: (job, delayMs) =>
        (delayMs === 0 ? known?.get(job) : undefined) ?? sharedUrgencyOf(job, delayMs),
    })
    return (job) => paced.get(job) ?? sharedUrgencyOf(job, 0)
  }

  function order({ starts }: Plan): void {
    if (starts.length > 0) opts.ordered(starts.length)
    for (const { task, agent } of starts) {
      const run = nextRunOf(task)
      agent.start(task, run, ticketFor(task.step, agent))
      log.event('taskPlaced', {
        task: task.name,
        run,
        target: agent.target.id,
        waitedMs: Math.round(monotonicMs() - task.readySince),
      })
    }
  }

  function start(agents: TargetAgent[]): void {
    const startsLeft = startWindow.available()
    if (book.ready.size === 0) weightedShares?.end([])
    if (book.ready.size === 0 || startsLeft === 0) return
    const now = monotonicMs()
    const round = beginRound(agents, now)
    const isolationRound = isolation.begin(agents)
    const quotaRound = quotas.begin()
    const short = shortlist.next(book.ready, startsLeft)
    const plan = planStarts({
      ready: short?.tasks ?? book.ready,
      agents,
      urgencyOf: short
        ? (job) => short.urgencyOf(job) ?? addShare(job, delayedUrgencyOf(job, now))
        : rankJobs(agents, now, quotaRound),
      policy: policyOf(agents, round, isolationRound, quotaRound),
      penaltyOf: health.penaltyOf,
      ...(coldTargets.any() && { isCold }),
      hasStepPolicy: (step) => needsTicket(step) || step.crashSuspects.size > 0,
      mayTry: round.mayUseSuspects,
      startsLeft,
      planned(agent, step) {
        round.recordPlanned(agent, step)
        isolationRound.recordPlanned(agent, step)
        quotaRound.recordPlanned(step)
        weightedShares?.notePlanned(step)
        shortlist.notePlanned(step.job)
      },
    })
    const { urgencies, waiting } = plan
    for (const step of waiting) if (needsTicket(step)) tickets.request(step, agents)
    order(plan)
    if (short) return
    weightedShares?.end(waiting)
    const isHeld = (step: Step): boolean => quotaRound.exceeds(step)
    shortlist.rank({ waiting, urgencies, isHeld, at: now, startsLeft })
  }

  return {
    policyNow: (agents) =>
      policyOf(
        agents,
        beginRound(agents, monotonicMs()),
        isolation.begin(agents),
        quotas.begin(),
      ),
    startCopy(task, agent) {
      const run = nextRunOf(task)
      opts.ordered(1)
      agent.startCopy(task, run, ticketFor(task.step, agent))
      return run
    },
    start,
  }
}
