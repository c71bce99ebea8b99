import { describe, it } from '../../../test/describe.js'
import { CAPACITY, QUEUE, createJobRig, makeJob } from '../../../test/jobRig.js'
import type { JobRig, RigOwner } from '../../../test/jobRig.js'
import { serviceLoadSchema } from '../../admission/index.js'
import { sleep } from '../../shared/index.js'
import { NO_EVACUATION } from '../../vms/index.js'
import type { VmCloud } from '../../ports/index.js'

/** Runs `use` with an owner of one target with room for four tasks. */
async function withOwner(
  features: JobRig['features'],
  use: (owner: RigOwner, rig: JobRig) => Promise<void>,
  cloud?: VmCloud,
): Promise<void> {
  const rig = createJobRig()
  rig.features = features
  rig.cloud = cloud
  rig.addTarget('t1')
  try {
    await use(await rig.startOwner(), rig)
  } finally {
    await rig.stop()
  }
}

const ADMISSION = new Set(['admission'] as const)

/** Lets enough tasks end that the run time of the queue is known. */
async function measureRuns(owner: RigOwner, rig: JobRig): Promise<void> {
  const jobs = Array.from({ length: 4 }, () => makeJob({ ms: 50, cpu: 1000 }))
  for (const job of jobs) rig.submit(owner, job)
  await rig.waitForOutcomes(jobs, 3000)
}

describe('load of a service', () => {
  it('is not computed without the feature, nor asked for from the fleet', async (t) => {
    await withOwner(new Set(), async (owner) => {
      await sleep(200)
      t.is(owner.load(), undefined)
      t.false('asksAttainable' in owner.report())
    })
  })

  it('shows idle room, and nothing else meanwhile', async (t) => {
    await withOwner(ADMISSION, async (owner) => {
      await sleep(200)
      const load = owner.load()
      t.is(load?.idleCpu, CAPACITY.cpu)
      t.deepEqual(load?.backlog, [])
      t.true(owner.report().asksAttainable)
    })
  })

  it('shows the waiting work once no room is idle, in a form that fronts accept', async (t) => {
    await withOwner(ADMISSION, async (owner, rig) => {
      await measureRuns(owner, rig)
      rig.submit(owner, makeJob({ ms: 2000, cpu: 1000 }, [{ count: 24 }]))
      await sleep(300)
      const load = owner.load()!
      t.is(load.idleCpu, 0)
      t.is(load.attainableCpu, CAPACITY.cpu)
      t.true(load.runMs[QUEUE.name]! > 0)
      const [part] = load.backlog
      t.is(part!.timelyStarts + part!.lateStarts, 20)
      const sent: unknown = JSON.parse(JSON.stringify(load))
      t.deepEqual(serviceLoadSchema.parse(sent), sent)
    })
  })

  // Before the runs on all targets are known, the room and its use are guesses.
  it('is unknown during a takeover and without a confirmed ownership', async (t) => {
    const rig = createJobRig()
    rig.features = ADMISSION
    rig.addTarget('t1')
    const owner = await rig.startOwnerWithoutWaiting()
    t.is(owner.load(), undefined)
    await owner.inheritedRead
    await sleep(300)
    t.truthy(owner.load())
    owner.confirmed = false
    t.is(owner.load(), undefined)
    await rig.stop()
  })

  it('is computed at most every 100 ms', async (t) => {
    await withOwner(ADMISSION, async (owner) => {
      await sleep(200)
      const { sequence } = owner.load()!
      t.is(owner.load()!.sequence, sequence)
      await sleep(150)
      t.is(owner.load()!.sequence, sequence + 1)
    })
  })

  // Without an answer of the fleet's owner nobody knows how much room the service can get.
  it('names the room that the fleet can give for 1 s after its answer', async (t) => {
    const cloud = { list: async () => undefined } as unknown as VmCloud
    await withOwner(
      ADMISSION,
      async (owner, rig) => {
        owner.evacuate({ ...NO_EVACUATION, attainableCpu: 50_000 })
        await sleep(50)
        rig.submit(owner, makeJob({ ms: 3000, cpu: 1000 }, [{ count: 24 }]))
        await sleep(300)
        t.is(owner.load()?.attainableCpu, 50_000)
        await sleep(1100)
        t.is(owner.load()?.attainableCpu, undefined)
      },
      cloud,
    )
  })
})
