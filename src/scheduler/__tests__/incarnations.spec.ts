/** Guards against a second run of a task through an order that reaches a later incarnation. */
import type { ExecutionContext } from 'ava'
import { createBusyNodes } from '../../../test/busyNodes.js'
import { describe, it } from '../../../test/describe.js'
import { createJobRig, makeJob } from '../../../test/jobRig.js'
import type { JobRig, RigOwner } from '../../../test/jobRig.js'
import { findLifeViolation } from '../../../test/lifeGuarantees.js'
import { beginLife, endLife } from '../../../test/lives.js'
import { createRelay } from '../../../test/relay.js'
import type { Relay } from '../../../test/relay.js'
import type { JobSpec } from '../../jobs/index.js'
import { sleep } from '../../shared/index.js'
import { ROSTER_TABLE } from '../roster.js'

/** Longest wait for a step of a sequence, in ms. */
const STEP_LIMIT_MS = 15_000
/** Time in which a released order reaches its target, in ms. */
const ARRIVAL_MS = 30
/** Run time of the task, longer than all steps after its second start, in ms. */
const LONG_MS = 2500

async function until(t: ExecutionContext, what: string, isSo: () => boolean) {
  const endsAt = performance.now() + STEP_LIMIT_MS
  while (!isSo() && performance.now() < endsAt) await sleep(2)
  if (!isSo()) t.fail(`not reached: ${what}`)
}

function createRig(t: ExecutionContext): JobRig {
  const rig = createJobRig()
  t.teardown(() => rig.stop())
  return rig
}

/** Starts an owner on a node of its own, whose calls go through a path of its own. */
async function startOwner(
  rig: JobRig,
  node: string,
  predecessorMayLive = false,
  lost: string[] = [],
) {
  const { orders } = rig
  const relay = createRelay(orders)
  for (const id of lost) relay.lost.add(id)
  rig.node = node
  rig.orders = relay.orders
  const starting = rig.startOwner(predecessorMayLive)
  rig.orders = orders
  return { owner: await starting, relay }
}

/** Ends the lease of an owner, which goes on in its grace time without the store. */
function beginGrace(rig: JobRig, owner: RigOwner): void {
  owner.confirmed = false
  rig.table.faults.refusedNodes.add(rig.node)
}

/** Has the list show the target as draining, so that nothing new is placed there. */
const drain = (rig: JobRig, id: string): void =>
  rig.setListEntry({ ...rig.listed.get(id)!, draining: true })

/** Starts the next incarnation of a target, for which nothing is placed. */
function beginDrainedLife(rig: JobRig, id: string): void {
  beginLife(rig, id)
  drain(rig, id)
}

const hasRunOn = (
  rig: JobRig,
  { id }: JobSpec,
  target: string,
  task = `${id}.`,
): boolean =>
  rig.ledger.entries.some(
    (each) =>
      each.what === 'start' && each.task.startsWith(task) && each.target === target,
  )

const hasEvent = (rig: JobRig, name: string): boolean =>
  rig.log.events.some((each) => each.name === name)

/** Lets what is held go on before an owner hears the target. */
async function releaseFirst(...relays: [Relay, ...Relay[]]): Promise<void> {
  for (const { lostSyncs } of relays) lostSyncs.add('t1')
  relays[0].release()
  await sleep(ARRIVAL_MS)
  for (const { lost, lostSyncs } of relays) {
    lost.clear()
    lostSyncs.clear()
  }
}

async function checkEnd(t: ExecutionContext, rig: JobRig, job: JobSpec): Promise<void> {
  t.true(await rig.waitForOutcomes([job], STEP_LIMIT_MS))
  t.is(findLifeViolation(rig.ledger), undefined)
}

describe('start that lies at a frozen forwarder', () => {
  /** The start lies on the path; the target has not got it. */
  async function holdStart(t: ExecutionContext) {
    const rig = createRig(t)
    rig.addTarget('t1')
    const { owner, relay } = await startOwner(rig, 'n1')
    relay.holds.add('start')
    const job = makeJob({ ms: LONG_MS }, [{ count: 1 }])
    rig.submit(owner, job)
    await until(t, 'start held', () => relay.held() > 0)
    drain(rig, 't1')
    return { rig, relay, job }
  }

  it('starts nothing on the next incarnation of its target', async (t) => {
    const { rig, relay, job } = await holdStart(t)
    rig.addTarget('t2')
    await until(t, 'given up', () => hasEvent(rig, 'runVanished'))
    relay.holds.clear()
    await until(t, 'run elsewhere', () => hasRunOn(rig, job, 't2'))
    endLife(rig, 't1')
    beginDrainedLife(rig, 't1')
    await releaseFirst(relay)
    await checkEnd(t, rig, job)
  })

  it('starts nothing again on the next incarnation after its retry is done', async (t) => {
    const rig = createRig(t)
    rig.addTarget('t1')
    const { owner, relay } = await startOwner(rig, 'n1')
    relay.holds.add('start')
    const job = makeJob({ ms: 20 }, [{ count: 1 }])
    rig.submit(owner, job)
    await until(t, 'start held', () => relay.held() > 0)
    relay.holds.clear()
    t.true(await rig.waitForOutcomes([job], STEP_LIMIT_MS))
    endLife(rig, 't1')
    beginLife(rig, 't1')
    await releaseFirst(relay)
    await checkEnd(t, rig, job)
  })

  it('starts nothing after its target has restarted twice', async (t) => {
    const { rig, relay, job } = await holdStart(t)
    relay.holds.clear()
    await until(t, 'retry', () => hasRunOn(rig, job, 't1'))
    rig.addTarget('t2')
    endLife(rig, 't1')
    beginDrainedLife(rig, 't1')
    await until(t, 'run elsewhere', () => hasRunOn(rig, job, 't2'))
    endLife(rig, 't1')
    beginDrainedLife(rig, 't1')
    await releaseFirst(relay)
    await checkEnd(t, rig, job)
  })

  it('starts nothing after a later call has found its target gone', async (t) => {
    const { rig, relay, job } = await holdStart(t)
    rig.addTarget('t2')
    endLife(rig, 't1', 'another')
    relay.holds.clear()
    await until(t, 'gone', () => hasEvent(rig, 'targetGone'))
    await until(t, 'run elsewhere', () => hasRunOn(rig, job, 't2'))
    beginDrainedLife(rig, 't1')
    await releaseFirst(relay)
    await checkEnd(t, rig, job)
  })
})

describe('node that calls targets for an owner and freezes', () => {
  it('starts nothing when it is resumed after the target has restarted twice', async (t) => {
    const rig = createRig(t)
    const direct = createRelay(rig.orders)
    const costs = { startMs: 0, reportMs: 0 }
    const nodes = createBusyNodes({
      orders: rig.orders,
      direct: direct.orders,
      costs,
      others: 1,
      askFromShare: 0,
    })
    t.teardown(nodes.stop)
    rig.orders = nodes.orders
    rig.addTarget('t1')
    const owner = await rig.startOwner()
    await until(t, 'forwarded', () => nodes.forwarders() > 0)
    const { freezer } = nodes.others[0]!
    freezer.freeze()
    const job = makeJob({ ms: LONG_MS }, [{ count: 1 }])
    rig.submit(owner, job)
    await until(t, 'direct retry', () => hasRunOn(rig, job, 't1'))
    rig.addTarget('t2')
    endLife(rig, 't1')
    beginDrainedLife(rig, 't1')
    await until(t, 'run elsewhere', () => hasRunOn(rig, job, 't2'))
    direct.lost.add('t1')
    endLife(rig, 't1')
    beginDrainedLife(rig, 't1')
    freezer.resume()
    await sleep(2 * ARRIVAL_MS)
    direct.lost.clear()
    await checkEnd(t, rig, job)
  })
})

describe('former owner in its grace time', () => {
  it('starts nothing through a held order on an incarnation that its successor has not called', async (t) => {
    const rig = createRig(t)
    rig.addTarget('t1')
    const former = await startOwner(rig, 'n1')
    former.relay.holds.add('start')
    const job = makeJob({ ms: LONG_MS }, [{ count: 1 }])
    rig.submit(former.owner, job)
    await until(t, 'start held', () => former.relay.held() > 0)
    beginGrace(rig, former.owner)
    rig.addTarget('t2')
    drain(rig, 't1')
    const next = await startOwner(rig, 'n2', true)
    await until(t, 'run elsewhere', () => hasRunOn(rig, job, 't2'))
    endLife(rig, 't1')
    beginDrainedLife(rig, 't1')
    await releaseFirst(former.relay, next.relay)
    await checkEnd(t, rig, job)
  })

  /** A start is queued behind one whose answer is held, while a successor takes over. */
  async function queueStart(t: ExecutionContext) {
    const rig = createRig(t)
    rig.addTarget('t1')
    const former = await startOwner(rig, 'n1')
    former.relay.holdsAnswers.add('start')
    const job = makeJob({ ms: LONG_MS }, [{ count: 2 }])
    rig.submit(former.owner, job)
    await until(t, 'answer held', () => former.relay.held() > 0)
    beginGrace(rig, former.owner)
    rig.addTarget('t2')
    drain(rig, 't1')
    const next = await startOwner(rig, 'n2', true)
    await until(t, 'run elsewhere', () => hasRunOn(rig, job, 't2'))
    next.relay.lost.add('t1')
    endLife(rig, 't1')
    beginDrainedLife(rig, 't1')
    return { rig, former, next, job }
  }

  it('sends no queued start to an incarnation that neither owner has heard', async (t) => {
    const { rig, former, next, job } = await queueStart(t)
    await releaseFirst(former.relay, next.relay)
    await checkEnd(t, rig, job)
  })

  it('sends no queued start to an incarnation that only it has heard', async (t) => {
    const { rig, former, next, job } = await queueStart(t)
    await until(t, 'heard', () => hasEvent(rig, 'targetReborn'))
    former.relay.release()
    await sleep(ARRIVAL_MS)
    next.relay.lost.clear()
    await checkEnd(t, rig, job)
  })

  /** The former owner, cut off from its targets, hears the later incarnation of one first. */
  async function hearFirst(t: ExecutionContext, hasHeardEarlier: boolean): Promise<void> {
    const rig = createRig(t)
    const { lifeStartMs } = rig.addTarget('t1')
    const lost = hasHeardEarlier ? [] : ['t1']
    const former = await startOwner(rig, 'n1', false, lost)
    if (hasHeardEarlier)
      await until(t, 'earlier heard', () => hasEvent(rig, 'targetHeard'))
    former.relay.lost.add('t1').add('t2')
    const laterStartMs = lifeStartMs + 10_000
    rig.setListEntry({ ...rig.listed.get('t1')!, lifeStartMs: laterStartMs })
    rig.addTarget('t2')
    const isRostered = () => rig.table.rows(ROSTER_TABLE).length >= 2
    await until(t, 'rostered', isRostered)
    const job = makeJob({ ms: LONG_MS }, [{ count: 1 }])
    rig.submit(former.owner, job)
    await sleep(ARRIVAL_MS)
    beginGrace(rig, former.owner)
    const next = await startOwner(rig, 'n2', true)
    await until(t, 'run elsewhere', () => hasRunOn(rig, job, 't2'))
    next.relay.lost.add('t1')
    endLife(rig, 't1')
    rig.addTarget('t1', {}, { lifeStartMs: laterStartMs })
    former.relay.lost.delete('t1')
    await sleep(600)
    next.relay.lost.clear()
    await checkEnd(t, rig, job)
  }

  it('places nothing on a later incarnation of a target that it has heard', (t) =>
    hearFirst(t, true))

  it('places nothing on a later incarnation of a target that it has never heard', (t) =>
    hearFirst(t, false))
})

describe('report that names no incarnation', () => {
  it('does not stand for another incarnation, so that the present one is heard', async (t) => {
    const rig = createRig(t)
    rig.addTarget('t1')
    const { orders } = rig
    let unnamed = 0
    rig.orders = {
      open(target) {
        const link = orders.open(target)
        return {
          ...link,
          async sync(order, ms) {
            const res = await link.sync(order, ms)
            return unnamed-- > 0 ? res.map((each) => ({ ...each, lifeStartMs: 0 })) : res
          },
        }
      },
    }
    const owner = await rig.startOwner()
    const job = makeJob({ ms: LONG_MS }, [{ count: 1 }])
    rig.submit(owner, job)
    await until(t, 'run', () => hasEvent(rig, 'startAccepted'))
    unnamed = 1
    await checkEnd(t, rig, job)
  })
})

describe('acknowledgement of ends', () => {
  it('leaves those of a later incarnation, so that no task is done twice', async (t) => {
    const rig = createRig(t)
    rig.addTarget('t1')
    const { owner, relay } = await startOwner(rig, 'n1')
    const finished = makeJob({ ms: 20 }, [{ count: 12 }])
    rig.submit(owner, finished)
    t.true(await rig.waitForOutcomes([finished], STEP_LIMIT_MS))
    const isNoted = () =>
      rig.ledger.entries.every(({ what, isNoted }) => what !== 'done' || isNoted)
    await until(t, 'acknowledged', isNoted)
    await sleep(50)
    relay.holds.add('start').add('sync')
    const job = makeJob({ ms: 20 }, [{ count: 1 }])
    rig.submit(owner, job)
    await until(t, 'start and poll held', () => relay.held() > 2)
    endLife(rig, 't1')
    beginLife(rig, 't1')
    await releaseFirst(relay)
    await sleep(100)
    await checkEnd(t, rig, job)
  })
})
