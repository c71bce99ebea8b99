/**
 * Keeps one agent for each target of a service. Opens it when the list of targets or the
 * roster of the previous owner names the target, and closes it once no run can be left there.
 */
import type { ConfigurationHolder, TargetList } from '../directory/index.js'
import type { JobBook, Task } from '../jobs/index.js'
import { GRACE_MS } from '../ownership/index.js'
import type { Authority } from '../ownership/index.js'
import type { Target, TargetOrders } from '../ports/index.js'
import { monotonicMs } from '../shared/index.js'
import type { Logger } from '../shared/index.js'
import { MAX_CLOCK_DRIFT, LEASE_MARGIN_MS, TASK_LEASE_MS } from './constants.js'
import type { ColdTargets } from './coldTargets.js'
import type { Health } from './health.js'
import type { Isolation } from './isolation.js'
import type { ProgressWriter } from './progressWriter.js'
import type { InheritedRosterEntry, Roster } from './roster.js'
import type { RunTimes } from './runTimes.js'
import type { QuotaUsage } from './serviceQuotas.js'
import type { StartWindow } from './startWindow.js'
import { createTargetAgent } from './targetAgent.js'
import type { TargetAgent } from './types.js'
import type { Tickets } from './tickets.js'

/** A target on which the previous owner may have started tasks. */
type InheritedTarget = Pick<InheritedRosterEntry, 'id' | 'address'>

/** Opens and closes the agents of the targets of one service. */
export interface TargetFollower {
  /** Opens agents for the targets of the previous owner's roster, as not listed yet. */
  inherit(entries: readonly InheritedTarget[]): void
  /** Applies the list: opens agents for new targets and notes targets that have left. */
  follow(): void
  /**
   * Opens agents again for incarnations that were taken for gone but have stayed listed for
   * longer than {@link MAX_LISTED_AFTER_END_MS}.
   */
  reopen(): void
  /** Whether the runs that the previous owner may have left are known, or over, on every target. */
  areInheritedRunsKnown(): boolean
  /** Removes the roster rows of closed targets on which all runs are over by now. */
  forgetExpired(): void
}

/**
 * Longest time for which the list shows an incarnation after its end, in ms: a little over three
 * heartbeats. One listed for longer is alive: it was taken for gone because another writer had
 * corrupted its entry.
 */
const MAX_LISTED_AFTER_END_MS = 8000

/** Time in which a target may carry out orders of an agent that has been closed, in ms. */
const LATE_ORDER_MS = 60_000

/** Dependencies and callbacks of the follower. */
export interface TargetFollowerOptions {
  /** Agents by id of their target; the follower adds and removes entries. */
  agents: Map<string, TargetAgent>
  targets: TargetList
  configuration: ConfigurationHolder
  orders: TargetOrders
  authority: Authority
  book: JobBook
  progress: ProgressWriter
  roster: Roster
  /** Whether the previous owner may have started tasks on targets that are not known. */
  mayMissTargets(): boolean
  runTimes: RunTimes
  health: Health
  coldTargets: ColdTargets
  tickets: Tickets
  isolation: Isolation
  startWindow: StartWindow
  /** Notified of every run that may be on a target. */
  quotaUsage: QuotaUsage
  /** Whether tasks may have copies; those of the previous owner are adopted and not stopped. */
  usesCopies: boolean
  /** Called when a task is done; undefined if nothing needs it. */
  taskDone: ((task: Task) => void) | undefined
  log: Logger
  /** Called when the free room, the state or the reports of a target have changed. */
  changed(): void
}

/** Creates the follower, which opens no agents yet. */
export function createTargetFollower(opts: TargetFollowerOptions): TargetFollower {
  const { agents, targets, authority, roster, health, coldTargets, log } = opts
  const { service } = authority
  /** Incarnations taken for gone, by id, while the list still shows the id. */
  const goneIncarnations = new Map<string, GoneIncarnation>()
  /** Token offsets that the next agents of targets taken for gone start with, by id. */
  const nextTokenOffsets = new Map<string, { offset: number; since: number }>()
  /** Highest token offset of the agents closed so far: no target has seen a higher one of theirs. */
  let highestOffset = 0

  /** Ids of the targets in the previous owner's roster. */
  const inheritedIds = new Set<string>()
  /**
   * Targets whose agents were closed before their runs were known, with the monotonic time at which
   * these runs are over, in ms. Only a report of the target makes them known sooner: an entry of
   * another writer may name an address at which the target does not answer.
   */
  const unknownUntil = new Map<string, number>()

  /** Longest time for which unknown runs of the previous owner can go on, in ms. */
  const inheritedLeaseMs =
    (authority.predecessorMayLive ? GRACE_MS : 0) +
    TASK_LEASE_MS * (1 + MAX_CLOCK_DRIFT) +
    LEASE_MARGIN_MS

  /** Monotonic time from which no run is left on targets that are not known, in ms. */
  const unknownTargetsUntil = monotonicMs() + inheritedLeaseMs

  function removeAgent(agent: TargetAgent): void {
    const { id } = agent.target
    agents.delete(id)
    goneIncarnations.set(id, {
      key: incarnationKey(agent.target),
      detectedAt: monotonicMs(),
    })
    const offset = agent.tokenOffset() + 1
    nextTokenOffsets.set(id, { offset, since: monotonicMs() })
    highestOffset = Math.max(highestOffset, offset)
    health.forget(agent)
    if (!unknownUntil.has(id)) roster.remove(id)
    void agent.close()
  }

  /** Whether the agent calls an address that the list has corrected since, and has no runs. */
  function hasStaleAddress(agent: TargetAgent, { address }: Target): boolean {
    const { target, placements } = agent
    return target.address !== address && !agent.isAnswering() && placements.size === 0
  }

  /** Whether the list shows a later incarnation, at an address that the agent does not call. */
  function isReplaced(agent: TargetAgent, { address, lifeStartMs }: Target): boolean {
    const { target } = agent
    const isLaterIncarnation =
      target.lifeStartMs !== 0 && target.lifeStartMs < lifeStartMs
    return isLaterIncarnation && target.address !== address && !agent.isAnswering()
  }

  /** Closes an agent without runs. The target may be alive, so it does not count as gone. */
  function closeIdleAgent(agent: TargetAgent): void {
    const { id } = agent.target
    agents.delete(id)
    highestOffset = Math.max(highestOffset, agent.tokenOffset())
    if (!agent.isStateKnown()) unknownUntil.set(id, agent.leaseExpiresAt())
    health.forget(agent)
    void agent.close()
  }

  /** Whether runs of the previous owner, or of an agent closed since, may be on the target. */
  const mayHaveRuns = (id: string): boolean =>
    inheritedIds.has(id) || roster.has(id) || opts.mayMissTargets()

  /**
   * Opens the agent of a target in the roster. Without an address the target counts as silent
   * until the list shows its address, no VM has its id any more, or all leases have expired.
   */
  function openInherited({ id, address }: InheritedTarget): void {
    inheritedIds.add(id)
    if (agents.has(id)) return
    open(createUnlistedTarget(id, address ?? '', service)).listed = false
  }

  function open(target: Target): TargetAgent {
    const agent = createTargetAgent({
      target,
      link: opts.orders.open(target),
      book: opts.book,
      authority,
      progress: opts.progress,
      startWindow: opts.startWindow,
      coldTargets,
      quotaUsage: opts.quotaUsage,
      isHallCordoned: (hall) => opts.configuration.cordons().has(hall),
      usesCopies: opts.usesCopies,
      initialTokenOffset: Math.max(
        highestOffset,
        nextTokenOffsets.get(target.id)?.offset ?? 0,
      ),
      inheritedLeaseMs: mayHaveRuns(target.id) ? inheritedLeaseMs : 0,
      log,
      changed: opts.changed,
      ticketRefused: (step, id) => opts.tickets.discard(step, id),
      ended(each, task, kind) {
        // Another run may have become the present one, and the report of the end may have been the
        // first news of the run.
        const isMeasured =
          task.targetId === target.id &&
          Number.isFinite(task.startedAt) &&
          !coldTargets.wasColdSince(target.id, task.startedAt)
        if (kind === 'done' && isMeasured)
          opts.runTimes.note(task, monotonicMs() - task.startedAt)
        if (kind === 'done' && isMeasured) opts.taskDone?.(task)
        health.noteEnd(each, task, kind)
      },
      restarted: health.forget,
      crashed: opts.isolation.noteCrash,
      gone: removeAgent,
    })
    agents.set(target.id, agent)
    return agent
  }

  function followListed(target: Target): void {
    const known = agents.get(target.id)
    coldTargets.note(target, known?.target)
    if (known && isReplaced(known, target))
      return known.markGone('a later incarnation is listed')
    if (known && hasStaleAddress(known, target)) closeIdleAgent(known)
    const agent = agents.get(target.id)
    if (agent) {
      agent.update(target)
      agent.listed = true
      // If its inherited row could not be read, the roster has none for the next owner.
      roster.add(target)
    } else if (
      !target.draining &&
      goneIncarnations.get(target.id)?.key !== incarnationKey(target)
    ) {
      open(target)
      roster.add(target)
    }
  }

  function noteUnlisted(agent: TargetAgent): void {
    agent.listed = false
    log.event('targetUnlisted', {
      target: agent.target.id,
      runs: agent.placements.size,
      listSteadyMs: Math.round(monotonicMs() - targets.gapFreeSince()),
    })
  }

  /**
   * Closes the agent of a target that the list names for another service, once no run is left there.
   * Calls with this owner's token could fence the owner that the target now belongs to.
   */
  function closeIfIdle(agent: TargetAgent, listedFor: string): void {
    if (agent.placements.size > 0 || agent.heldRuns() > 0) return
    const { id } = agent.target
    closeIdleAgent(agent)
    const until = unknownUntil.get(id)
    if (until === undefined) return
    const leftMs = Math.round(until - monotonicMs())
    log.event('targetNotCalled', { target: id, listedFor, leftMs })
  }

  const hasListedAll = (id: string): boolean => agents.get(id)?.hasListedAll() ?? false

  /** Whether the list has an entry under the id, readable or not. */
  const isInList = (id: string): boolean =>
    targets.byId().has(id) || targets.unreadableSince(id) !== undefined

  function follow(): void {
    const listed = targets.byId()
    for (const target of listed.values()) {
      if (target.service === service) followListed(target)
    }
    for (const id of goneIncarnations.keys())
      if (!isInList(id)) goneIncarnations.delete(id)
    for (const [id, { since }] of nextTokenOffsets)
      if (!agents.has(id) && monotonicMs() - since > LATE_ORDER_MS)
        nextTokenOffsets.delete(id)
    coldTargets.forgetUnlisted(isInList)
    for (const agent of agents.values()) {
      const entry = listed.get(agent.target.id)
      if (agent.listed && entry?.service !== service) noteUnlisted(agent)
      if (entry && entry.service !== service) closeIfIdle(agent, entry.service)
    }
    opts.changed()
  }

  return {
    inherit: (entries) => entries.forEach(openInherited),
    reopen() {
      const now = monotonicMs()
      const stillListed = [...goneIncarnations].filter(
        ([, { detectedAt }]) => now - detectedAt > MAX_LISTED_AFTER_END_MS,
      )
      for (const [id] of stillListed) goneIncarnations.delete(id)
      if (stillListed.length > 0) follow()
    },
    follow,
    areInheritedRunsKnown() {
      const now = monotonicMs()
      if (opts.mayMissTargets() && now < unknownTargetsUntil) return false
      const areOver = [...unknownUntil].every(
        ([id, until]) => until <= now || hasListedAll(id),
      )
      return areOver && [...agents.values()].every((agent) => agent.isStateKnown())
    },
    forgetExpired() {
      for (const [id, until] of unknownUntil) {
        if (until > monotonicMs() && !hasListedAll(id)) continue
        unknownUntil.delete(id)
        if (!agents.has(id)) roster.remove(id)
      }
    },
  }
}

/** An incarnation that was taken for gone. */
interface GoneIncarnation {
  key: string
  /** Monotonic time at which it was taken for gone, in ms. */
  detectedAt: number
}

/** Distinguishes incarnations under the same id. */
const incarnationKey = ({ lifeStartMs, address }: Target): string =>
  `${lifeStartMs} ${address}`

/** Creates a target that only the roster names; its capacity is unknown, so it is 0. */
function createUnlistedTarget(id: string, address: string, service: string): Target {
  const capacity = { cpu: 0, memMb: 0, gpu: 0 }
  return {
    id,
    lifeStartMs: 0,
    service,
    address,
    hall: '',
    draining: false,
    capacity,
    labels: [],
  }
}
