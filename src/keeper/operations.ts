/**
 * Carries out operations on VMs, each one in a task from start to end. The VM's row holds
 * the operation until it is finished, so that the next holder of the lease can resume it.
 */
import type { Operation, VmRow, WaveRow } from '../fleet/index.js'
import { newOpId } from '../platform/index.js'
import type { RowWrite } from '../platform/index.js'
import { monotonicMs, sleep } from '../shared/index.js'
import { inFlightOnVm } from './acks.js'
import { writeUnderLease } from './context.js'
import type { KeeperContext } from './context.js'
import { jobsOn, servicesOn } from './fleetState.js'
import type { FleetState, Versioned } from './fleetState.js'
import { budgetShortage } from './budgets.js'
import { releaseBudgets, chargeBudgets } from './budgetWrites.js'
import { waveInput } from './waves.js'

/** Result of a step that was not finished; the next round resumes the operation. */
const INTERRUPTED = Symbol('interrupted')
type StepResult<T = void> = Promise<T | typeof INTERRUPTED>

function leavingWrite(vm: Versioned<VmRow>, services: string[]): RowWrite {
  const { key, version, value } = vm
  const generation = value.generation + 1
  const operation = value.operation && { ...value.operation, services }
  return { key, version, value: { ...value, state: 'leaving', generation, operation } }
}

/**
 * Runs the VM's operation to its end. Returns early if the lease is lost or a step cannot
 * be finished.
 */
export async function runOperation(
  ctx: KeeperContext,
  fence: number,
  vmId: string,
): Promise<void> {
  if ((await evacuate(ctx, fence, vmId)) === INTERRUPTED) return
  if ((await drainVm(ctx, fence, vmId)) === INTERRUPTED) return
  const operation = findVm(ctx, vmId)?.vm.value.operation
  if (!operation) return
  if (operation.kind === 'move') {
    await finishMove(ctx, fence, vmId)
    return
  }
  if ((await reboot(ctx, fence, vmId)) === INTERRUPTED) return
  await finishMaintenance(ctx, fence, vmId)
}

function findVm(ctx: KeeperContext, vmId: string) {
  const state = ctx.state()
  const vm = state?.vms.get(vmId)
  return state && vm ? { state, vm } : undefined
}

/** Waits until `pendingReason` returns undefined; logs the reason when it changes. */
async function waitUntil(
  ctx: KeeperContext,
  fence: number,
  vmId: string,
  pendingReason: () => string | undefined,
): StepResult {
  let logged = ''
  for (;;) {
    if (ctx.signal.aborted || ctx.lease.fence() !== fence) return INTERRUPTED
    const reason = pendingReason()
    if (reason === undefined) return undefined
    if (reason !== logged) ctx.log.event('vmWaiting', { vm: vmId, reason })
    logged = reason
    await sleep(ctx.pollIntervalMs, ctx.signal)
  }
}

/**
 * Waits until the jobs of the VM run elsewhere. Instances that fit nowhere else are
 * charged to their budgets in the transaction that marks the VM as leaving.
 */
async function evacuate(ctx: KeeperContext, fence: number, vmId: string): StepResult {
  for (;;) {
    const waited = await waitUntil(ctx, fence, vmId, () => {
      const found = findVm(ctx, vmId)
      if (!found) return 'no table is in force'
      if (found.vm.value.state !== 'evacuating') return undefined
      return unmovedService(ctx, found.state, vmId) ?? budgetReason(found.state, vmId)
    })
    if (waited === INTERRUPTED) return INTERRUPTED
    const found = findVm(ctx, vmId)
    if (found?.vm.value.state !== 'evacuating') return undefined
    const { state, vm } = found
    const services = servicesOn(state, vmId)
    const writes = [
      leavingWrite(vm, services),
      ...chargeBudgets(state, vm.value, services),
    ]
    if (await writeUnderLease(ctx, fence, 'leave', writes)) return undefined
  }
}

/** Names a service that still runs on the VM although it has room elsewhere. */
function unmovedService(
  ctx: KeeperContext,
  state: FleetState,
  vmId: string,
): string | undefined {
  const waiting = jobsOn(state, vmId).find((job) => !ctx.unplaced.has(job.service))
  return waiting && `'${waiting.service}' still runs on it`
}

/** Returns why the budgets forbid stopping the instances that are left on the VM. */
function budgetReason(state: FleetState, vmId: string): string | undefined {
  return budgetShortage(waveInput(state), servicesOn(state, vmId))
}

/** Waits until no entry has requests on the VM, then stops the jobs left on it. */
async function drainVm(ctx: KeeperContext, fence: number, vmId: string): StepResult {
  const found = findVm(ctx, vmId)
  if (!found || found.vm.value.state === 'away') return undefined
  const { revision, value } = found.vm
  const waited = await waitUntil(ctx, fence, vmId, () => {
    const inFlight = inFlightOnVm(vmId, value.generation)
    return ctx.acks.pendingReason(revision, inFlight)
  })
  if (waited === INTERRUPTED) return INTERRUPTED
  ctx.log.event('vmDrained', { vm: vmId, operation: value.operation?.id })
  const opId = value.operation?.id ?? newOpId('drain')
  const drainReply = await ctx.platform.drainVm(vmId, opId)
  return drainReply.isOk() ? stopJobs(ctx, fence, vmId) : INTERRUPTED
}

async function stopJobs(ctx: KeeperContext, fence: number, vmId: string): StepResult {
  const state = ctx.state()
  if (!state) return INTERRUPTED
  const jobs = [...state.jobs.values()].filter((job) => job.value.vm === vmId)
  for (const job of jobs) {
    const stopped = await ctx.platform.stopTask(job.value.id)
    if (stopped.isErr()) return INTERRUPTED
  }
  const writes = jobs.map(({ key, version }) => ({ key, version, value: null }))
  if (writes.length === 0) return undefined
  const done = await writeUnderLease(ctx, fence, 'stopJobs', writes)
  for (const job of done ? jobs : []) {
    const { id, service } = job.value
    ctx.log.event('jobStopped', { job: id, vm: vmId, service, reason: 'VM leaves' })
  }
  return done ? undefined : INTERRUPTED
}

function withoutOperation(vm: VmRow): VmRow {
  const rest = { ...vm }
  delete rest.operation
  return rest
}

async function finishMove(ctx: KeeperContext, fence: number, vmId: string): StepResult {
  const found = findVm(ctx, vmId)
  const operation = found?.vm.value.operation
  if (!found || operation?.toPool === undefined) return INTERRUPTED
  const { state, vm } = found
  const rest = withoutOperation(vm.value)
  const value: VmRow = {
    ...rest,
    pool: operation.toPool,
    state: 'active',
    generation: rest.generation + 1,
  }
  const writes = [
    { key: vm.key, version: vm.version, value },
    ...releaseBudgets(state, operation),
  ]
  if (!(await writeUnderLease(ctx, fence, 'finishMove', writes))) return INTERRUPTED
  ctx.metrics.moves.inc({ kind: 'vm' })
  const { id } = operation
  ctx.log.event('vmMoveDone', {
    vm: vmId,
    from: rest.pool,
    to: value.pool,
    operation: id,
  })
  return undefined
}

async function reboot(ctx: KeeperContext, fence: number, vmId: string): StepResult {
  const found = findVm(ctx, vmId)
  const operation = found?.vm.value.operation
  if (!found || !operation) return INTERRUPTED
  const { key, version, value } = found.vm
  if (value.state !== 'away') {
    const generation = value.generation + 1
    const away: VmRow = { ...value, state: 'away', generation }
    const writes = [{ key, version, value: away }]
    if (!(await writeUnderLease(ctx, fence, 'away', writes))) return INTERRUPTED
  }
  const rebootReply = await ctx.platform.rebootVm(vmId, operation.id)
  if (rebootReply.isErr()) return INTERRUPTED
  return waitForReboot(ctx, fence, vmId, operation)
}

async function waitForReboot(
  ctx: KeeperContext,
  fence: number,
  vmId: string,
  operation: Operation,
): StepResult {
  const startedAt = monotonicMs()
  let halted = false
  const hasRebooted = () => {
    const listed = ctx.state()?.listed.get(vmId)
    const isNewIncarnation =
      listed !== undefined && listed.incarnation !== operation.fromIncarnation
    return isNewIncarnation && listed.state === 'live'
  }
  while (!hasRebooted()) {
    if (ctx.signal.aborted || ctx.lease.fence() !== fence) return INTERRUPTED
    if (!halted && monotonicMs() - startedAt > ctx.rebootTimeoutMs) {
      halted = await haltWave(ctx, fence, operation, `${vmId} did not come back in time`)
    }
    await sleep(ctx.pollIntervalMs, ctx.signal)
  }
  return undefined
}

async function haltWave(
  ctx: KeeperContext,
  fence: number,
  operation: Operation,
  reason: string,
): Promise<boolean> {
  const wave = operation.wave ?? ''
  const row = ctx.state()?.waves.get(wave)
  if (!row) return false
  const value: WaveRow = { ...row.value, halted: reason }
  const writes = [{ key: row.key, version: row.version, value }]
  const done = await writeUnderLease(ctx, fence, 'haltWave', writes)
  if (done) ctx.log.event('waveHalted', { wave, reason, operation: operation.id })
  return done
}

async function finishMaintenance(
  ctx: KeeperContext,
  fence: number,
  vmId: string,
): StepResult {
  const found = findVm(ctx, vmId)
  const operation = found?.vm.value.operation
  const listed = found?.state.listed.get(vmId)
  if (!found || !operation || !listed) return INTERRUPTED
  const { state, vm } = found
  const rest = withoutOperation(vm.value)
  const value: VmRow = {
    ...rest,
    state: 'active',
    incarnation: listed.incarnation,
    generation: rest.generation + 1,
  }
  const writes: RowWrite[] = [
    { key: vm.key, version: vm.version, value },
    ...releaseBudgets(state, operation),
  ]
  const wave = state.waves.get(operation.wave ?? '')
  if (wave) {
    const doing = wave.value.doing.filter((each) => each !== vmId)
    const done = [...wave.value.done.filter((each) => each !== vmId), vmId]
    writes.push({
      key: wave.key,
      version: wave.version,
      value: { ...wave.value, doing, done },
    })
  }
  const finished = await writeUnderLease(ctx, fence, 'finishMaintenance', writes)
  if (!finished) return INTERRUPTED
  const { id } = operation
  const { incarnation } = value
  ctx.log.event('vmMaintDone', {
    vm: vmId,
    wave: operation.wave,
    incarnation,
    operation: id,
  })
  return undefined
}
