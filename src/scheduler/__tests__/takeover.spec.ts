import { createRowTable } from '../../../playground/sim/rowTable.js'
import { describe, it } from '../../../test/describe.js'
import { QUEUE, SERVICE, makeJob } from '../../../test/jobRig.js'
import { INTAKE_TABLE, encodeJob, intakeKey } from '../../jobs/index.js'
import type { RowStore } from '../../ports/index.js'
import { createMemoryLogger } from '../../shared/index.js'
import { readIntake } from '../takeover.js'

describe('readIntake', () => {
  // A queue without rows is no part of the table: its first job makes it one.
  const cases: [name: string, queues: string[]][] = [
    ['the first of all', []],
    ['one beside others', ['other']],
  ]
  for (const [name, queues] of cases) {
    it(`misses no job of a queue that comes while it reads: ${name}`, async (t) => {
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
      const intake = (
        await readIntake(store, SERVICE, createMemoryLogger())
      )._unsafeUnwrap()
      const changes = await direct.changes(INTAKE_TABLE, intake.version, 0)
      const later = changes._unsafeUnwrap().changes.map(({ key }) => key)
      const known = [...intake.jobs.map(({ id }) => id), ...later]
      t.true(known.includes(late.id))
    })
  }
})
