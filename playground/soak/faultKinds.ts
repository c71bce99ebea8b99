/** Kinds of faults: the group they affect, their usual duration and their effect. */
import { sleep } from '../../src/shared/index.js'
import { HEALTHY_CLOUD } from '../sim/cloudHandlers.js'
import type { CloudFaults } from '../sim/cloudHandlers.js'
import type { StoreFaults } from '../sim/rowTable.js'
import type { SimVm } from '../sim/simFleet.js'
import type { TargetFaults } from '../sim/simTarget.js'
import type { SimPlatform } from '../sim/wireServer.js'
import type { Cordons } from './cordons.js'
import type { FaultLink } from './faultLink.js'
import { foreignEntry } from './foreignEntry.js'
import type { SoakNode } from './nodes.js'
import { RESTART_KINDS } from './restartKinds.js'
import type { SoakRoutes } from './routes.js'
import type { SoakOrganisations } from './organisations.js'
import type { Fault } from './plan.js'
import type { WatchedTarget } from './stallDetector.js'

/** A target with the proxy in front of it. */
export interface SoakTarget extends WatchedTarget {
  link: FaultLink
}

/** Objects that faults act on. */
export interface FaultContext {
  platform: SimPlatform
  nodes: SoakNode[]
  targets: SoakTarget[]
  /** Pools of the queues. */
  pools: string[]
  /** Ids of draining targets with the monotonic time at which the list said so, in ms. */
  draining: Map<string, number>
  /** Address in entries of another writer; no order may arrive there. */
  foreignAddress: string
  changeConfiguration(fault: Fault): void
  organisations: SoakOrganisations
  routes: SoakRoutes
  orderWave(fault: Fault): void
  cordons: Cordons
  /** Halls of nodes and targets. */
  halls: readonly string[]
}

/**
 * What a fault affects; `planned`: actions of operators and other programs; `wave`: waves of
 * maintenance; `restart`: restarts of targets under the same id; `organisation`: changes of keys and
 * maxima; `cordon`: cordons of data halls; `route`: changes of routes that clients use; `cloud`: the
 * list of VMs and orders for them; `rapidRestart`, `restartBesideFault`: several restarts of targets
 * under the same id, alone or on late links, and beside a fault of a node or its link to the store.
 */
export type FaultGroup =
  | 'node'
  | 'store'
  | 'target'
  | 'pool'
  | 'planned'
  | 'wave'
  | 'restart'
  | 'organisation'
  | 'cordon'
  | 'route'
  | 'cloud'
  | 'rapidRestart'
  | 'restartBesideFault'
/** Function that ends a fault. */
type Undo = () => unknown

/** One kind of fault. */
export interface FaultKind {
  group: FaultGroup
  /** Usual duration, in ms. */
  usualMs: number
  begin(ctx: FaultContext, fault: Fault): Undo | void
}

/** Time from the `draining` entry in the list to the end of the target, in ms. */
const DRAIN_MS = 2500
/** Time for which the targets left in a pool fail or hang, in ms. */
const DEGRADED_MS = 2000
const SHRINK_MS = 15_000

const pick = <T>(items: readonly T[], { which }: Fault): T => items[which % items.length]!

const onNode = (usualMs: number, act: (node: SoakNode) => Undo | void): FaultKind => ({
  group: 'node',
  usualMs,
  begin: ({ nodes }, fault) => act(pick(nodes, fault)),
})

/** Faults of the store that kinds switch on, and their values in a healthy store. */
type StoreSwitches = Pick<StoreFaults, 'delayMs' | 'down' | 'broken' | 'lostShare'>
const HEALTHY_STORE: StoreSwitches = {
  delayMs: 0,
  down: false,
  broken: false,
  lostShare: 0,
}

/** Sets faults; the function that it returns puts back the healthy values of these alone. */
function switchOn<T extends object>(
  current: T,
  faults: Partial<T>,
  healthy: Partial<T>,
): Undo {
  Object.assign(current, faults)
  const switched = Object.entries(healthy).filter(([key]) => key in faults)
  return () => Object.assign(current, Object.fromEntries(switched))
}

const onStore = (
  usualMs: number,
  faultsOf: (level: number) => Partial<StoreFaults>,
): FaultKind => ({
  group: 'store',
  usualMs,
  begin({ platform: { table } }, { level }) {
    return switchOn(table.faults, faultsOf(level), HEALTHY_STORE)
  },
})

type LinkFault = (link: FaultLink, level: number) => Undo | void

const onStoreLink = (usualMs: number, act: LinkFault): FaultKind => ({
  group: 'store',
  usualMs,
  begin: ({ nodes }, fault) => act(pick(nodes, fault).storeLink, fault.level),
})

const onTargetLink = (usualMs: number, act: LinkFault): FaultKind => ({
  group: 'target',
  usualMs,
  begin: ({ targets }, fault) => act(pick(targets, fault).link, fault.level),
})

const onTarget = (
  usualMs: number,
  act: (vm: SimVm, ctx: FaultContext, fault: Fault) => Undo | void,
): FaultKind => ({
  group: 'target',
  usualMs,
  begin: (ctx, fault) => act(pick(ctx.targets, fault).vm, ctx, fault),
})

const onPool = (
  usualMs: number,
  act: (vms: SimVm[], ctx: FaultContext, fault: Fault) => Undo | void,
): FaultKind => ({
  group: 'pool',
  usualMs,
  begin(ctx, fault) {
    const pool = pick(ctx.pools, fault)
    const vms = ctx.targets.map(({ vm }) => vm)
    return act(
      vms.filter((vm) => vm.pool === pool && vm.state === 'up'),
      ctx,
      fault,
    )
  },
})

const onCloud = (
  usualMs: number,
  faultsOf: (fault: Fault) => Partial<CloudFaults>,
): FaultKind => ({
  group: 'cloud',
  usualMs,
  begin({ platform: { cloudFaults } }, fault) {
    return switchOn(cloudFaults, faultsOf(fault), HEALTHY_CLOUD)
  },
})

const plannedFault = (usualMs: number, begin: FaultKind['begin']): FaultKind => ({
  group: 'planned',
  usualMs,
  begin,
})

const onOrganisation = (act: (ctx: FaultContext, fault: Fault) => void): FaultKind => ({
  group: 'organisation',
  usualMs: 100,
  begin(ctx, fault) {
    act(ctx, fault)
    ctx.changeConfiguration(fault)
  },
})

/** A change of the routes; `act` may return another change, with which the fault ends. */
const onRoutes = (
  usualMs: number,
  act: (routes: SoakRoutes, which: number) => (() => void) | void,
): FaultKind => ({
  group: 'route',
  usualMs,
  begin(ctx, fault) {
    const undo = act(ctx.routes, fault.which)
    ctx.changeConfiguration(fault)
    if (!undo) return
    return () => {
      undo()
      ctx.changeConfiguration(fault)
    }
  },
})

const restartNode = (node: SoakNode): Promise<boolean> => {
  node.start()
  return node.waitUntilReady()
}

const killNode = (node: SoakNode): Undo => {
  void node.kill()
  return () => restartNode(node)
}

const delayLink: LinkFault = (link, level) => {
  link.delayMs = Math.round(20 + 400 * level)
  return () => (link.delayMs = 0)
}

const cutLink: LinkFault = (link, level) => {
  if (level < 0.67) link.cut.add('up')
  if (level > 0.33) link.cut.add('down')
  return () => link.cut.clear()
}

/** Sets faults on the current targets of `vms`. */
const degrade = (vms: SimVm[], faults: Partial<TargetFaults>): Undo => {
  const targets = vms.flatMap(({ target }) => target ?? [])
  for (const target of targets) Object.assign(target.faults, faults)
  const healthy = { failsAll: false, hangs: false, slowness: 1 }
  return () => targets.forEach((target) => Object.assign(target.faults, healthy))
}

const FAILS = { failsAll: true }
const HANGS = { hangs: true }
const slowness = ({ level }: Fault) => ({ slowness: 3 + 12 * level })

const crash = (vms: SimVm[], { platform }: FaultContext): Undo => {
  const up = vms.filter(({ state }) => state === 'up')
  up.forEach((vm) => platform.crash(vm))
  return () =>
    up.filter(({ state }) => state === 'down').forEach((vm) => platform.revive(vm))
}

/** Crashes a target and starts its next incarnation under the same id. */
function restartTarget(vm: SimVm, ctx: FaultContext): Undo | void {
  const { target } = vm
  if (!target || vm.state !== 'up') return
  ctx.platform.crash(vm)
  return () => {
    if (vm.state !== 'down') return
    ctx.draining.delete(target.id)
    ctx.platform.revive(vm, target.id)
  }
}

/** VMs that stay up when a pool shrinks. */
const survivorsOf = (vms: SimVm[], { level }: Fault): SimVm[] =>
  vms.slice(0, level < 0.6 ? 1 : 2)

const shrink = (vms: SimVm[], ctx: FaultContext, fault: Fault): Undo =>
  crash(vms.slice(survivorsOf(vms, fault).length), ctx)

/** Drains a target, ends it and starts another one on its VM. */
function drain(vm: SimVm, ctx: FaultContext): Undo | void {
  const target = vm.target
  if (!target) return
  ctx.platform.list(vm, 'draining')
  ctx.draining.set(target.id, performance.now())
  return async () => {
    await sleep(DRAIN_MS)
    if (vm.target === target) await crash([vm], ctx)()
  }
}

/** Removes a target's entry, or overwrites it with `text`, while the target keeps running. */
function unlist(vm: SimVm, { platform }: FaultContext, text?: string): Undo | void {
  const target = vm.target
  if (!target || vm.listing !== 'ready') return
  platform.list(vm, 'none')
  if (text !== undefined) {
    platform.table.put({ table: 'servers', part: '', key: target.id }, text)
  }
  return () => {
    if (vm.target === target && vm.listing === 'none') platform.list(vm, 'ready')
  }
}

/** All kinds by name. Their order determines the plan that a seed gives. */
export const FAULT_KINDS: Record<string, FaultKind> = {
  nodePause: onNode(3000, (node) => {
    node.signal('SIGSTOP')
    return () => node.signal('SIGCONT')
  }),
  nodeKill: onNode(1500, killNode),
  nodeAway: onNode(12_000, killNode),
  allNodesKill: {
    group: 'node',
    usualMs: 500,
    begin({ nodes }) {
      const undos = nodes.map(killNode)
      return () => Promise.all(undos.map((undo) => undo()))
    },
  },
  storeSlow: onStore(3000, (level) => ({ delayMs: 30 + 600 * level })),
  storeDown: onStore(2500, () => ({ down: true })),
  storeBroken: onStore(1500, () => ({ broken: true })),
  storeAnswersLost: onStore(2500, (level) => ({
    lostShare: 0.1 + 0.4 * level,
    lateMs: level > 0.5 ? 1500 : 0,
  })),
  storeForgets: {
    group: 'store',
    usualMs: 100,
    begin: ({ platform }) => platform.table.compact(),
  },
  storePartDown: {
    group: 'store',
    usualMs: 3000,
    begin({ platform: { table } }, fault) {
      const part = pick(table.parts(), fault)
      table.faults.refusedParts.add(part)
      return () => table.faults.refusedParts.delete(part)
    },
  },
  storeLinkSlow: onStoreLink(3000, delayLink),
  storeLinkReset: onStoreLink(100, (link) => link.reset()),
  storeLinkSilent: onStoreLink(100, (link) => link.silence()),
  storeLinkCut: onStoreLink(3000, cutLink),
  targetFails: onTarget(5000, (vm) => degrade([vm], FAILS)),
  targetHangs: onTarget(4000, (vm) => degrade([vm], HANGS)),
  targetSlow: onTarget(5000, (vm, _ctx, fault) => degrade([vm], slowness(fault))),
  targetCrash: onTarget(3000, (vm, ctx) => crash([vm], ctx)),
  targetDrains: onTarget(1500, drain),
  targetUnlisted: onTarget(4000, (vm, ctx) => unlist(vm, ctx)),
  targetLinkSlow: onTargetLink(3000, delayLink),
  targetLinkReset: onTargetLink(100, (link) => link.reset()),
  targetLinkSilent: onTargetLink(100, (link) => link.silence()),
  targetLinkCut: onTargetLink(2500, cutLink),
  poolFails: onPool(2500, (vms) => degrade(vms, FAILS)),
  poolHangs: onPool(2500, (vms) => degrade(vms, HANGS)),
  poolSlow: onPool(4000, (vms, _ctx, fault) => degrade(vms, slowness(fault))),
  poolShrinks: onPool(SHRINK_MS, shrink),
  poolShrinksToBad: onPool(SHRINK_MS, (vms, ctx, fault) => {
    const undo = degrade(survivorsOf(vms, fault), fault.which % 3 === 0 ? HANGS : FAILS)
    setTimeout(undo, DEGRADED_MS)
    return shrink(vms, ctx, fault)
  }),
  nodeReload: plannedFault(100, ({ nodes }, fault) =>
    pick(nodes, fault).signal('SIGHUP'),
  ),
  nodeStop: plannedFault(1000, ({ nodes }, fault) => {
    const node = pick(nodes, fault)
    const exited = node.stop(fault.level < 0.7 ? 1 : 2)
    return () => exited.then(() => restartNode(node))
  }),
  configurationChanges: plannedFault(100, (ctx, fault) => ctx.changeConfiguration(fault)),
  foreignEntry: plannedFault(4000, ({ platform, foreignAddress, pools }, fault) => {
    const key = { table: 'servers', part: '', key: `x/${fault.which}.${fault.at}` }
    platform.table.put(key, foreignEntry(fault, pick(pools, fault), foreignAddress))
    return () => platform.table.remove(key)
  }),
  entryOverwritten: plannedFault(3000, (ctx, fault) => {
    const { vm } = pick(ctx.targets, fault)
    return unlist(vm, ctx, foreignEntry(fault, vm.pool, ctx.foreignAddress))
  }),
  targetRestarts: { ...onTarget(1500, restartTarget), group: 'restart' },
  keyReplaced: onOrganisation(({ organisations }, fault) =>
    organisations.replaceKey(fault),
  ),
  maximumChanged: onOrganisation(({ organisations }, fault) =>
    organisations.changeMaximum(fault),
  ),
  waveOrdered: {
    group: 'wave',
    usualMs: 100,
    begin: (ctx, fault) => ctx.orderWave(fault),
  },
  hallCordoned: {
    group: 'cordon',
    usualMs: 7000,
    begin: ({ cordons, halls }, fault) => cordons.cordon([pick(halls, fault)]),
  },
  allHallsCordoned: {
    group: 'cordon',
    usualMs: 3000,
    begin: ({ cordons, halls }) => cordons.cordon(halls),
  },
  routeRemoved: onRoutes(3000, (routes, which) => {
    routes.remove(which)
    return () => routes.add(which)
  }),
  routeReplaced: onRoutes(100, (routes, which) => routes.rename(which)),
  routeMoved: onRoutes(100, (routes, which) => routes.move(which)),
  routesSwapped: onRoutes(100, (routes, which) => routes.swapNames(which)),
  routeReplacedElsewhere: onRoutes(400, (routes, which) => {
    routes.remove(which)
    return () => {
      routes.rename(which)
      routes.move(which)
      routes.add(which)
    }
  }),
  vmListRefused: onCloud(3000, () => ({ list: 'refused' })),
  vmListSilent: onCloud(3000, () => ({ list: 'silent' })),
  vmListSlow: onCloud(3000, ({ level }) => ({ listDelayMs: 300 + 1500 * level })),
  vmListPartial: onCloud(2500, ({ which }) => ({ list: 'partial', which })),
  vmListUnreadable: onCloud(2500, ({ which }) => ({ list: 'unreadable', which })),
  vmOrdersLate: onCloud(1500, ({ level }) => ({ orderDelayMs: 300 + 3000 * level })),
  ...RESTART_KINDS,
}
