import { readFileSync } from 'node:fs'
import fc from 'fast-check'
import { describe, it } from '../../../test/describe.js'
import { createMemoryLogger } from '../../shared/index.js'
import {
  LINE_KINDS,
  applyEdits,
  checkTable,
  columnsOf,
  createTableHolder,
  diffTables,
  exportCsv,
  hashTable,
  importCsv,
  mergeDraft,
} from '../index.js'
import type { AcceptedTable, CellEdit, RawTable } from '../index.js'

const GOOD: RawTable = {
  'pool/p': { weight: '1', limit: '4' },
  'service/s': { weight: '1', limit: '10', pool: 'p' },
  'wave/w': { weight: '1', limit: '1', pool: 'p' },
}

/** Raw tables of few rows and columns, so that edits collide. */
const rawTable: fc.Arbitrary<RawTable> = fc.dictionary(
  fc.constantFrom('pool/a', 'pool/b', 'service/c', 'wave/d'),
  fc.dictionary(
    fc.constantFrom('weight', 'limit', 'pool'),
    fc.constantFrom('1', '2', 'x'),
    { minKeys: 1 },
  ),
)

describe('checkTable', () => {
  it('fills in defaults', (t) => {
    const table = checkTable(GOOD)._unsafeUnwrap()
    t.like(table.services.get('s'), { instances: 1, slots: 8, priority: 'normal' })
  })

  it('lists every invalid cell with row, column, value and rule', (t) => {
    const raw: RawTable = {
      ...GOOD,
      'pool/p': { weight: '-1', limit: '4.5' },
      'service/s': { weight: '1', limit: '10', pool: 'q', colour: 'red' },
      'pool/reserve': { weight: '1', limit: '1' },
      'host/x': {},
    }
    const errors = checkTable(raw)._unsafeUnwrapErr()
    const cells = errors.map(({ row, column, value }) => `${row} ${column} ${value}`)
    t.true(cells.includes('pool/p weight -1'))
    t.true(cells.includes('pool/p limit 4.5'))
    t.true(cells.includes('service/s colour red'))
    t.true(cells.includes('pool/reserve name reserve'))
    t.true(cells.includes('host/x name host/x'))
    for (const { rule } of errors) t.not(rule, '')
  })

  it('rejects references to unknown pools', (t) => {
    const raw = { ...GOOD, 'wave/w': { weight: '1', limit: '1', pool: 'q' } }
    t.like(checkTable(raw)._unsafeUnwrapErr()[0], {
      row: 'wave/w',
      column: 'pool',
      value: 'q',
    })
  })
})

describe('mergeDraft', () => {
  const edit = (
    row: string,
    column: string,
    value: string | null,
    editor: string,
  ): CellEdit => ({
    row,
    column,
    value,
    editor,
  })

  it('names both editors and both values of a conflict', (t) => {
    const mine = [edit('pool/p', 'limit', '5', 'ana')]
    const theirs = [edit('pool/p', 'limit', '6', 'bo')]
    const { conflicts } = mergeDraft(applyEdits(GOOD, theirs), mine, theirs)
    t.deepEqual(conflicts, [
      {
        row: 'pool/p',
        column: 'limit',
        mine: { editor: 'ana', value: '5' },
        theirs: { editor: 'bo', value: '6' },
      },
    ])
  })

  it('accepts equal edits and edits of other cells without conflict', (t) => {
    const theirs = [
      edit('pool/p', 'limit', '6', 'bo'),
      edit('pool/p', 'weight', '2', 'bo'),
    ]
    const mine = [
      edit('pool/p', 'limit', '6', 'ana'),
      edit('wave/w', 'limit', '2', 'ana'),
    ]
    const { merged, conflicts } = mergeDraft(applyEdits(GOOD, theirs), mine, theirs)
    t.deepEqual(conflicts, [])
    t.deepEqual(merged['pool/p'], { weight: '2', limit: '6' })
    t.is(merged['wave/w']?.['limit'], '2')
  })

  it('reports a conflict between the removal of a line and an edit of it', (t) => {
    const theirs = [edit('wave/w', '*', null, 'bo')]
    const mine = [edit('wave/w', 'limit', '2', 'ana')]
    t.is(mergeDraft(applyEdits(GOOD, theirs), mine, theirs).conflicts.length, 1)
  })

  it('loses no edit: without conflicts the result equals both naive merges', (t) => {
    fc.assert(
      fc.property(rawTable, rawTable, rawTable, (base, ours, others) => {
        const mine = diffTables(base, ours, 'ana')
        const theirs = diffTables(base, others, 'bo')
        const { merged, conflicts } = mergeDraft(others, mine, theirs)
        if (conflicts.length > 0) return
        // The naive merges apply our edits to their table, and their edits to ours.
        t.deepEqual(merged, applyEdits(others, mine))
        t.deepEqual(merged, applyEdits(ours, theirs))
      }),
    )
  })
})

describe('diffTables', () => {
  it('turns one table into the other', (t) => {
    fc.assert(
      fc.property(rawTable, rawTable, (from, to) => {
        t.deepEqual(applyEdits(from, diffTables(from, to, 'ana')), to)
      }),
    )
  })
})

describe('CSV', () => {
  it('imports what it exported', (t) => {
    fc.assert(
      fc.property(rawTable, (raw) => {
        t.deepEqual(importCsv(exportCsv(raw))._unsafeUnwrap(), raw)
      }),
    )
  })

  const bad: [string, string, RegExp][] = [
    ['an empty sheet', '', /heading is required/],
    ['an unknown column', 'kind,name,colour\n', /line 1: unknown column 'colour'/],
    ['a missing column', 'kind,weight\n', /line 1: column 'name' is missing/],
    [
      'a duplicate line',
      'kind,name,weight\npool,a,1\npool,a,2\n',
      /line 3: 'pool\/a' stands twice/,
    ],
    ['an unknown kind', 'kind,name\nhost,a\n', /line 2: 'host\/a'/],
    ['a line with missing cells', 'kind,name\npool\n', /Record Length/],
  ]
  for (const [what, text, expected] of bad) {
    it(`refuses ${what}, naming the place`, (t) => {
      t.regex(importCsv(text)._unsafeUnwrapErr().message, expected)
    })
  }

  it('never throws, whatever the text', (t) => {
    const word = fc.constantFrom(',', '"', '\n', '\r\n', 'kind,name', 'pool', '__proto__')
    const text = fc.array(fc.oneof(word, fc.string())).map((parts) => parts.join(''))
    fc.assert(fc.property(text, (sheet) => typeof importCsv(sheet).isOk() === 'boolean'))
    t.pass()
  })
})

describe('createTableHolder', () => {
  const accepted = (epoch: number, raw: RawTable = GOOD): AcceptedTable => {
    const hash = hashTable(epoch, raw)
    return { epoch, acceptId: `a${epoch}`, hash, editor: 'ana', at: '', raw, changes: [] }
  }

  it('never returns to an older epoch, in whatever order tables are offered', (t) => {
    fc.assert(
      fc.property(fc.array(fc.integer({ min: 1, max: 9 })), (epochs) => {
        const holder = createTableHolder(createMemoryLogger())
        let highest = 0
        for (const epoch of epochs) {
          holder.offer(accepted(epoch), 'peer')
          highest = Math.max(highest, epoch)
          t.is(holder.current()?.epoch, highest)
        }
      }),
    )
  })

  it('refuses a table with a wrong hash or invalid cells, and keeps the one in force', (t) => {
    const log = createMemoryLogger()
    const holder = createTableHolder(log)
    holder.offer(accepted(1), 'platform')
    t.false(holder.offer({ ...accepted(2), hash: 'x' }, 'peer'))
    t.false(holder.offer(accepted(3, { 'pool/p': { weight: 'x' } }), 'peer'))
    t.is(holder.current()?.epoch, 1)
    t.deepEqual(
      log.events.map(({ name }) => name),
      ['epochInForce', 'epochIgnored', 'tableInvalid'],
    )
  })
})

describe('docs/table.md', () => {
  it('describes every column of every kind of line', (t) => {
    const page = readFileSync('docs/table.md', 'utf8')
    for (const kind of LINE_KINDS) {
      const part = page.split(`## ${kind}`)[1]?.split('\n## ')[0] ?? ''
      const listed = [...part.matchAll(/^\| `(\w+)` +\|/gm)].map(([, column]) => column!)
      t.deepEqual(listed, columnsOf(kind), kind)
    }
  })
})
