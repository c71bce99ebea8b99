/**
 * Owner of the fleet of VMs: moves VMs between pools as the services' reports ask for,
 * and carries out maintenance waves. It alone gives orders to the cloud.
 */
import type { ConfigurationHolder } from '../directory/index.js'
import type { Documents, RowStore, Vm, VmCloud, VmOrderAnswer } from '../ports/index.js'
import { NODE_LEASE_MS } from '../ownership/index.js'
import type { Authority, Owner } from '../ownership/index.js'
import {
  createStopController,
  describeError,
  monotonicMs,
  sleep,
} from '../shared/index.js'
import type { Logger } from '../shared/index.js'
import {
  LIST_BUSY_MS,
  LIST_MS,
  ORDERS_PER_ROUND,
  PEAK_HOLD_MS,
  REPORT_STALE_MS,
  ROUND_MS,
  EMPTY_AND_MAINTAIN_MS,
  WAVE_PATIENCE,
  WAVE_TARGET,
} from './constants.js'
import { createPeakHold } from './peakHold.js'
import { planPools } from './poolPlanner.js'
import type { FleetAnswer, ServiceReport, TargetLoad } from './types.js'
import { createWaveBook } from './waves.js'
import type { WaveProgress } from './waves.js'

export interface FleetOwner extends Owner {
  /** Takes a service's report; the answer says which targets to empty. */
  report(report: ServiceReport): FleetAnswer
}

export interface FleetOwnerOptions {
  store: RowStore
  cloud: VmCloud
  configuration: ConfigurationHolder
  documents: Documents
  authority: Authority
  /** Names this node to the cloud. */
  holder: string
  /** Time that a VM is away for a move or for maintenance, in ms. */
  moveMs: number
  maintenanceMs: number
  log: Logger
}

/** An order that the list does not show yet. */
interface PendingOrder {
  kind: 'move' | 'maintain'
  pool: string
  /** Life that the order ends. */
  targetId: string
  /** Steady time of the order, and after which it is not waited for, in ms. */
  at: number
  until: number
}

/** Time after an order within which the list must show it, in ms. */
const ORDER_SETTLE_MS = 1500
/** Time for which owners are told of a life that has ended, in ms: many reports. */
const TELL_ENDED_MS = 5000

export function createFleetOwner(opts: FleetOwnerOptions): FleetOwner {
  const { cloud, authority, configuration, log } = opts
  const stopping = createStopController()
  const reports = new Map<string, { report: ServiceReport; at: number }>()
  const pendingOrders = new Map<string, PendingOrder>()
  const peaks = createPeakHold(PEAK_HOLD_MS)
  /** VM and pool that the cloud has refused to bring together. */
  const misfits = new Set<string>()
  /** VMs being emptied, with the reason. */
  const emptying = new Set<string>()
  const hurried = new Set<string>()
  /** Lives that our orders have ended, with the time of the order. */
  const endedLives = new Map<string, number>()
  /** Idle VMs that will move once their service starts nothing new there. */
  let reserved = new Set<string>()
  let vms = new Map<string, Vm>()
  let listedAt = -Infinity
  const waves = createWaveBook({ ...opts, status: opts.documents.waveStatus })
  const by = { holder: opts.holder, token: authority.term }

  const freshReports = (): Map<string, ServiceReport> => {
    const fresh = new Map<string, ServiceReport>()
    for (const [service, { report, at }] of reports) {
      if (monotonicMs() - at < REPORT_STALE_MS) fresh.set(service, report)
    }
    return fresh
  }

  const sparePool = (): string | undefined => {
    const services = configuration.current()?.services.values() ?? []
    return [...services].find(({ spare }) => spare)?.name
  }

  const loadsById = (): Map<string, TargetLoad> =>
    new Map(
      [...freshReports().values()]
        .flatMap(({ targets }) => targets)
        .map((load) => [load.id, load]),
    )

  async function readList(): Promise<void> {
    const away = [...vms.values()].some(({ state }) => state !== 'up')
    const every = away || pendingOrders.size > 0 ? LIST_BUSY_MS : LIST_MS
    if (monotonicMs() - listedAt < every) return
    const sentAt = monotonicMs()
    const res = await cloud.list()
    if (res.isErr()) return log.event('vmsNotRead', { reason: describeError(res.error) })
    listedAt = sentAt
    vms = new Map(res.value.map((vm) => [vm.name, vm]))
    for (const [name, order] of pendingOrders) {
      // A reading from before the order says nothing about it.
      if (sentAt >= order.at) settleOrder(name, order, sentAt)
    }
  }

  /**
   * Compares an order with a later reading of the list. Only that shows that a life is
   * over: an order that was done already is accepted as well, and ends nothing.
   */
  function settleOrder(name: string, order: PendingOrder, readAt: number): void {
    const vm = vms.get(name)
    const ended = !vm || vm.state !== 'up' || vm.targetId !== order.targetId
    if (ended && order.targetId !== '') endedLives.set(order.targetId, monotonicMs())
    if (ended || readAt > order.until) pendingOrders.delete(name)
  }

  /** Gives an order, if this node is still the one to give it. */
  async function give(
    vm: Vm,
    order: Pick<PendingOrder, 'kind' | 'pool'>,
    send: () => ReturnType<VmCloud['move']>,
  ): Promise<VmOrderAnswer | undefined> {
    if (!authority.isConfirmed()) return undefined
    const at = monotonicMs()
    const { targetId } = vm
    pendingOrders.set(vm.name, { ...order, targetId, at, until: at + ORDER_SETTLE_MS })
    const res = await send()
    const answer = res.isOk() ? res.value : undefined
    const reason = res.isErr() ? describeError(res.error) : ''
    log.event('vmOrdered', { vm: vm.name, from: vm.pool, ...order, answer, reason })
    if (answer === 'fenced') authority.lost('the cloud has seen a newer owner')
    // An unanswered order stays pending: it may have been carried out.
    if (answer !== undefined && answer !== 'accepted') pendingOrders.delete(vm.name)
    return answer
  }

  async function maintain(progress: WaveProgress, vm: Vm): Promise<void> {
    const { id } = progress.wave
    const answer = await give(vm, { kind: 'maintain', pool: vm.pool }, () =>
      cloud.maintain(vm.name, id, by),
    )
    if (answer === 'accepted' || answer === 'notDue') waves.markBegun(progress, vm.name)
    if (answer === 'accepted') emptying.delete(vm.name)
  }

  /** VMs of a wave that are away, or may be by an order of ours. */
  const downOf = (progress: WaveProgress): number =>
    progress.wave.vms.filter((name) => {
      const away = vms.get(name)?.state === 'maintenance'
      return away || pendingOrders.get(name)?.kind === 'maintain'
    }).length

  /** Whether nothing runs on the VM and its service starts nothing there any more. */
  function isEmpty(vm: Vm, loads: Map<string, TargetLoad>): boolean {
    if (vm.pool === sparePool()) return true
    const load = loads.get(vm.targetId)
    return load !== undefined && load.evacuating && load.runs === 0
  }

  async function advanceWave(progress: WaveProgress): Promise<void> {
    const loads = loadsById()
    const { wave } = progress
    const used = (monotonicMs() - progress.seenAt) / wave.durationMs
    const runsOn = (vm: Vm) => loads.get(vm.targetId)?.runs ?? 0
    const pending = waves
      .pending(progress, vms)
      .filter((vm) => vm.state === 'up' && !pendingOrders.has(vm.name))
      .sort((a, b) => runsOn(a) - runsOn(b))
    let free = wave.maxDown - downOf(progress)
    let busy = Math.min(free, busyAtOnce(progress, pending.length))
    for (const vm of pending) {
      if (free <= 0) break
      if (isEmpty(vm, loads)) {
        free--
        await maintain(progress, vm)
      } else if (busy > 0) {
        busy--
        free--
        emptying.add(vm.name)
      } else emptying.delete(vm.name)
      if (used > WAVE_PATIENCE) hurried.add(vm.name)
    }
  }

  /** VMs in use to empty at the same time, so that the wave is over in time. */
  function busyAtOnce(progress: WaveProgress, pending: number): number {
    const passed = monotonicMs() - progress.seenAt
    const leftMs = progress.wave.durationMs * WAVE_TARGET - passed
    if (leftMs <= EMPTY_AND_MAINTAIN_MS) return pending
    return Math.ceil((pending * EMPTY_AND_MAINTAIN_MS) / leftMs)
  }

  async function advanceWaves(): Promise<void> {
    await waves.update(configuration.waves())
    for (const progress of waves.active()) await advanceWave(progress)
    for (const name of [...emptying]) {
      const wanted = waves.active().some(({ wave, begun }) => {
        return wave.vms.includes(name) && !begun.has(name)
      })
      if (!wanted) emptying.delete(name)
    }
    await waves.save(vms)
  }

  async function balancePools(): Promise<void> {
    const spare = sparePool()
    const movingTo = new Map<string, string>()
    for (const [name, order] of pendingOrders) {
      if (order.kind === 'move') movingTo.set(name, order.pool)
    }
    const { moves } = planPools({
      vms: [...vms.values()],
      reports: freshReports(),
      sparePool: spare,
      movingTo,
      emptying,
      ordered: new Set(pendingOrders.keys()),
      fitsPool: (vm, pool) => !misfits.has(`${vm.name} ${pool}`),
      keptBy: (service, needed) => peaks.note(service, needed, monotonicMs()),
    })
    const loads = loadsById()
    const possible = moves.filter(({ vm }) => isEmpty(vm, loads))
    reserved = new Set(moves.map(({ vm }) => vm.name))
    const results = possible.slice(0, ORDERS_PER_ROUND).map(async ({ vm, pool }) => {
      const answer = await give(vm, { kind: 'move', pool }, () =>
        cloud.move(vm.name, pool, by),
      )
      if (answer === 'unknownVm') misfits.add(`${vm.name} ${pool}`)
    })
    await Promise.all(results)
  }

  async function run(): Promise<void> {
    if (authority.predecessorMayLive) await sleep(NODE_LEASE_MS, stopping.signal)
    while (!stopping.signal.aborted) {
      if (authority.isConfirmed()) {
        await readList()
        await advanceWaves()
        if (vms.size > 0) await balancePools()
      }
      await sleep(ROUND_MS, stopping.signal)
    }
  }
  const task = run()

  return {
    report(report) {
      const known = reports.get(report.service)
      // A deposed owner may go on reporting for a while.
      const stale = known !== undefined && known.report.term > report.term
      if (stale) return { evacuate: [], hurry: [], ended: [] }
      reports.set(report.service, { report, at: monotonicMs() })
      const targetsOf = (names: Iterable<string>): string[] =>
        [...names].flatMap((name) => vms.get(name)?.targetId || [])
      const ordered = [...pendingOrders.keys()]
      for (const [id, at] of endedLives) {
        if (monotonicMs() - at > TELL_ENDED_MS) endedLives.delete(id)
      }
      return {
        evacuate: targetsOf([...emptying, ...reserved, ...ordered]),
        hurry: targetsOf([...hurried].filter((name) => emptying.has(name))),
        ended: [...endedLives.keys()],
      }
    },
    async stop() {
      stopping.abort()
      await task
    },
  }
}
