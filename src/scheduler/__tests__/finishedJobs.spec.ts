/**
 * Guards against takeovers that never end because finished jobs are read as well. After a power
 * loss of all nodes on slow links, new owners read every job of the last minutes, gave up when
 * a page exceeded the time-out, and began again. A minute later no job had run and 635 accepted
 * jobs counted as lost, although the store answered in 4 ms.
 */
import type { createRowTable } from '../../../playground/sim/rowTable.js'
import { describe, it } from '../../../test/describe.js'
import { queueNamespaces } from '../../../test/fixtures.js'
import { QUEUE, SERVICE, createJobRig, makeJob } from '../../../test/jobRig.js'
import { createJobService } from '../../front/index.js'
import type { OwnerCalls } from '../../front/index.js'
import type { ConfigurationHolder } from '../../directory/index.js'
import {
  ENDED_TABLE,
  INTAKE_TABLE,
  PROGRESS_TABLE,
  cancelKey,
  encodeJob,
  intakeKey,
} from '../../jobs/index.js'
import { createMemoryLogger, sleep } from '../../shared/index.js'
import { MAX_FINISHED_WAIT_MS } from '../constants.js'

/** Time after which the rows of a finished job have been moved, in ms. */
const MOVE_DELAY_MS = 2 * MAX_FINISHED_WAIT_MS + 1000

/** Creates the job service of a node, and records the row versions that it offers to owners. */
function startFront(table: ReturnType<typeof createRowTable>) {
  const offered: number[] = []
  const owners = {
    offer: (_job: unknown, rowVersion: number) => void offered.push(rowVersion),
    status: async () => undefined,
    cancel: () => undefined,
  } as unknown as OwnerCalls
  const jobs = createJobService({
    namespaces: queueNamespaces,
    store: table.forNode('n'),
    configuration: {
      current: () => undefined,
      freshAt: () => 0,
    } as unknown as ConfigurationHolder,
    owners,
    log: createMemoryLogger(),
  })
  return { jobs, offered }
}

/** Starts a rig with an owner and a job that has just ended. */
async function startWithSettled() {
  const rig = createJobRig()
  rig.addTarget('t1')
  const owner = await rig.startOwner()
  const job = makeJob({ ms: 20, cpu: 400 })
  rig.submit(owner, job)
  const { version } = rig.table.get(intakeKey(job.queue, job.id))!
  await rig.waitForOutcomes([job], 3000)
  return { rig, owner, job, version }
}

/** The same, after the rows of the job have been moved. */
async function startWithEnded() {
  const started = await startWithSettled()
  await sleep(MOVE_DELAY_MS)
  return started
}

describe('rows of finished jobs', () => {
  it('leave the intake and the progress, so that a takeover reads open jobs only', async (t) => {
    const { rig, job } = await startWithEnded()
    const open = makeJob({ ms: 0, cpu: 400 })
    rig.table.put(intakeKey(open.queue, open.id), encodeJob(open))
    t.deepEqual(
      rig.table.rows(INTAKE_TABLE).map(({ key }) => key),
      [open.id],
    )
    t.deepEqual(rig.table.rows(PROGRESS_TABLE), [])
    t.deepEqual(
      rig.table.rows(ENDED_TABLE).map(({ key }) => key),
      [job.id],
    )
    await rig.stop()
  })

  it('answer status and cancel requests that no owner answers', async (t) => {
    const { rig, job } = await startWithEnded()
    const { jobs } = startFront(rig.table)
    t.deepEqual(await jobs.status(QUEUE, job.id), { kind: 'ok', value: 'completed' })
    t.deepEqual(await jobs.cancel(QUEUE, job.id), { kind: 'ok', value: undefined })
    t.is(rig.table.get(cancelKey(job.queue, job.id)), undefined)
    await rig.stop()
  })

  it('keep a job that is submitted again from running twice', async (t) => {
    const { rig, job } = await startWithEnded()
    const { jobs, offered } = startFront(rig.table)
    t.deepEqual(await jobs.submit(QUEUE, job), { kind: 'accepted' })
    t.deepEqual(offered, [])
    t.deepEqual(rig.table.rows(INTAKE_TABLE), [])
    await rig.stop()
  })

  // A node that is paused between the store's reply and its offer sends the offer much later.
  it('make the next owner ignore a late offer', async (t) => {
    const { rig, job, version } = await startWithEnded()
    const next = await rig.startOwner()
    next.offer(job, version)
    await sleep(300)
    t.is(rig.ledger.entries.filter(({ what }) => what === 'start').length, 2)
    const fresh = makeJob({ ms: 20, cpu: 400 })
    rig.submit(next, fresh)
    t.true(await rig.waitForOutcomes([fresh], 3000))
    await rig.stop()
  })

  it('are moved by the next owner if the previous one has not done so', async (t) => {
    const { rig, owner, job } = await startWithSettled()
    owner.live = false
    await rig.startOwner()
    await sleep(MOVE_DELAY_MS)
    t.deepEqual(rig.table.rows(INTAKE_TABLE), [])
    t.deepEqual(rig.table.rows(PROGRESS_TABLE), [])
    t.is(rig.outcomeOf(job), 'completed')
    await rig.stop()
  })

  it('are removed if only a progress row is left', async (t) => {
    const rig = createJobRig()
    const progress = { done: {}, failedRuns: {}, checkpoints: {}, outcome: 'completed' }
    const key = { table: PROGRESS_TABLE, part: SERVICE, key: '00000000000000ff' }
    rig.table.put(key, JSON.stringify(progress))
    await rig.startOwner()
    await sleep(MOVE_DELAY_MS)
    t.deepEqual(rig.table.rows(PROGRESS_TABLE), [])
    await rig.stop()
  })

  it('stay while the store refuses writes, and are moved when it accepts them again', async (t) => {
    const { rig, job } = await startWithSettled()
    rig.table.faults.refusedParts.add(intakeKey(job.queue, job.id).part)
    await sleep(MOVE_DELAY_MS)
    t.is(rig.table.rows(INTAKE_TABLE).length, 1)
    rig.table.faults.refusedParts.clear()
    await sleep(MOVE_DELAY_MS)
    t.is(rig.table.rows(INTAKE_TABLE).length, 0)
    await rig.stop()
  })
})
