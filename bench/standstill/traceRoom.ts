/** Finds when a target of each service had room, from the logs. Pure. */
import type { LogEvent } from '../account/readLog.js'
import { jobOf } from './traceJobs.js'
import { mergeSpans, type Span, subtractSpans } from './spans.js'

/** A task that runs this long is a lasting one, which leaves most of its target free. */
const LONG_RUNNING_MS = 25_000

interface TargetTrace {
  service: string | undefined
  /** Since when it answers and is not leaving; undefined while it is not usable. */
  usableSince: number | undefined
  usable: Span[]
  busy: Span[]
  running: Map<string, number>
  /** Time of the last start on the target. */
  lastStartAt: number
}

/**
 * Returns the times with room, by service. The logs don't contain capacities, so only a
 * target without a finite task counts as room. It counts from its first task on, which
 * tells its service.
 */
export function traceRoom(events: LogEvent[]): Map<string, Span[]> {
  const serviceOf = new Map<string, string>()
  for (const { job, service } of events) if (job && service) serviceOf.set(job, service)
  const targets = traceTargets(events, serviceOf)

  const room = new Map<string, Span[]>()
  for (const { service, usable, busy } of targets) {
    if (service === undefined) continue
    const short = busy.filter(({ from, until }) => until - from < LONG_RUNNING_MS)
    const empty = subtractSpans(mergeSpans(usable), mergeSpans(short))
    room.set(service, [...(room.get(service) ?? []), ...empty])
  }
  return new Map([...room].map(([service, spans]) => [service, mergeSpans(spans)]))
}

function traceTargets(
  events: LogEvent[],
  serviceOf: Map<string, string>,
): Iterable<TargetTrace> {
  const targets = new Map<string, TargetTrace>()
  const logEnd = events.at(-1)?.at ?? 0

  const close = (target: TargetTrace, until: number): void => {
    if (target.usableSince === undefined) return
    target.usable.push({ from: target.usableSince, until })
    target.usableSince = undefined
  }
  const start = (target: TargetTrace, { task = '', at }: LogEvent): void => {
    target.service ??= serviceOf.get(jobOf(task))
    target.running.set(task, at)
    target.usableSince ??= at
    target.lastStartAt = at
  }
  const end = (target: TargetTrace, { task = '', at }: LogEvent): void => {
    // If its start was not logged, the last logged start on the target is used: tasks are
    // often started on a target at the same moment.
    const from = target.running.get(task) ?? target.lastStartAt
    target.busy.push({ from, until: at })
    target.running.delete(task)
  }
  const endUsable = (target: TargetTrace, { at }: LogEvent): void => close(target, at)

  const HANDLERS: Record<string, (target: TargetTrace, event: LogEvent) => void> = {
    taskPlaced: start,
    runAdopted: start,
    runEnded: end,
    runVanished: end,
    startRefused: end,
    targetSilent: endUsable,
    targetGone: endUsable,
    targetUnlisted: endUsable,
    targetDraining: endUsable,
    evacuating(target, { wanted = true, at }) {
      if (wanted) close(target, at)
      else target.usableSince ??= at
    },
  }
  for (const event of events) {
    const handler = HANDLERS[event.name]
    if (!handler || event.target === undefined) continue
    const target = targets.get(event.target) ?? createTrace(event.at)
    targets.set(event.target, target)
    handler(target, event)
  }
  for (const target of targets.values()) {
    close(target, logEnd)
    for (const from of target.running.values()) target.busy.push({ from, until: logEnd })
  }
  return targets.values()
}

const createTrace = (at: number): TargetTrace => ({
  service: undefined,
  usableSince: undefined,
  usable: [],
  busy: [],
  running: new Map(),
  lastStartAt: at,
})
