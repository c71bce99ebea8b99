/** Starts and stops jobs. One task takes a job through all steps of its start or stop. */
import { jobKey } from '../fleet/index.js'
import type { JobRow } from '../fleet/index.js'
import { sleep } from '../shared/index.js'
import { inFlightAtJob } from './acks.js'
import { writeUnderLease } from './context.js'
import type { KeeperContext } from './context.js'
import type { FleetState } from './fleetState.js'
import type { JobDecision } from './placement.js'

/** Writes the rows of new jobs; {@link runJob} starts their tasks. */
export async function writeStarts(
  ctx: KeeperContext,
  fence: number,
  state: FleetState,
  starts: Extract<JobDecision, { kind: 'start' }>[],
): Promise<void> {
  const rows = starts.map((start): JobRow => {
    const { incarnation } = state.vms.get(start.vm)!.value
    const { slots } = state.table.services.get(start.service)!
    const { job: id, service, vm } = start
    return { id, service, hall: ctx.hall, vm, incarnation, state: 'starting', slots }
  })
  const writes = rows.map((row) => ({
    key: jobKey(ctx.hall, row.id),
    version: 0,
    value: row,
  }))
  if (writes.length === 0) return
  if (!(await writeUnderLease(ctx, fence, 'startJobs', writes))) return
  for (const start of starts) {
    ctx.metrics.moves.inc({ kind: 'job' })
    ctx.log.event('jobPlaced', { ...start, kind: undefined })
  }
}

/** Marks jobs as stopping; {@link runJob} drains and stops them. */
export async function writeStops(
  ctx: KeeperContext,
  fence: number,
  state: FleetState,
  stops: Extract<JobDecision, { kind: 'stop' }>[],
): Promise<void> {
  const found = stops.flatMap((stop) => state.jobs.get(stop.job) ?? [])
  const writes = found.map(({ key, version, value }) => ({
    key,
    version,
    value: { ...value, state: 'stopping' as const },
  }))
  if (writes.length > 0) await writeUnderLease(ctx, fence, 'stopJobs', writes)
}

/**
 * Completes the start or stop of a job.
 * @returns `failed` if the job did not start; `interrupted` if the lease was lost or a
 * step could not be completed, in which case a later round resumes it if still needed.
 */
export async function runJob(
  ctx: KeeperContext,
  fence: number,
  job: JobRow,
): Promise<'done' | 'failed' | 'interrupted'> {
  return job.state === 'starting' ? startJob(ctx, fence, job) : stopJob(ctx, fence, job)
}

async function startJob(ctx: KeeperContext, fence: number, job: JobRow) {
  const line = ctx.state()?.table.services.get(job.service)
  if (!line) return 'interrupted'
  const startReply = await ctx.platform.startTask({
    id: job.id,
    vm: job.vm,
    service: job.service,
    cpus: line.cpus,
    memoryGb: line.memory_gb,
    leaseMs: 0,
  })
  if (startReply.isErr() && startReply.error.failure === 'refused') {
    return removeFailedJob(ctx, fence, job, startReply.error.message)
  }
  if (startReply.isErr()) return 'interrupted'
  for (;;) {
    await sleep(ctx.pollIntervalMs, ctx.signal)
    if (ctx.signal.aborted || ctx.lease.fence() !== fence) return 'interrupted'
    const state = ctx.state()
    const row = state?.jobs.get(job.id)
    if (!row || row.value.state !== 'starting') return 'interrupted'
    const task = state?.tasks.get(job.id)
    if (task?.state === 'running' && task.address !== undefined) {
      const { address, incarnation } = task
      const value: JobRow = { ...row.value, state: 'running', address, incarnation }
      const { key, version } = row
      const writes = [{ key, version, value }]
      if (!(await writeUnderLease(ctx, fence, 'jobRuns', writes))) return 'interrupted'
      const { id, vm, service } = job
      ctx.log.event('jobStarted', { job: id, vm, service, address })
      return 'done'
    }
    if (task?.state === 'failed' || task?.state === 'stopped') {
      return removeFailedJob(ctx, fence, job, task.reason ?? task.state)
    }
  }
}

async function removeFailedJob(
  ctx: KeeperContext,
  fence: number,
  job: JobRow,
  reason: string,
) {
  const row = ctx.state()?.jobs.get(job.id)
  const { id, vm, service } = job
  ctx.log.event('jobFailed', { job: id, vm, service, reason })
  if (row) {
    const writes = [{ key: row.key, version: row.version, value: null }]
    await writeUnderLease(ctx, fence, 'dropJob', writes)
  }
  return 'failed' as const
}

async function stopJob(ctx: KeeperContext, fence: number, job: JobRow) {
  const inFlight = inFlightAtJob(job.id)
  for (;;) {
    if (ctx.signal.aborted || ctx.lease.fence() !== fence) return 'interrupted'
    const row = ctx.state()?.jobs.get(job.id)
    if (!row) return 'done'
    if (ctx.acks.pendingReason(row.revision, inFlight) === undefined) break
    await sleep(ctx.pollIntervalMs, ctx.signal)
  }
  const stopReply = await ctx.platform.stopTask(job.id)
  if (stopReply.isErr()) return 'interrupted'
  const row = ctx.state()?.jobs.get(job.id)
  if (!row) return 'done'
  const writes = [{ key: row.key, version: row.version, value: null }]
  if (!(await writeUnderLease(ctx, fence, 'dropJob', writes))) return 'interrupted'
  const { id, vm, service } = job
  ctx.log.event('jobStopped', { job: id, vm, service, reason: 'drained' })
  return 'done'
}
