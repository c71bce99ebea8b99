import { createRowTable } from '../../../playground/sim/rowTable.js'
import { describe, it } from '../../../test/describe.js'
import { ONE_QUEUE as QUEUE, queueNamespaces } from '../../../test/fixtures.js'
import { makeJob } from '../../../test/jobRig.js'
import type { ConfigurationHolder } from '../../directory/index.js'
import type { Configuration } from '../../ports/index.js'
import { createMemoryLogger, sleep } from '../../shared/index.js'
import { createJobService } from '../index.js'
import type { NewJob, OwnerCalls } from '../index.js'

const JOB: NewJob = {
  id: '00000000000000a1',
  spec: '{}',
  steps: [],
  repetitions: 0,
  intervalMs: 0,
  startAtMs: 0,
}

function startService(unread: string[] = [], halls?: string[]) {
  const cordons = new Map<string, number>()
  const current = () => ({ invalidParts: unread }) as unknown as Configuration
  const configuration = {
    current,
    match: () => undefined,
    freshAt: () => Infinity,
    cordons: () => cordons,
  }
  const table = createRowTable()
  const offered: string[] = []
  const expected: string[] = []
  const cancelled: string[] = []
  const log = createMemoryLogger()
  const jobs = createJobService({
    namespaces: queueNamespaces,
    store: table.forNode('n'),
    configuration: configuration as unknown as ConfigurationHolder,
    owners: {
      offer: (job: { id: string }) => void offered.push(job.id),
      expect: (job: { id: string }) => void expected.push(job.id),
      cancel: (_service: string, id: string) => void cancelled.push(id),
    } as unknown as OwnerCalls,
    halls,
    log,
  })
  return { table, jobs, offered, expected, cancelled, cordons, log }
}

describe('createJobService', () => {
  describe('queue that is not in the configuration', () => {
    it('is unknown', (t) => {
      t.deepEqual(startService().jobs.match('q.example', '/q/'), { kind: 'unknown' })
    })

    it('is not ruled out while a route cannot be read', (t) => {
      const { jobs } = startService(['routes.3: unreadable'])
      t.is(jobs.match('q.example', '/q/').kind, 'notReady')
    })
  })

  describe('job that the store cannot accept', () => {
    it('is refused at once, and its owner is notified to expect it', async (t) => {
      const { table, jobs, offered, expected } = startService()
      table.faults.down = true
      t.is((await jobs.submit(QUEUE, JOB)).kind, 'refused')
      t.deepEqual([offered, expected], [[], [JOB.id]])
    })

    // It was accepted, and its row counted as unreadable at every owner that read it.
    it('is refused for good if it has more steps than an owner reads', async (t) => {
      const { table, jobs } = startService()
      const [step] = makeJob({}).steps
      const submit = async (count: number): Promise<string> => {
        const id = count.toString(16).padStart(16, '0')
        const steps = Array.from({ length: count }, () => step!)
        return (await jobs.submit(QUEUE, { ...JOB, id, steps })).kind
      }
      t.is(await submit(200), 'accepted')
      const version = table.version()
      t.is(await submit(201), 'invalid')
      t.is(table.version(), version)
    })

    // Its caller was told to come back, for ever.
    it('is refused for good if its row can never be written', async (t) => {
      const { table, jobs, offered, expected } = startService()
      table.faults.limits = { ...table.faults.limits, rowBytes: 100 }
      t.is((await jobs.submit(QUEUE, JOB)).kind, 'invalid')
      t.deepEqual([offered, expected], [[], []])
    })
  })

  describe('all data halls cordoned', () => {
    const job = { ...JOB, steps: makeJob({}).steps }

    function startCordoned(halls: string[] | undefined = ['h1', 'h2']) {
      const service = startService([], halls)
      for (const hall of ['h1', 'h2']) service.cordons.set(hall, 0)
      return service
    }

    it('refuses a job at once, which is not stored', async (t) => {
      const { table, jobs, offered, log } = startCordoned()
      const res = await jobs.submit(QUEUE, job)
      t.is(res.kind, 'refused')
      t.true(res.kind === 'refused' && res.retryAfterMs >= 1000)
      t.is(table.version(), 0)
      t.deepEqual(offered, [])
      t.like(
        log.events.find(({ name }) => name === 'jobRefused'),
        { fields: { job: JOB.id, failure: 'refused' } },
      )
    })

    // The refusal would say that the job has not run, while it may be running.
    it('accepts a job again that is stored already, or is over', async (t) => {
      const { jobs, cordons } = startCordoned()
      cordons.delete('h2')
      t.is((await jobs.submit(QUEUE, job)).kind, 'accepted')
      cordons.set('h2', 0)
      t.is((await jobs.submit(QUEUE, job)).kind, 'accepted')
    })

    it('accepts jobs that last or are due later', async (t) => {
      const { jobs } = startCordoned()
      const lasting = { ...job, steps: makeJob({}, [{ count: 1, lasting: true }]).steps }
      t.is((await jobs.submit(QUEUE, lasting)).kind, 'accepted')
      const later = { ...job, id: '00000000000000a2', repetitions: 2, intervalMs: 1000 }
      t.is((await jobs.submit(QUEUE, later)).kind, 'accepted')
    })

    it('refuses nothing where one hall is left, or the halls are not known', async (t) => {
      const { jobs, cordons } = startCordoned()
      cordons.delete('h1')
      t.is((await jobs.submit(QUEUE, job)).kind, 'accepted')
      t.is((await startCordoned([]).jobs.submit(QUEUE, job)).kind, 'accepted')
      const unset = startService()
      unset.cordons.set('h1', 0)
      t.is((await unset.jobs.submit(QUEUE, job)).kind, 'accepted')
    })

    it('answers as otherwise while the store is away', async (t) => {
      const { table, jobs, offered } = startCordoned()
      table.faults.down = true
      t.is((await jobs.submit(QUEUE, job)).kind, 'refused')
      t.deepEqual(offered, [])
    })

    it('accepts jobs again once a cordon is lifted', async (t) => {
      const { jobs, cordons } = startCordoned()
      t.is((await jobs.submit(QUEUE, job)).kind, 'refused')
      cordons.delete('h1')
      t.is((await jobs.submit(QUEUE, job)).kind, 'accepted')
    })
  })

  describe('commit without an answer', () => {
    it('is repeated; the job is stored once and the caller is told so', async (t) => {
      const { table, jobs, offered } = startService()
      let calls = 0
      table.faults.lostShare = 0.5
      table.faults.random = () => (calls++ === 0 ? 0 : 1)
      t.deepEqual(await jobs.submit(QUEUE, JOB), { kind: 'accepted' })
      t.is(table.version(), 1)
      t.deepEqual(offered, [JOB.id])
    })

    it('has no effect if the store runs it after its repetition', async (t) => {
      const { table, jobs, offered } = startService()
      let calls = 0
      table.faults.lostShare = 0.5
      table.faults.lateMs = 300
      table.faults.random = () => (calls++ === 0 ? 0 : 1)
      t.deepEqual(await jobs.submit(QUEUE, JOB), { kind: 'accepted' })
      await sleep(400)
      t.is(table.version(), 1)
      t.deepEqual(offered, [JOB.id])
    })

    it('is reported as uncertain, even if its repetitions are refused', async (t) => {
      const { table, jobs } = startService()
      table.faults.lostShare = 1
      setTimeout(() => (table.faults.down = true), 50)
      const res = await jobs.submit(QUEUE, JOB)
      t.is(res.kind, 'uncertain')
    })
  })

  describe('cancel whose commit is not answered', () => {
    for (const lateMs of [0, 300]) {
      it(`succeeds if the store runs the commit after ${lateMs} ms`, async (t) => {
        const { table, jobs, cancelled } = startService()
        const job = { ...JOB, steps: makeJob({}).steps }
        t.is((await jobs.submit(QUEUE, job)).kind, 'accepted')
        let calls = 0
        table.faults.lostShare = 0.5
        table.faults.lateMs = lateMs
        table.faults.random = () => (calls++ === 0 ? 0 : 1)
        t.is((await jobs.cancel(QUEUE, JOB.id)).kind, 'ok')
        t.deepEqual(cancelled, [JOB.id])
      })
    }
  })

  it('refuses a job at once if the store is down', async (t) => {
    const { table, jobs } = startService()
    table.faults.down = true
    const began = performance.now()
    t.is((await jobs.submit(QUEUE, JOB)).kind, 'refused')
    t.true(performance.now() - began < 1000)
  })
})
