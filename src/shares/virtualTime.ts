/**
 * Virtual time of the jobs of one priority: service by weight that each waiting organisation has
 * received at least (P. Goyal, H. Vin, H. Cheng, "Start-time fair queuing", SIGCOMM 1996). It follows
 * the service that is given, so the capacity need not be known.
 */
import type { Accounts } from './accounts.js'

/**
 * Time for which an organisation may be passed over before it no longer holds back the virtual time,
 * in ms. Its tasks cannot start then, for example because no target has their label; without this
 * limit every other organisation would soon count as beyond its share.
 */
const BLOCKED_AFTER_MS = 1000

/** Virtual time of one priority. */
export interface VirtualTime {
  /** Present virtual time. It never decreases. */
  now(): number
  /** Virtual time at which the next service of an organisation starts. */
  startOf(organisation: string): number
  /**
   * Advances to the least start of the waiting organisations.
   * @param credit virtual time by which an organisation may lag behind: the burst that it may send
   *   after it was idle
   */
  advance(waiting: ReadonlySet<string>, credit: number, now: number): void
  /** Records that a task of the organisation is started. */
  noteServed(organisation: string, now: number): void
  /** Records that nothing waits any more: whoever has received more owes it to nobody. */
  drain(credit: number): void
}

/** Creates the virtual time of a priority for which nothing waits. */
export function createVirtualTime({ byOrganisation }: Accounts): VirtualTime {
  /** Difference between the start of an organisation and its account. */
  const offsets = new Map<string, number>()
  const waitingSince = new Map<string, number>()
  const servedAt = new Map<string, number>()
  let lastServedAt = -Infinity
  let time = -Infinity

  const startOf = (organisation: string): number =>
    (byOrganisation.get(organisation)?.virtual ?? 0) + (offsets.get(organisation) ?? 0)

  /** Takes back claims to more than the credit, of organisations that did not use their share. */
  function limitClaims(credit: number): void {
    const least = time - credit
    for (const organisation of byOrganisation.keys()) {
      const missing = least - startOf(organisation)
      if (missing > 0)
        offsets.set(organisation, (offsets.get(organisation) ?? 0) + missing)
    }
  }

  function noteWaiting(waiting: ReadonlySet<string>, now: number): void {
    for (const organisation of waitingSince.keys())
      if (!waiting.has(organisation)) waitingSince.delete(organisation)
    for (const organisation of waiting)
      if (!waitingSince.has(organisation)) waitingSince.set(organisation, now)
  }

  function isBlocked(organisation: string): boolean {
    const since = Math.max(
      waitingSince.get(organisation) ?? -Infinity,
      servedAt.get(organisation) ?? -Infinity,
    )
    return lastServedAt - since > BLOCKED_AFTER_MS
  }

  function drain(credit: number): void {
    for (const organisation of byOrganisation.keys())
      time = Math.max(time, startOf(organisation))
    limitClaims(credit)
  }
  drain(0)

  return {
    now: () => Math.max(0, time),
    startOf,
    advance(waiting, credit, now) {
      limitClaims(credit)
      noteWaiting(waiting, now)
      let least = Infinity
      for (const organisation of waiting)
        if (!isBlocked(organisation)) least = Math.min(least, startOf(organisation))
      if (least === Infinity) return drain(credit)
      time = Math.max(time, least)
      limitClaims(credit)
    },
    noteServed(organisation, now) {
      servedAt.set(organisation, now)
      lastServedAt = now
    },
    drain,
  }
}
