/**
 * Quotas of organisations, as far as one service may use them. The owner of the fleet divides each
 * quota between the services; a start stays within the allotment of this service. Whatever may run
 * counts: starts that are ordered, unanswered or being stopped, and until all runs of the previous
 * owner are known, everything that it may have started.
 */
import { ownedServices } from '../directory/index.js'
import type { ConfigurationHolder } from '../directory/index.js'
import type { Step, Task } from '../jobs/index.js'
import type { Authority } from '../ownership/index.js'
import type { Resources, RowStore } from '../ports/index.js'
import {
  RESOURCE_KINDS,
  UNLIMITED,
  addAmounts,
  eachKind,
  exceedsAmounts,
  isZeroAmounts,
  maxAmounts,
  maximumOf,
  minAmounts,
  zeroAmounts,
} from '../quotas/index.js'
import type { QuotaAnswer, QuotaHold, QuotaReport } from '../quotas/index.js'
import { monotonicMs } from '../shared/index.js'
import type { Logger } from '../shared/index.js'
import { firstRunOf } from './constants.js'
import { createQuotaRowWriter } from './quotaRow.js'
import type { QuotaBounds } from './quotaRow.js'

/** Room that the durable bounds leave above allotments, as a multiple; it saves writes. */
const BOUND_HEADROOM = 1.25
/** Multiple of an allotment from which its durable bound is lowered: a successor has it reserved. */
const MAX_BOUND_EXCESS = 2
/** Shortest time between two writes that only lower bounds, in ms. */
const LOWER_BOUNDS_INTERVAL_MS = 1000
/** Shortest time between two requests for larger allotments, in ms. */
const REQUEST_INTERVAL_MS = 40

/** State of one organisation. */
interface OrganisationState {
  /** What runs that this owner has ordered use. */
  own: Resources
  /** What known runs of previous owners use; part of `own` once all of them are known. */
  inherited: Resources
  /** What previous owners may have had running; zero once all their runs are known. */
  reserved: Resources
  /** Allotment: what the tasks of this owner may use. */
  held: Resources
  /** Maximum by which it was given. */
  heldOf: Resources
  /** Monotonic time at which it was given, in ms. */
  heldSince: number
  /** Durable bound of all that the service uses. */
  bound: Resources
  /** What the last report wanted. */
  wanted: Resources
}

/** State of one organisation in one round of planning; `used` includes starts planned in it. */
interface RoundState {
  used: Resources
  allowed: Resources
  maximum: Resources
  wanted: Resources
}

/** Checks starts of one round of planning. */
export interface QuotaRound {
  /**
   * Whether the quota keeps tasks of the step from starting now. A task counts with what it
   * requests, and no more than the whole quota.
   */
  exceeds(step: Step, count?: number): boolean
  recordPlanned(step: Step): void
}

/** Records what uses quotas. */
export interface QuotaUsage {
  add(step: Step, run: number): void
  remove(step: Step, run: number): void
}

/** Notifies all of them in turn. */
export const combineUsages = (usages: readonly QuotaUsage[]): QuotaUsage => ({
  add(step, run) {
    for (const usage of usages) usage.add(step, run)
  },
  remove(step, run) {
    for (const usage of usages) usage.remove(step, run)
  },
})

/** The quotas of one service. */
export interface ServiceQuotas {
  usage: QuotaUsage
  begin(): QuotaRound
  /** Returns what the owner of the fleet needs to know; undefined where there are no maxima. */
  report(ready: Iterable<Task>): QuotaReport | undefined
  /** Applies an answer; undefined if the owner of the fleet does not divide quotas. */
  apply(answer: QuotaAnswer | undefined): void
  /** Describes the quota that holds a step. */
  describe(step: Step): QuotaHold | undefined
  stop(): void
}

/** Dependencies of the quotas of one service. */
export interface ServiceQuotasOptions {
  store: RowStore
  authority: Authority
  configuration: ConfigurationHolder
  log: Logger
  /** Bounds left by the predecessor; undefined if they cannot be read. */
  inheritedBounds: QuotaBounds | undefined
  /** Whether all runs of previous owners are known. */
  areInheritedRunsKnown(): boolean
  /** Called when starts wait for a larger allotment. */
  allotmentNeeded(): void
  /** Called when more may start. */
  changed(): void
}

/** Returns what waiting tasks request, by organisation. */
function sumWaiting(ready: Iterable<Task>): Map<string, Resources> {
  const sums = new Map<string, Resources>()
  for (const { step } of ready) {
    const { organisation } = step.job.spec
    if (organisation === undefined) continue
    let sum = sums.get(organisation)
    if (!sum) sums.set(organisation, (sum = zeroAmounts()))
    for (const kind of RESOURCE_KINDS) sum[kind] += step.spec[kind]
  }
  return sums
}

/** Creates the quotas of one service, without any allotment. */
export function createServiceQuotas(opts: ServiceQuotasOptions): ServiceQuotas {
  const { authority, configuration } = opts
  const firstRun = firstRunOf(authority.term)
  const states = new Map<string, OrganisationState>()
  let areInheritedKnown = false
  let loweredAt = -Infinity
  let requestedAt = -Infinity

  const maximum = (organisation: string): Resources | undefined =>
    maximumOf(configuration.current(), organisation)

  function stateOf(organisation: string): OrganisationState {
    const known = states.get(organisation)
    if (known) return known
    const reserved = areInheritedKnown ? zeroAmounts() : inheritedBoundOf(organisation)
    const state: OrganisationState = {
      own: zeroAmounts(),
      inherited: zeroAmounts(),
      reserved,
      held: zeroAmounts(),
      heldOf: zeroAmounts(),
      heldSince: monotonicMs(),
      bound: reserved,
      wanted: zeroAmounts(),
    }
    states.set(organisation, state)
    return state
  }

  /** What previous owners may have running; all that is allowed if that cannot be read. */
  function inheritedBoundOf(organisation: string): Resources {
    if (opts.inheritedBounds)
      return opts.inheritedBounds.get(organisation) ?? zeroAmounts()
    return maximum(organisation) ?? zeroAmounts()
  }
  for (const organisation of opts.inheritedBounds?.keys() ?? []) stateOf(organisation)

  const writer = createQuotaRowWriter({
    ...opts,
    bounds: () => new Map([...states].map(([name, state]) => [name, boundFor(state)])),
    written(bounds) {
      for (const [name, bound] of bounds) stateOf(name).bound = bound
      opts.changed()
    },
  })

  function boundFor({ reserved, held }: OrganisationState): Resources {
    return eachKind((kind) =>
      Math.min(UNLIMITED, reserved[kind] + held[kind] * BOUND_HEADROOM),
    )
  }

  /** Whether the durable bound keeps this owner from using its allotment. */
  const isBoundShort = ({ held, reserved, bound }: OrganisationState): boolean =>
    exceedsAmounts(addAmounts(held, reserved), bound)

  /** Whether a successor would have far more reserved than this owner may use. */
  function isBoundExcessive(state: OrganisationState): boolean {
    const most = boundFor(state)
    return RESOURCE_KINDS.some(
      (kind) => state.bound[kind] > most[kind] * MAX_BOUND_EXCESS,
    )
  }

  /** Schedules a write of the bounds if some are too low, or too high for a while. */
  function updateRow(): void {
    const all = [...states.values()]
    if (all.some(isBoundShort)) return writer.schedule()
    const now = monotonicMs()
    if (!all.some(isBoundExcessive) || now - loweredAt < LOWER_BOUNDS_INTERVAL_MS) return
    loweredAt = now
    writer.schedule()
  }

  /** Counts the runs of previous owners as this owner's once all of them are known. */
  function settleInherited(): void {
    if (areInheritedKnown || !opts.areInheritedRunsKnown()) return
    areInheritedKnown = true
    for (const state of states.values()) {
      state.own = addAmounts(state.own, state.inherited)
      state.held = addAmounts(state.held, state.inherited)
      state.inherited = zeroAmounts()
      state.reserved = zeroAmounts()
    }
  }

  function changeUsage(step: Step, run: number, sign: 1 | -1): void {
    const { organisation } = step.job.spec
    if (organisation === undefined) return
    const state = stateOf(organisation)
    const { cpu, memMb, gpu } = step.spec
    const amounts = { cpu: sign * cpu, memMb: sign * memMb, gpu: sign * gpu }
    const isOwn = areInheritedKnown || run >= firstRun
    if (isOwn) state.own = addAmounts(state.own, amounts)
    else state.inherited = addAmounts(state.inherited, amounts)
  }

  /**
   * What the tasks of this owner may use now. Nothing more may start by an allotment of a maximum
   * that has been lowered since: other services may use more than what is left.
   */
  function limitOf(state: OrganisationState, limit: Resources): Resources {
    const { held, heldOf, bound, reserved } = state
    if (exceedsAmounts(heldOf, limit)) return zeroAmounts()
    return eachKind((kind) =>
      Math.min(held[kind], bound[kind] - reserved[kind], limit[kind]),
    )
  }

  function request(): void {
    const now = monotonicMs()
    if (now - requestedAt < REQUEST_INTERVAL_MS) return
    requestedAt = now
    opts.allotmentNeeded()
  }

  /** An equal part for each service, which is safe without anybody who divides the quota. */
  function equalPartOf(limit: Resources, reserved: Resources): Resources {
    const count = Math.max(1, ownedServices(configuration.current()).length)
    return eachKind((kind) =>
      limit[kind] === UNLIMITED
        ? UNLIMITED
        : Math.max(0, limit[kind] / count - reserved[kind]),
    )
  }

  return {
    usage: {
      add: (step, run) => changeUsage(step, run, 1),
      remove: (step, run) => changeUsage(step, run, -1),
    },

    begin() {
      settleInherited()
      const round = new Map<string, RoundState | undefined>()

      function roundStateOf(organisation: string): RoundState | undefined {
        if (round.has(organisation)) return round.get(organisation)
        const limit = maximum(organisation)
        const state = limit && stateOf(organisation)
        const found = state && {
          used: { ...state.own },
          allowed: limitOf(state, limit),
          maximum: limit,
          wanted: state.wanted,
        }
        round.set(organisation, found)
        return found
      }

      return {
        exceeds(step, count = 1) {
          const { organisation } = step.job.spec
          if (organisation === undefined) return false
          const state = roundStateOf(organisation)
          if (!state) return false
          const { spec } = step
          let exceeds = false
          let isNews = false
          for (const kind of RESOURCE_KINDS) {
            const most = state.maximum[kind]
            const total = state.used[kind] + Math.min(spec[kind], most) * count
            if (total <= state.allowed[kind]) continue
            exceeds = true
            isNews ||= Math.min(total, most) > state.wanted[kind]
          }
          if (isNews) request()
          return exceeds
        },
        recordPlanned(step) {
          const { organisation } = step.job.spec
          const state = organisation === undefined ? undefined : round.get(organisation)
          if (!state) return
          for (const kind of RESOURCE_KINDS) state.used[kind] += step.spec[kind]
        },
      }
    },

    report(ready) {
      settleInherited()
      const { organisations } = configuration.current() ?? {}
      if (!organisations && states.size === 0) return undefined
      for (const name of organisations?.keys() ?? []) stateOf(name)
      const waiting = sumWaiting(ready)
      const report: QuotaReport = {}
      for (const [name, state] of states) {
        const limit = maximum(name)
        if (!limit && isZeroAmounts(state.held) && isZeroAmounts(state.own)) continue
        const wanted = addAmounts(state.own, waiting.get(name) ?? zeroAmounts())
        state.wanted = limit ? minAmounts(wanted, limit) : wanted
        report[name] = {
          held: maxAmounts(state.held, state.own),
          reserved: state.reserved,
          wanted: state.wanted,
        }
      }
      return report
    },

    apply(answer) {
      for (const [name, state] of states) {
        const limit = maximum(name)
        if (!limit) continue
        const allotment = answer
          ? answer[name]
          : { held: equalPartOf(limit, state.reserved), maximum: limit }
        if (!allotment) continue
        const hasGrown = exceedsAmounts(allotment.held, state.held)
        state.held = maxAmounts(allotment.held, state.own)
        state.heldOf = allotment.maximum
        state.heldSince = monotonicMs()
        if (hasGrown) opts.changed()
      }
      updateRow()
    },

    describe(step) {
      const { organisation } = step.job.spec
      const limit = organisation === undefined ? undefined : maximum(organisation)
      if (organisation === undefined || !limit) return undefined
      const state = stateOf(organisation)
      return {
        organisation,
        usedCpu: state.own.cpu + state.inherited.cpu,
        allottedCpu: Math.round(limitOf(state, limit).cpu),
        maximumCpu: limit.cpu === UNLIMITED ? undefined : limit.cpu,
        ageMs: Math.round(monotonicMs() - state.heldSince),
      }
    },

    stop: writer.stop,
  }
}
