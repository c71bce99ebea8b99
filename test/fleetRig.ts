/** Owner of the fleet with an in-memory store. */
import { createRowTable } from '../playground/sim/rowTable.js'
import type { ConfigurationHolder } from '../src/directory/index.js'
import type { Authority } from '../src/ownership/index.js'
import type { Documents, VmCloud, Wave } from '../src/ports/index.js'
import { createMemoryLogger } from '../src/shared/index.js'
import { createFleetOwner } from '../src/vms/index.js'
import type { FleetOwner } from '../src/vms/index.js'

const EPOCH = { table: 'epochs', part: '~fleet', key: 'epoch' }
/** Pool of the VMs that are switched off. */
const SPARE_POOL = 'idle'

/** Starts an owner of the fleet, by default right after one that has released its lease. */
export function startFleetOwner(opts: {
  cloud: VmCloud
  services: string[]
  sparePool?: string
  waves?: Wave[]
  predecessorLeaseOverAt?: number
  ordersPerSecond?: number
  isConfirmed?(): boolean
}): { fleet: FleetOwner; table: ReturnType<typeof createRowTable> } {
  const { sparePool = SPARE_POOL, isConfirmed = () => true } = opts
  const table = createRowTable()
  const version = table.put(EPOCH, '1')
  const authority: Authority = {
    service: '~fleet',
    term: 1,
    predecessorMayLive: false,
    predecessorLeaseOverAt: opts.predecessorLeaseOverAt ?? -Infinity,
    epoch: () => ({ ...EPOCH, version }),
    adoptEpoch: () => false,
    mayOrder: isConfirmed,
    isLost: () => false,
    leaseLeftMs: () => Infinity,
    isConfirmed,
    markLost: () => undefined,
  }
  const services = new Map(
    opts.services.map((name) => [
      name,
      { name, guardsCapacity: true, spare: name === sparePool },
    ]),
  )
  const limits = { headerBytes: 1, bodyBytes: 1, headerMs: 1, idleMs: 1 }
  const configuration = {
    current: () => ({ version: 1, queues: [], services, limits }),
    waves: () => opts.waves ?? [],
  } as unknown as ConfigurationHolder
  const documents = {
    waveStatus: {
      row: (id: number) => ({ table: 'status', part: '', key: String(id) }),
      encode: (text: string) => text,
    },
  } as unknown as Documents
  const fleet = createFleetOwner({
    store: table.forNode('n'),
    cloud: opts.cloud,
    configuration,
    documents,
    authority,
    holder: 'n',
    ordersPerSecond: opts.ordersPerSecond ?? 64,
    log: createMemoryLogger(),
  })
  return { fleet, table }
}
