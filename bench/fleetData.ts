/** Generates the table, rows and VM list of a hall, in the types of the platform API. */
import { createRandom } from '../playground/random.js'
import { jobKey, vmKey } from '../src/fleet/index.js'
import type { JobRow, VmRow } from '../src/fleet/index.js'
import type { ListedVm, Row } from '../src/platform/index.js'
import { checkTable } from '../src/table/index.js'
import type { RawTable, Table } from '../src/table/index.js'

/** A generated hall. */
export interface HallData {
  table: Table
  raw: RawTable
  rows: Map<string, Row>
  listed: ListedVm[]
}

const HALL = 'h'
const VMS_PER_POOL = 9
const SERVICES_PER_POOL = 2
const INSTANCES = 8

/** Generates a hall of `vmCount` VMs in which every instance is placed and running. */
export function generateHall(vmCount: number, seed: number): HallData {
  const random = createRandom(seed)
  const pools = Math.max(1, Math.round(vmCount / VMS_PER_POOL))
  const raw: RawTable = {}
  for (let p = 0; p < pools; p++) {
    raw[`pool/p${p}`] = { weight: '1', limit: String(VMS_PER_POOL + 2) }
    for (let s = 0; s < SERVICES_PER_POOL; s++) {
      raw[`service/p${p}s${s}`] = {
        weight: '1',
        limit: '100',
        pool: `p${p}`,
        instances: String(INSTANCES),
        cpus: String(8 + Math.floor(random() * 4)),
        memory_gb: '16',
      }
    }
  }
  const rows = new Map<string, Row>()
  const listed: ListedVm[] = []
  const putRow = (key: string, value: unknown) =>
    rows.set(key, {
      key,
      version: 1,
      revision: rows.size + 1,
      op: `op-${rows.size}`,
      value,
    })
  for (let v = 0; v < vmCount; v++) {
    const id = `w${v}`
    const base = {
      id,
      hall: HALL,
      rack: `r${v >> 2}`,
      incarnation: `${id}.1`,
      cpus: 32,
      memoryGb: 128,
    }
    const pool = `p${Math.min(pools - 1, Math.floor(v / VMS_PER_POOL))}`
    const row: VmRow = { ...base, pool, generation: 2, state: 'active' }
    putRow(vmKey(HALL, id), row)
    listed.push({ ...base, state: 'live', role: 'worker' })
  }
  for (let p = 0; p < pools; p++) {
    for (let s = 0; s < SERVICES_PER_POOL; s++) {
      for (let i = 0; i < INSTANCES; i++) {
        const vm = `w${Math.min(vmCount - 1, p * VMS_PER_POOL + (i % VMS_PER_POOL))}`
        const id = `p${p}s${s}-${i}`
        const row: JobRow = {
          id,
          service: `p${p}s${s}`,
          hall: HALL,
          vm,
          incarnation: `${vm}.1`,
          state: 'running',
          address: '127.0.0.1:1',
          slots: 8,
        }
        putRow(jobKey(HALL, id), row)
      }
    }
  }
  return { table: checkTable(raw)._unsafeUnwrap(), raw, rows, listed }
}

/** Name of the generated hall. */
export const GENERATED_HALL = HALL
