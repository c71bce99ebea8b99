import { createRowTable } from '../../../playground/sim/rowTable.js'
import { describe, it } from '../../../test/describe.js'
import { QUEUE, SERVICE, makeJob } from '../../../test/jobRig.js'
import {
  INTAKE_TABLE,
  cancelKey,
  encodeJob,
  encodeProgress,
  createJob,
  intakeKey,
  progressKey,
} from '../../jobs/index.js'
import type { RowStore } from '../../ports/index.js'
import type { Authority } from '../../ownership/index.js'
import {
  createMemoryLogger,
  createStopController,
  createInvalidRows,
  sleep,
} from '../../shared/index.js'
import { createPartsReading, intakeVersion } from '../intakeReading.js'
import { readInheritedUntilDone } from '../takeover.js'

/** Creates a read of all parts, and collects the ids of the jobs that it passes on. */
function startParts(store: RowStore, first: string[] = []) {
  const ids: string[] = []
  const reading = createPartsReading({
    store,
    service: SERVICE,
    unreadableRows: createInvalidRows(createMemoryLogger(), INTAKE_TABLE),
    isReadFirst: (queue) => first.includes(queue),
    handler: {
      job: ({ id }) => void ids.push(id),
      cancel: () => undefined,
      unreadableJob: () => undefined,
      rowsRead: () => undefined,
      partsRead: () => undefined,
    },
    throttle: async () => undefined,
  })
  return { reading, ids }
}

describe('createPartsReading', () => {
  // All rows of a part were in memory at once.
  it('reads a large part a number of rows at a time, each job with its cancel request', async (t) => {
    const table = createRowTable()
    const { queue } = makeJob({})
    const jobs = Array.from({ length: 450 }, (_, index) => ({
      ...makeJob({}),
      id: `${index.toString(16).padStart(15, '0')}1`,
    }))
    for (const job of jobs) {
      table.put(intakeKey(queue, job.id), encodeJob(job))
      table.put(cancelKey(queue, job.id), '{}')
    }
    const direct = table.forNode('n')
    let most = 0
    const handled: string[] = []
    const reading = createPartsReading({
      store: {
        ...direct,
        async read(name, part, range) {
          const res = await direct.read(name, part, range)
          if (res.isOk()) most = Math.max(most, res.value.rows.length)
          handled.push('read')
          return res
        },
      },
      service: SERVICE,
      unreadableRows: createInvalidRows(createMemoryLogger(), INTAKE_TABLE),
      isReadFirst: () => true,
      handler: {
        job: ({ id }) => void handled.push(id),
        cancel: (id) => void handled.push(`cancel ${id}`),
        unreadableJob: () => undefined,
        rowsRead: () => undefined,
        partsRead: () => undefined,
      },
      throttle: async () => undefined,
    })
    t.true((await reading.resume()).isOk())
    t.true(most <= 200)
    t.true(handled.filter((each) => each === 'read').length > 4)
    for (const { id } of jobs) {
      const index = handled.indexOf(id)
      t.is(handled[index + 1], `cancel ${id}`)
      t.is(handled.lastIndexOf(id), index)
    }
  })

  // A queue without rows has no part in the table; its first job adds one.
  const cases: [name: string, queues: string[]][] = [
    ['the first queue', []],
    ['one of several queues', ['other']],
  ]
  for (const [name, queues] of cases) {
    it(`misses no job of a queue that appears during the read: ${name}`, async (t) => {
      const table = createRowTable()
      for (const queue of queues) {
        const job = { ...makeJob({}), queue }
        table.put(intakeKey(queue, job.id), encodeJob(job))
      }
      const late = makeJob({})
      const direct = table.forNode('n')
      const store: RowStore = {
        ...direct,
        async parts(name) {
          const parts = await direct.parts(name)
          table.put(intakeKey(QUEUE.name, late.id), encodeJob(late))
          return parts
        },
      }
      const version = (await intakeVersion(store, SERVICE))._unsafeUnwrap()
      const { reading, ids } = startParts(store)
      t.true((await reading.resume()).isOk())
      const changes = await direct.changes(INTAKE_TABLE, version, 0)
      const later = changes._unsafeUnwrap().changes.map(({ key }) => key)
      const known = [...ids, ...later]
      t.true(known.includes(late.id))
    })
  }

  it('continues after a failure without reading any part twice', async (t) => {
    const table = createRowTable()
    const jobs = Array.from({ length: 16 }, () => makeJob({}))
    for (const job of jobs) table.put(intakeKey(job.queue, job.id), encodeJob(job))
    const direct = table.forNode('n')
    const reads: string[] = []
    table.faults.refusedParts.add('queue/3')
    const store: RowStore = {
      ...direct,
      read(name, part, range) {
        reads.push(part)
        return direct.read(name, part, range)
      },
    }
    const { reading, ids } = startParts(store)
    t.true((await reading.resume()).isErr())
    table.faults.refusedParts.clear()
    t.true((await reading.resume()).isOk())
    t.deepEqual(ids.sort(), jobs.map(({ id }) => id).sort())
    const counts = reads.filter((part) => part !== 'queue/3' && part !== '')
    t.is(new Set(counts).size, counts.length)
  })

  it('reads the queues of its service before the others', async (t) => {
    const table = createRowTable()
    const others = Array.from({ length: 16 }, () => ({ ...makeJob({}), queue: 'other' }))
    const own = Array.from({ length: 8 }, () => makeJob({}))
    for (const job of [...others, ...own])
      table.put(intakeKey(job.queue, job.id), encodeJob(job))
    const { reading, ids } = startParts(table.forNode('n'), [QUEUE.name])
    await reading.resume()
    t.deepEqual(ids.slice(0, own.length).sort(), own.map(({ id }) => id).sort())
    t.is(ids.length, own.length + others.length)
  })
})

describe('readInheritedUntilDone', () => {
  /** Starts a read for an authority that may not give orders, from a store that is down. */
  function startReading() {
    const table = createRowTable()
    const job = makeJob({})
    const progress = encodeProgress(createJob(job, 0))
    table.put(progressKey(SERVICE, job.id), progress)
    table.faults.down = true
    const state = { lost: false }
    const authority = {
      service: SERVICE,
      mayOrder: () => false,
      isLost: () => state.lost,
    } as unknown as Authority
    const { signal } = createStopController()
    const log = createMemoryLogger()
    const store = table.forNode('n')
    const inherited = readInheritedUntilDone({
      store,
      authority,
      log,
      signal,
    })
    return { table, job, state, inherited }
  }

  // If an expired lease ended the read, the owner would know of no job, and nothing of the
  // service would run after the lease was confirmed again.
  it('continues while the lease is expired, as it may be confirmed again', async (t) => {
    const { table, job, inherited } = startReading()
    await sleep(300)
    table.faults.down = false
    const { progress } = await inherited
    t.deepEqual([...progress.keys()], [job.id])
  })

  it('ends when another node has taken over', async (t) => {
    const { state, inherited } = startReading()
    state.lost = true
    t.is((await inherited).progress.size, 0)
  })
})
