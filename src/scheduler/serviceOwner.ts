/**
 * Owner of one service: takes the jobs over from the store, keeps one agent per target,
 * and starts what may start. Everything that it decides rests on the job book.
 */
import type {
  Advice,
  Documents,
  RowStore,
  Target,
  TargetOrders,
  VmCloud,
} from '../ports/index.js'
import type { ConfigurationHolder, RowMirror, TargetList } from '../directory/index.js'
import { createRowMirror } from '../directory/index.js'
import {
  INTAKE_TABLE,
  createJobBook,
  decodeIntake,
  intakeKey,
  cancelKey,
  progressKey,
  statusOf,
} from '../jobs/index.js'
import type { Job, JobSpec, JobStatus, Step } from '../jobs/index.js'
import { GRACE_MS } from '../ownership/index.js'
import type { Authority, Owner } from '../ownership/index.js'
import {
  createStopController,
  describeError,
  jittered,
  monotonicMs,
  sleep,
} from '../shared/index.js'
import type { Logger } from '../shared/index.js'
import {
  CLOCK_SKEW,
  FLEET_ANSWER_WAIT_MS,
  FLUSH_RETRY_MS,
  HOUSEKEEPING_MS,
  INTAKE_POLL_MS,
  KEEP_FINISHED_MS,
  LEASE_MARGIN_MS,
  LIST_RETURN_MS,
  RUNS_PER_TERM,
  TASK_LEASE_MS,
} from './constants.js'
import { createDemandMeter } from './demand.js'
import { moveTasksAway } from './evacuation.js'
import { createHealth } from './health.js'
import { createLifeCheck } from './lifeCheck.js'
import { planStarts } from './planner.js'
import { createProgressWriter } from './progressWriter.js'
import { createRoster } from './roster.js'
import { createRunTimes } from './runTimes.js'
import { readInherited, readIntake } from './takeover.js'
import type { Inherited } from './takeover.js'
import { createTickets } from './tickets.js'
import { createTargetAgent } from './targetAgent.js'
import { urgencyOf } from './urgency.js'
import type { TargetAgent } from './targetAgent.js'
import type { FleetAnswer, ServiceReport } from '../vms/types.js'

export interface ServiceOwner extends Owner {
  readonly service: string
  /** Takes on a job whose row is durable. */
  offer(job: JobSpec): void
  /** False when the job is not known here. */
  cancel(id: string): boolean
  status(id: string): JobStatus | undefined
  waiting(queue: string): number
  agents(): TargetAgent[]
  /** State for the owner of the fleet. */
  report(): ServiceReport
  /** Empties the targets named, and no other. */
  evacuate(answer: FleetAnswer): void
}

export interface ServiceOwnerOptions {
  store: RowStore
  orders: TargetOrders
  /** Undefined where no cloud is configured. */
  cloud: VmCloud | undefined
  /** Undefined where no advice service is configured. */
  advice: Advice | undefined
  documents: Documents
  configuration: ConfigurationHolder
  targets: TargetList
  authority: Authority
  log: Logger
}

/** Takes over a service. Resolves once the jobs are known; targets answer later. */
export async function createServiceOwner(
  opts: ServiceOwnerOptions,
): Promise<ServiceOwner> {
  const { store, authority, configuration, log } = opts
  const { service } = authority
  const stopping = createStopController()
  const agents = new Map<string, TargetAgent>()
  /** Lives that are over, while the list still shows them. */
  const goneLives = new Set<string>()
  /** Jobs that came while the ownership was not confirmed. */
  const offered = new Map<string, JobSpec>()
  /** Jobs that were cancelled before they came; of any service, so some never do. */
  const cancelledEarly = new Set<string>()
  let planned = false
  let gateOpen = false
  let fleetAnswered = false
  const startedAt = monotonicMs()

  const inheritedLeaseMs =
    (authority.predecessorMayLive ? GRACE_MS : 0) +
    TASK_LEASE_MS * (1 + CLOCK_SKEW) +
    LEASE_MARGIN_MS

  const wake = (): void => {
    if (planned || stopping.signal.aborted) return
    planned = true
    setImmediate(() => {
      planned = false
      plan()
    })
  }

  const progress = createProgressWriter({
    store,
    service,
    authority,
    log,
    settled: (job) =>
      log.event('jobSettled', {
        job: job.spec.id,
        outcome: job.durableOutcome,
        tookMs: Math.round(monotonicMs() - job.arrivedAt),
      }),
  })

  const book = createJobBook({
    rulesOf(queue) {
      const found = configuration.queue(queue)
      return { maxAttempts: found?.maxAttempts ?? 1 }
    },
    now: monotonicMs,
    wallMs: Date.now,
    changed: progress.mark,
    dropped: (task) => agents.get(task.targetId ?? '')?.stop(task.name),
    wake,
    ended: (job, outcome, cause) =>
      log.event('jobEnded', { job: job.spec.id, queue: job.spec.queue, outcome, cause }),
  })

  const runTimes = createRunTimes()
  const demand = createDemandMeter(runTimes)
  const health = createHealth({ runTimes, agentCount: () => agents.size, log })
  const tickets = createTickets({ advice: opts.advice, log, changed: wake })
  const lifeCheck = createLifeCheck(opts.cloud, log)
  const inherited = await readUntilDone()
  const roster = createRoster({
    store,
    authority,
    entries: inherited.roster,
    log,
    added: wake,
  })
  adoptJobs(inherited, true)
  for (const { id, address } of inherited.roster)
    openAgent(unlistedTarget(id, address, service)).listed = false
  followTargets()
  const unsubscribe = opts.targets.subscribe(followTargets)
  const intake = followIntake(inherited.version)
  const housekeeping = runHousekeeping()
  log.event('ownerStarted', {
    service,
    term: authority.term,
    jobs: book.jobs.size,
    roster: inherited.roster.length,
  })

  async function readUntilDone(): Promise<Inherited> {
    for (;;) {
      const res = await readInherited(store, service, log)
      if (res.isOk()) return res.value
      log.event('takeoverWaits', { service, reason: describeError(res.error) })
      if (stopping.signal.aborted || !authority.mayOrder()) {
        return { jobs: [], cancels: [], version: 0, progress: new Map(), roster: [] }
      }
      await sleep(jittered(FLUSH_RETRY_MS), stopping.signal)
    }
  }

  function adoptJobs(from: Inherited, gated: boolean): void {
    for (const job of from.jobs) {
      const known = from.progress.get(job.id)
      book.add(job, { ...known, gated })
    }
    for (const id of from.cancels) book.cancel(id)
  }

  function followIntake(after: number): RowMirror {
    return createRowMirror({
      store,
      table: INTAKE_TABLE,
      part: undefined,
      after,
      waitMs: 0,
      pauseMs: INTAKE_POLL_MS,
      log,
      onRow(_part, key, value) {
        if (value === undefined) return
        const entry = decodeIntake(key, value)
        if (entry.kind === 'cancel') cancel(entry.id)
        if (entry.kind === 'job' && entry.job.service === service) offer(entry.job)
      },
      async onGap() {
        const all = await readIntake(store, service, log)
        if (all.isErr()) return undefined
        for (const job of all.value.jobs) offer(job)
        for (const id of all.value.cancels) cancel(id)
        return all.value.version
      },
    })
  }

  /** A request to cancel may come before the job that it is for; false in that case. */
  function cancel(id: string): boolean {
    if (book.cancel(id)) return true
    cancelledEarly.add(id)
    return false
  }

  /**
   * Takes a new job on. Out of touch with the store it waits: a successor may have it,
   * and does not wait for this owner with jobs that came after the takeover.
   */
  function offer(job: JobSpec): void {
    if (book.jobs.has(job.id)) return
    if (!authority.isConfirmed()) {
      offered.set(job.id, job)
      return
    }
    demand.arrived(book.add(job), monotonicMs())
    if (cancelledEarly.delete(job.id)) book.cancel(job.id)
    log.event('jobTaken', { job: job.id, queue: job.queue, service })
    wake()
  }

  function openAgent(target: Target): TargetAgent {
    const agent = createTargetAgent({
      target,
      link: opts.orders.open(target),
      book,
      authority,
      progress,
      inheritedLeaseMs: roster.has(target.id) ? inheritedLeaseMs : 0,
      log,
      changed: wake,
      ticketRefused: (step, id) => tickets.drop(step, id),
      ended: (each, task, kind) => {
        if (kind === 'done') runTimes.note(task, monotonicMs() - task.startedAt)
        health.noteEnd(each, task, kind)
      },
      failed: () => undefined,
      gone: (each) => {
        agents.delete(each.target.id)
        goneLives.add(each.target.id)
        health.forget(each)
        roster.remove(each.target.id)
        void each.close()
      },
    })
    agents.set(target.id, agent)
    return agent
  }

  /** Follows the list: opens agents for new targets, notes those that leave. */
  function followTargets(): void {
    const listed = opts.targets.byId()
    for (const target of listed.values()) {
      if (target.service !== service) continue
      const agent = agents.get(target.id)
      if (agent) {
        agent.update(target)
        agent.listed = true
      } else if (!target.draining && !goneLives.has(target.id)) {
        openAgent(target)
        roster.add(target)
      }
    }
    for (const id of goneLives) if (!listed.has(id)) goneLives.delete(id)
    for (const agent of agents.values()) {
      if (!agent.listed || listed.has(agent.target.id)) continue
      agent.listed = false
      log.event('targetUnlisted', {
        target: agent.target.id,
        runs: agent.placements.size,
        listSteadyMs: Math.round(monotonicMs() - opts.targets.steadySince()),
      })
    }
    wake()
  }

  /** Targets off the list whose tasks are all over need no agent any more. */
  function closeLapsed(): void {
    const listed = opts.targets.byId()
    for (const agent of [...agents.values()]) {
      if (listed.has(agent.target.id) || agent.placements.size > 0) continue
      if (agent.isSettled() && !agent.isAnswering())
        agent.markGone('off the list and silent')
    }
  }

  const hasPolicy = (step: Step): boolean =>
    configuration.queue(step.job.spec.queue)?.advice !== undefined

  function allows(agent: TargetAgent, step: Step): boolean {
    if (!roster.has(agent.target.id)) return false
    // A lasting task may find no other target; a suspect one is better than none.
    if (!step.spec.lasting && !health.allows(agent)) return false
    return !hasPolicy(step) || tickets.find(step, agent) !== undefined
  }

  /**
   * Whether VMs may be moved because the predecessor reported them closed and empty, and
   * the fleet's owner has not heard of us yet.
   */
  function mayLoseVms(): boolean {
    if (opts.cloud === undefined || fleetAnswered) return false
    return monotonicMs() - startedAt < FLEET_ANSWER_WAIT_MS
  }

  function plan(): void {
    if (stopping.signal.aborted || !authority.mayOrder()) return
    if (mayLoseVms()) return
    if (!gateOpen && [...agents.values()].every((agent) => agent.isSettled())) {
      gateOpen = true
      log.event('takeoverDone', { service, term: authority.term, targets: agents.size })
      book.openGate()
    }
    if (book.ready.size === 0) return
    const now = monotonicMs()
    const { starts, waiting } = planStarts({
      ready: book.ready,
      agents: [...agents.values()],
      urgencyOf: (job) =>
        urgencyOf(job, configuration.queue(job.spec.queue), runTimes, now),
      allows,
      avoids: (agent) => !health.allows(agent),
    })
    for (const step of waiting) {
      if (hasPolicy(step)) tickets.want(step, [...agents.values()])
    }
    const firstRun = (authority.term - 1) * RUNS_PER_TERM + 1
    for (const { task, agent } of starts) {
      const run = Math.max(task.run + 1, firstRun)
      agent.start(
        task,
        run,
        hasPolicy(task.step) ? (tickets.find(task.step, agent) ?? '') : '',
      )
      log.event('taskPlaced', {
        task: task.name,
        run,
        target: agent.target.id,
        waitedMs: Math.round(monotonicMs() - task.readySince),
      })
    }
  }

  function evacuate({ evacuate: ids, hurry, ended }: FleetAnswer): void {
    fleetAnswered = true
    for (const agent of [...agents.values()]) {
      const { id } = agent.target
      if (ended.includes(id)) {
        agent.markGone('its VM was moved or maintained')
        continue
      }
      const wanted = ids.includes(id)
      if (wanted !== agent.evacuating) {
        agent.evacuating = wanted
        log.event('evacuating', { target: id, wanted, runs: agent.placements.size })
      }
      if (wanted)
        moveTasksAway({
          agent,
          agents: [...agents.values()],
          hurry: hurry.includes(id),
          log,
        })
    }
    wake()
  }

  function takeOffered(): void {
    if (!authority.isConfirmed()) return
    for (const job of offered.values()) offer(job)
    offered.clear()
  }

  /**
   * Whether the target has left without a word. After an outage of the store the list
   * says so only once those that live have had the time to come back.
   */
  function isGoneFromList(agent: TargetAgent): boolean {
    const steadyMs = monotonicMs() - opts.targets.steadySince()
    return !agent.listed && steadyMs > LIST_RETURN_MS
  }

  /** What runs on a leaving target dies with it: it goes elsewhere before. */
  function leaveDraining(): void {
    const all = [...agents.values()]
    for (const agent of all) {
      const leaves = agent.target.draining || isGoneFromList(agent)
      if (leaves && agent.isAnswering())
        moveTasksAway({ agent, agents: all, hurry: true, log })
    }
  }

  /** Stops runs that stand still or crawl; they start again elsewhere. */
  function moveBadRuns(): void {
    for (const { agent, placement } of health.sweep([...agents.values()])) {
      log.event('runMoved', {
        task: placement.name,
        target: agent.target.id,
        percent: placement.percent,
      })
      agent.stop(placement.name)
    }
  }

  async function runHousekeeping(): Promise<void> {
    while (!stopping.signal.aborted) {
      book.markDue()
      closeLapsed()
      takeOffered()
      leaveDraining()
      moveBadRuns()
      await lifeCheck.run([...agents.values()])
      await clearFinished()
      wake()
      await sleep(HOUSEKEEPING_MS, stopping.signal)
    }
  }

  /** Removes the rows of a job whose outcome has been kept long enough. */
  async function clearFinished(): Promise<void> {
    const old = [...book.jobs.values()].find(isOutdated)
    if (!old || !authority.isConfirmed()) return
    const { id, queue } = old.spec
    // The intake first: without it nobody takes the job for one that has not begun.
    for (const removals of [
      [intakeKey(queue, id), cancelKey(queue, id)],
      [progressKey(service, id)],
    ]) {
      const conditions = removals.length === 1 ? [authority.epoch()] : []
      const res = await store.commit({ conditions, puts: [], removals })
      if (res.isErr())
        return log.event('rowsNotCleared', { job: id, reason: describeError(res.error) })
    }
    book.remove(id)
  }

  function isOutdated(job: Job): boolean {
    const endedAt = job.durableOutcome ? job.endedAtMs : undefined
    return endedAt !== undefined && Date.now() - endedAt > KEEP_FINISHED_MS
  }

  return {
    service,
    offer,
    cancel,
    status(id) {
      const job = book.jobs.get(id)
      return job && statusOf(job)
    },
    waiting: (queue) => book.waiting(queue),
    agents: () => [...agents.values()],
    report: () =>
      demand.report(
        service,
        authority.term,
        book.jobs.values(),
        [...agents.values()],
        monotonicMs(),
      ),
    evacuate,
    async stop(handOver) {
      stopping.abort()
      unsubscribe()
      roster.stop()
      await progress.stop(handOver)
      await Promise.all([...agents.values()].map((agent) => agent.close()))
      await Promise.all([intake.stop(), housekeeping])
    },
  }
}

/** A target that only the roster names; nothing is known of its size. */
function unlistedTarget(id: string, address: string, service: string): Target {
  const capacity = { cpu: 0, memMb: 0, gpu: 0 }
  return { id, service, address, hall: '', draining: false, capacity, labels: [] }
}
