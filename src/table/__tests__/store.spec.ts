import type { ExecutionContext } from 'ava'
import { describe, it } from '../../../test/describe.js'
import { startStandIn } from '../../../test/standIn.js'
import type { Platform } from '../../platform/index.js'
import { createTableStore } from '../index.js'

async function setUp(t: ExecutionContext) {
  const { standIn, platform } = await startStandIn(t)
  return { standIn, platform, store: createTableStore(platform) }
}

const pool = (name: string, weight: string, limit = '4') => [
  { row: `pool/${name}`, column: 'weight', value: weight },
  { row: `pool/${name}`, column: 'limit', value: limit },
]

/** Wraps a platform so that a step runs before the first transaction of an accept. */
function runBeforeAccept(
  platform: Platform,
  call: 'transact',
  step: () => Promise<unknown>,
): Platform {
  let done = false
  return {
    ...platform,
    async [call](tx) {
      if (!done && tx.opId.startsWith('accept')) {
        done = true
        await step()
      }
      return platform[call](tx)
    },
  }
}

describe('TableStore', () => {
  describe('accept', () => {
    it('advances the head by one epoch and deletes the draft', async (t) => {
      const { store, standIn } = await setUp(t)
      await store.edit('ana', pool('p', '1'))
      t.like((await store.accept('ana'))._unsafeUnwrap(), { kind: 'accepted', epoch: 1 })
      t.like(standIn.row('head') as object, { epoch: 1 })
      t.is(standIn.row('drafts/ana'), undefined)
    })

    it('refuses invalid cells and changes nothing', async (t) => {
      const { store, standIn } = await setUp(t)
      await store.edit('ana', pool('p', 'heavy'))
      const outcome = (await store.accept('ana'))._unsafeUnwrap()
      t.like(outcome, { kind: 'refused', errors: [{ row: 'pool/p', column: 'weight' }] })
      t.is(standIn.row('head'), undefined)
      t.not(standIn.row('drafts/ana'), undefined)
    })

    it('merges with a concurrent accept that commits first', async (t) => {
      const { store, platform } = await setUp(t)
      const racing = createTableStore(
        runBeforeAccept(platform, 'transact', async () => {
          await store.edit('bo', pool('q', '2'))
          await store.accept('bo')
        }),
      )
      await racing.edit('ana', pool('p', '1'))
      t.like((await racing.accept('ana'))._unsafeUnwrap(), { kind: 'accepted', epoch: 2 })
      const head = (await store.head())._unsafeUnwrap()
      t.deepEqual(Object.keys(head?.raw ?? {}).sort(), ['pool/p', 'pool/q'])
    })

    it('names both editors when a concurrent accept changed the same cell', async (t) => {
      const { store, platform } = await setUp(t)
      const racing = createTableStore(
        runBeforeAccept(platform, 'transact', async () => {
          await store.edit('bo', pool('p', '2'))
          await store.accept('bo')
        }),
      )
      await racing.edit('ana', pool('p', '1'))
      const outcome = (await racing.accept('ana'))._unsafeUnwrap()
      t.like(outcome, {
        kind: 'refused',
        conflicts: [
          { mine: { editor: 'ana', value: '1' }, theirs: { editor: 'bo', value: '2' } },
        ],
      })
    })
  })

  describe('lost replies', () => {
    it('do not make an accept fail or take effect twice', async (t) => {
      const { store, platform, standIn } = await setUp(t)
      const losingReply = createTableStore(
        runBeforeAccept(
          platform,
          'transact',
          async () => (standIn.faults.loseReplies = 1),
        ),
      )
      await losingReply.edit('ana', pool('p', '1'))
      t.like((await losingReply.accept('ana'))._unsafeUnwrap(), {
        kind: 'accepted',
        epoch: 1,
      })
      t.is((await store.history(9))._unsafeUnwrap().length, 1)
    })

    it('make the outcome unknown in an outage, and the accept id shows it later', async (t) => {
      const { store, platform, standIn } = await setUp(t)
      const failing = createTableStore(
        runBeforeAccept(platform, 'transact', async () => (standIn.faults.outage = true)),
      )
      await failing.edit('ana', pool('p', '1'))
      const outcome = (await failing.accept('ana'))._unsafeUnwrap()
      if (outcome.kind !== 'unknown') return t.fail(outcome.kind)
      standIn.faults.outage = false
      t.is((await store.findAccept(outcome.acceptId))._unsafeUnwrap(), undefined)
      t.like((await store.accept('ana'))._unsafeUnwrap(), { kind: 'accepted', epoch: 1 })
    })
  })
})
