/**
 * Owner of the fleet of VMs: moves VMs between pools according to the reports of the services, and
 * carries out maintenance waves. No other component sends orders to the cloud.
 */
import { ownedServices } from '../directory/index.js'
import type { ConfigurationHolder } from '../directory/index.js'
import { VM_ORDER_TIMEOUT_MS } from '../ports/index.js'
import type { Documents, RowStore, Vm, VmCloud } from '../ports/index.js'
import type { Authority, Owner } from '../ownership/index.js'
import {
  createStopController,
  describeError,
  monotonicMs,
  sleep,
} from '../shared/index.js'
import type { Logger } from '../shared/index.js'
import {
  BUSY_BACKOFF_MS,
  EMPTY_REPORT_MAX_AGE_MS,
  LIST_BUSY_INTERVAL_MS,
  LIST_INTERVAL_MS,
  MIN_ROUND_INTERVAL_MS,
  MOVES_SHARE,
  PEAK_HOLD_MS,
  ROUND_INTERVAL_MS,
} from './constants.js'
import { attainableCpuOf, countAttainable } from './attainable.js'
import type { AttainableVms } from './attainable.js'
import { createOrderRateLimiter } from './orderRateLimiter.js'
import { createPeakHold } from './peakHold.js'
import { cpuPerVmOf, neededVms, planPools } from './poolPlanner.js'
import type { PlannedMove } from './poolPlanner.js'
import { createQuotaLedger, maximumOf } from '../quotas/index.js'
import { createShareLedger } from '../shares/index.js'
import { createLatestReports } from './latestReports.js'
import { createShortageLog } from './shortageLog.js'
import type { FleetAnswer, ServiceReport } from './types.js'
import { createVmInventoryReader } from './vmInventory.js'
import type { VmInventory } from './vmInventory.js'
import { createVmOrders } from './vmOrders.js'
import { createWaveTracker } from './waves.js'
import { advanceWaves } from './waveSteps.js'
import type { FleetView, VmSupply } from './waveSteps.js'

/** The running owner of the fleet. */
export interface FleetOwner extends Owner {
  /**
   * Accepts a service's report. The answer names the targets to empty; all others are open for new
   * tasks. Returns undefined for a report that is not the newest.
   */
  report(report: ServiceReport): FleetAnswer | undefined
}

/** Options of `createFleetOwner`. */
export interface FleetOwnerOptions {
  store: RowStore
  cloud: VmCloud
  configuration: ConfigurationHolder
  documents: Documents
  authority: Authority
  /** Name of this node in orders to the cloud. */
  holder: string
  /** Orders per second that the cloud accepts, from all nodes together. */
  ordersPerSecond: number
  log: Logger
}

/** Starts the owner; it sends orders only while its authority is confirmed. */
export function createFleetOwner(opts: FleetOwnerOptions): FleetOwner {
  const { cloud, authority, configuration, log } = opts
  const stopping = createStopController()
  const reports = createLatestReports()
  const orders = createVmOrders(opts)
  const waves = createWaveTracker({ ...opts, status: opts.documents.waveStatus })
  const peaks = createPeakHold(PEAK_HOLD_MS)
  const quotas = createQuotaLedger({
    services: () => ownedServices(configuration.current()),
    maximumOf: (organisation) => maximumOf(configuration.current(), organisation),
    mayGrant: authority.isConfirmed,
  })
  const shares = createShareLedger(authority.term)
  const rateLimiter = createOrderRateLimiter(
    Math.floor(opts.ordersPerSecond * MOVES_SHARE),
  )
  const logShortages = createShortageLog(log)
  /** VMs by pool for which the cloud has refused a move. */
  const incompatible = new Map<string, Set<string>>()
  /** VMs that the cloud reported as busy, with the monotonic time until which they get no order. */
  const busyUntil = new Map<string, number>()
  /** VMs being emptied for a wave. */
  const emptying = new Set<string>()
  /** VMs whose running tasks no longer delay their wave. */
  const hurried = new Set<string>()
  /** VMs that move once they are empty and their service starts no new tasks there. */
  let reserved = new Set<string>()
  const inventories = createVmInventoryReader()
  /** Monotonic time of the first decision on the pools, in ms; Infinity before. */
  let firstDecisionAt = Infinity
  /** Whether a report has arrived since the last round started. */
  let hasNewReport = false
  let cancelWait = (): void => undefined

  const sparePool = (): string | undefined => {
    const services = configuration.current()?.services.values() ?? []
    return [...services].find(({ spare }) => spare)?.name
  }

  const isCordoned = ({ hall }: Vm): boolean => configuration.cordons().has(hall)
  const fitsPool = (vm: Vm, pool: string): boolean =>
    !incompatible.get(pool)?.has(vm.name)

  function supplyOf({ vms }: VmInventory, { pool }: Vm): VmSupply | undefined {
    const report = reports.fresh().get(pool)
    if (!report || report.mayLackJobs) return undefined
    const all = [...vms.values()]
    const usable = all.filter(
      (vm) =>
        vm.pool === pool &&
        vm.state === 'up' &&
        !emptying.has(vm.name) &&
        !orders.pending.has(vm.name) &&
        !isCordoned(vm),
    )
    const needed = neededVms(report, report.timelyCpu, cpuPerVmOf(all))
    return { usable: usable.length, needed }
  }

  /** Returns the VMs with the loads that the services have reported. */
  const getView = (inventory: VmInventory): FleetView => {
    const loads = reports.loads()
    const recent = reports.loads(EMPTY_REPORT_MAX_AGE_MS)
    return {
      runsOn: (vm) => loads.get(vm.targetId)?.runs ?? 0,
      isEmpty(vm) {
        if (vm.pool === sparePool()) return true
        const load = recent.get(vm.targetId)
        return load !== undefined && load.evacuating && load.runs === 0
      },
      isCordoned,
      supplyOf: (vm) => supplyOf(inventory, vm),
    }
  }

  /** Returns the newest inventory after a read of the list if one is due. */
  async function readInventory(): Promise<VmInventory | undefined> {
    const known = inventories.newest()
    if (known && monotonicMs() - known.requestedAt < listIntervalMs(known)) return known
    const sentAt = monotonicMs()
    const res = await cloud.list()
    if (res.isErr()) {
      const listAgeMs = known && Math.round(monotonicMs() - known.requestedAt)
      log.event('vmsNotRead', { reason: describeError(res.error), listAgeMs })
      return known
    }
    const inventory = inventories.adopt(res.value, sentAt)
    orders.applyList(inventory)
    return inventory
  }

  function listIntervalMs({ vms }: VmInventory): number {
    const away = [...vms.values()].some(({ state }) => state !== 'up')
    return away || orders.pending.size > 0 ? LIST_BUSY_INTERVAL_MS : LIST_INTERVAL_MS
  }

  function noteIncompatible(vm: string, pool: string): void {
    const known = incompatible.get(pool)
    if (known) known.add(vm)
    else incompatible.set(pool, new Set([vm]))
  }

  async function moveOne({ vm, pool }: PlannedMove): Promise<void> {
    const answer = await orders.move(vm, pool)
    if (answer === 'unknownVm') noteIncompatible(vm.name, pool)
    // Without a pause, one busy VM uses up 45 orders in 2 s.
    if (answer === 'busy') busyUntil.set(vm.name, monotonicMs() + BUSY_BACKOFF_MS)
  }

  function busyVms(): string[] {
    for (const [name, until] of busyUntil) {
      if (until <= monotonicMs()) busyUntil.delete(name)
    }
    return [...busyUntil.keys()]
  }

  /** VMs that a service keeps: as many as at its last peak, or all until peaks are known. */
  function vmsToKeep(service: string, needed: number): number {
    const peak = peaks.note(service, needed, monotonicMs())
    // A new owner that parked surplus VMs at once would also park VMs that the next queue needs: in
    // one case nine VMs were away for 3 s.
    return monotonicMs() - firstDecisionAt < PEAK_HOLD_MS ? Infinity : peak
  }

  async function balancePools(inventory: VmInventory): Promise<void> {
    const now = monotonicMs()
    firstDecisionAt = Math.min(firstDecisionAt, now)
    const input = {
      vms: [...inventory.vms.values()],
      reports: reports.fresh(),
      movingTo: orders.movingTo(),
      sparePool: sparePool(),
      cordons: configuration.cordons(),
    }
    const moves = planPools({
      ...input,
      emptying,
      ordered: new Set([...orders.pending.keys(), ...busyVms()]),
      fitsPool,
      vmsToKeep,
    })
    reserved = new Set(moves.map(({ vm }) => vm.name))
    const { isEmpty } = getView(inventory)
    const possible = moves.filter(({ vm }) => isEmpty(vm))
    const ordered = possible.slice(0, rateLimiter.take(possible.length, now))
    logShortages({ ...input, now, planned: moves, possible, ordered })
    await Promise.all(ordered.map(moveOne))
  }

  /** Resolves once a report has arrived since the last round, or after the usual interval. */
  async function waitForNextRound(): Promise<void> {
    if (hasNewReport) return
    const waiting = createStopController()
    cancelWait = () => waiting.abort()
    if (stopping.signal.aborted) cancelWait()
    await sleep(ROUND_INTERVAL_MS - MIN_ROUND_INTERVAL_MS, waiting.signal)
  }

  async function run(): Promise<void> {
    // The previous owner's last order may still be in flight and must not arrive after ours.
    const ordersOverAt = authority.predecessorLeaseOverAt + VM_ORDER_TIMEOUT_MS
    await sleep(Math.max(0, ordersOverAt - monotonicMs()), stopping.signal)
    quotas.open()
    const steps = { waves, orders, emptying, hurried, getView }
    while (!stopping.signal.aborted) {
      hasNewReport = false
      if (authority.isConfirmed()) {
        const [inventory] = await Promise.all([
          readInventory(),
          waves.update(configuration.waves()),
        ])
        if (inventory) {
          await advanceWaves(steps, inventory)
          await balancePools(inventory)
        }
      }
      await sleep(MIN_ROUND_INTERVAL_MS, stopping.signal)
      await waitForNextRound()
    }
  }
  const task = run()

  /** The last count; a round may wait for orders, so that its age decides. */
  let counted: { at: number; vms: AttainableVms } | undefined

  /** Room that the service can get; undefined without an inventory. */
  function attainableCpu(service: string): number | undefined {
    const inventory = inventories.newest()
    if (!inventory) return undefined
    const now = monotonicMs()
    if (!counted || now - counted.at >= MIN_ROUND_INTERVAL_MS) {
      const usable = [...inventory.vms.values()].filter((vm) => !isCordoned(vm))
      const movingTo = orders.movingTo()
      counted = { at: now, vms: countAttainable({ vms: usable, movingTo }) }
    }
    return attainableCpuOf(service, {
      vms: counted.vms,
      reports: reports.fresh(),
      sparePool: sparePool(),
      unfitVms: incompatible.get(service) ?? [],
    })
  }

  /** Targets on the VMs; none without an inventory, as no order can follow then. */
  function targetsOf(names: Iterable<string>): string[] {
    const vms = inventories.newest()?.vms
    return [...names].flatMap((name) => vms?.get(name)?.targetId || [])
  }

  /**
   * VMs that are kept closed for an order. VMs that are only planned to move are open while no order
   * can be sent: otherwise a service whose only target is one of them runs nothing during an outage,
   * for 6.2 s in one case.
   */
  function closedVms(): Iterable<string> {
    const ordered = orders.pending.keys()
    return authority.isConfirmed() ? [...emptying, ...reserved, ...ordered] : ordered
  }

  return {
    report(report) {
      const evacuate = targetsOf(closedVms())
      if (!reports.accept(applyAnswer(report, evacuate))) return undefined
      hasNewReport = true
      cancelWait()
      return {
        evacuate,
        hurry: targetsOf([...hurried].filter((name) => emptying.has(name))),
        ended: orders.endedLives(),
        quotas: quotas.answer(report.service, report.quotas ?? {}),
        ...(report.shares && {
          shares: shares.answer(report.service, report.term, report.shares),
        }),
        ...(report.asksAttainable && { attainableCpu: attainableCpu(report.service) }),
      }
    },
    async stop() {
      stopping.abort()
      cancelWait()
      await task
    },
  }
}

/**
 * Returns the report as it holds once its owner has received the answer. The answer opens every
 * target that it does not name, and the owner may start tasks there at once.
 */
function applyAnswer(report: ServiceReport, closed: string[]): ServiceReport {
  const targets = report.targets.map((load) => ({
    ...load,
    evacuating: load.evacuating && closed.includes(load.id),
  }))
  return { ...report, targets }
}
