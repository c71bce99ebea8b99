/** Sums up the waits of tasks in a run, by second and by cause. Pure. */
import type { LogEvent } from './readLog.js'

/** Waits up to two check intervals of an owner are normal and not attributed to a cause. */
const MAX_UNEXPLAINED_WAIT_MS = 200
/** Duration of the move of a VM. Waits in its new pool during this time are due to the move. */
const MOVE_MS = 1700

/** Cause of a wait. */
export type Cause =
  'no owner' | 'takeover' | 'fleet without owner' | 'VMs on the way' | 'no room'

/** One second of a run. */
export interface SecondStats {
  /** Seconds since the first job was taken on. */
  at: number
  /** Jobs taken on, tasks started, and the 90th percentile of their waits, in ms. */
  byService: Map<string, { jobs: number; starts: number; waitMs: number }>
  /** VMs by pool when the second begins, of those that are moved in the run. */
  vms: Map<string, number>
  /** Services that a new owner has taken. */
  newOwners: string[]
}

/** The waits of one run. */
export interface Account {
  seconds: SecondStats[]
  /** Total wait by cause, in task-seconds. */
  waited: Map<Cause, number>
  /** Number of refused jobs by the `failure` of the log event. */
  refused: Map<string, number>
}

interface Span {
  from: number
  until: number
}

const FLEET = '~fleet'
const OWNERSHIP_END_EVENTS = new Set(['ownershipLost', 'ownershipReleased'])

/** Times in which a service had no owner, or an owner whose takeover was not complete. */
function ownerGaps(
  events: LogEvent[],
  service: string,
): { noOwner: Span[]; takeover: Span[] } {
  const noOwner: Span[] = []
  const takeover: Span[] = []
  let lastEventAt = events[0]?.at ?? 0
  let owner = ''
  for (const event of events) {
    const isOfService = event.service === service
    if (event.node === owner) lastEventAt = event.at
    if (!isOfService) continue
    if (OWNERSHIP_END_EVENTS.has(event.name) && event.node === owner) owner = ''
    if (event.name === 'ownershipTaken') {
      noOwner.push({ from: lastEventAt, until: event.at })
      takeover.push({ from: event.at, until: event.at })
      owner = event.node
      lastEventAt = event.at
    }
    if (event.name === 'takeoverDone' && event.node === owner)
      takeover.at(-1)!.until = event.at
  }
  return { noOwner, takeover }
}

const overlaps = (spans: Span[], from: number, until: number): boolean =>
  spans.some((span) => span.from < until && span.until > from)

/** Builds the account of a run; the events must be sorted by time. */
export function buildAccount(events: LogEvent[]): Account {
  const services = [...new Set(events.flatMap(({ service }) => service ?? []))]
  const gaps = new Map(services.map((service) => [service, ownerGaps(events, service)]))
  const firstJob = events.find(({ name }) => name === 'jobTaken')?.at ?? 0
  const serviceOf = new Map<string, string>()
  const moves = events.filter(
    (event) =>
      event.name === 'vmOrdered' && event.kind === 'move' && event.answer === 'accepted',
  )
  const waited = new Map<Cause, number>()
  const refused = new Map<string, number>()
  const seconds: SecondStats[] = []
  const pools = new Map<string, string>()
  for (const { vm, from } of moves) {
    if (vm && from && !pools.has(vm)) pools.set(vm, from)
  }

  const secondOf = (at: number): SecondStats | undefined => {
    const index = Math.floor((at - firstJob) / 1000)
    if (index < 0) return undefined
    while (seconds.length <= index) {
      const vms = new Map<string, number>()
      for (const pool of pools.values()) vms.set(pool, (vms.get(pool) ?? 0) + 1)
      seconds.push({ at: seconds.length, byService: new Map(), vms, newOwners: [] })
    }
    return seconds[index]
  }
  const statsOf = (second: SecondStats, service: string) => {
    const stats = second.byService.get(service) ?? { jobs: 0, starts: 0, waitMs: 0 }
    second.byService.set(service, stats)
    return stats
  }

  const findCause = (service: string, from: number, until: number): Cause => {
    const own = gaps.get(service)
    if (own && overlaps(own.noOwner, from, until)) return 'no owner'
    if (own && overlaps(own.takeover, from, until)) return 'takeover'
    if (overlaps(gaps.get(FLEET)?.noOwner ?? [], from, until))
      return 'fleet without owner'
    const isVmMoving = moves.some(
      ({ pool, at }) => pool === service && at < until && at + MOVE_MS > from,
    )
    return isVmMoving ? 'VMs on the way' : 'no room'
  }

  const waitsByStats = new Map<{ waitMs: number }, number[]>()
  const HANDLERS: Record<string, (event: LogEvent, second: SecondStats) => void> = {
    jobTaken({ job, service }, second) {
      if (!job || !service) return
      serviceOf.set(job, service)
      statsOf(second, service).jobs++
    },
    taskPlaced({ task = '', waitedMs = 0, at }, second) {
      const service = serviceOf.get(task.slice(0, task.indexOf('.')))
      if (!service) return
      const stats = statsOf(second, service)
      stats.starts++
      waitsByStats.set(stats, [...(waitsByStats.get(stats) ?? []), waitedMs])
      if (waitedMs <= MAX_UNEXPLAINED_WAIT_MS) return
      const cause = findCause(service, at - waitedMs, at)
      waited.set(cause, (waited.get(cause) ?? 0) + waitedMs / 1000)
    },
    vmOrdered({ kind, answer, vm, pool }) {
      if (kind === 'move' && answer === 'accepted' && vm && pool) pools.set(vm, pool)
    },
    ownershipTaken: ({ service = '' }, second) => void second.newOwners.push(service),
    jobRefused({ failure = 'invalid' }) {
      refused.set(failure, (refused.get(failure) ?? 0) + 1)
    },
  }
  for (const event of events) {
    const second = secondOf(event.at)
    if (second) HANDLERS[event.name]?.(event, second)
    else if (event.name === 'vmOrdered' && event.vm && event.answer === 'accepted') {
      if (event.kind === 'move' && event.pool) pools.set(event.vm, event.pool)
    }
  }
  for (const [stats, all] of waitsByStats) {
    all.sort((a, b) => a - b)
    stats.waitMs = all[Math.floor(all.length * 0.9)] ?? 0
  }
  return { seconds, waited, refused }
}
