/**
 * Divides the quotas of organisations between the services, on the owner of the fleet. Each service
 * has an allotment of each quota, and the sum of all that services may use never exceeds the
 * maximum: an allotment is taken back by asking for less, and counts until the service reports that
 * it has given it up. The ledger is kept in memory only; a new one learns from the reports of all
 * services what they hold, and gives out nothing before.
 */
import type { Resources } from '../ports/index.js'
import { monotonicMs } from '../shared/index.js'
import { UNLIMITED, addAmounts, eachKind, maxAmounts, zeroAmounts } from './amounts.js'
import { divideQuota } from './divideQuota.js'
import type { QuotaAnswer, QuotaReport, QuotaUse } from './types.js'

/**
 * Time after which a service that is no longer configured holds nothing, in ms: the lease and grace
 * of its owner, and then the leases of its runs.
 */
const REMOVED_SERVICE_HOLDS_MS = 17_000
/** Share of an unused quota that is spread over the services. */
const SPREAD_SHARE = 0.5

/** What a service held at most since its last report. */
interface Entry {
  uses: QuotaReport
  /** Allotments of the last answer, which its owner may or may not have received. */
  granted: QuotaAnswer
  at: number
}

/** The quotas as divided between the services. */
export interface QuotaLedger {
  /** Starts to give out: no other owner of the fleet can do so any more. */
  open(): void
  /**
   * Records the newest report of a service, whose owner ignores the answers to earlier reports.
   * Returns its allotments; none while an earlier owner of the fleet may still give out some.
   */
  answer(service: string, report: QuotaReport): QuotaAnswer
}

/** Dependencies of the ledger. */
export interface QuotaLedgerOptions {
  /** Services that have owners. */
  services(): string[]
  /** What an organisation may use, by `maximumOf`; undefined without any limit. */
  maximumOf(organisation: string): Resources | undefined
  /** Whether this owner of the fleet may still decide. */
  mayGrant(): boolean
  /** Monotonic clock, in ms. */
  now?: () => number
}

const NO_USE: QuotaUse = {
  held: zeroAmounts(),
  reserved: zeroAmounts(),
  wanted: zeroAmounts(),
}

/** Creates a ledger that does not know yet what services hold. */
export function createQuotaLedger(opts: QuotaLedgerOptions): QuotaLedger {
  const { now = monotonicMs } = opts
  const entries = new Map<string, Entry>()
  let isOpen = false

  function forgetRemoved(services: readonly string[]): void {
    for (const [service, { at }] of entries) {
      const isOver = now() - at > REMOVED_SERVICE_HOLDS_MS
      if (isOver && !services.includes(service)) entries.delete(service)
    }
  }

  /** Most that a service may use of the quota, now or with an answer that is on its way. */
  function holdingOf({ uses, granted }: Entry, organisation: string): Resources {
    const { held, reserved } = uses[organisation] ?? NO_USE
    const { held: answered = zeroAmounts() } = granted[organisation] ?? {}
    return addAmounts(maxAmounts(held, answered), reserved)
  }

  /** Returns what a service may hold of the quota of an organisation. */
  function allot(
    service: string,
    organisation: string,
    maximum: Resources,
    mayGrow: boolean,
  ): Resources {
    const useOf = ({ uses }: Entry): QuotaUse => uses[organisation] ?? NO_USE
    const own = useOf(entries.get(service)!)
    const others = [...entries].filter(([name]) => name !== service)
    const uses = [own, ...others.map(([, entry]) => useOf(entry))]
    const holdings = others.map(([, entry]) => holdingOf(entry, organisation))
    return eachKind((kind) => {
      if (maximum[kind] === UNLIMITED) return UNLIMITED
      const reserved = uses.reduce((sum, use) => sum + use.reserved[kind], 0)
      const wants = uses.map((use) => use.wanted[kind])
      const [part = 0] = divideQuota(maximum[kind] - reserved, wants, SPREAD_SHARE)
      const heldByOthers = holdings.reduce((sum, holding) => sum + holding[kind], 0)
      const free = Math.max(0, maximum[kind] - heldByOthers - own.reserved[kind])
      // Whole numbers keep messages and rows short.
      const allotted = Math.floor(Math.min(part, free))
      return mayGrow ? allotted : Math.min(allotted, own.held[kind])
    })
  }

  return {
    open: () => void (isOpen = true),
    answer(service, report) {
      if (!isOpen) return {}
      const entry: Entry = { uses: report, granted: {}, at: now() }
      entries.set(service, entry)
      const services = opts.services()
      forgetRemoved(services)
      const isComplete = services.every((each) => entries.has(each))
      const mayGrow = isComplete && opts.mayGrant()
      for (const organisation of Object.keys(report)) {
        const maximum = opts.maximumOf(organisation)
        if (!maximum) continue
        const held = allot(service, organisation, maximum, mayGrow)
        entry.granted[organisation] = { held, maximum }
      }
      return entry.granted
    },
  }
}
