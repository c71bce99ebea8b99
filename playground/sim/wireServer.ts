/**
 * Stand-in for the users' platform over HTTP, in its own wire format: store, list of VMs,
 * moves and maintenance, and targets that run tasks. For tests of the real programs, and
 * for `npm start`.
 */
import type { Server } from 'node:http'
import type { Resources, RowKey } from '../../src/ports/index.js'
import { cloudHandlers } from './cloudHandlers.js'
import { createRowTable } from './rowTable.js'
import type { RowTable } from './rowTable.js'
import { createSimFleet } from './simFleet.js'
import type { Listing, MaintenanceRecord, SimVm } from './simFleet.js'
import type { RunLedger } from './simTarget.js'
import { storeHandlers } from './storeHandlers.js'
import { targetHandlers } from './targetHandlers.js'
import { HOST, listen, portOf } from './wire.js'

/** Time between two heartbeats of a target, in ms. */
const HEARTBEAT_MS = 1500

/** The stand-in, while it runs. */
export interface SimPlatform {
  table: RowTable
  ledger: RunLedger
  vms: SimVm[]
  storeAddress: string
  cloudAddress: string
  /** Waves by VM that had its maintenance. */
  maintained: MaintenanceRecord[]
  putConfiguration(text: unknown): void
  putWave(id: number, vms: string[], durationS: number, maximum: number): void
  waveStatus(id: number): string | undefined
  /** Ends the life on a VM without a word. */
  crash(vm: SimVm): void
  /** Starts a new life on a VM that crashed, under `id` or, by default, a new id. */
  revive(vm: SimVm, id?: string): void
  /** Changes what the list of targets shows of a VM. */
  list(vm: SimVm, listing: Listing): void
  close(): Promise<void>
}

/** Size and speed of the stand-in. */
export interface SimPlatformOptions {
  /** Pools with the number of their VMs. */
  pools: Record<string, number>
  halls: string[]
  capacity: Resources
  /** Time that a move or maintenance takes, in ms. */
  awayMs: number
}

/** Starts the stand-in with one listener per VM. */
export async function startSimPlatform(opts: SimPlatformOptions): Promise<SimPlatform> {
  const table = createRowTable()
  const ledger: RunLedger = { entries: [] }
  const fleet = createSimFleet({ table, ledger, awayMs: opts.awayMs })
  const { vms, maintained } = fleet
  const store = await listen(storeHandlers(table.forNode('any')))
  const cloud = await listen(cloudHandlers(fleet, Object.keys(opts.pools)))
  const servers: Server[] = [store, cloud]

  const addVm = async (pool: string, hall: string): Promise<void> => {
    const vm = fleet.add(pool, hall, opts.capacity)
    const server = await listen(targetHandlers(vm))
    servers.push(server)
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
