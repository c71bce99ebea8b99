/**
 * A front on the node of the owner, under more load than its target can serve. Guards against refused
 * jobs that run nevertheless, accepted ones that are lost, and refusals with room to spare.
 */
import type { ExecutionContext } from 'ava'
import { describe, it } from '../../../test/describe.js'
import { queueNamespaces } from '../../../test/fixtures.js'
import { NODE, QUEUE, createJobRig, makeJob } from '../../../test/jobRig.js'
import type { JobRig, RigOwner } from '../../../test/jobRig.js'
import { createFrontAdmission } from '../../admission/index.js'
import type { ConfigurationHolder } from '../../directory/index.js'
import { intakeKey, jobIdOf } from '../../jobs/index.js'
import type { JobSpec } from '../../jobs/index.js'
import type { NodeRegistry } from '../../ownership/index.js'
import { sleep } from '../../shared/index.js'
import { createJobService, createOwnerCalls } from '../index.js'
import type { LocalOwners, NodeClients } from '../index.js'

/** Eight tasks, which take the only target 0.1 s. */
const makeShortJob = (): JobSpec => makeJob({ ms: 50, cpu: 1000 }, [{ count: 8 }])

/** Starts a front on the owner's node. */
function startFront(rig: JobRig, owner: RigOwner) {
  const local = { service: () => owner, fleet: () => undefined }
  const owners = createOwnerCalls({
    registry: {} as NodeRegistry,
    local: local as unknown as LocalOwners,
    clients: {} as NodeClients,
    log: rig.log,
  })
  const configuration = { current: () => undefined, freshAt: () => 0 }
  return createJobService({
    namespaces: queueNamespaces,
    store: rig.table.forNode(NODE),
    configuration: configuration as unknown as ConfigurationHolder,
    owners,
    admission: createFrontAdmission({ loadOf: owners.load }),
    log: rig.log,
  })
}

/** Submits jobs, some every 20 ms; returns them by the kind of the answer. */
async function submitJobs(rig: JobRig, owner: RigOwner, count: number, perTurn: number) {
  const front = startFront(rig, owner)
  const jobs: Record<string, JobSpec[]> = { accepted: [], refused: [] }
  for (let number = 0; number < count; number++) {
    const job = makeShortJob()
    const { kind } = await front.submit(QUEUE, job)
    jobs[kind]?.push(job)
    if (number % perTurn === 0) await sleep(20)
  }
  return { accepted: jobs['accepted']!, refused: jobs['refused']! }
}

/** Runs `use` with an owner that knows the run times of its queue. */
async function withOwner(
  t: ExecutionContext,
  use: (rig: JobRig, owner: RigOwner) => Promise<void>,
): Promise<void> {
  const rig = createJobRig()
  t.teardown(rig.stop)
  rig.features = new Set(['admission'] as const)
  rig.addTarget('t1')
  const owner = await rig.startOwner()
  const first = [makeShortJob(), makeShortJob()]
  for (const job of first) rig.submit(owner, job)
  t.true(await rig.waitForOutcomes(first, 5000))
  await use(rig, owner)
}

describe('front on the node of the owner', () => {
  it('refuses what cannot be served, keeps what it accepts and runs nothing else', async (t) => {
    await withOwner(t, async (rig, owner) => {
      const { accepted, refused } = await submitJobs(rig, owner, 120, 3)
      t.true(refused.length > 0)
      t.true(await rig.waitForOutcomes(accepted, 30_000))
      const started = new Set(rig.ledger.entries.map(({ task }) => jobIdOf(task)))
      for (const job of refused) {
        t.false(started.has(job.id))
        t.is(rig.table.get(intakeKey(job.queue, job.id)), undefined)
      }
    })
  })

  it('refuses nothing while the target keeps up', async (t) => {
    await withOwner(t, async (rig, owner) => {
      const front = startFront(rig, owner)
      for (let number = 0; number < 20; number++) {
        t.is((await front.submit(QUEUE, makeShortJob())).kind, 'accepted')
        await sleep(150)
      }
    })
  })
})
