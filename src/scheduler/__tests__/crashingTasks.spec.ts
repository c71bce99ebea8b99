import type { ExecutionContext } from 'ava'
import { describe, it } from '../../../test/describe.js'
import { createJobRig, makeJob } from '../../../test/jobRig.js'
import type { JobRig } from '../../../test/jobRig.js'
import { sleep } from '../../shared/index.js'

const POOL_SIZE = 6
/** Time after which a crashed target is back as a new life, in ms. */
const RETURN_MS = 400
/** Time within which a task that crashes its targets is given up, in ms. */
const PATIENCE_MS = 8000
/** A task that crashes each target may be started twice more after the third crash. */
const MAX_STARTS = 5

interface CrashRig extends JobRig {
  /** Targets that are there now. */
  alive(): number
  /** Fewest targets that were there at once. */
  fewest(): number
  startsOf(task: string): number
}

/** Targets that come back under another id after a crash. */
function createCrashRig(t: ExecutionContext): CrashRig {
  const rig = createJobRig()
  t.teardown(() => rig.stop())
  let lives = 0
  let fewest = POOL_SIZE
  const begin = (): void => {
    lives++
    rig.addTarget(`life-${lives}`)
  }
  rig.crashed = (id) => {
    rig.targets.delete(id)
    rig.unlist(id)
    fewest = Math.min(fewest, rig.targets.size)
    setTimeout(begin, RETURN_MS).unref()
  }
  for (let each = 0; each < POOL_SIZE; each++) begin()
  return Object.assign(rig, {
    alive: () => rig.targets.size,
    fewest: () => fewest,
    startsOf: (name: string) =>
      rig.ledger.entries.filter(({ what, task }) => what === 'start' && task === name)
        .length,
  })
}

describe('task that crashes each target that starts it', () => {
  it('is given up before it is started three times more', async (t) => {
    const rig = createCrashRig(t)
    const owner = await rig.own()
    const job = makeJob({ ms: 2000, cpu: 500, crashMs: 5 }, [{ count: 1 }])
    rig.submit(owner, job)
    t.true(await rig.settled([job], PATIENCE_MS))
    t.is(rig.outcomeOf(job), 'failed')
    t.true(rig.startsOf(`${job.id}.0.0.0`) <= MAX_STARTS)
  })

  it('takes no job with it that ran on the same targets', async (t) => {
    const rig = createCrashRig(t)
    const owner = await rig.own()
    const neighbours = Array.from({ length: 4 }, () =>
      makeJob({ ms: 700, cpu: 400 }, [{ count: 6 }]),
    )
    const crashing = Array.from({ length: 3 }, () =>
      makeJob({ ms: 700, cpu: 400, crashMs: 5 }, [{ count: 1 }]),
    )
    for (const [index, job] of neighbours.entries()) {
      rig.submit(owner, job)
      await sleep(150)
      if (crashing[index]) rig.submit(owner, crashing[index])
    }
    t.true(await rig.settled([...neighbours, ...crashing], 2 * PATIENCE_MS))
    t.deepEqual([...new Set(neighbours.map(rig.outcomeOf))], ['completed'])
    t.deepEqual([...new Set(crashing.map(rig.outcomeOf))], ['failed'])
  })

  it('does not empty the pool when all tasks of its step do the same', async (t) => {
    const rig = createCrashRig(t)
    const owner = await rig.own()
    const job = makeJob({ ms: 700, cpu: 1000, crashMs: 5 }, [{ count: 8 }])
    rig.submit(owner, job)
    t.true(await rig.settled([job], PATIENCE_MS))
    t.is(rig.outcomeOf(job), 'failed')
    t.true(rig.fewest() >= POOL_SIZE / 2)
  })

  it('is given up although its service changes its owner after each crash', async (t) => {
    const rig = createCrashRig(t)
    const job = makeJob({ ms: 2000, cpu: 500, crashMs: 5 }, [{ count: 1 }])
    let owner = await rig.own()
    rig.submit(owner, job)
    for (let crashes = 1; crashes <= MAX_STARTS; crashes++) {
      const endsAt = performance.now() + PATIENCE_MS
      const isTold = (): boolean =>
        rig.startsOf(`${job.id}.0.0.0`) >= crashes && rig.alive() === POOL_SIZE
      while (!isTold() && performance.now() < endsAt && !rig.outcomeOf(job))
        await sleep(5)
      owner.live = false
      await owner.stop(false)
      owner = await rig.own()
    }
    t.true(await rig.settled([job], PATIENCE_MS))
    t.is(rig.outcomeOf(job), 'failed')
    t.true(rig.startsOf(`${job.id}.0.0.0`) <= MAX_STARTS)
  })
})

describe('task whose targets are cut off', () => {
  it('is not given up, however often its lease ends', async (t) => {
    const rig = createJobRig()
    t.teardown(() => rig.stop())
    for (let each = 1; each <= 4; each++) rig.addTarget(`t${each}`)
    const owner = await rig.own()
    const job = makeJob({ ms: 800, cpu: 500 }, [{ count: 1 }])
    rig.submit(owner, job)
    for (let cuts = 1; cuts <= 3; cuts++) {
      const starts = () => rig.ledger.entries.filter(({ what }) => what === 'start')
      while (starts().length < cuts) await sleep(5)
      const cut = rig.targets.get(starts().at(-1)!.target)!
      cut.faults.silent = true
    }
    t.true(await rig.settled([job], 2 * PATIENCE_MS))
    t.is(rig.outcomeOf(job), 'completed')
  })
})
