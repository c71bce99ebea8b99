/** Owner of the fleet with an in-memory store, and a cloud for the targets of a job rig. */
import { ok } from 'neverthrow'
import { createRowTable } from '../playground/sim/rowTable.js'
import type { RowTable } from '../playground/sim/rowTable.js'
import type { ConfigurationHolder } from '../src/directory/index.js'
import type { Authority } from '../src/ownership/index.js'
import type {
  Documents,
  Resources,
  RowStore,
  Vm,
  VmCloud,
  Wave,
} from '../src/ports/index.js'
import { createMemoryLogger } from '../src/shared/index.js'
import { createFleetOwner } from '../src/vms/index.js'
import type { FleetOwner } from '../src/vms/index.js'
import { listOf } from './fixtures.js'
import { SERVICE } from './jobRig.js'
import type { JobRig } from './jobRig.js'

const EPOCH = { table: 'epochs', part: '~fleet', key: 'epoch' }
/** Pool of the VMs that are switched off. */
export const SPARE_POOL = 'idle'

/** Starts an owner of the fleet, by default right after one that has released its lease. */
export function startFleetOwner(opts: {
  cloud: VmCloud
  services: string[]
  sparePool?: string
  /** Waves that operators request; read in each round. */
  waves?: Wave[]
  /** Rows of the store. @default an empty table */
  table?: RowTable
  /** Store as this owner reaches it. @default that of the table */
  store?: RowStore
  /** Term of this owner. @default 1 */
  term?: number
  /** Cordoned data halls. @default none */
  cordons?: ReadonlyMap<string, number>
  predecessorLeaseOverAt?: number
  ordersPerSecond?: number
  isConfirmed?(): boolean
}): {
  fleet: FleetOwner
  table: RowTable
  log: ReturnType<typeof createMemoryLogger>
} {
  const { sparePool = SPARE_POOL, isConfirmed = () => true, term = 1 } = opts
  const { table = createRowTable() } = opts
  const version = table.put(EPOCH, String(term))
  const log = createMemoryLogger()
  const authority: Authority = {
    service: '~fleet',
    node: 'n',
    term,
    predecessorMayLive: false,
    predecessorLeaseOverAt: opts.predecessorLeaseOverAt ?? -Infinity,
    epoch: () => ({ ...EPOCH, version }),
    adoptEpoch: () => false,
    mayOrder: isConfirmed,
    areNodeRostersRead: () => true,
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
    cordons: () => opts.cordons ?? new Map(),
  } as unknown as ConfigurationHolder
  const documents = {
    waveStatus: {
      row: (id: number) => ({ table: 'status', part: '', key: String(id) }),
      encode: (text: string) => text,
    },
  } as unknown as Documents
  const fleet = createFleetOwner({
    store: opts.store ?? table.forNode('n'),
    cloud: opts.cloud,
    configuration,
    documents,
    authority,
    holder: 'n',
    ordersPerSecond: opts.ordersPerSecond ?? 64,
    log,
  })
  return { fleet, table, log }
}

/** Cloud whose VMs run the targets of a job rig. */
export interface RigCloud {
  vms: readonly Vm[]
  cloud: VmCloud
}

/** Adds VMs to the rig: some in the pool of {@link SERVICE}, the others in {@link SPARE_POOL}. */
export function startRigCloud(
  rig: JobRig,
  opts: {
    inPool: number
    spare: number
    capacity: Resources
    /** Time that a move takes, in ms. */
    moveMs: number
  },
): RigCloud {
  const { capacity } = opts
  const pools = [
    ...Array<string>(opts.inPool).fill(SERVICE),
    ...Array<string>(opts.spare).fill(SPARE_POOL),
  ]
  let lives = 0

  function boot(vm: Vm): void {
    lives++
    vm.state = 'up'
    vm.targetId = `i${lives}`
    if (vm.pool === SERVICE) rig.addTarget(vm.targetId, { capacity })
  }

  function shutDown({ targetId }: Vm): void {
    rig.targets.get(targetId)?.crash()
    rig.targets.delete(targetId)
    rig.removeListEntry(targetId)
  }

  const vms = pools.map((pool, index): Vm => {
    const name = `m${index + 1}`
    return { name, pool, state: 'up', hall: 'h1', labels: [], capacity, targetId: '' }
  })
  vms.forEach(boot)
  const cloud: VmCloud = {
    list: async () => ok(listOf(vms)),
    async move(name, pool) {
      const vm = vms.find((each) => each.name === name)!
      shutDown(vm)
      Object.assign(vm, { state: 'moving', pool, targetId: '' })
      setTimeout(() => boot(vm), opts.moveMs).unref()
      return ok('accepted')
    },
    maintain: async () => ok('notDue'),
  }
  return { vms, cloud }
}
