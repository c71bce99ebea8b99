import fc from 'fast-check'
import { describe, it } from '../../../test/describe.js'
import { createJobRig, makeJob } from '../../../test/jobRig.js'
import type { ServicePool, Target } from '../../ports/index.js'
import { sleep } from '../../shared/index.js'
import { coldStartRate, createColdTargets, startLimitsOf } from '../coldTargets.js'

/** Start of the first life, in ms since 1970. */
const BORN = 1_700_000_000_000

const entryOf = (coldMs: number | undefined, lifeStartMs = BORN): Target => ({
  id: 't1',
  lifeStartMs,
  service: 's',
  address: 't1:1',
  hall: 'h1',
  draining: false,
  capacity: { cpu: 4000, memMb: 1000, gpu: 0 },
  labels: [],
  ...(coldMs !== undefined && { coldMs }),
})

const POOL: ServicePool = { name: 's', guardsCapacity: false, spare: false }

/** Starts with both clocks at the beginning of the first life. */
function start(pool: Partial<ServicePool> = {}) {
  const clock = { now: 0 }
  let wakes = 0
  const coldTargets = createColdTargets({
    pool: () => ({ ...POOL, ...pool }),
    wake: () => void wakes++,
    now: () => clock.now,
    wallMs: () => BORN + clock.now,
  })
  return { clock, coldTargets, wakes: () => wakes }
}

describe('createColdTargets', () => {
  it('regards a target as cold for the time in its entry', (t) => {
    const { clock, coldTargets } = start()
    t.false(coldTargets.any())
    coldTargets.note(entryOf(5000))
    t.true(coldTargets.any())
    clock.now = 4999
    t.true(coldTargets.isCold('t1'))
    t.false(coldTargets.isCold('t2'))
    clock.now = 5000
    t.false(coldTargets.isCold('t1'))
    t.false(coldTargets.any())
    t.true(coldTargets.wasColdSince('t1', 4999))
    t.false(coldTargets.wasColdSince('t1', 5000))
  })

  it('ignores entries without a time, and limits one that is too large', (t) => {
    const { clock, coldTargets } = start()
    for (const coldMs of [undefined, 0, -1, NaN]) coldTargets.note(entryOf(coldMs))
    t.false(coldTargets.any())
    coldTargets.note(entryOf(1e12))
    clock.now = 59_999
    t.true(coldTargets.isCold('t1'))
    clock.now = 60_000
    t.false(coldTargets.isCold('t1'))
  })

  // Otherwise each new owner of a service slows down its whole pool for the time that the targets had
  // left when they wrote their entries, which may be days ago.
  describe('the age of an entry', () => {
    it('is at most that of the life of the target', (t) => {
      const { clock, coldTargets } = start()
      clock.now = 3000
      coldTargets.note(entryOf(5000))
      clock.now = 4999
      t.true(coldTargets.isCold('t1'))
      clock.now = 5000
      t.false(coldTargets.isCold('t1'))
    })

    it('does not count again when the same entry is read again', (t) => {
      const { clock, coldTargets } = start()
      clock.now = 3_600_000
      coldTargets.note(entryOf(5000))
      t.false(coldTargets.isCold('t1'))
      coldTargets.note(entryOf(5000), entryOf(5000))
      t.false(coldTargets.isCold('t1'))
    })

    it('takes the cold time of the service as the whole time, where known', (t) => {
      const { clock, coldTargets } = start({ coldStartMs: 10_000 })
      clock.now = 6000
      coldTargets.note(entryOf(5000))
      clock.now = 9999
      t.true(coldTargets.isCold('t1'))
      clock.now = 10_000
      t.false(coldTargets.isCold('t1'))
    })

    it('is unknown for an entry without the start of its life', (t) => {
      const { clock, coldTargets } = start()
      clock.now = 3_600_000
      coldTargets.note(entryOf(5000, 0))
      t.true(coldTargets.isCold('t1'))
    })
  })

  describe('an entry that is written again', () => {
    // Otherwise a target that lists itself again after an outage of the store starts all over.
    it('does not extend the cold time if it is a copy', (t) => {
      const { clock, coldTargets } = start()
      coldTargets.note(entryOf(5000))
      clock.now = 4000
      coldTargets.forgetUnlisted(() => false)
      coldTargets.note(entryOf(5000))
      clock.now = 5000
      t.false(coldTargets.isCold('t1'))
      clock.now = 20_000
      coldTargets.forgetUnlisted(() => false)
      coldTargets.note(entryOf(5000))
      t.false(coldTargets.isCold('t1'))
    })

    it('replaces the time left, and goes on with the rate that was reached', (t) => {
      const { clock, coldTargets } = start({ coldPerSecond: 40 })
      coldTargets.note(entryOf(5000))
      t.is(coldTargets.startsLeft('t1'), 3)
      clock.now = 4000
      coldTargets.note(entryOf(2000), entryOf(5000))
      t.true(coldTargets.startsLeft('t1') > 3)
      clock.now = 5999
      t.true(coldTargets.isCold('t1'))
      clock.now = 6000
      t.false(coldTargets.isCold('t1'))
    })

    it('ends the cold time if it has none', (t) => {
      const { clock, coldTargets } = start()
      coldTargets.note(entryOf(5000))
      clock.now = 2000
      coldTargets.note(entryOf(0), entryOf(5000))
      t.false(coldTargets.isCold('t1'))
      t.true(coldTargets.wasColdSince('t1', 1999))
      t.false(coldTargets.wasColdSince('t1', 2000))
    })

    // Targets of a hall that was cordoned may have become cold without a new life.
    it('counts for a target that has been warm in the same life', (t) => {
      const { clock, coldTargets } = start()
      coldTargets.note(entryOf(0))
      clock.now = 3_600_000
      coldTargets.note(entryOf(5000), entryOf(0))
      t.true(coldTargets.isCold('t1'))
    })
  })

  it('starts again with another life', (t) => {
    const { clock, coldTargets } = start()
    coldTargets.note(entryOf(5000))
    clock.now = 4000
    for (let count = 0; count < 99; count++) coldTargets.noteStart('t1')
    t.is(coldTargets.startsLeft('t1'), 0)
    coldTargets.note(entryOf(5000, BORN + 4000), entryOf(5000))
    t.is(coldTargets.startsLeft('t1'), 1)
    clock.now = 8999
    t.true(coldTargets.isCold('t1'))
    clock.now = 9000
    t.false(coldTargets.isCold('t1'))
    coldTargets.note(entryOf(0, BORN + 9000), entryOf(5000, BORN + 4000))
    clock.now = 3_600_000
    coldTargets.note(entryOf(700, BORN + 9000), entryOf(0, BORN + 9000))
    t.true(coldTargets.isCold('t1'))
  })

  it('forgets targets that have long left the list', (t) => {
    const { clock, coldTargets } = start()
    coldTargets.note(entryOf(5000))
    clock.now = 65_001
    coldTargets.forgetUnlisted(() => true)
    t.true(coldTargets.wasColdSince('t1', 0))
    coldTargets.forgetUnlisted(() => false)
    t.false(coldTargets.wasColdSince('t1', 0))
  })

  describe('starts', () => {
    it('are not limited on warm targets', (t) => {
      const { clock, coldTargets } = start()
      t.is(coldTargets.startsLeft('t1'), Infinity)
      coldTargets.note(entryOf(5000))
      t.is(coldTargets.startsLeft('t2'), Infinity)
      clock.now = 5000
      t.is(coldTargets.startsLeft('t1'), Infinity)
    })

    const rates = fc.oneof(
      fc.constant(0),
      fc.double({ min: 0.01, max: 200, noNaN: true, noDefaultInfinity: true }),
    )

    it('have a rate that rises and is never zero nor above the limit of the service', (t) => {
      const shares = fc.double({ min: 0, max: 1, noNaN: true })
      fc.assert(
        fc.property(rates, shares, shares, (limit, one, other) => {
          const [early, late] = [Math.min(one, other), Math.max(one, other)]
          const before = coldStartRate(limit, early)
          const after = coldStartRate(limit, late)
          t.true(before > 0 && before <= after + 1e-9)
          if (limit > 0) t.true(after <= limit * (1 + 1e-9))
          for (const { starts, periodMs } of startLimitsOf(after))
            t.true(starts >= 1 && periodMs < Infinity)
        }),
      )
      t.pass()
    })

    it('do not exceed the limit of the service in any time, and go on', (t) => {
      fc.assert(
        fc.property(
          fc.double({ min: 0.2, max: 60, noNaN: true }),
          fc.integer({ min: 1, max: 90 }),
          (limit, stepMs) => {
            const { clock, coldTargets } = start({ coldPerSecond: limit })
            coldTargets.note(entryOf(30_000))
            const times: number[] = []
            for (; clock.now < 30_000; clock.now += stepMs) {
              for (let left = coldTargets.startsLeft('t1'); left > 0; left--) {
                coldTargets.noteStart('t1')
                times.push(clock.now)
              }
            }
            coldTargets.stop()
            const periodMs = Math.max(1000, 1000 / limit)
            const most = Math.max(1, Math.floor(limit))
            for (const [at, from] of times.entries()) {
              const within = times.slice(at).filter((time) => time < from + periodMs)
              t.true(within.length <= most, `${within.length} starts`)
            }
            t.true(times.length > 0)
            // At least a quarter of the limit, with which the rate begins.
            if (limit >= 1) t.true(times.length > (limit * 30) / 4)
          },
        ),
        { numRuns: 40 },
      )
      t.pass()
    })

    // Otherwise tasks that only cold targets can run wait for the next event, whatever it is.
    it('wake their owner once a target may get some again', async (t) => {
      const { coldTargets, wakes } = start({ coldPerSecond: 20 })
      coldTargets.note(entryOf(5000))
      while (coldTargets.startsLeft('t1') > 0) coldTargets.noteStart('t1')
      t.is(wakes(), 0)
      await sleep(600)
      t.is(wakes(), 1)
    })
  })
})

describe('owner of a service with cold targets', () => {
  const startsOn = (rig: ReturnType<typeof createJobRig>, id: string): number =>
    rig.ledger.entries.filter(({ target, what }) => target === id && what === 'start')
      .length

  it('runs tasks on cold targets if all are cold', async (t) => {
    const rig = createJobRig()
    t.teardown(() => rig.stop())
    rig.addTarget('t1', { coldMs: 20_000 })
    rig.addTarget('t2', { coldMs: 20_000 })
    const owner = await rig.startOwner()
    const jobs = Array.from({ length: 3 }, () => makeJob({ ms: 60, cpu: 900 }))
    for (const job of jobs) rig.submit(owner, job)
    t.true(await rig.waitForOutcomes(jobs, 5000))
    for (const job of jobs) t.is(rig.outcomeOf(job), 'completed')
  })

  it('prefers warm targets', async (t) => {
    const rig = createJobRig()
    t.teardown(() => rig.stop())
    rig.addTarget('t1', { coldMs: 20_000 })
    rig.addTarget('t2')
    rig.addTarget('t3', { coldMs: 20_000 })
    const owner = await rig.startOwner()
    const job = makeJob({ ms: 60, cpu: 900 }, [{ count: 3 }])
    rig.submit(owner, job)
    t.true(await rig.waitForOutcomes([job], 5000))
    t.is(startsOn(rig, 't2'), 3)
  })

  // Otherwise the targets of a hall that was cordoned count as warm, as their life began long ago.
  it('notices a target that becomes cold within its life', async (t) => {
    const rig = createJobRig()
    t.teardown(() => rig.stop())
    rig.addTarget('t1', {}, { lifeStartMs: Date.now() - 3_600_000 })
    rig.addTarget('t2')
    const owner = await rig.startOwner()
    rig.setListEntry({ ...rig.listed.get('t1')!, coldMs: 20_000 })
    const job = makeJob({ ms: 60, cpu: 900 }, [{ count: 3 }])
    rig.submit(owner, job)
    t.true(await rig.waitForOutcomes([job], 5000))
    t.is(startsOn(rig, 't1'), 0)
  })

  // Otherwise a hall whose targets all come back cold takes the whole queue at once, and each of its
  // tasks is late.
  it('does not give the whole queue to a hall that comes back cold', async (t) => {
    const rig = createJobRig()
    t.teardown(() => rig.stop())
    const cold = ['c1', 'c2', 'c3', 'c4']
    rig.addTarget('t1')
    const owner = await rig.startOwner()
    const jobs = Array.from({ length: 30 }, () => makeJob({ ms: 200, cpu: 900 }))
    for (const job of jobs) rig.submit(owner, job)
    await sleep(100)
    for (const id of cold) rig.addTarget(id, { hall: 'h2', coldMs: 20_000 })
    await sleep(500)
    const started = cold.map((id) => startsOn(rig, id))
    // At two starts a second; four targets with room for 4 tasks could take up to 48 in this time.
    t.true(Math.max(...started) <= 2, `${started}`)
    t.true(await rig.waitForOutcomes(jobs, 10_000))
  })

  // Otherwise the jobs of a queue seem to take long for forty runs after each start of a pool.
  it('leaves runs on cold targets out of the mean run time', async (t) => {
    const needAfterRunsOn = async (coldMs: number): Promise<number> => {
      const rig = createJobRig()
      t.teardown(() => rig.stop())
      rig.addTarget('t1', { coldMs })
      const owner = await rig.startOwner()
      const first = makeJob({ ms: 30, cpu: 100 }, [{ count: 2 }])
      rig.submit(owner, first)
      t.true(await rig.waitForOutcomes([first], 5000))
      // Without a mean, the need follows the estimate of the caller.
      rig.submit(owner, makeJob({ ms: 30, cpu: 1000 }, [{ count: 50, estimateMs: 1e4 }]))
      await sleep(20)
      return owner.report().neededCpu
    }
    t.true((await needAfterRunsOn(0)) < 50_000)
    t.true((await needAfterRunsOn(20_000)) > 100_000)
  })

  it('tells the number of cold targets while tasks wait', async (t) => {
    const rig = createJobRig()
    t.teardown(() => rig.stop())
    rig.addTarget('t1', { coldMs: 2000 })
    rig.addTarget('t2')
    const owner = await rig.startOwner()
    rig.submit(owner, makeJob({ ms: 5000, cpu: 1000 }, [{ count: 20 }]))
    await sleep(3500)
    const use = rig.log.events.filter(({ name }) => name === 'roomUse')
    t.is(use[0]?.fields['cold'], 1)
    t.false('cold' in (use.at(-1)?.fields ?? {}))
  })
})
