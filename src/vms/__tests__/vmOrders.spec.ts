import { ok } from 'neverthrow'
import { describe, it } from '../../../test/describe.js'
import type { Authority } from '../../ownership/index.js'
import type { Vm, VmCloud, VmState } from '../../ports/index.js'
import { createMemoryLogger, monotonicMs } from '../../shared/index.js'
import { createVmInventoryReader } from '../vmInventory.js'
import { createVmOrders } from '../vmOrders.js'

const vmIn = (state: VmState, targetId: string): Vm => ({
  name: 'm1',
  pool: 'svc',
  state,
  hall: 'h1',
  labels: [],
  capacity: { cpu: 1000, memMb: 1000, gpu: 0 },
  targetId,
})

/** Orders the maintenance of a VM, and shows the list while it is away. */
async function maintainVm() {
  const accepted = async () => ok('accepted' as const)
  const orders = createVmOrders({
    cloud: { move: accepted, maintain: accepted } as unknown as VmCloud,
    authority: { term: 1, isConfirmed: () => true } as unknown as Authority,
    holder: 'n1',
    log: createMemoryLogger(),
  })
  const reader = createVmInventoryReader()
  const show = (vm: Vm): void =>
    orders.applyList(
      reader.adopt({ vms: [vm], unreadable: [], isComplete: true }, monotonicMs()),
    )
  await orders.maintain(vmIn('up', 'i-1'), 1)
  show(vmIn('maintenance', 'i-1'))
  return { orders, show }
}

describe('life that an order has ended', () => {
  it('is told while the VM is away', async (t) => {
    const { orders } = await maintainVm()
    t.deepEqual(orders.endedLives(), ['i-1'])
  })

  it('is told once the next one is up under another id', async (t) => {
    const { orders, show } = await maintainVm()
    show(vmIn('up', 'i-2'))
    t.deepEqual(orders.endedLives(), ['i-1'])
  })

  // One missed call to the next incarnation made its owner give up the runs there, and start their
  // tasks elsewhere, while they went on.
  it('is not told once the next one is up under its id', async (t) => {
    const { orders, show } = await maintainVm()
    show(vmIn('up', 'i-1'))
    t.deepEqual(orders.endedLives(), [])
  })
})
