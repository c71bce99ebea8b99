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
import type { QuotaRound, ServiceQuotas } from './serviceQuotas.js'
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
  const { coldTargets, isolation, startWindow, quotas } = opts
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

  const policyOf = (
    agents: readonly TargetAgent[],
    { isSuspect }: SuspectRound,
    { forbids }: IsolationRound,
    { exceeds }: QuotaRound,
  ): PlacementPolicy => ({
    exceedsQuota: exceeds,
    isRostered: (agent) => roster.has(agent.target.id),
    isSurplus: createPacking(agents, opts.usableCpu(), isSound, isCold),
    isIsolated: forbids,
    isSuspect,
    lacksTicket: (agent, step) =>
      needsTicket(step) && tickets.find(step, agent) === undefined,
  })

  const nextRunOf = (task: Task): number => Math.max(task.run + 1, firstRun)

  const ticketFor = (step: Step, agent: TargetAgent): string =>
    needsTicket(step) ? (tickets.find(step, agent) ?? '') : ''

  const addShare = (job: Job, urgency: Urgency): Urgency =>
    weightedShares
      ? weightedShares.order(job, urgency)
      : { ...urgency, isBeyondShare: shares.isBeyondShare(job) }

  /** Returns a lookup of the urgencies of jobs with ready tasks. */
  function createUrgencyLookup(
    agents: readonly TargetAgent[],
    now: number,
    { exceeds }: QuotaRound,
  ): (job: Job) => Urgency {
    const startDelayMs = startWindow.delayMs()
    const ownUrgencyOf = (job: Job, delayMs: number): Urgency =>
      urgencyOf(job, settings.of(job.spec), runTimes, now, delayMs + startDelayMs)
    const delayedUrgencyOf = (job: Job, delayMs: number): Urgency =>
      addShare(job, ownUrgencyOf(job, delayMs))
    const known = weightedShares?.begin({
      ready: book.ready,
      agents,
      now,
      urgencyOf: (job) => ownUrgencyOf(job, 0),
      isHeld: (step) => exceeds(step),
    })
    const perSecond = startWindow.perSecond()
    if (!startWindow.isBehind() || perSecond === 0)
      return (job) => known?.get(job) ?? delayedUrgencyOf(job, 0)
    const paced = pacedUrgencies({
      ready: book.ready,
      perSecond,
      urgencyOf: (job, delayMs) =>
        (delayMs === 0 ? known?.get(job) : undefined) ?? delayedUrgencyOf(job, delayMs),
    })
    return (job) => paced.get(job) ?? delayedUrgencyOf(job, 0)
  }

  function start(agents: TargetAgent[]): void {
    const startsLeft = startWindow.available()
    if (book.ready.size === 0) weightedShares?.end([])
    if (book.ready.size === 0 || startsLeft === 0) return
    const now = monotonicMs()
    const round = beginRound(agents, now)
    const isolationRound = isolation.begin(agents)
    const quotaRound = quotas.begin()
    const { starts, waiting } = planStarts({
      ready: book.ready,
      agents,
      urgencyOf: createUrgencyLookup(agents, now, quotaRound),
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
      },
    })
    weightedShares?.end(waiting)
    for (const step of waiting) if (needsTicket(step)) tickets.request(step, agents)
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
