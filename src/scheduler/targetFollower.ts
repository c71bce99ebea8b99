/**
 * Keeps one agent for each target of a service: opens it when the list of targets or the
 * predecessor's roster names the target, and closes it when all on the target is dead.
 */
import type { TargetList } from '../directory/index.js'
import type { JobBook } from '../jobs/index.js'
import { GRACE_MS } from '../ownership/index.js'
import type { Authority } from '../ownership/index.js'
import type { Target, TargetOrders } from '../ports/index.js'
import { monotonicMs } from '../shared/index.js'
import type { Logger } from '../shared/index.js'
import { CLOCK_SKEW, LEASE_MARGIN_MS, TASK_LEASE_MS } from './constants.js'
import type { Health } from './health.js'
import type { Isolation } from './isolation.js'
import type { ProgressWriter } from './progressWriter.js'
import type { InheritedEntry, Roster } from './roster.js'
import type { RunTimes } from './runTimes.js'
import type { StartWindow } from './startWindow.js'
import { createTargetAgent } from './targetAgent.js'
import type { TargetAgent } from './types.js'
import type { Tickets } from './tickets.js'

/** Follows the targets of one service. */
export interface TargetFollower {
  /** Opens agents for the targets of the predecessor's roster, not listed until they are. */
  inherit(entries: InheritedEntry[]): void
  /** Follows the list: opens agents for new targets, notes those that leave. */
  follow(): void
  /** Opens agents again for lives that the list shows for longer than it shows those that are over. */
  reopen(): void
}

/**
 * Time for which the list shows a life that is over at most, in ms: three heartbeats, and some. One
 * that it shows for longer lives: its end was concluded from an entry that another writer had spoilt.
 */
const MAX_LISTED_AFTER_END_MS = 8000

/** What the follower works with. */
export interface TargetFollowerOptions {
  /** Agents by id of their target; the follower adds and removes. */
  agents: Map<string, TargetAgent>
  targets: TargetList
  orders: TargetOrders
  authority: Authority
  book: JobBook
  progress: ProgressWriter
  roster: Roster
  runTimes: RunTimes
  health: Health
  tickets: Tickets
  isolation: Isolation
  startWindow: StartWindow
  log: Logger
  /** Room, state or reports of a target have changed. */
  changed(): void
}

/** Creates the follower; it opens nothing yet. */
export function createTargetFollower(opts: TargetFollowerOptions): TargetFollower {
  const { agents, targets, authority, roster, health, log } = opts
  const { service } = authority
  /** Lives that are over as far as is known, by id, while the list still shows the id. */
  const goneIncarnations = new Map<string, GoneIncarnation>()
  /** Bump of the token that the next life of an id starts with. */
  const nextTokenOffsets = new Map<string, number>()

  /** Targets of the predecessor's roster. */
  const inheritedIds = new Set<string>()

  /** Time that unknown runs of the predecessor may last, in ms. */
  const inheritedLeaseMs =
    (authority.predecessorMayLive ? GRACE_MS : 0) +
    TASK_LEASE_MS * (1 + CLOCK_SKEW) +
    LEASE_MARGIN_MS

  function removeAgent(agent: TargetAgent): void {
    const { id } = agent.target
    agents.delete(id)
    goneIncarnations.set(id, {
      key: incarnationKey(agent.target),
      detectedAt: monotonicMs(),
    })
    nextTokenOffsets.set(id, agent.tokenOffset() + 1)
    health.forget(agent)
    roster.remove(id)
    void agent.close()
  }

  /** Whether it is called at an address that the list has corrected, and nothing is there. */
  function hasStaleAddress(agent: TargetAgent, { address }: Target): boolean {
    const { target, placements } = agent
    return target.address !== address && !agent.isAnswering() && placements.size === 0
  }

  /** Whether the list shows a later life under the id, at an address that it does not call. */
  function isReplaced(agent: TargetAgent, { address, lifeStartMs }: Target): boolean {
    const { target } = agent
    const isLaterIncarnation =
      target.lifeStartMs !== 0 && target.lifeStartMs < lifeStartMs
    return isLaterIncarnation && target.address !== address && !agent.isAnswering()
  }

  /** Closes an agent that has nothing to do; the life may well be alive elsewhere. */
  function closeIdleAgent(agent: TargetAgent): void {
    agents.delete(agent.target.id)
    health.forget(agent)
    void agent.close()
  }

  /** Whether runs of the predecessor, or of a closed agent of ours, may be there. */
  const mayHaveRuns = (id: string): boolean => inheritedIds.has(id) || roster.has(id)

  /**
   * Opens the agent of a target of the roster. Without an address it stays silent, until the
   * list tells one, no VM has the life any more, or all that may run there is over.
   */
  function openInherited({ id, address }: InheritedEntry): void {
    inheritedIds.add(id)
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
      initialTokenOffset: nextTokenOffsets.get(target.id) ?? 0,
      inheritedLeaseMs: mayHaveRuns(target.id) ? inheritedLeaseMs : 0,
      log,
      changed: opts.changed,
      ticketRefused: (step, id) => opts.tickets.discard(step, id),
      ended(each, task, kind) {
        if (kind === 'done') opts.runTimes.note(task, monotonicMs() - task.startedAt)
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
    if (known && isReplaced(known, target))
      return known.markGone('another life is listed under its id')
    if (known && hasStaleAddress(known, target)) closeIdleAgent(known)
    const agent = agents.get(target.id)
    if (agent) {
      agent.update(target)
      agent.listed = true
      // One whose inherited row could not be read has none that a successor could use.
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
      listSteadyMs: Math.round(monotonicMs() - targets.steadySince()),
    })
  }

  /** Whether the list has an entry of the life, be it one that cannot be read. */
  const isInList = (id: string): boolean =>
    targets.byId().has(id) || targets.unreadableSince(id) !== undefined

  function follow(): void {
    const listed = targets.byId()
    for (const target of listed.values()) {
      if (target.service === service) followListed(target)
    }
    for (const id of goneIncarnations.keys())
      if (!isInList(id)) goneIncarnations.delete(id)
    for (const id of nextTokenOffsets.keys())
      if (!isInList(id) && !agents.has(id)) nextTokenOffsets.delete(id)
    for (const agent of agents.values()) {
      const entry = listed.get(agent.target.id)
      if (agent.listed && entry?.service !== service) noteUnlisted(agent)
      // Its own owner must not be fenced by our calls.
      const isOfOtherService = entry !== undefined && entry.service !== service
      if (isOfOtherService && agent.placements.size === 0) closeIdleAgent(agent)
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
  }
}

/** A life that is over as far as is known. */
interface GoneIncarnation {
  key: string
  /** Steady time at which that was found out, in ms. */
  detectedAt: number
}

/** Distinguishes lives that have the same id. */
const incarnationKey = ({ lifeStartMs, address }: Target): string =>
  `${lifeStartMs} ${address}`

/** A target that only the roster names; nothing is known of its size. */
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
