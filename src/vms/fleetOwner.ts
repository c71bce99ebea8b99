/**
 * Owner of the fleet of VMs: moves VMs between pools as the services' reports ask for,
 * and carries out maintenance waves. It alone gives orders to the cloud.
 */
import type { ConfigurationHolder } from '../directory/index.js'
import { ORDER_IN_FLIGHT_MS } from '../ports/index.js'
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
import { createOrderRateLimiter } from './orderRateLimiter.js'
import { createPeakHold } from './peakHold.js'
import { cpuPerVmOf, neededVms, planPools } from './poolPlanner.js'
import type { PlannedMove } from './poolPlanner.js'
import { createLatestReports } from './latestReports.js'
import type { FleetAnswer, ServiceReport } from './types.js'
import { createVmOrders } from './vmOrders.js'
import { createWaveTracker } from './waves.js'
import { advanceWaves } from './waveSteps.js'
import type { FleetView, VmSupply } from './waveSteps.js'

/** The owner of the fleet, while it runs. */
export interface FleetOwner extends Owner {
  /**
   * Takes a service's report; the answer says which targets to empty, and thereby opens
   * all others. Undefined for a report that is not the newest.
   */
  report(report: ServiceReport): FleetAnswer | undefined
}

/** What the owner of the fleet works with. */
export interface FleetOwnerOptions {
  store: RowStore
  cloud: VmCloud
  configuration: ConfigurationHolder
  documents: Documents
  authority: Authority
  /** Names this node to the cloud. */
  holder: string
  /** Orders that the cloud takes in a second, from all nodes together. */
  ordersPerSecond: number
  log: Logger
}

/** Starts the owner; it gives orders as long as its authority allows. */
export function createFleetOwner(opts: FleetOwnerOptions): FleetOwner {
  const { cloud, authority, configuration, log } = opts
  const stopping = createStopController()
  const reports = createLatestReports()
  const orders = createVmOrders(opts)
  const waves = createWaveTracker({ ...opts, status: opts.documents.waveStatus })
  const peaks = createPeakHold(PEAK_HOLD_MS)
  const rateLimiter = createOrderRateLimiter(
    Math.floor(opts.ordersPerSecond * MOVES_SHARE),
  )
  /** VM and pool that the cloud has refused to bring together. */
  const incompatible = new Set<string>()
  /** VMs that the cloud called busy, with the steady time up to which they are left. */
  const busyUntil = new Map<string, number>()
  /** VMs being emptied for a wave. */
  const emptying = new Set<string>()
  /** VMs whose tasks do not hold up their wave any more. */
  const hurried = new Set<string>()
  /** VMs that will move once they are empty and their service starts nothing new there. */
  let reserved = new Set<string>()
  let vms = new Map<string, Vm>()
  let listedAt = -Infinity
  /** Steady time of the first decision, in ms. */
  let firstDecisionAt = Infinity
  /** Whether a report has come since the last round. */
  let hasNewReport = false
  let cancelWait = (): void => undefined

  const sparePool = (): string | undefined => {
    const services = configuration.current()?.services.values() ?? []
    return [...services].find(({ spare }) => spare)?.name
  }

  function supplyOf({ pool }: Vm): VmSupply | undefined {
    const report = reports.fresh().get(pool)
    if (!report) return undefined
    const all = [...vms.values()]
    const usable = all.filter(
      (vm) =>
        vm.pool === pool &&
        vm.state === 'up' &&
        !emptying.has(vm.name) &&
        !orders.pending.has(vm.name),
    )
    const needed = neededVms(report, report.timelyCpu, cpuPerVmOf(all))
    return { usable: usable.length, needed }
  }

  /** The VMs, with the loads that the services have reported. */
  const getView = (): FleetView => {
    const loads = reports.loads()
    const recent = reports.loads(EMPTY_REPORT_MAX_AGE_MS)
    return {
      vms,
      runsOn: (vm) => loads.get(vm.targetId)?.runs ?? 0,
      isEmpty(vm) {
        if (vm.pool === sparePool()) return true
        const load = recent.get(vm.targetId)
        return load !== undefined && load.evacuating && load.runs === 0
      },
      supplyOf,
    }
  }

  async function readList(): Promise<void> {
    const away = [...vms.values()].some(({ state }) => state !== 'up')
    const intervalMs =
      away || orders.pending.size > 0 ? LIST_BUSY_INTERVAL_MS : LIST_INTERVAL_MS
    if (monotonicMs() - listedAt < intervalMs) return
    const sentAt = monotonicMs()
    const res = await cloud.list()
    if (res.isErr()) return log.event('vmsNotRead', { reason: describeError(res.error) })
    listedAt = sentAt
    vms = new Map(res.value.map((vm) => [vm.name, vm]))
    orders.applyList(vms, sentAt)
  }

  async function moveOne({ vm, pool }: PlannedMove): Promise<void> {
    const answer = await orders.move(vm, pool)
    if (answer === 'unknownVm') incompatible.add(`${vm.name} ${pool}`)
    // Asked again in each round, one such VM used up 45 orders in 2 s.
    if (answer === 'busy') busyUntil.set(vm.name, monotonicMs() + BUSY_BACKOFF_MS)
  }

  function busyVms(): string[] {
    for (const [name, until] of busyUntil) {
      if (until <= monotonicMs()) busyUntil.delete(name)
    }
    return [...busyUntil.keys()]
  }

  /** VMs that a service keeps: those of its last peak, and all until peaks can be known. */
  function vmsToKeep(service: string, needed: number): number {
    const peak = peaks.note(service, needed, monotonicMs())
    // A new owner that parked at once had nine VMs away for 3 s that the next queue needed.
    return monotonicMs() - firstDecisionAt < PEAK_HOLD_MS ? Infinity : peak
  }

  async function balancePools(): Promise<void> {
    const moves = planPools({
      vms: [...vms.values()],
      reports: reports.fresh(),
      sparePool: sparePool(),
      movingTo: orders.movingTo(),
      emptying,
      ordered: new Set([...orders.pending.keys(), ...busyVms()]),
      fitsPool: (vm, pool) => !incompatible.has(`${vm.name} ${pool}`),
      vmsToKeep,
    })
    reserved = new Set(moves.map(({ vm }) => vm.name))
    const { isEmpty } = getView()
    const possible = moves.filter(({ vm }) => isEmpty(vm))
    const allowed = rateLimiter.take(possible.length, monotonicMs())
    await Promise.all(possible.slice(0, allowed).map(moveOne))
  }

  /** Resolves once a report has come since the last round, or after the usual time. */
  async function waitForNextRound(): Promise<void> {
    if (hasNewReport) return
    const waiting = createStopController()
    cancelWait = () => waiting.abort()
    if (stopping.signal.aborted) cancelWait()
    await sleep(ROUND_INTERVAL_MS - MIN_ROUND_INTERVAL_MS, waiting.signal)
  }

  async function run(): Promise<void> {
    // The former owner's last order may still be under way, and must not come after ours.
    const ordersOverAt = authority.predecessorLeaseOverAt + ORDER_IN_FLIGHT_MS
    await sleep(Math.max(0, ordersOverAt - monotonicMs()), stopping.signal)
    firstDecisionAt = monotonicMs()
    const steps = { waves, orders, emptying, hurried, getView }
    while (!stopping.signal.aborted) {
      hasNewReport = false
      if (authority.isConfirmed()) {
        await readList()
        await advanceWaves(steps, configuration.waves())
        if (vms.size > 0) await balancePools()
      }
      await sleep(MIN_ROUND_INTERVAL_MS, stopping.signal)
      await waitForNextRound()
    }
  }
  const task = run()

  const targetsOf = (names: Iterable<string>): string[] =>
    [...names].flatMap((name) => vms.get(name)?.targetId || [])

  /**
   * VMs that are kept closed for an order. Those of a plan are opened while no order can be
   * given: a service whose only target was one of them ran nothing for 6.2 s of an outage.
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
 * The report as it is once its owner has the answer, which opens what it does not name:
 * the owner may start tasks there at once.
 */
function applyAnswer(report: ServiceReport, closed: string[]): ServiceReport {
  const targets = report.targets.map((load) => ({
    ...load,
    evacuating: load.evacuating && closed.includes(load.id),
  }))
  return { ...report, targets }
}
