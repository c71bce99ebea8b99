import type { ExecutionContext } from 'ava'
import { describe, it } from '../../../test/describe.js'
import { createJobRig, makeJob } from '../../../test/jobRig.js'
import type { JobRig, RigOwner } from '../../../test/jobRig.js'
import { sleep } from '../../shared/index.js'

const POOL_SIZE = 6
/** Time after which a target under a new id replaces a crashed one, in ms. */
const RESTART_MS = 400
/** Time limit for jobs to settle, in ms. */
const SETTLE_TIMEOUT_MS = 8000
/** Limit on the starts of a task that crashes each target: two are allowed after three crashes. */
const MAX_STARTS = 5

interface CrashRig extends JobRig {
  /** Lowest number of targets that were up at the same time. */
  minTargets(): number
  startsOf(task: string): number
  /** Number of runs of a task that crashes have ended; 0 while a crashed target is down. */
  crashesOf(task: string): number
}

/** Creates a rig in which a target under a new id replaces each crashed one. */
function createCrashRig(
  t: ExecutionContext,
  { poolSize = POOL_SIZE, restartMs = RESTART_MS } = {},
): CrashRig {
  const rig = createJobRig()
  t.teardown(() => rig.stop())
  let addedCount = 0
  let minTargets = poolSize
  const addTarget = (): void => {
    addedCount++
    rig.addTarget(`life-${addedCount}`)
  }
  rig.onCrash = (id) => {
    rig.targets.delete(id)
    rig.removeListEntry(id)
    minTargets = Math.min(minTargets, rig.targets.size)
    setTimeout(addTarget, restartMs).unref()
  }
  for (let each = 0; each < poolSize; each++) addTarget()
  return Object.assign(rig, {
    minTargets: () => minTargets,
    startsOf: (name: string) =>
      rig.ledger.entries.filter(({ what, task }) => what === 'start' && task === name)
        .length,
    crashesOf: (name: string) =>
      rig.targets.size < poolSize
        ? 0
        : rig.ledger.entries.filter(
            ({ what, task }) => what === 'killed' && task === name,
          ).length,
  })
}

/** Ends an owner without a handover and starts the next one. */
async function replaceOwner(rig: JobRig, owner: RigOwner): Promise<RigOwner> {
  owner.live = false
  await owner.stop(false)
  return rig.startOwner()
}

describe('task that crashes each target that starts it', () => {
  it('fails after five starts at most', async (t) => {
    const rig = createCrashRig(t)
    const owner = await rig.startOwner()
    const job = makeJob({ ms: 2000, cpu: 500, crashMs: 5 }, [{ count: 1 }])
    rig.submit(owner, job)
    t.true(await rig.waitForOutcomes([job], SETTLE_TIMEOUT_MS))
    t.is(rig.outcomeOf(job), 'failed')
    t.true(rig.startsOf(`${job.id}.0.0.0`) <= MAX_STARTS)
  })

  it('does not fail other jobs that run on the same targets', async (t) => {
    const rig = createCrashRig(t)
    const owner = await rig.startOwner()
    const others = Array.from({ length: 4 }, () =>
      makeJob({ ms: 700, cpu: 400 }, [{ count: 6 }]),
    )
    const crashing = Array.from({ length: 3 }, () =>
      makeJob({ ms: 700, cpu: 400, crashMs: 5 }, [{ count: 1 }]),
    )
    for (const [index, job] of others.entries()) {
      rig.submit(owner, job)
      await sleep(150)
      if (crashing[index]) rig.submit(owner, crashing[index])
    }
    t.true(await rig.waitForOutcomes([...others, ...crashing], 2 * SETTLE_TIMEOUT_MS))
    t.deepEqual([...new Set(others.map(rig.outcomeOf))], ['completed'])
    t.deepEqual([...new Set(crashing.map(rig.outcomeOf))], ['failed'])
  })

  it('leaves half of the targets up when all tasks of its step crash theirs', async (t) => {
    const rig = createCrashRig(t)
    const owner = await rig.startOwner()
    const job = makeJob({ ms: 700, cpu: 1000, crashMs: 5 }, [{ count: 8 }])
    rig.submit(owner, job)
    t.true(await rig.waitForOutcomes([job], SETTLE_TIMEOUT_MS))
    t.is(rig.outcomeOf(job), 'failed')
    t.true(rig.minTargets() >= POOL_SIZE / 2)
  })

  it('fails after five starts at most although the owner changes after each crash', async (t) => {
    const rig = createCrashRig(t)
    const job = makeJob({ ms: 2000, cpu: 500, crashMs: 5 }, [{ count: 1 }])
    let owner = await rig.startOwner()
    rig.submit(owner, job)
    for (let crashes = 1; crashes <= MAX_STARTS; crashes++) {
      const endsAt = performance.now() + SETTLE_TIMEOUT_MS
      const hasReturned = (): boolean => rig.crashesOf(`${job.id}.0.0.0`) >= crashes
      while (!hasReturned() && performance.now() < endsAt && !rig.outcomeOf(job))
        await sleep(5)
      owner = await replaceOwner(rig, owner)
    }
    t.true(await rig.waitForOutcomes([job], SETTLE_TIMEOUT_MS))
    t.is(rig.outcomeOf(job), 'failed')
    t.true(rig.startsOf(`${job.id}.0.0.0`) <= MAX_STARTS)
  })
})

describe('task that crashes its target right after its owner has died', () => {
  it('fails after five starts at most', async (t) => {
    const rig = createCrashRig(t)
    const job = makeJob({ ms: 2000, cpu: 500, crashMs: 5 }, [{ count: 1 }])
    let owner = await rig.startOwner()
    rig.submit(owner, job)
    for (let changes = 1; changes <= 2; changes++) {
      while (rig.startsOf(`${job.id}.0.0.0`) < changes) await sleep(1)
      owner = await replaceOwner(rig, owner)
    }
    t.true(await rig.waitForOutcomes([job], SETTLE_TIMEOUT_MS))
    t.is(rig.outcomeOf(job), 'failed')
    t.true(rig.startsOf(`${job.id}.0.0.0`) <= MAX_STARTS)
  })
})

describe('many jobs that crash each target that starts them', () => {
  const POOL = { poolSize: 10, restartMs: 3000 }
  const makeCrashing = (count: number) =>
    Array.from({ length: count }, () =>
      makeJob({ ms: 600, cpu: 800, crashMs: 5 }, [{ count: 2 }]),
    )

  it('all fail within 25 s', async (t) => {
    const rig = createCrashRig(t, POOL)
    const owner = await rig.startOwner()
    const crashing = makeCrashing(12)
    for (const job of crashing) rig.submit(owner, job)
    t.true(await rig.waitForOutcomes(crashing, 25_000))
    t.deepEqual([...new Set(crashing.map(rig.outcomeOf))], ['failed'])
  })

  it('do not hold up jobs that shared a target with them', async (t) => {
    const rig = createCrashRig(t, POOL)
    const owner = await rig.startOwner()
    const healthy = Array.from({ length: 12 }, () =>
      makeJob({ ms: 600, cpu: 800 }, [{ count: 3 }]),
    )
    for (const [index, job] of makeCrashing(12).entries()) {
      rig.submit(owner, healthy[index]!)
      rig.submit(owner, job)
      await sleep(50)
    }
    t.true(await rig.waitForOutcomes(healthy, 10_000))
    t.deepEqual([...new Set(healthy.map(rig.outcomeOf))], ['completed'])
  })
})

describe('task whose targets are cut off', () => {
  it('does not fail, however often its lease expires', async (t) => {
    const rig = createJobRig()
    t.teardown(() => rig.stop())
    for (let each = 1; each <= 4; each++) rig.addTarget(`t${each}`)
    const owner = await rig.startOwner()
    const job = makeJob({ ms: 800, cpu: 500 }, [{ count: 1 }])
    rig.submit(owner, job)
    for (let cutOffs = 1; cutOffs <= 3; cutOffs++) {
      const starts = () => rig.ledger.entries.filter(({ what }) => what === 'start')
      while (starts().length < cutOffs) await sleep(5)
      const cut = rig.targets.get(starts().at(-1)!.target)!
      cut.faults.silent = true
    }
    t.true(await rig.waitForOutcomes([job], 2 * SETTLE_TIMEOUT_MS))
    t.is(rig.outcomeOf(job), 'completed')
  })
})
