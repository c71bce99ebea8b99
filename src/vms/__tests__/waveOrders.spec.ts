/** Waves under one owner of the fleet or two, with a cloud and a store that fail, in virtual time. */
import { createRowTable } from '../../../playground/sim/rowTable.js'
import { describe } from '../../../test/describe.js'
import { startFleetOwner } from '../../../test/fleetRig.js'
import { itInVirtualTime } from '../../../test/virtualTime.js'
import type { RowKey, RowStore, Wave } from '../../ports/index.js'
import { STATUS_CHECK_AFTER_MS, WAVES_TABLE } from '../index.js'
import { createSimCloud } from './simCloud.js'
import type { ListFate, OrderFate } from './simCloud.js'

const STATUS: RowKey = { table: 'status', part: '', key: '1' }
const waveOf = (vms: string[], maxDown: number): Wave => ({
  id: 1,
  vms,
  durationMs: 20_000,
  maxDown,
})

/** Starts a cloud of idle VMs, and owners of the fleet one after another. */
function startRig(wave: Wave, pool = 'idle') {
  const cloud = createSimCloud(wave.vms.map(() => pool))
  const table = createRowTable()
  const waves = [wave]
  const cordons = new Map<string, number>()
  const log: string[] = []
  let term = 0
  const startOwner = (more: { store?: RowStore; isConfirmed?(): boolean } = {}) => {
    term++
    const reached = cloud.forOwner(() => false)
    const { fleet } = startFleetOwner({
      cloud: {
        ...reached,
        maintain(vm, id, by) {
          log.push(vm)
          return reached.maintain(vm, id, by)
        },
      },
      services: ['idle', 'a'],
      waves,
      cordons,
      table,
      term,
      ...more,
    })
    return fleet
  }
  const setFault = (order: OrderFate, list: ListFate = 'whole', lateMs = 0): void =>
    void Object.assign(cloud.faults, { order, list, lateMs })
  return {
    cloud,
    table,
    waves,
    cordons,
    /** VMs in the order of the orders to maintain them. */
    ordered: log,
    startOwner,
    setFault,
    status: () => table.get(STATUS)?.value,
  }
}

describe('wave of maintenance', () => {
  describe('orders', () => {
    // Otherwise a wave counts as completed whose VMs the cloud has refused to maintain.
    itInVirtualTime(
      'that the cloud refuses as not due have begun nothing',
      async (t, { advance }) => {
        const rig = startRig(waveOf(['m1', 'm2'], 2))
        rig.setFault('notDue')
        const fleet = rig.startOwner()
        await advance(1900)
        t.is(rig.status(), 'running')
        t.is(rig.ordered.length, 2)
        rig.setFault('done')
        await advance(3000)
        t.is(rig.status(), 'completed')
        t.is(rig.cloud.begun.length, 2)
        void fleet.stop(false)
        await advance(500)
      },
    )

    // Otherwise a busy VM uses up the orders that the cloud accepts per second.
    itInVirtualTime('to a busy VM are repeated after a pause', async (t, { advance }) => {
      const rig = startRig(waveOf(['m1'], 1))
      rig.setFault('busy')
      const fleet = rig.startOwner()
      await advance(2500)
      t.is(rig.ordered.length, 3)
      void fleet.stop(false)
      await advance(500)
    })

    // Otherwise a late order brings one VM too many into maintenance.
    itInVirtualTime(
      'without an answer count as down until they are settled',
      async (t, { advance }) => {
        const rig = startRig(waveOf(['m1', 'm2'], 1))
        rig.cloud.vms[1]!.hall = 'h2'
        rig.setFault('late', 'whole', 4000)
        const fleet = rig.startOwner()
        await advance(1000)
        // Waves take VMs in cordoned halls first.
        rig.cordons.set('h2', 0)
        rig.setFault('lost')
        await advance(2500)
        t.deepEqual([...new Set(rig.ordered)], ['m1'])
        rig.setFault('done')
        await advance(8000)
        t.true(rig.cloud.begun.every(({ others }) => others === 0))
        t.is(rig.status(), 'completed')
        void fleet.stop(false)
        await advance(500)
      },
    )

    // Otherwise a list that is older than the one before shows a VM as up that is in maintenance.
    itInVirtualTime(
      'stay pending until the list shows the next life',
      async (t, { advance }) => {
        const rig = startRig(waveOf(['m1', 'm2'], 1))
        const fleet = rig.startOwner()
        await advance(400)
        t.is(rig.cloud.vms[0]!.state, 'maintenance')
        rig.setFault('done', 'stale')
        await advance(900)
        rig.setFault('done')
        await advance(6000)
        t.true(rig.cloud.begun.every(({ others }) => others === 0))
        t.is(rig.cloud.begun.length, 2)
        void fleet.stop(false)
        await advance(500)
      },
    )
  })

  describe('status', () => {
    // Otherwise 'running' stands for good after a wave has been completed.
    itInVirtualTime(
      'is not changed by a write of an earlier owner that arrives late',
      async (t, { advance }) => {
        const rig = startRig(waveOf(['m1'], 1))
        const held: (() => Promise<unknown>)[] = []
        const direct = rig.table.forNode('n')
        const store: RowStore = {
          ...direct,
          commit(tx) {
            if (tx.puts.every(({ table }) => table !== STATUS.table))
              return direct.commit(tx)
            held.push(() => direct.commit(tx))
            return new Promise(() => undefined)
          },
        }
        rig.setFault('lost')
        let isConfirmed = true
        void rig.startOwner({ store, isConfirmed: () => isConfirmed })
        await advance(1000)
        t.is(held.length, 1)
        isConfirmed = false
        rig.setFault('done')
        const fleet = rig.startOwner()
        await advance(4000)
        t.is(rig.status(), 'completed')
        void held[0]!()
        await advance(1000)
        t.is(rig.status(), 'completed')
        void fleet.stop(false)
        await advance(500)
      },
    )

    // Otherwise it stands for good what an owner of an older software version has written late.
    itInVirtualTime(
      'is put right after an unconditional write of an earlier owner',
      async (t, { advance }) => {
        const rig = startRig(waveOf(['m1'], 1))
        const fleet = rig.startOwner()
        await advance(5000)
        t.is(rig.status(), 'completed')
        rig.table.put(STATUS, 'running')
        await advance(STATUS_CHECK_AFTER_MS)
        t.is(rig.status(), 'completed')
        void fleet.stop(false)
        await advance(500)
      },
    )

    // Otherwise VMs that an earlier owner has wrongly left out are never maintained.
    itInVirtualTime(
      'is put right by a new owner if it is wrong',
      async (t, { advance }) => {
        const rig = startRig(waveOf(['m1', 'm2'], 1))
        rig.table.put(STATUS, 'completed')
        rig.table.put(
          { table: WAVES_TABLE, part: '~fleet', key: '1' },
          '{"begun":["m1"]}',
        )
        const fleet = rig.startOwner()
        rig.setFault('lost')
        await advance(1000)
        t.is(rig.status(), 'running')
        rig.setFault('done')
        await advance(6000)
        t.deepEqual([...new Set(rig.ordered)], ['m2'])
        t.is(rig.status(), 'completed')
        void fleet.stop(false)
        await advance(500)
      },
    )
  })

  // Otherwise each new owner gives a wave its whole time again, and it ends too late.
  itInVirtualTime('keeps its time when its owner is replaced', async (t, { advance }) => {
    const rig = startRig(waveOf(['m1'], 1), 'a')
    const first = rig.startOwner()
    await advance(11_000)
    void first.stop(true)
    const second = rig.startOwner()
    await advance(2000)
    const targets = [
      { id: 'i1', runs: 1, lasting: 1, evacuating: true, usedCpu: 1, suspect: false },
    ]
    const need = { neededCpu: 1, timelyCpu: 1, minTargets: 1 }
    const report = (sequence: number) =>
      second.report({ service: 'a', term: 1, sequence, ...need, targets })
    report(1)
    await advance(300)
    t.deepEqual(report(2)?.hurry, ['i1'])
    void second.stop(false)
    await advance(500)
  })

  // Otherwise the VMs that operators add to a wave are left out.
  itInVirtualTime(
    'goes on with the VMs that operators add to it',
    async (t, { advance }) => {
      const rig = startRig(waveOf(['m1', 'm2'], 2))
      rig.waves[0] = waveOf(['m1'], 2)
      const fleet = rig.startOwner()
      await advance(4000)
      t.is(rig.status(), 'completed')
      rig.waves[0] = waveOf(['m1', 'm2'], 2)
      await advance(4000)
      t.is(rig.cloud.begun.length, 2)
      t.is(rig.status(), 'completed')
      void fleet.stop(false)
      await advance(500)
    },
  )
})
