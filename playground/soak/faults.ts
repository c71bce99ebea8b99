/** What each kind of fault does. Those that last return how they end. */
import { sleep } from '../../src/shared/index.js'
import type { TargetFaults } from '../sim/simTarget.js'
import type { SimVm } from '../sim/simFleet.js'
import type { SimPlatform } from '../sim/wireServer.js'
import type { Calm } from './calm.js'
import type { FaultLink } from './faultLink.js'
import { foreignEntry } from './foreignEntries.js'
import type { SoakNode } from './nodes.js'
import { groupOf } from './plan.js'
import type { Fault, FaultKind } from './plan.js'
import type { RunChecks } from './runChecks.js'
import type { WatchedTarget } from './stillWatch.js'

/** A target behind its link. */
export interface SoakTarget extends WatchedTarget {
  link: FaultLink
}

/** What faults act on. */
export interface FaultContext {
  platform: SimPlatform
  nodes: SoakNode[]
  targets: SoakTarget[]
  /** Pools of the queues. */
  pools: string[]
  checks: RunChecks
  /** Any disturbance of nodes and the store, and those that nobody planned. */
  calm: Calm
  unplanned: Calm
  /** Where an order to an entry of another writer would arrive. */
  trapAddress: string
  changeConfiguration(fault: Fault): void
}

type Undo = () => void | Promise<void>
type Handler = (ctx: FaultContext, fault: Fault) => Undo | void

/** Time from the word in the list to the end of a draining target, in ms. */
const DRAIN_MS = 2500
/** Time for which the targets left in a pool are bad, in ms. */
const BAD_MS = 2000

const pick = <T>(items: readonly T[], { which }: Fault): T => items[which % items.length]!

const poolOf = (ctx: FaultContext, fault: Fault): SimVm[] => {
  const pool = pick(ctx.pools, fault)
  return ctx.targets.map(({ vm }) => vm).filter((vm) => vm.pool === pool && vm.target)
}

const bad = (vms: SimVm[], faults: Partial<TargetFaults>): Undo => {
  const lives = vms.flatMap(({ target }) => target ?? [])
  for (const life of lives) Object.assign(life.faults, faults)
  return () => {
    for (const life of lives) {
      Object.assign(life.faults, { failsAll: false, hangs: false, slowBy: 1 })
    }
  }
}

const crash = ({ platform }: FaultContext, vms: SimVm[]): Undo => {
  const up = vms.filter(({ state }) => state === 'up')
  for (const vm of up) platform.crash(vm)
  return () => {
    for (const vm of up) if (vm.state === 'down') platform.revive(vm)
  }
}

function shrink(ctx: FaultContext, fault: Fault): { kept: SimVm[]; undo: Undo } {
  const vms = poolOf(ctx, fault)
  const left = fault.level < 0.6 ? 1 : 2
  return { kept: vms.slice(0, left), undo: crash(ctx, vms.slice(left)) }
}

const slowLink = (link: FaultLink, { level }: Fault): Undo => {
  link.delayMs = Math.round(20 + 400 * level)
  return () => void (link.delayMs = 0)
}

const cutLink = ({ cut }: FaultLink, { level }: Fault): Undo => {
  if (level < 0.67) cut.add('up')
  if (level > 0.33) cut.add('down')
  return () => cut.clear()
}

async function restart(node: SoakNode): Promise<void> {
  node.start()
  await node.untilReady()
}

const onTarget =
  (faults: (fault: Fault) => Partial<TargetFaults>): Handler =>
  (ctx, fault) =>
    bad([pick(ctx.targets, fault).vm], faults(fault))
const onPool =
  (faults: (fault: Fault) => Partial<TargetFaults>): Handler =>
  (ctx, fault) =>
    bad(poolOf(ctx, fault), faults(fault))

const fails = () => ({ failsAll: true })
const hangs = () => ({ hangs: true })
const isSlow = ({ level }: Fault) => ({ slowBy: 3 + 12 * level })

const HANDLERS: Record<FaultKind, Handler> = {
  nodePause(ctx, fault) {
    const node = pick(ctx.nodes, fault)
    node.signal('SIGSTOP')
    return () => node.signal('SIGCONT')
  },
  nodeKill(ctx, fault) {
    const node = pick(ctx.nodes, fault)
    void node.kill()
    return () => restart(node)
  },
  nodeLost(ctx, fault) {
    const node = pick(ctx.nodes, fault)
    void node.kill()
    return () => restart(node)
  },
  allNodesKill({ nodes }) {
    for (const node of nodes) void node.kill()
    return () => void Promise.all(nodes.map(restart))
  },
  nodeReload: (ctx, fault) => pick(ctx.nodes, fault).signal('SIGHUP'),
  nodeStop(ctx, fault) {
    const node = pick(ctx.nodes, fault)
    const gone = node.stop(fault.level < 0.7 ? 1 : 2)
    return async () => {
      await gone
      await restart(node)
    }
  },
  storeSlow({ platform: { table } }, { level }) {
    table.faults.delayMs = Math.round(30 + 600 * level)
    return () => void (table.faults.delayMs = 0)
  },
  storeDown({ platform: { table } }) {
    table.faults.down = true
    return () => void (table.faults.down = false)
  },
  storeBroken({ platform: { table } }) {
    table.faults.broken = true
    return () => void (table.faults.broken = false)
  },
  storeAnswersLost({ platform: { table } }, { level }) {
    table.faults.lostShare = 0.1 + 0.4 * level
    table.faults.lateMs = level > 0.5 ? 1500 : 0
    return () => void (table.faults.lostShare = 0)
  },
  storeForgets: ({ platform }) => platform.table.compact(),
  storePartDown({ platform: { table } }, fault) {
    const parts = table.parts().filter((part) => part !== '')
    if (parts.length === 0) return
    const part = pick(parts, fault)
    table.faults.refusedParts.add(part)
    return () => void table.faults.refusedParts.delete(part)
  },
  storeLinkSlow: (ctx, fault) => slowLink(pick(ctx.nodes, fault).storeLink, fault),
  storeLinkReset: (ctx, fault) => pick(ctx.nodes, fault).storeLink.reset(),
  storeLinkSilent: (ctx, fault) => pick(ctx.nodes, fault).storeLink.silence(),
  storeLinkCut: (ctx, fault) => cutLink(pick(ctx.nodes, fault).storeLink, fault),
  targetFails: onTarget(fails),
  targetHangs: onTarget(hangs),
  targetSlow: onTarget(isSlow),
  targetCrash: (ctx, fault) => crash(ctx, [pick(ctx.targets, fault).vm]),
  targetDrains(ctx, fault) {
    const { vm } = pick(ctx.targets, fault)
    const life = vm.target
    if (!life) return
    ctx.platform.list(vm, 'draining')
    ctx.checks.draining.set(life.id, performance.now())
    return async () => {
      await sleep(DRAIN_MS)
      if (vm.target !== life) return
      ctx.platform.crash(vm)
      await sleep(fault.forMs)
      if (vm.state === 'down') ctx.platform.revive(vm)
    }
  },
  targetUnlisted(ctx, fault) {
    const { vm } = pick(ctx.targets, fault)
    const life = vm.target
    ctx.platform.list(vm, 'none')
    return () => {
      if (vm.target === life && life) ctx.platform.list(vm, 'ready')
    }
  },
  targetLinkSlow: (ctx, fault) => slowLink(pick(ctx.targets, fault).link, fault),
  targetLinkReset: (ctx, fault) => pick(ctx.targets, fault).link.reset(),
  targetLinkSilent: (ctx, fault) => pick(ctx.targets, fault).link.silence(),
  targetLinkCut: (ctx, fault) => cutLink(pick(ctx.targets, fault).link, fault),
  poolFails: onPool(fails),
  poolHangs: onPool(hangs),
  poolSlow: onPool(isSlow),
  poolShrinks: (ctx, fault) => shrink(ctx, fault).undo,
  poolShrinksToBad(ctx, fault) {
    const { kept, undo } = shrink(ctx, fault)
    const well = bad(kept, fault.which % 2 === 0 ? fails() : hangs())
    setTimeout(() => void well(), BAD_MS)
    return undo
  },
  configurationChanges: (ctx, fault) => ctx.changeConfiguration(fault),
  foreignEntry: ({ platform, trapAddress, pools }, fault) => {
    const key = { table: 'servers', part: '', key: `x-${fault.which}-${fault.at}` }
    platform.table.put(key, foreignEntry(fault, pick(pools, fault), trapAddress))
    return () => platform.table.remove(key)
  },
  entryOverwritten(ctx, fault) {
    const { vm } = pick(ctx.targets, fault)
    const life = vm.target
    if (!life || vm.listing !== 'ready') return
    vm.listing = 'none'
    const key = { table: 'servers', part: '', key: life.id }
    ctx.platform.table.put(key, foreignEntry(fault, vm.pool, ctx.trapAddress))
    return () => {
      if (vm.target === life && vm.listing === 'none') ctx.platform.list(vm, 'ready')
    }
  },
}

/** Disturbances that are over as soon as they have come; so is the return of the node. */
const MOMENTARY: ReadonlySet<FaultKind> = new Set(['nodeLost'])

/** Plays one fault from its beginning to its end. */
export async function playFault(ctx: FaultContext, fault: Fault): Promise<void> {
  const group = groupOf(fault.kind)
  const isUnplanned = group === 'node' || group === 'store'
  const disturbs = isUnplanned || fault.kind === 'nodeStop'
  const begin = (): Undo => {
    const ends = [
      ...(disturbs ? [ctx.calm.begin()] : []),
      ...(isUnplanned ? [ctx.unplanned.begin()] : []),
    ]
    return () => ends.forEach((end) => end())
  }
  let end = begin()
  const undo = HANDLERS[fault.kind](ctx, fault)
  if (MOMENTARY.has(fault.kind)) void end()
  await sleep(fault.forMs)
  if (MOMENTARY.has(fault.kind)) end = begin()
  await undo?.()
  void end()
}
