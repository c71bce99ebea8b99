/**
 * Sums up the service that the owners of all services have given to organisations, on the owner of
 * the fleet. It is kept in memory only, and a new ledger begins at 0: what its predecessor had summed
 * up has been passed on, except for the last messages.
 */
import type { ShareAnswer, ShareReport } from './types.js'

/** Service given by one service. */
interface Entry {
  term: number
  /** Totals of its owner in the last report. */
  reported: Map<string, number>
  /** Service given since the ledger began. */
  given: Map<string, number>
}

/** The sums of service. */
export interface ShareLedger {
  /** Records the newest report of a service; returns what the other services have given. */
  answer(service: string, term: number, report: ShareReport): ShareAnswer
}

const addTo = (sums: Map<string, number>, key: string, amount: number): void =>
  void sums.set(key, (sums.get(key) ?? 0) + amount)

/**
 * Creates an empty ledger.
 * @param ledger differs from those of all earlier ledgers
 */
export function createShareLedger(ledger: number): ShareLedger {
  const entries = new Map<string, Entry>()
  const totals = new Map<string, number>()
  const changedIn = new Map<string, number>()
  let version = 0

  function entryOf(service: string, term: number): Entry {
    const known = entries.get(service)
    if (known?.term === term) return known
    const entry = { term, reported: new Map(), given: known?.given ?? new Map() }
    entries.set(service, entry)
    return entry
  }

  /**
   * Adds what a service has given since its last report. The first total of an owner is left out: it
   * may contain service that an earlier ledger has passed on.
   */
  function add({ reported, given }: Entry, report: ShareReport): void {
    version++
    for (const [organisation, total] of Object.entries(report.given)) {
      const amount = total - (reported.get(organisation) ?? total)
      reported.set(organisation, total)
      if (amount === 0) continue
      addTo(given, organisation, amount)
      addTo(totals, organisation, amount)
      changedIn.set(organisation, version)
    }
  }

  return {
    answer(service, term, report) {
      const entry = entryOf(service, term)
      add(entry, report)
      const seen = report.ledger === ledger ? (report.seen ?? 0) : 0
      const answer: ShareAnswer = { ledger, version, given: {} }
      for (const [organisation, total] of totals) {
        if ((changedIn.get(organisation) ?? 0) <= seen) continue
        answer.given[organisation] = total - (entry.given.get(organisation) ?? 0)
      }
      return answer
    },
  }
}
