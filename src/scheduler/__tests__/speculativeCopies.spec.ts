/** Copies of slow tasks, with one failure each. */
import { err } from 'neverthrow'
import { describe, it } from '../../../test/describe.js'
import { createJobRig, makeJob } from '../../../test/jobRig.js'
import type { JobRig, RigOwner } from '../../../test/jobRig.js'
import type { JobSpec } from '../../jobs/index.js'
import type { StartOrder } from '../../ports/index.js'
import { PlatformError, sleep } from '../../shared/index.js'
import { NO_EVACUATION } from '../../vms/index.js'

/** Run time of a task on a target that is not slow, in ms. */
const USUAL_MS = 60
/** Processor room of a task that may have a copy, in thousandths of a core. */
const TASK_CPU = 50

interface Scene {
  rig: JobRig
  owner: RigOwner
  job: JobSpec
  /** Waits until the condition holds; false if it does not within 10 s. */
  until(holds: () => boolean): Promise<boolean>
  /** Fields of all events of the name. */
  events(name: string): Record<string, unknown>[]
  /** What the targets did with the runs of the task that got a copy. */
  runsOfSlowTask(): { what: string; run: number; target: string }[]
}

interface SceneOptions {
  features?: JobRig['features']
  duplicates?: boolean
  /** Factor by which the run on the slow target takes longer. */
  slowness?: number
  /** Whether the run on the slow target fails. */
  failsOnSlow?: boolean
  organisation?: string
  /** Receives the start orders of copies in place of their targets, which do not answer. */
  interceptCopy?(order: StartOrder, passOn: () => void): void
}

const unansweredError = () =>
  err({
    failure: 'unanswered' as const,
    reason: 'no answer',
    cause: new PlatformError('no answer', {
      props: { step: 'test', peer: 'test', failure: 'unknown' as const },
    }),
  })

/**
 * Four tasks on four targets, of which t1 in hall h1 is slow. The other jobs give the work and the
 * room in use by which copies are limited.
 */
async function startScene(opts: SceneOptions = {}): Promise<Scene> {
  const { features = new Set(['speculation'] as const), duplicates = true } = opts
  const rig = createJobRig()
  rig.features = features
  const maximum = { cpu: 100_000, memMb: 0, gpu: 0 }
  if (opts.organisation !== undefined)
    rig.organisations = new Map([
      [
        opts.organisation,
        { name: opts.organisation, keyDigests: [], weight: 1, maximum },
      ],
    ])
  const { open } = rig.orders
  const isCopy = ({ task, run }: StartOrder): boolean =>
    rig.log.events.some(
      ({ name, fields }) =>
        name === 'copyOrdered' && fields['task'] === task && fields['run'] === run,
    )
  rig.orders = {
    open(target) {
      const link = open(target)
      return {
        ...link,
        async start(order, timeoutMs) {
          const passOn = (): void => void link.start(order, timeoutMs)
          if (!opts.interceptCopy || !isCopy(order)) return link.start(order, timeoutMs)
          opts.interceptCopy(order, passOn)
          await sleep(20)
          return unansweredError()
        },
      }
    },
  }
  const capacity = { cpu: 8000, memMb: 10_000, gpu: 0 }
  rig.addTarget('t1', { hall: 'h1', labels: ['r1-1'], capacity })
  rig.addTarget('t2', { hall: 'h1', labels: ['r1-1'], capacity })
  rig.addTarget('t3', { hall: 'h1', labels: ['r1-2'], capacity })
  rig.addTarget('t4', { hall: 'h2', labels: ['r2-1'], capacity })
  const owner = await rig.startOwner()
  // Gives the organisations of the report their allotments.
  owner.report()
  owner.evacuate(NO_EVACUATION)
  const lasting = makeJob({ ms: 0, cpu: 2000 }, [{ count: 1, lasting: true }])
  const work = makeJob({ ms: 100, cpu: 1000 }, [{ count: 8 }])
  rig.submit(owner, lasting)
  rig.submit(owner, work)
  await rig.waitForOutcomes([work], 5000)
  const { faults } = rig.targets.get('t1')!
  faults.slowness = opts.slowness ?? 50
  faults.failsAll = opts.failsOnSlow ?? false
  const { organisation } = opts
  const job = makeJob(
    { ms: USUAL_MS, cpu: TASK_CPU },
    [{ count: 4, maxPerTarget: 1, duplicates }],
    { organisation },
  )
  rig.submit(owner, job)
  const ofJob = () => rig.ledger.entries.filter(({ task }) => task.startsWith(job.id))
  const scene: Scene = {
    rig,
    owner,
    job,
    async until(holds) {
      for (let tries = 0; tries < 1000 && !holds(); tries++) await sleep(10)
      return holds()
    },
    events: (name) =>
      rig.log.events.flatMap((each) => (each.name === name ? [each.fields] : [])),
    runsOfSlowTask() {
      const slow = ofJob().find(({ what, target }) => what === 'start' && target === 't1')
      const own = ofJob().filter(({ task }) => task === slow?.task)
      return own.map(({ what, run, target }) => ({ what, run, target }))
    },
  }
  await scene.until(() => ofJob().filter(({ what }) => what === 'done').length === 3)
  return scene
}

/** Waits until the copy has begun; returns the id of its target. */
async function copyBegun({ until, runsOfSlowTask }: Scene): Promise<string> {
  const starts = () => runsOfSlowTask().filter(({ what }) => what === 'start')
  await until(() => starts().length === 2)
  return starts()[1]!.target
}

const startsOf = ({ runsOfSlowTask }: Scene): number =>
  runsOfSlowTask().filter(({ what }) => what === 'start').length

const completes = ({ rig, job, until }: Scene): Promise<boolean> =>
  until(() => rig.outcomeOf(job) === 'completed')

describe('a copy of a slow task', () => {
  it('runs in another hall under a higher number, and counts once it is done first', async (t) => {
    const scene = await startScene()
    const { rig, runsOfSlowTask, until, events } = scene
    t.true(await completes(scene))
    t.true(await until(() => runsOfSlowTask().some(({ what }) => what === 'stopped')))
    const [first, second, ...ends] = runsOfSlowTask()
    t.is(second!.target, 't4')
    t.true(second!.run > first!.run)
    t.deepEqual(ends, [
      { ...second!, what: 'done' },
      { ...first!, what: 'stopped' },
    ])
    const [ordered] = events('copyOrdered')
    t.is(ordered!['target'], 't4')
    t.true(Number(ordered!['elapsedMs']) > 2 * Number(ordered!['expectedMs']))
    t.is(events('copyEnded')[0]!['outcome'], 'won')
    t.true(Number(events('copyEnded')[0]!['wastedMs']) > 400)
    await rig.stop()
  })

  // Steps may rely on having one run; the platform counts a second one as a broken promise.
  it('is not ordered for a step that does not allow it, or without the feature', async (t) => {
    const scenes = await Promise.all([
      startScene({ duplicates: false, slowness: 25 }),
      startScene({ features: new Set(), slowness: 25 }),
    ])
    for (const scene of scenes) {
      t.true(await completes(scene))
      t.is(startsOf(scene), 1)
      t.deepEqual(scene.events('copyOrdered'), [])
      await scene.rig.stop()
    }
  })

  it('is not ordered while a task waits that could use the room', async (t) => {
    const scene = await startScene({ slowness: 25 })
    const large = makeJob({ ms: 2500, cpu: 8000 }, [{ count: 5 }])
    scene.rig.submit(scene.owner, large)
    t.true(await completes(scene))
    t.is(startsOf(scene), 1)
    await scene.rig.stop()
  })

  it('is not ordered by an owner that the store does not confirm', async (t) => {
    const scene = await startScene({ slowness: 25 })
    scene.owner.confirmed = false
    await sleep(USUAL_MS * 25)
    t.is(startsOf(scene), 1)
    scene.owner.confirmed = true
    t.true(await completes(scene))
    await scene.rig.stop()
  })

  it('changes nothing when it and the other run end in the same report round', async (t) => {
    const scene = await startScene({ slowness: 20 })
    const { rig, until, runsOfSlowTask } = scene
    for (const { id, faults } of rig.targets.values())
      if (id !== 't1') faults.slowness = 10
    await copyBegun(scene)
    for (const { faults } of rig.targets.values()) faults.silent = true
    const doneRuns = () => runsOfSlowTask().filter(({ what }) => what === 'done')
    t.true(await until(() => doneRuns().length === 2))
    for (const { faults } of rig.targets.values()) faults.silent = false
    t.true(await completes(scene))
    await sleep(300)
    t.is(startsOf(scene), 2)
    t.is(scene.events('jobEnded').filter(({ job }) => job === scene.job.id).length, 1)
    await rig.stop()
  })

  // An order that arrives after the task was done would run the task again.
  for (const lateMs of [0, 250]) {
    const fate = lateMs === 0 ? 'is lost' : 'arrives late'
    it(`is fenced when its order ${fate}, and the other run counts`, async (t) => {
      let orders = 0
      const scene = await startScene({
        slowness: 20,
        interceptCopy(_order, passOn) {
          orders++
          if (lateMs > 0) setTimeout(passOn, lateMs)
        },
      })
      t.true(await completes(scene))
      await sleep(400)
      t.true(orders > 0)
      t.is(startsOf(scene), 1)
      t.is(scene.events('copyEnded')[0]!['outcome'], 'ended')
      await scene.rig.stop()
    })
  }

  it('is given up with its target, and the other run goes on', async (t) => {
    const scene = await startScene({ slowness: 25 })
    const { rig, until, events } = scene
    for (const { id, faults } of rig.targets.values())
      if (id !== 't1') faults.slowness = 100
    const target = await copyBegun(scene)
    rig.targets.get(target)!.crash()
    rig.targets.delete(target)
    rig.removeListEntry(target)
    t.true(await until(() => events('copyEnded').length === 1))
    t.is(events('copyEnded')[0]!['outcome'], 'ended')
    t.true(await completes(scene))
    t.is(startsOf(scene), 2)
    await rig.stop()
  })

  it('goes on alone when the other run fails, which counts as an attempt', async (t) => {
    const scene = await startScene({ slowness: 15, failsOnSlow: true })
    const { rig, events } = scene
    for (const { id, faults } of rig.targets.values())
      if (id !== 't1') faults.slowness = 15
    await copyBegun(scene)
    t.true(await completes(scene))
    t.deepEqual(
      scene.runsOfSlowTask().map(({ what }) => what),
      ['start', 'start', 'failed', 'done'],
    )
    t.is(events('copyEnded')[0]!['outcome'], 'promoted')
    await rig.stop()
  })

  it('is stopped with the other run when the job is cancelled', async (t) => {
    const scene = await startScene()
    const { rig, owner, job, until, runsOfSlowTask, events } = scene
    for (const { faults } of rig.targets.values()) faults.slowness = 100
    await copyBegun(scene)
    owner.cancel(job.id)
    const stopped = () => runsOfSlowTask().filter(({ what }) => what === 'stopped')
    t.true(await until(() => stopped().length === 2))
    t.is(events('copyEnded')[0]!['outcome'], 'cancelled')
    t.true(await until(() => rig.outcomeOf(job) === 'cancelled'))
    t.is(startsOf(scene), 2)
    await rig.stop()
  })

  it('counts when its target is no longer listed', async (t) => {
    const scene = await startScene()
    const { rig } = scene
    for (const { id, faults } of rig.targets.values())
      if (id !== 't1') faults.slowness = 5
    rig.removeListEntry(await copyBegun(scene))
    t.true(await completes(scene))
    t.is(scene.events('copyEnded')[0]!['outcome'], 'won')
    t.is(startsOf(scene), 2)
    await rig.stop()
  })

  it('is adopted beside the other run by the next owner', async (t) => {
    const scene = await startScene({ slowness: 40 })
    const { rig, owner, until, runsOfSlowTask, events } = scene
    for (const { id, faults } of rig.targets.values())
      if (id !== 't1') faults.slowness = 20
    await copyBegun(scene)
    owner.live = false
    await rig.startOwner()
    const [{ task }] = events('copyOrdered') as [{ task: string }]
    const adopted = () => events('runAdopted').filter((each) => each['task'] === task)
    t.true(await until(() => adopted().length === 2))
    t.deepEqual(
      adopted().map(({ isCopy }) => isCopy === true),
      [false, true],
    )
    t.true(await completes(scene))
    t.true(await until(() => runsOfSlowTask().some(({ what }) => what === 'stopped')))
    t.is(startsOf(scene), 2)
    await rig.stop()
  })

  it('or the other run is stopped by a next owner without the feature', async (t) => {
    const scene = await startScene({ slowness: 40 })
    const { rig, owner, until, runsOfSlowTask } = scene
    for (const { id, faults } of rig.targets.values())
      if (id !== 't1') faults.slowness = 20
    await copyBegun(scene)
    owner.live = false
    rig.features = new Set()
    await rig.startOwner()
    t.true(await until(() => runsOfSlowTask().some(({ what }) => what === 'stopped')))
    t.true(await completes(scene))
    t.is(startsOf(scene), 2)
    await rig.stop()
  })

  it('counts towards the quota of its organisation', async (t) => {
    const scene = await startScene({ slowness: 40, organisation: 'org' })
    const { rig, owner } = scene
    for (const { id, faults } of rig.targets.values())
      if (id !== 't1') faults.slowness = 20
    await copyBegun(scene)
    t.is(owner.report().quotas?.['org']?.wanted.cpu, 2 * TASK_CPU)
    t.true(await completes(scene))
    t.true(await scene.until(() => owner.report().quotas?.['org']?.wanted.cpu === 0))
    await rig.stop()
  })
})
