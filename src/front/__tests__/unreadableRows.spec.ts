/**
 * Requests about a job with an unreadable row. The caller must be told neither that the job is
 * unknown nor that it has an outcome, because callers take both answers as final.
 */
import { createRowTable } from '../../../playground/sim/rowTable.js'
import { describe, it } from '../../../test/describe.js'
import { queueNamespaces } from '../../../test/fixtures.js'
import { QUEUE, SERVICE, makeJob } from '../../../test/jobRig.js'
import type { ConfigurationHolder } from '../../directory/index.js'
import {
  cancelKey,
  encodeEnded,
  encodeJob,
  endedKey,
  intakeKey,
  progressKey,
} from '../../jobs/index.js'
import type { JobStatus } from '../../jobs/index.js'
import type { RowKey } from '../../ports/index.js'
import { createMemoryLogger } from '../../shared/index.js'
import { createJobService } from '../index.js'
import type { OwnerCalls } from '../index.js'

const ENDED = encodeEnded({
  queue: QUEUE.name,
  service: SERVICE,
  outcome: 'completed',
  tasks: 2,
  acceptedAtMs: 1,
  endedAtMs: 2,
})
/** Texts that are not valid in any row of a job. */
const INVALID_TEXTS = [
  '',
  '\uFFFD',
  'null',
  '[]',
  '{"done":7}',
  '{"id":"x"}',
  'x'.repeat(1 << 20),
]

/** A job service whose owner answers with the given status. */
function startService(known?: JobStatus) {
  const table = createRowTable()
  const log = createMemoryLogger()
  const job = makeJob({ ms: 10 })
  const cancelled: string[] = []
  const jobs = createJobService({
    namespaces: queueNamespaces,
    store: table.forNode('n'),
    configuration: {
      current: () => undefined,
      freshAt: () => 0,
    } as unknown as ConfigurationHolder,
    owners: {
      status: async () => known && { status: known, organisation: undefined },
      offer: () => undefined,
      expect: () => undefined,
      cancel: (_service: string, id: string) => void cancelled.push(id),
    } as unknown as OwnerCalls,
    log,
  })
  const keys = {
    intake: intakeKey(job.queue, job.id),
    ended: endedKey(job.queue, job.id),
    progress: progressKey(SERVICE, job.id),
  }
  const put = (key: RowKey, value: string) => void table.put(key, value)
  const linesOf = (name: string) => log.events.filter((each) => each.name === name)
  return { table, job, jobs, keys, put, linesOf, cancelled }
}

describe('job whose intake row cannot be read', () => {
  for (const text of INVALID_TEXTS) {
    it(`is neither unknown nor finished: ${text.slice(0, 12)}`, async (t) => {
      const { job, jobs, keys, put, linesOf } = startService()
      put(keys.intake, text)
      t.is((await jobs.status(QUEUE, job.id)).kind, 'unavailable')
      t.is((await jobs.cancel(QUEUE, job.id)).kind, 'unavailable')
      t.is((await jobs.submit(QUEUE, job)).kind, 'uncertain')
      const lines = linesOf('rowInvalid')
      t.is(lines.length, 1)
      t.is(lines[0]?.fields['key'], job.id)
    })
  }

  it('is accepted again if its owner knows it', async (t) => {
    const { job, jobs, keys, put } = startService('running')
    put(keys.intake, 'not JSON')
    t.is((await jobs.submit(QUEUE, job)).kind, 'accepted')
    t.deepEqual(await jobs.status(QUEUE, job.id), { kind: 'ok', value: 'running' })
  })

  it('has the outcome of its ended row', async (t) => {
    const { job, jobs, keys, put } = startService()
    put(keys.intake, 'not JSON')
    put(keys.ended, ENDED)
    t.deepEqual(await jobs.status(QUEUE, job.id), { kind: 'ok', value: 'completed' })
    t.is((await jobs.submit(QUEUE, job)).kind, 'accepted')
  })

  it('is not confused with rows whose keys begin with its own', async (t) => {
    const { table, job, jobs, keys, put } = startService()
    put({ ...keys.intake, key: `${job.id}-` }, 'not JSON')
    t.is((await jobs.status(QUEUE, job.id)).kind, 'unknownJob')
    put(keys.intake, encodeJob(job))
    t.deepEqual(await jobs.status(QUEUE, job.id), { kind: 'ok', value: 'queued' })
    t.is((await jobs.cancel(QUEUE, job.id)).kind, 'ok')
    t.truthy(table.get(cancelKey(job.queue, job.id)))
  })
})

describe('job whose progress row cannot be read', () => {
  for (const text of INVALID_TEXTS) {
    it(`has no state derived from its rows: ${text.slice(0, 12)}`, async (t) => {
      const { job, jobs, keys, put } = startService()
      put(keys.intake, encodeJob(job))
      put(keys.progress, text)
      t.is((await jobs.status(QUEUE, job.id)).kind, 'unavailable')
      // The request is stored; the owner of the service carries it out.
      t.is((await jobs.cancel(QUEUE, job.id)).kind, 'ok')
      t.is((await jobs.status(QUEUE, job.id)).kind, 'unavailable')
    })
  }
})

describe('finished job whose row cannot be read', () => {
  for (const text of INVALID_TEXTS) {
    it(`is not unknown, and is not run again: ${text.slice(0, 12)}`, async (t) => {
      const { table, job, jobs, keys, put } = startService()
      put(keys.ended, text)
      t.is((await jobs.status(QUEUE, job.id)).kind, 'unavailable')
      t.is((await jobs.submit(QUEUE, job)).kind, 'uncertain')
      t.is(table.get(keys.intake), undefined)
    })
  }
})
