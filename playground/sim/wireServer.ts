/**
 * Stand-in for the users' platform over HTTP, in the platform's wire format: store, list of VMs,
 * moves and maintenance, and targets that run tasks. Tests run the real programs against it.
 */
import type { Server } from 'node:http'
import type { Resources, RowKey } from '../../src/ports/index.js'
import { HEALTHY_CLOUD, cloudHandlers } from './cloudHandlers.js'
import type { CloudFaults } from './cloudHandlers.js'
import { trackConnections } from './connections.js'
import { createRowTable } from './rowTable.js'
import type { RowTable } from './rowTable.js'
import { createSimFleet } from './simFleet.js'
import type { Listing, MaintenanceRecord, SimVm } from './simFleet.js'
import type { RunLedger } from './runLedger.js'
import type { TargetFaults } from './simTarget.js'
import { storeHandlers } from './storeHandlers.js'
import { targetHandlers } from './targetHandlers.js'
import { HOST, listen, portOf } from './wire.js'

/** Interval of the heartbeats of targets, in ms. */
const HEARTBEAT_MS = 1500

/** A running stand-in. */
export interface SimPlatform {
  table: RowTable
  ledger: RunLedger
  vms: SimVm[]
  storeAddress: string
  cloudAddress: string
  cloudFaults: CloudFaults
  /** Maintenance of VMs, in the order in which it began. */
  maintained: MaintenanceRecord[]
  putConfiguration(text: unknown): void
  putWave(id: number, vms: string[], durationS: number, maximum: number): void
  waveStatus(id: number): string | undefined
  /** Writes or removes the operators' row that cordons a data hall. */
  setCordoned(hall: string, isCordoned: boolean): void
  /** Crashes the target on a VM, removes its row and marks the VM as down. */
  crash(vm: SimVm): void
  /** Starts a new incarnation on a VM that is down, under `id` or, by default, a new id. */
  revive(vm: SimVm, id?: string): void
  /** Changes the listing of a VM in the list of targets. */
  list(vm: SimVm, listing: Listing): void
  close(): Promise<void>
}

/** Options of {@link startSimPlatform}. */
export interface SimPlatformOptions {
  /** Number of VMs by pool. */
  pools: Record<string, number>
  /** Halls to which the VMs of each pool are assigned in turn. */
  halls: string[]
  /** Capacity of each VM. */
  capacity: Resources
  /** Duration of a move or maintenance, in ms. */
  offlineMs: number
  /** Faults that each incarnation of a target has from its start; none by default. */
  targetFaults?: () => Partial<TargetFaults>
}

/** Starts the stand-in with a server for the store, one for the cloud and one per VM. */
export async function startSimPlatform(opts: SimPlatformOptions): Promise<SimPlatform> {
  const table = createRowTable()
  const ledger: RunLedger = { entries: [] }
  const { offlineMs, targetFaults } = opts
  const disconnects = new Map<SimVm, () => void>()
  const onTargetEnd = (vm: SimVm): void => disconnects.get(vm)?.()
  const fleet = createSimFleet({ table, ledger, offlineMs, targetFaults, onTargetEnd })
  const { vms, maintained } = fleet
  const store = await listen(storeHandlers(table.forNode('any')))
  const cloudFaults = { ...HEALTHY_CLOUD }
  const cloud = await listen(cloudHandlers(fleet, Object.keys(opts.pools), cloudFaults))
  const servers: Server[] = [store, cloud]

  const addVm = async (pool: string, hall: string): Promise<void> => {
    const vm = fleet.add(pool, hall, opts.capacity)
    const server = await listen(targetHandlers(vm))
    servers.push(server)
    disconnects.set(
      vm,
      trackConnections(server, () => vm.target !== undefined),
    )
    vm.port = portOf(server)
    fleet.startTarget(vm)
  }
  for (const [pool, count] of Object.entries(opts.pools)) {
    for (let each = 0; each < count; each++) {
      await addVm(pool, opts.halls[each % opts.halls.length] ?? 'hall')
    }
  }
  const heartbeats = setInterval(() => vms.forEach(fleet.sendHeartbeat), HEARTBEAT_MS)

  const operatorRow = (key: string): RowKey => ({ table: 'op', part: '', key })
  return {
    table,
    ledger,
    vms,
    maintained,
    storeAddress: `${HOST}:${portOf(store)}`,
    cloudFaults,
    cloudAddress: `${HOST}:${portOf(cloud)}`,
    putConfiguration: (value) =>
      void table.put(operatorRow('config'), JSON.stringify(value)),
    putWave(id, names, durationS, maximum) {
      const value = { wave: id, machines: names, duration_s: durationS, maximum }
      table.put(operatorRow(`wave/${id}`), JSON.stringify(value))
    },
    waveStatus(id) {
      const row = table.get({ table: 'status', part: '', key: `wave/${id}` })
      return row && (JSON.parse(row.value) as { state: string }).state
    },
    setCordoned(hall, isCordoned) {
      const row = operatorRow(`evacuate/${hall}`)
      if (isCordoned) table.put(row, '{}')
      else table.remove(row)
    },
    crash(vm) {
      fleet.endTarget(vm)
      vm.state = 'down'
    },
    revive: fleet.startTarget,
    list: fleet.list,
    async close() {
      clearInterval(heartbeats)
      fleet.close()
      for (const server of servers) {
        server.close()
        server.closeAllConnections()
      }
    },
  }
}
