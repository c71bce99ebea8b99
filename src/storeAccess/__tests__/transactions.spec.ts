import fc from 'fast-check'
import { createRowTable } from '../../../playground/sim/rowTable.js'
import { describe, it } from '../../../test/describe.js'
import { DEFAULT_STORE_LIMITS } from '../../ports/index.js'
import type { RowStore, RowTransaction, StoreLimits } from '../../ports/index.js'
import { createMemoryLogger } from '../../shared/index.js'
import { createBatches, createStoreAccess, describeExcess } from '../index.js'

const key = (name: string) => ({ table: 'rows', part: 'p', key: name })
const txOf = (more: Partial<RowTransaction>): RowTransaction => ({
  conditions: [],
  puts: [],
  removals: [],
  ...more,
})
const putOf = (name: string, bytes: number) => ({
  ...key(name),
  value: 'x'.repeat(bytes),
})

describe('limits of the store', () => {
  const { entries, rowBytes, nameBytes } = DEFAULT_STORE_LIMITS
  const conditions = (count: number) =>
    Array.from({ length: count }, (_, index) => ({ ...key(`k${index}`), version: 0 }))
  const cases: [what: string, within: RowTransaction, beyond: RowTransaction][] = [
    [
      'entries of a transaction, conditions included',
      txOf({ conditions: conditions(entries - 1), puts: [putOf('a', 1)] }),
      txOf({ conditions: conditions(entries), puts: [putOf('a', 1)] }),
    ],
    [
      'bytes of a row',
      txOf({ puts: [putOf('a', rowBytes)] }),
      txOf({ puts: [putOf('a', rowBytes + 1)] }),
    ],
    [
      'bytes of a key',
      txOf({ puts: [putOf('k'.repeat(nameBytes), 1)] }),
      txOf({ puts: [putOf('k'.repeat(nameBytes + 1), 1)] }),
    ],
    [
      'bytes of a transaction',
      txOf({ puts: ['a', 'b', 'c'].map((name) => putOf(name, 60_000)) }),
      txOf({
        puts: Array.from({ length: 16 }, (_, index) => putOf(`${index}`, 60_000)),
      }),
    ],
  ]
  for (const [what, within, beyond] of cases) {
    it(`are known before a write is sent: ${what}`, async (t) => {
      const table = createRowTable()
      const direct = table.forNode('n')
      let sent = 0
      const counted: RowStore = {
        ...direct,
        commit(tx) {
          sent++
          return direct.commit(tx)
        },
      }
      const log = createMemoryLogger()
      const access = createStoreAccess({ direct: counted, log })
      t.teardown(() => access.stop())
      t.true((await access.store.commit(within)).isOk())
      const res = await access.store.commit(beyond)
      t.is(res.isErr() && res.error.failure, 'rejected')
      t.is(sent, 1)
      t.is(log.events.filter(({ name }) => name === 'writeRejected').length, 1)
      t.is((await direct.commit(beyond)).isErr(), true, 'the stand-in refuses it too')
    })
  }

  it('are never exceeded by a batch, whose estimate is above its bytes', async (t) => {
    const item = fc.record({
      name: fc.string({ minLength: 1, maxLength: 40, unit: 'grapheme-ascii' }),
      bytes: fc.nat({ max: 4000 }),
    })
    const limits: StoreLimits = {
      entries: 11,
      transactionBytes: 9000,
      rowBytes: 4096,
      nameBytes: 200,
    }
    const table = createRowTable()
    table.faults.limits = limits
    const store = table.forNode('n')
    await fc.assert(
      fc.asyncProperty(fc.array(item, { minLength: 1 }), async (items) => {
        const changeOf = ({ name, bytes }: (typeof items)[number]) => ({
          puts: [putOf(name, bytes)],
        })
        const batches = createBatches({ store, changeOf })
        for (let rest = items; rest.length > 0;) {
          const batch = batches.next(rest)
          const tx = txOf({ puts: batch.flatMap((each) => changeOf(each).puts) })
          t.is(describeExcess(tx, limits), undefined)
          t.true((await store.commit(tx)).isOk())
          rest = rest.slice(batch.length)
        }
      }),
      { numRuns: 50 },
    )
    t.deepEqual(table.rejected, [])
  })
})

describe('a batch that the store refuses for good', () => {
  it('is divided until the change at fault is alone', (t) => {
    const store = createRowTable().forNode('n')
    const batches = createBatches<number>({
      store,
      changeOf: (each) => ({ puts: [putOf(String(each), 1)] }),
    })
    const pending = new Set(Array.from({ length: 90 }, (_, index) => index))
    const written: number[] = []
    let refusals = 0
    while (pending.size > 0 && refusals < 50) {
      const batch = batches.next(pending)
      if (batch.includes(61)) {
        refusals++
        const atFault = batches.noteRejected(batch)
        if (atFault !== undefined) pending.delete(atFault)
        continue
      }
      for (const each of batch) pending.delete(each)
      written.push(...batch)
    }
    t.is(written.length, 89)
    t.false(written.includes(61))
    t.true(refusals < 12)
  })
})
