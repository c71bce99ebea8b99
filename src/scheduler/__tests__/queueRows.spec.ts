import { createRowTable } from '../../../playground/sim/rowTable.js'
import { describe, it } from '../../../test/describe.js'
import { SERVICE } from '../../../test/jobRig.js'
import { itInVirtualTime } from '../../../test/virtualTime.js'
import type { Authority } from '../../ownership/index.js'
import { createMemoryLogger, sleep } from '../../shared/index.js'
import { QUEUES_TABLE, createQueueRows } from '../queueRows.js'

function startRows() {
  const table = createRowTable()
  const epoch = { table: 'epochs', part: SERVICE, key: 'epoch' }
  const version = table.put(epoch, '1')
  const authority = {
    service: SERVICE,
    epoch: () => ({ ...epoch, version }),
    adoptEpoch: () => true,
    isLost: () => false,
  } as unknown as Authority
  const rows = createQueueRows({
    store: table.forNode('n'),
    authority,
    inherited: [],
    log: createMemoryLogger(),
    added: () => undefined,
  })
  return { table, rows }
}

const namesOf = (count: number): string[] =>
  Array.from({ length: count }, (_, index) => `queue-${index}`)

describe('rows of queues that have brought jobs', () => {
  // They went into one transaction of more entries than the store takes, which was repeated for ever.
  itInVirtualTime('are all written once their part is back', async (t, clock) => {
    const { table, rows } = startRows()
    table.faults.refusedParts.add(SERVICE)
    for (const name of namesOf(260)) rows.add(name)
    await clock.advance(4500)
    t.is(rows.all().size, 0)
    table.faults.refusedParts.clear()
    await clock.advance(2000)
    t.is(rows.all().size, 260)
    t.is(table.rows(QUEUES_TABLE).length, 260)
    t.deepEqual(table.rejected, [])
  })

  itInVirtualTime('are written although one of them can never be', async (t, clock) => {
    const { table, rows } = startRows()
    const names = [...namesOf(60), 'q'.repeat(201), ...namesOf(120).slice(60)]
    for (const name of names) rows.add(name)
    await clock.advance(5000)
    t.is(rows.all().size, 120)
    const refusals = table.rejected.length
    rows.add('another')
    await clock.advance(5000)
    t.true(rows.has('another'))
    t.is(table.rejected.length, refusals, 'the refused row is not sent again')
  })

  for (const count of [99, 100]) {
    it(`take as few transactions as the limit allows: ${count}`, async (t) => {
      const { table, rows } = startRows()
      const before = table.version()
      for (const name of namesOf(count)) rows.add(name)
      while (rows.all().size < count) await sleep(5)
      // The first row is written alone, as no other is pending at that moment.
      t.true(table.version() - before <= 3)
    })
  }
})
