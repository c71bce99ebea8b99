import type { ExecutionContext } from 'ava'
import { describe, it } from '../../../test/describe.js'
import { CAPACITY, createJobRig, makeJob } from '../../../test/jobRig.js'
import type { JobRig } from '../../../test/jobRig.js'
import { sleep } from '../../shared/index.js'

/** How long a stop takes, in ms. */
const STOP_MS = 900
/** CPU of each task: a quarter of the capacity of a target. */
const TASK_CPU = CAPACITY.cpu / 4

/** Starts an owner with one target that accepts starts beyond its capacity. */
async function startOwner(t: ExecutionContext) {
  const rig = createJobRig()
  t.teardown(() => rig.stop())
  const target = rig.addTarget('t1', {}, { enforcesCapacity: false, stopMs: STOP_MS })
  const owner = await rig.startOwner()
  return { rig, owner, target }
}

const startCount = (rig: JobRig): number =>
  rig.ledger.entries.filter(({ what }) => what === 'start').length

/** Highest CPU use of concurrent runs, including those that are stopping. */
function peakCpu(rig: JobRig): number {
  let used = 0
  let peak = 0
  for (const { what } of rig.ledger.entries) {
    used += what === 'start' ? TASK_CPU : -TASK_CPU
    peak = Math.max(peak, used)
  }
  return peak
}

describe('target that does not enforce its capacity', () => {
  it('is not overcommitted while runs of a cancelled job are stopping', async (t) => {
    const { rig, owner } = await startOwner(t)
    const first = makeJob({ ms: 0, cpu: TASK_CPU }, [{ count: 4, lasting: true }])
    rig.submit(owner, first)
    while (startCount(rig) < 4) await sleep(5)
    owner.cancel(first.id)
    const next = makeJob({ ms: 50, cpu: TASK_CPU }, [{ count: 4 }])
    rig.submit(owner, next)
    t.true(await rig.waitForOutcomes([next], 5000))
    t.is(peakCpu(rig), CAPACITY.cpu)
  })

  it('is not overcommitted while a new owner stops runs of a cancelled job', async (t) => {
    // The new owner has no placements for these runs, so their room is not counted.
    const { rig, owner } = await startOwner(t)
    const first = makeJob({ ms: 0, cpu: TASK_CPU }, [{ count: 4, lasting: true }])
    rig.submit(owner, first)
    while (startCount(rig) < 4) await sleep(5)
    owner.live = false
    owner.cancel(first.id)
    t.true(await rig.waitForOutcomes([first], 2000))
    const nextOwner = await rig.startOwner()
    const next = makeJob({ ms: 50, cpu: TASK_CPU }, [{ count: 4 }])
    rig.submit(nextOwner, next)
    t.true(await rig.waitForOutcomes([next], 5000))
    t.is(peakCpu(rig), CAPACITY.cpu)
  })

  it('gets no starts beyond a reduced capacity', async (t) => {
    const { rig, owner } = await startOwner(t)
    const first = makeJob({ ms: 300, cpu: TASK_CPU }, [{ count: 4 }])
    rig.submit(owner, first)
    while (startCount(rig) < 4) await sleep(5)
    rig.setListedCapacity('t1', { ...CAPACITY, cpu: 2 * TASK_CPU })
    const entriesBeforeResize = rig.ledger.entries.length
    const next = makeJob({ ms: 100, cpu: TASK_CPU }, [{ count: 6 }])
    rig.submit(owner, next)
    t.true(await rig.waitForOutcomes([first, next], 5000))
    let used = 4 * TASK_CPU
    for (const { what } of rig.ledger.entries.slice(entriesBeforeResize)) {
      used += what === 'start' ? TASK_CPU : -TASK_CPU
      if (what === 'start') t.true(used <= 2 * TASK_CPU)
    }
  })

  it('gets more starts after its capacity is restored', async (t) => {
    const { rig, owner } = await startOwner(t)
    rig.setListedCapacity('t1', { ...CAPACITY, cpu: TASK_CPU })
    const job = makeJob({ ms: 0, cpu: TASK_CPU }, [{ count: 4, lasting: true }])
    rig.submit(owner, job)
    await sleep(300)
    t.is(startCount(rig), 1)
    rig.setListedCapacity('t1', CAPACITY)
    while (startCount(rig) < 4) await sleep(5)
    t.pass()
  })
})
