/**
 * Owner of one service: loads the service's jobs from the store on takeover, runs one agent
 * per target and starts the tasks that may start. All its decisions are based on the job book.
 */
import type { ServiceLoad } from '../admission/index.js'
import type { Advice, RowStore, TargetOrders, VmCloud } from '../ports/index.js'
import type { Feature } from '../config/index.js'
import { lastKnownOrganisation } from '../directory/index.js'
import type { ConfigurationHolder, TargetList } from '../directory/index.js'
import { INTAKE_TABLE, createJobBook, createJobMemory, statusOf } from '../jobs/index.js'
import type { JobMemory, JobSpec, JobStatus } from '../jobs/index.js'
import type { Authority, Owner } from '../ownership/index.js'
import {
  createStopController,
  createInvalidRows,
  jittered,
  monotonicMs,
  sleep,
} from '../shared/index.js'
import type { Logger } from '../shared/index.js'
import type { FleetAnswer, ServiceReport, TargetLoad } from '../vms/types.js'
import {
  FLUSH_RETRY_MS,
  MAX_FIRST_READ_WAIT_MS,
  MAX_FLEET_ANSWER_WAIT_MS,
  HOUSEKEEPING_INTERVAL_MS,
  MAX_PLAN_SHARE,
  MIN_PLAN_INTERVAL_MS,
} from './constants.js'
import { createColdTargets } from './coldTargets.js'
import { createDemandMeter } from './demand.js'
import { applyFleetAnswer } from './evacuation.js'
import { createFairShares } from './fairShares.js'
import { createFinishedJobs } from './finishedJobs.js'
import { createHealth } from './health.js'
import { markUnlistedGone, evacuateLeaving } from './leavingTargets.js'
import { createHeldJobs } from './heldJobs.js'
import { createInheritedJobs } from './inheritedJobs.js'
import { createJobSettings } from './jobSettings.js'
import { createLeftJobs } from './leftJobs.js'
import { createLoadMeter } from './loadMeter.js'
import { createLivenessCheck } from './livenessCheck.js'
import { createIsolation } from './isolation.js'
import { createNewJobs } from './newJobs.js'
import { moveUnhealthyRuns } from './moveUnhealthyRuns.js'
import { createThrottled } from './throttle.js'
import { createProgressWriter } from './progressWriter.js'
import { createOwnerLoadMeter } from './ownerLoad.js'
import { createQueueRows } from './queueRows.js'
import { createNodeRoster, readNodeRosters } from './nodeRoster.js'
import type { NodeRosterRow } from './nodeRoster.js'
import { createRoster } from './roster.js'
import { combineUsages, createServiceQuotas } from './serviceQuotas.js'
import { createRoomUseLog } from './roomUse.js'
import { createRowRestorer } from './rowRestorer.js'
import { createRunTimes } from './runTimes.js'
import { createShortlist } from './shortlist.js'
import { createStartWindow } from './startWindow.js'
import { createSpeculativeCopies } from './speculativeCopies.js'
import { createStarter } from './starter.js'
import { hasAllQueueRows, readInheritedUntilDone } from './takeover.js'
import type { TargetAgent } from './types.js'
import { createTargetFollower } from './targetFollower.js'
import { createTickets } from './tickets.js'
import { urgencyOf } from './urgency.js'
import { createWeightedShares } from './weightedShares.js'
import { createWaitWatch } from './waitWatch.js'
import type { WaitReport } from './waitWatch.js'

/** A running owner of a service. */
export interface ServiceOwner extends Owner {
  readonly service: string
  lacksProcessor(): boolean
  lacksMemory(): boolean
  /** Resolves once all jobs left by the predecessor have been read. */
  readonly inheritedRead: Promise<void>
  /**
   * Admits a job whose row is durable.
   * @param rowVersion version of the job's row
   */
  offer(job: JobSpec, rowVersion: number): void
  /** Notes a job that was refused by a front; its caller will retry. */
  expect(job: JobSpec): void
  /**
   * Cancels a job; false when the job is not known here.
   * @param queue queue under which the job is recorded; undefined for a job of any queue
   */
  cancel(id: string, queue?: string): boolean
  /** Status of a job; undefined when it is not known here. */
  status(id: string): JobStatus | undefined
  /** Organisation of a job; undefined if it has none or is not known here. */
  organisationOf(id: string): string | undefined
  /** Queue under which a job is recorded; undefined if it is not known here. */
  queueOf(id: string): string | undefined
  /** Why a job is waiting; undefined when it is not waiting or not known here. */
  explain(id: string): WaitReport | undefined
  /** Number of jobs of the queue with no task begun; undefined while some may be unknown. */
  waiting(queue: string): number | undefined
  /** Agents of the service's current targets. */
  agents(): TargetAgent[]
  /** Number of targets that the last report requested, in targets of their mean capacity. */
  requestedTargets(): number
  /** Loads of the service's current targets, for operators. */
  loads(): TargetLoad[]
  /** Load for the fronts; undefined during a takeover and without the feature. */
  load(): ServiceLoad | undefined
  /** Builds the report that the owner of the fleet receives. */
  report(): ServiceReport
  /** Evacuates exactly the targets named in the answer of the fleet's owner. */
  evacuate(answer: FleetAnswer): void
}

/** Processor of the node on which an owner runs. */
export interface OwnerProcessor {
  /** Share of its time that is used. */
  share(): number
  /** Whether all of its time has been used for a while. */
  isSaturated(): boolean
  /** Number of nodes through which targets are called. */
  forwarders(): number
}

const IDLE_PROCESSOR: OwnerProcessor = {
  share: () => 0,
  isSaturated: () => false,
  forwarders: () => 0,
}

/** Dependencies of a service owner. */
export interface ServiceOwnerOptions {
  store: RowStore
  orders: TargetOrders
  /** Undefined where no cloud is configured. */
  cloud: VmCloud | undefined
  /** Undefined where no advice service is configured. */
  advice: Advice | undefined
  configuration: ConfigurationHolder
  targets: TargetList
  authority: Authority
  /** Optional features that are enabled. */
  features: ReadonlySet<Feature>
  /** Use of this node's processor; an owner with plenty by default. */
  processor?: OwnerProcessor
  /** Memory for the jobs of all owners on this node; without a limit by default. */
  memory?: JobMemory
  log: Logger
  /** Called when the service needs much more than it last reported. */
  demandGrown(): void
}

/**
 * Takes over a service. The jobs are read and the targets contacted after the promise has
 * resolved.
 */
export async function createServiceOwner(
  opts: ServiceOwnerOptions,
): Promise<ServiceOwner> {
  const { store, targets, authority, configuration, features, log } = opts
  const { service } = authority
  const { processor = IDLE_PROCESSOR, memory = createJobMemory() } = opts
  const stopping = createStopController()
  const agents = new Map<string, TargetAgent>()
  const allAgents = (): TargetAgent[] => [...agents.values()]
  /** Whether the predecessor may have started tasks on targets whose rows are still to be read. */
  let mayMissTargets = true
  /** Whether inherited tasks may start; set once the runs on all targets are known. */
  let gateOpen = false
  let fleetAnswered = false
  let resolveInheritedRead: () => void = () => undefined
  const inheritedRead = new Promise<void>((resolve) => (resolveInheritedRead = resolve))
  const startedAt = monotonicMs()

  const settings = createJobSettings(configuration, log)
  const load = createOwnerLoadMeter()
  const isTakingOver = (): boolean => !gateOpen || book.mayLackJobs

  const wake = createThrottled(() => load.measurePlan(plan), {
    gapMs: MIN_PLAN_INTERVAL_MS,
    maxShare: MAX_PLAN_SHARE,
  })

  const progress = createProgressWriter({
    store,
    service,
    authority,
    log,
    settled(job) {
      log.event('jobSettled', {
        job: job.spec.id,
        outcome: job.durableOutcome,
        tookMs: Math.round(monotonicMs() - job.arrivedAt),
      })
      finished.add(job)
    },
  })

  const shortlist = createShortlist()
  const book = createJobBook({
    rulesOf: (spec) => ({ maxAttempts: settings.maxAttemptsOf(spec) }),
    now: monotonicMs,
    wallMs: Date.now,
    progressChanged: progress.markDirty,
    runUnwanted: (task, targetId) => agents.get(targetId)?.stop(task.name),
    copyEnded: (...ended) => copies?.noteCopyEnded(...ended),
    wake,
    becameReady: shortlist.noteReady,
    memory,
    leftJobReported: (id) => left.need(id),
    outcomeReached: (job, outcome, cause) =>
      log.event('jobEnded', {
        job: job.spec.id,
        queue: job.spec.queue,
        outcome,
        cause,
        settingsFrom: settings.sourceOf(job.spec),
        tookMs: Math.round(monotonicMs() - job.arrivedAt),
        ...job.delays,
      }),
  })

  const finished = createFinishedJobs({ store, service, authority, book, memory, log })
  const runTimes = createRunTimes()
  const coldTargets = createColdTargets({
    pool: () => configuration.current()?.services.get(service),
    wake,
  })
  const weightedShares = opts.features.has('weightedShares')
    ? createWeightedShares({ service, configuration, settings, runTimes, log })
    : undefined
  const shares =
    weightedShares ??
    createFairShares(
      (name) => lastKnownOrganisation(configuration.current(), name)?.weight,
    )
  const health = createHealth({ runTimes, coldTargets, log })
  const startWindow = createStartWindow({ freed: wake, log })
  const demand = createDemandMeter({
    runTimes,
    isBehind: startWindow.isBehind,
    isTakingOver,
    isSuspect: (agent) => health.standingOf(agent) !== 'sound',
    isTimely(job, now) {
      if (shares.isBeyondShare(job)) return false
      return urgencyOf(job, settings.of(job.spec), runTimes, now).standing === 'timely'
    },
  })
  const loadMeter = features.has('admission')
    ? createLoadMeter({
        term: authority.term,
        book,
        shares,
        beginQuotas: () => quotas.begin(),
        areSharesWeighted: weightedShares !== undefined,
        runTimes,
        startWindow,
        urgencyOf: (job, now) => urgencyOf(job, settings.of(job.spec), runTimes, now),
        agents: allAgents,
        isSettled: () => gateOpen && !book.mayLackJobs && authority.isConfirmed(),
        hasFleet: opts.cloud !== undefined,
        now: monotonicMs,
      })
    : undefined
  const tickets = createTickets({ advice: opts.advice, log, changed: wake })
  const livenessCheck = createLivenessCheck(opts.cloud, log)
  const unreadableRows = createInvalidRows(log, INTAKE_TABLE)
  const isGateOpen = (): boolean => gateOpen
  const held = createHeldJobs({ store, service, authority, book, log, isGateOpen })
  const restorer = createRowRestorer({ store, authority, book, log })
  const { signal } = stopping
  const inherited = await readInheritedUntilDone({ store, authority, log, signal })
  const inheritedJobs = createInheritedJobs({
    ...inherited,
    book,
    held,
    isGateOpen,
    adopted(jobs) {
      for (const job of jobs) if (job.durableOutcome) finished.add(job)
      demand.noteInherited(jobs, monotonicMs(), Date.now())
      for (const agent of allAgents()) agent.adoptKnown()
      wake()
    },
    orphanedProgress: finished.addOrphanedProgress,
  })
  const left = createLeftJobs({
    store,
    service,
    authority,
    book,
    memory,
    log,
    mayTake: (queue) => queueRows.has(queue),
    take: (job) => newJobs.takeLeft(job),
    hold: held.hold,
  })
  const queueRows = createQueueRows({
    store,
    authority,
    inherited: inherited.queues,
    log,
    added: () => newJobs.admitDeferred(),
  })
  const newJobs = createNewJobs({
    store,
    service,
    authority,
    book,
    demand,
    shares,
    held,
    inherited: inheritedJobs,
    left,
    memory,
    queueRows,
    queues: () => queuesOf(configuration, service),
    hasAllQueueRows: hasAllQueueRows(inherited),
    unreadableRows,
    log,
    rowUnreadable: restorer.restore,
    admitted: wake,
    demandArrived() {
      if (demand.hasGrown(book.open, monotonicMs())) opts.demandGrown()
    },
    inheritedRead: resolveInheritedRead,
    inheritedKnown() {
      log.event('ownerStarted', {
        service,
        term: authority.term,
        jobs: book.jobs.size,
        roster: inherited.roster.length,
      })
    },
  })
  const nodeRoster = createNodeRoster({ store, authority, log })
  const roster = createRoster({
    store,
    authority,
    entries: inherited.roster,
    nodeRoster,
    log,
    added: wake,
  })
  const quotas = createServiceQuotas({
    store,
    authority,
    configuration,
    log,
    inheritedBounds: inherited.quotaBounds,
    areInheritedRunsKnown: () => gateOpen && !book.mayLackJobs,
    allotmentNeeded: opts.demandGrown,
    changed: wake,
  })
  const shared = {
    authority,
    configuration,
    settings,
    book,
    roster,
    runTimes,
    health,
    coldTargets,
    tickets,
    isolation: createIsolation(),
    startWindow,
    shortlist,
    quotas,
    shares,
    weightedShares,
    quotaUsage: combineUsages([
      quotas.usage,
      ...(weightedShares ? [weightedShares.usage] : []),
    ]),
    log,
  }
  const starter = createStarter({
    ...shared,
    usableCpu: demand.usableCpu,
    ordered: load.noteOrdered,
  })
  const copies = opts.features.has('speculation')
    ? createSpeculativeCopies({ ...shared, starter, isTakingOver })
    : undefined
  const waitWatch = createWaitWatch({
    book,
    policyNow: starter.policyNow,
    quotaHoldOf: quotas.describe,
    isBehind: startWindow.isBehind,
    processorShare: processor.share,
    suspectUntil: health.excludedUntil,
    log,
  })
  const logRoomUse = createRoomUseLog({
    service,
    book,
    isBehind: startWindow.isBehind,
    requestedCpu: demand.requestedCpu,
    hasRow: roster.has,
    coldTargets,
    takeLoad: load.take,
    processor,
    log,
  })
  const follower = createTargetFollower({
    ...shared,
    agents,
    targets,
    mayMissTargets: () => mayMissTargets,
    usesCopies: copies !== undefined,
    taskDone: copies?.noteDone,
    orders: opts.orders,
    progress,
    changed: wake,
  })
  follower.inherit(inherited.roster)
  if (inherited.nodeRoster) inheritNodeRoster(inherited.nodeRoster)
  follower.follow()
  const unsubscribe = targets.subscribe(follower.follow)
  // Tasks that a cordon kept waiting start as soon as it is lifted.
  const unsubscribeConfiguration = configuration.subscribe(wake)
  const intake = newJobs.follow(inherited.version)
  const housekeeping = runHousekeeping()
  const nodeRosterReading = readMissingNodeRosters()
  log.event('takeoverBegun', {
    service,
    term: authority.term,
    progress: inherited.progress.size,
    roster: inherited.roster.length,
    tookMs: Math.round(monotonicMs() - startedAt),
  })

  /**
   * Whether VMs may still be moved because the predecessor reported them as closed and empty:
   * the owner of the fleet has not answered this owner yet.
   */
  function mayLoseVms(): boolean {
    if (opts.cloud === undefined || fleetAnswered) return false
    return monotonicMs() - startedAt < MAX_FLEET_ANSWER_WAIT_MS
  }

  /**
   * Whether changes written during the takeover read are still unknown, above all cancels of
   * inherited jobs: these may have been sent to the predecessor after it had lost the ownership.
   */
  function mayMissCancels(): boolean {
    if (Number.isFinite(intake.freshAt())) return false
    return monotonicMs() - startedAt < MAX_FIRST_READ_WAIT_MS
  }

  function inheritNodeRoster(rows: readonly NodeRosterRow[]): void {
    nodeRoster.inherit(rows)
    follower.inherit(rows)
    mayMissTargets = false
  }

  /** Reads the targets in the parts of nodes again if a part was down when this owner started. */
  async function readMissingNodeRosters(): Promise<void> {
    while (mayMissTargets && !signal.aborted) {
      await sleep(jittered(FLUSH_RETRY_MS), signal)
      const rows = await readNodeRosters(store, service)
      if (rows.isOk() && mayMissTargets) inheritNodeRoster(rows.value)
    }
  }

  /** Allows inherited tasks to start once the runs on all targets are known. */
  function openGateOnceSettled(): void {
    if (gateOpen || !follower.areInheritedRunsKnown()) return
    gateOpen = true
    mayMissTargets = false
    log.event('takeoverDone', { service, term: authority.term, targets: agents.size })
    book.allowStarts()
  }

  function plan(): void {
    if (stopping.signal.aborted || !authority.mayOrder()) return
    if (mayLoseVms() || mayMissCancels()) return
    openGateOnceSettled()
    starter.start(allAgents())
  }

  async function runHousekeeping(): Promise<void> {
    while (!stopping.signal.aborted) {
      book.markDue()
      markUnlistedGone({ agents: allAgents() })
      follower.reopen()
      follower.forgetExpired()
      newJobs.admitDeferred()
      evacuateLeaving({ targets, agents: allAgents(), log })
      moveUnhealthyRuns({ agents: allAgents(), health, starter, log })
      copies?.check(allAgents())
      waitWatch.check(allAgents())
      logRoomUse(allAgents())
      await livenessCheck.run(allAgents())
      wake()
      await sleep(HOUSEKEEPING_INTERVAL_MS, stopping.signal)
    }
  }

  return {
    service,
    inheritedRead,
    lacksMemory: left.lacksMemory,
    lacksProcessor: () => gateOpen && book.open.size > 0 && processor.isSaturated(),
    offer: newJobs.offer,
    expect: newJobs.expect,
    cancel: newJobs.cancel,
    status(id) {
      const job = book.jobs.get(id)
      return job && statusOf(job)
    },
    organisationOf: (id) => book.jobs.get(id)?.spec.organisation,
    queueOf: (id) => book.jobs.get(id)?.spec.queue,
    explain(id) {
      const job = book.jobs.get(id)
      return job && waitWatch.explain(job, allAgents())
    },
    waiting(queue) {
      if (!newJobs.knowsAll(queue)) return undefined
      return book.waiting(queue) + newJobs.countDeferred(queue)
    },
    agents: allAgents,
    requestedTargets: demand.requestedTargets,
    load: () => loadMeter?.current(),
    loads: () => demand.loads(allAgents()),
    report: () => ({
      ...demand.report(service, authority.term, book.open, allAgents(), monotonicMs()),
      ...(book.mayLackJobs && { mayLackJobs: true }),
      quotas: quotas.report(book.ready),
      ...(weightedShares && { shares: weightedShares.report() }),
      ...(loadMeter && { asksAttainable: true }),
    }),
    evacuate(answer) {
      fleetAnswered = true
      loadMeter?.noteAttainable(answer.attainableCpu)
      // Without a cloud the fleet has no owner, and nobody divides quotas.
      quotas.apply(opts.cloud && answer.quotas)
      weightedShares?.apply(answer.shares)
      applyFleetAnswer(answer, allAgents, log)
      wake()
    },
    async stop(handOver) {
      stopping.abort()
      unsubscribe()
      unsubscribeConfiguration()
      roster.stop()
      queueRows.stop()
      quotas.stop()
      coldTargets.stop()
      await progress.stop(handOver)
      await Promise.all(allAgents().map((agent) => agent.close()))
      const workers = [intake, finished, held, left, restorer]
      await Promise.all([
        housekeeping,
        nodeRosterReading,
        ...workers.map((worker) => worker.stop()),
      ])
      book.close()
    },
  }
}

/** Names of the queues that are currently configured for the service. */
function queuesOf(configuration: ConfigurationHolder, service: string): string[] {
  const { queues = [] } = configuration.current() ?? {}
  return queues.filter((queue) => queue.service === service).map(({ name }) => name)
}
