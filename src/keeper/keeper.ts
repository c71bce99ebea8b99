/**
 * The keeper of a hall: it runs rounds of decisions while it holds the lease. A round
 * registers VMs, plans pools, waves and jobs, and ensures that one task carries out each
 * VM operation and each start or stop of a job.
 */
import { waveKey } from '../fleet/index.js'
import type { ListedVm, Platform, RowWatch, Task } from '../platform/index.js'
import type { PeerNetwork } from '../peer/index.js'
import {
  createStopController,
  describeError,
  jittered,
  monotonicMs,
  sleep,
} from '../shared/index.js'
import type { Logger, Metrics } from '../shared/index.js'
import type { TableHolder } from '../table/index.js'
import { createEntryAcks } from './acks.js'
import { writeUnderLease } from './context.js'
import type { KeeperContext } from './context.js'
import { readFleetState } from './fleetState.js'
import type { FleetState } from './fleetState.js'
import { publishHallStatus } from './hallStatus.js'
import { runJob, writeStarts, writeStops } from './jobs.js'
import { createLease } from './lease.js'
import { newWaveRow, startMaintenance, startMove } from './operationStarts.js'
import { runOperation } from './operations.js'
import { planJobs } from './placement.js'
import type { JobDecision } from './placement.js'
import { planPools } from './pools.js'
import { registerVms } from './registration.js'
import {
  countJobsByVm,
  maintainedVms,
  planWaves,
  poolsInWave,
  waveInput,
} from './waves.js'

/** Backoff after a failed start of a service's instance; it doubles with each failure. */
const START_BACKOFF_INITIAL_MS = 5000
const START_BACKOFF_MAX_MS = 300_000

/** The running keeper. */
export interface Keeper {
  /** Whether this process holds the lease now. */
  holdsLease(): boolean
  /** Stops every task at its next step and releases the lease. */
  stop(): Promise<void>
}

/** Options of {@link createKeeper}. */
export interface KeeperOptions {
  hall: string
  /** Id of this process, unique to each start of it. */
  holder: string
  platform: Platform
  rows: RowWatch
  table: TableHolder
  peers: PeerNetwork
  leaseMs: number
  cycleMs: number
  rebootTimeoutMs: number
  log: Logger
  metrics: Metrics
}

/** Starts the keeper's tasks. */
export function createKeeper(opts: KeeperOptions): Keeper {
  const { hall, holder, platform, rows, table, peers, log, metrics } = opts
  const stopping = createStopController()
  const runningTasks = new Map<string, Promise<void>>()
  const failedStarts = new Map<string, { count: number; until: number }>()
  const missingSince = new Map<string, number>()
  const holdReasons = new Map<string, string>()
  let listed: ListedVm[] = []
  let listRevision = 0
  let tasks: Task[] = []
  let taskRevision = 0
  let cached: { key: string; state: FleetState } | undefined

  const lease = createLease({ platform, hall, holder, ttlMs: opts.leaseMs, log, metrics })
  const isGone = (entry: string) =>
    listRevision > 0 && !listed.some((vm) => vm.id === entry && vm.state === 'live')
  const ctx: KeeperContext = {
    hall,
    platform,
    rows,
    lease,
    acks: createEntryAcks({ peers, hall, isGone }),
    log,
    metrics,
    signal: stopping.signal,
    rebootTimeoutMs: opts.rebootTimeoutMs,
    pollIntervalMs: Math.max(20, opts.cycleMs / 4),
    unplaced: new Set(),
    state() {
      const inForce = table.current()
      if (!inForce) return undefined
      const key = `${rows.revision()} ${inForce.epoch} ${listRevision} ${taskRevision}`
      if (cached?.key === key) return cached.state
      const input = { hall, table: inForce.table, rows: rows.rows, listed, tasks, log }
      cached = { key, state: readFleetState(input) }
      return cached.state
    },
  }

  async function refreshState(): Promise<boolean> {
    await rows.refresh()
    const list = await platform.listVms(undefined, listRevision)
    if (list.isErr()) return false
    if (list.value && list.value.revision > listRevision) {
      listed = list.value.vms
      listRevision = list.value.revision
    }
    const found = await platform.listTasks(hall, taskRevision)
    if (found.isErr()) return false
    if (found.value) {
      tasks = found.value.tasks
      taskRevision = found.value.revision
    }
    return rows.silentForMs() < opts.cycleMs * 2
  }

  async function round(fence: number): Promise<void> {
    if (!(await refreshState())) return
    const first = ctx.state()
    if (!first) return
    await registerVms(ctx, fence, first, missingSince)
    await ifLeaseHeld(fence, (state) => startPoolMoves(fence, state))
    await ifLeaseHeld(fence, (state) => advanceWaves(fence, state))
    await ifLeaseHeld(fence, (state) => startAndStopJobs(fence, state))
    await publishHallStatus(ctx, fence, peers)
    resumePendingWork(fence)
  }

  /** Runs a step on the latest state, unless the lease has been lost. */
  async function ifLeaseHeld(
    fence: number,
    step: (state: FleetState) => Promise<void>,
  ): Promise<void> {
    const state = ctx.state()
    if (state && lease.fence() === fence) await step(state)
  }

  async function startPoolMoves(fence: number, state: FleetState): Promise<void> {
    const input = waveInput(state)
    const counts = countJobsByVm(input.jobs)
    const count = (vm: string) => counts.get(vm) ?? 0
    for (const move of planPools(state.table, input.vms, count, poolsInWave(input))) {
      const latest = ctx.state()
      if (!latest) return
      log.event('vmMoveStarted', { ...move })
      await startMove(ctx, fence, latest, move.vm, move.to)
    }
  }

  async function advanceWaves(fence: number, state: FleetState): Promise<void> {
    for (const decision of planWaves(waveInput(state))) {
      const latest = ctx.state()
      if (!latest) return
      const { wave } = decision
      if (decision.kind === 'hold') {
        logHold(wave, decision.reason)
        continue
      }
      holdReasons.delete(wave)
      if (decision.kind === 'finish') {
        await finishWave(fence, latest, wave)
        continue
      }
      const { vm, reason } = decision
      log.event('vmMaintStarted', { wave, vm, reason })
      await startMaintenance(ctx, fence, latest, vm, wave)
    }
  }

  async function finishWave(fence: number, state: FleetState, wave: string) {
    const row = state.waves.get(wave)
    const value = { ...(row?.value ?? newWaveRow(wave, hall)), finished: true }
    const write = { key: waveKey(wave, hall), version: row?.version ?? 0, value }
    if (!(await writeUnderLease(ctx, fence, 'finishWave', [write]))) return
    log.event('waveDone', { wave, done: value.done.length })
  }

  /** Logs why a wave does not advance, when the reason changes. */
  function logHold(wave: string, reason: string): void {
    if (holdReasons.get(wave) === reason) return
    holdReasons.set(wave, reason)
    log.event('waveHeld', { wave, reason })
  }

  async function startAndStopJobs(fence: number, state: FleetState): Promise<void> {
    const input = waveInput(state)
    const decisions = planJobs({
      ...input,
      maintained: maintainedVms(input),
      inWave: poolsInWave(input),
    })
    const ofKind = <K extends JobDecision['kind']>(kind: K) =>
      decisions.filter(
        (each): each is Extract<JobDecision, { kind: K }> => each.kind === kind,
      )
    updateUnplaced(ofKind('unplaced'))
    const starts = ofKind('start').filter(({ service }) => {
      const failed = failedStarts.get(service)
      return !failed || failed.until <= monotonicMs()
    })
    await writeStarts(ctx, fence, state, starts)
    await ifLeaseHeld(fence, (now) => writeStops(ctx, fence, now, ofKind('stop')))
  }

  function updateUnplaced(unplaced: { service: string; reason: string }[]): void {
    const names = new Set(unplaced.map((each) => each.service))
    for (const { service, reason } of unplaced) {
      if (!ctx.unplaced.has(service)) log.event('jobUnplaced', { service, reason })
    }
    ctx.unplaced = names
  }

  /** Ensures that one task runs for each VM operation and each start or stop of a job. */
  function resumePendingWork(fence: number): void {
    const state = ctx.state()
    if (!state) return
    for (const { value } of state.vms.values()) {
      if (!value.operation) continue
      runOnce(`vm ${value.id}`, () => runOperation(ctx, fence, value.id))
    }
    for (const { value } of state.jobs.values()) {
      if (value.state === 'running') continue
      runOnce(`job ${value.id}`, async () => {
        recordStartResult(value.service, await runJob(ctx, fence, value))
      })
    }
  }

  function recordStartResult(
    service: string,
    result: 'done' | 'failed' | 'interrupted',
  ): void {
    if (result === 'done') failedStarts.delete(service)
    if (result !== 'failed') return
    const count = (failedStarts.get(service)?.count ?? 0) + 1
    const pause = Math.min(
      START_BACKOFF_MAX_MS,
      START_BACKOFF_INITIAL_MS * 2 ** (count - 1),
    )
    failedStarts.set(service, { count, until: monotonicMs() + pause })
  }

  /** Starts a task, unless one of this name is running. */
  function runOnce(name: string, run: () => Promise<void>): void {
    if (runningTasks.has(name)) return
    const task = run()
      .catch((cause) => {
        log.event('unexpectedError', { step: name, reason: describeError(cause) })
      })
      .finally(() => runningTasks.delete(name))
    runningTasks.set(name, task)
  }

  async function run(): Promise<void> {
    while (!stopping.signal.aborted) {
      const fence = lease.fence()
      const startedAt = monotonicMs()
      try {
        if (fence !== undefined) await round(fence)
      } catch (cause) {
        log.event('unexpectedError', {
          step: 'keeper.round',
          reason: describeError(cause),
        })
      }
      if (fence !== undefined) {
        metrics.keeperRound.observe((monotonicMs() - startedAt) / 1000)
      }
      await sleep(jittered(opts.cycleMs), stopping.signal)
    }
  }

  const roundLoop = run()
  return {
    holdsLease: () => lease.fence() !== undefined,
    async stop() {
      stopping.abort()
      await roundLoop
      await Promise.all(runningTasks.values())
      await lease.stop()
    },
  }
}
