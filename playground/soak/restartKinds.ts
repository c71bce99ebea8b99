/**
 * Kinds of faults around restarts of targets under the same id. A restarted target knows neither
 * tokens nor runs of the one before, so an order to that one must not be carried out.
 */
import { sleep } from '../../src/shared/index.js'
import type { SimVm } from '../sim/simFleet.js'
import type { FaultContext, FaultKind } from './faultKinds.js'
import type { Fault } from './plan.js'

/** Time that a target is down in a restart, by the level of the fault, in ms. */
const MIN_DOWN_MS = 50
const MAX_DOWN_MS = 1500
/** Delay of late links by the level of the fault, in ms. */
const MIN_LATE_MS = 500
const MAX_LATE_MS = 8000
/** Delay of a link that counts as faulty until its late bytes have passed, in ms. */
const PASSING_DELAY_MS = 1
/** Longest time from the end of a freeze to the next restart, in ms. */
const MAX_RESTART_AFTER_FREEZE_MS = 300
/** Interval of restarts while a node is cut off from the store, in ms. */
const RESTART_WHILE_CUT_MS = 1500
/** Shares of the duration of a fault after which the targets restart in it, once or twice. */
const RESTART_AT_SHARE = 0.3
const SECOND_RESTART_AT_SHARE = 0.8
/** Longest time from the end of a freeze to the start of the next incarnations, in ms. */
const MAX_START_AFTER_FREEZE_MS = 60

const between = (low: number, high: number, level: number): number =>
  Math.round(low + (high - low) * level)

const downMsOf = ({ level }: Fault): number => between(MIN_DOWN_MS, MAX_DOWN_MS, level)

type RestartTargets = FaultContext['targets']

/** One target, or all of its pool if `which` is odd. The node is chosen by `which` as well. */
function chooseTargets({ targets }: FaultContext, { which }: Fault): RestartTargets {
  const chosen = targets[Math.floor(which / 5) % targets.length]!
  if (which % 2 === 0) return [chosen]
  return targets.filter(({ vm }) => vm.pool === chosen.vm.pool)
}

/** Crashes targets in one moment and starts their next incarnations under the same ids. */
async function restart(
  ctx: FaultContext,
  targets: RestartTargets,
  downMs: number,
): Promise<void> {
  const crashed: [vm: SimVm, id: string][] = []
  for (const { vm } of targets) {
    if (!vm.target || vm.state !== 'up') continue
    crashed.push([vm, vm.target.id])
    ctx.platform.crash(vm)
  }
  await sleep(downMs)
  for (const [vm, id] of crashed) {
    if (vm.state !== 'down') continue
    ctx.draining.delete(id)
    ctx.platform.revive(vm, id)
  }
}

/** Restarts targets at once and again `forMs` later. */
const restartTwice =
  (choose: typeof chooseTargets): FaultKind['begin'] =>
  (ctx, fault) => {
    const targets = choose(ctx, fault)
    const first = restart(ctx, targets, downMsOf(fault))
    return async () => {
      await first
      await restart(ctx, targets, downMsOf(fault))
    }
  }

const pickNode = ({ nodes }: FaultContext, { which }: Fault) =>
  nodes[which % nodes.length]!

/** Kinds by name; the last entries of the table of all kinds. */
export const RESTART_KINDS: Record<string, FaultKind> = {
  targetRestartsTwice: {
    group: 'rapidRestart',
    usualMs: 4000,
    begin: restartTwice(({ targets }, { which }) => [targets[which % targets.length]!]),
  },
  poolRestarts: {
    group: 'rapidRestart',
    usualMs: 4000,
    begin: restartTwice(({ targets, pools }, { which }) =>
      targets.filter(({ vm }) => vm.pool === pools[which % pools.length]),
    ),
  },
  linksLateOverRestart: {
    group: 'rapidRestart',
    usualMs: 4000,
    begin(ctx, fault) {
      const targets = chooseTargets(ctx, fault)
      const lateMs = between(MIN_LATE_MS, MAX_LATE_MS, fault.level)
      const setDelay = (ms: number) => targets.forEach(({ link }) => (link.delayMs = ms))
      setDelay(lateMs)
      const first = sleep(RESTART_AT_SHARE * fault.forMs).then(() =>
        restart(ctx, targets, MIN_DOWN_MS),
      )
      return async () => {
        await first
        await restart(ctx, targets, downMsOf(fault))
        setDelay(PASSING_DELAY_MS)
        await sleep(lateMs)
        setDelay(0)
      }
    },
  },
  nodeFrozenOverRestart: {
    group: 'restartBesideFault',
    usualMs: 4000,
    begin(ctx, fault) {
      const node = pickNode(ctx, fault)
      const targets = chooseTargets(ctx, fault)
      node.signal('SIGSTOP')
      const inFreezeMs = RESTART_AT_SHARE * fault.forMs
      const first = sleep(inFreezeMs).then(() =>
        restart(ctx, targets, Math.min(inFreezeMs, downMsOf(fault))),
      )
      return async () => {
        await first
        node.signal('SIGCONT')
        await sleep(MAX_RESTART_AFTER_FREEZE_MS * fault.level)
        await restart(ctx, targets, downMsOf(fault))
      }
    },
  },
  // The owner has heard no incarnation that a thawed node meets, which refuses no token.
  nodeFrozenUntilRestart: {
    group: 'restartBesideFault',
    usualMs: 4000,
    begin(ctx, fault) {
      const node = pickNode(ctx, fault)
      const targets = chooseTargets(ctx, fault)
      const { forMs, level } = fault
      node.signal('SIGSTOP')
      const first = sleep(RESTART_AT_SHARE * forMs).then(() =>
        restart(ctx, targets, MIN_DOWN_MS),
      )
      const downMs =
        (1 - SECOND_RESTART_AT_SHARE) * forMs + MAX_START_AFTER_FREEZE_MS * level
      const second = sleep(SECOND_RESTART_AT_SHARE * forMs).then(() =>
        restart(ctx, targets, downMs),
      )
      return async () => {
        node.signal('SIGCONT')
        await Promise.all([first, second])
      }
    },
  },
  storeLinkCutOverRestarts: {
    group: 'restartBesideFault',
    usualMs: 6000,
    begin(ctx, fault) {
      const { storeLink } = pickNode(ctx, fault)
      const targets = chooseTargets(ctx, fault)
      storeLink.cut.add('up').add('down')
      let isCut = true
      async function restartRepeatedly(): Promise<void> {
        await sleep(RESTART_WHILE_CUT_MS * fault.level)
        while (isCut) {
          await restart(ctx, targets, MIN_DOWN_MS)
          await sleep(RESTART_WHILE_CUT_MS)
        }
      }
      const restarts = restartRepeatedly()
      return async () => {
        isCut = false
        storeLink.cut.clear()
        await restarts
      }
    },
  },
}
