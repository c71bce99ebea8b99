/**
 * Where the instances of services run. What stands well stays; a missing instance goes
 * to the VM of its pool with the fewest of its like, then the most room.
 */
import { nanoid } from 'nanoid'
import type { JobRow, VmRow } from '../fleet/index.js'
import type { ServiceLine, Table } from '../table/index.js'

/** One decision about jobs. */
export type JobDecision =
  | {
      kind: 'start'
      job: string
      service: string
      vm: string
      from: number
      reason: string
    }
  | { kind: 'stop'; job: string; service: string; reason: string }
  | { kind: 'unplaced'; service: string; reason: string }

interface Room {
  vm: VmRow
  cpus: number
  memoryGb: number
  /** Instances per service. */
  counts: Map<string, number>
}

/** Decides what to start and stop, given the VMs and jobs of a hall. */
export function planJobs(
  table: Table,
  vms: readonly VmRow[],
  jobs: readonly JobRow[],
): JobDecision[] {
  const rooms = makeRooms(table, vms, jobs)
  const decisions: JobDecision[] = []
  for (const job of jobs) {
    if (table.services.has(job.service) || job.state === 'stopping') continue
    decisions.push(stop(job, 'service is not in the table'))
  }
  for (const [service, line] of table.services) {
    const mine = jobs.filter((job) => job.service === service && job.state !== 'stopping')
    const sound = mine.filter(
      (job) => rooms.get(job.vm)?.vm.incarnation === job.incarnation,
    )
    const standing = sound.filter((job) => stands(rooms.get(job.vm)!.vm, line))
    decisions.push(...surplusStops(service, line, standing))
    decisions.push(...replacedStops(service, line, mine, standing))
    for (let n = standing.length; n < line.instances; n++) {
      const decision = start(service, line, rooms)
      decisions.push(decision)
      if (decision.kind === 'unplaced') break
    }
  }
  return decisions
}

/** Whether an instance on this VM counts as one that stays. */
function stands(vm: VmRow, line: ServiceLine): boolean {
  return vm.state === 'active' && vm.pool === line.pool
}

function makeRooms(
  table: Table,
  vms: readonly VmRow[],
  jobs: readonly JobRow[],
): Map<string, Room> {
  const rooms = new Map<string, Room>()
  for (const vm of vms) {
    if (vm.state === 'gone') continue
    const { cpus, memoryGb } = vm
    rooms.set(vm.id, { vm, cpus, memoryGb, counts: new Map() })
  }
  for (const job of jobs) {
    const room = rooms.get(job.vm)
    const line = table.services.get(job.service)
    if (room && line) occupy(room, job.service, line)
  }
  return rooms
}

function occupy(room: Room, service: string, line: ServiceLine): void {
  room.cpus -= line.cpus
  room.memoryGb -= line.memory_gb
  room.counts.set(service, (room.counts.get(service) ?? 0) + 1)
}

function start(
  service: string,
  line: ServiceLine,
  rooms: Map<string, Room>,
): JobDecision {
  const inPool = [...rooms.values()].filter((room) => stands(room.vm, line))
  const fitting = inPool.filter(
    (room) => room.cpus >= line.cpus && room.memoryGb >= line.memory_gb,
  )
  const count = (room: Room) => room.counts.get(service) ?? 0
  fitting.sort(
    (a, b) => count(a) - count(b) || b.cpus - a.cpus || (a.vm.id < b.vm.id ? -1 : 1),
  )
  const best = fitting[0]
  if (!best) return { kind: 'unplaced', service, reason: shortage(line, inPool) }
  const reason = `${count(best)} of its like there, ${best.cpus} processors free`
  occupy(best, service, line)
  const job = `${service}-${nanoid(8)}`
  return { kind: 'start', job, service, vm: best.vm.id, from: fitting.length, reason }
}

/** Which resource is short, for people. */
function shortage(line: ServiceLine, inPool: readonly Room[]): string {
  if (inPool.length === 0) return `pool '${line.pool}' has no active VM`
  const cpus = Math.max(...inPool.map((room) => room.cpus))
  const memory = Math.max(...inPool.map((room) => room.memoryGb))
  if (cpus < line.cpus) return `needs ${line.cpus} processors, the most free is ${cpus}`
  if (memory < line.memory_gb) {
    return `needs ${line.memory_gb} GB of memory, the most free is ${memory} GB`
  }
  return 'no VM has both the processors and the memory'
}

function stop(job: JobRow, reason: string): JobDecision {
  return { kind: 'stop', job: job.id, service: job.service, reason }
}

/** More instances than asked for: the newest go. */
function surplusStops(
  service: string,
  line: ServiceLine,
  standing: readonly JobRow[],
): JobDecision[] {
  const surplus = standing.length - line.instances
  if (surplus <= 0) return []
  const starting = standing.filter((job) => job.state === 'starting')
  const running = standing.filter((job) => job.state !== 'starting')
  return [...starting, ...running.reverse()]
    .slice(0, surplus)
    .map((job) => stop(job, `'${service}' asks for ${line.instances} instances`))
}

/** Instances that do not stand any more go once enough others run. */
function replacedStops(
  service: string,
  line: ServiceLine,
  mine: readonly JobRow[],
  standing: readonly JobRow[],
): JobDecision[] {
  const running = standing.filter((job) => job.state === 'running').length
  const fallen = mine.filter((job) => !standing.includes(job))
  if (running < line.instances) return []
  return fallen.map((job) => stop(job, `enough instances of '${service}' run elsewhere`))
}
