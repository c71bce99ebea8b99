/**
 * Where the instances of services run. What stands well stays; a missing instance goes
 * to the VM of its pool with the fewest of its like, then the most room.
 */
import { nanoid } from 'nanoid'
import { servesWork } from '../fleet/index.js'
import type { JobRow, VmRow } from '../fleet/index.js'
import { groupBy } from '../shared/index.js'
import type { ServiceLine, Table } from '../table/index.js'
import { countJobs } from './waves.js'

/** One decision about jobs. */
export type JobDecision =
  | {
      kind: 'start'
      job: string
      service: string
      vm: string
      /** VMs that were weighed. */
      from: number
      reason: string
    }
  | { kind: 'stop'; job: string; service: string; reason: string }
  | { kind: 'unplaced'; service: string; reason: string }

/** What placement looks at. */
export interface PlacementInput {
  table: Table
  vms: readonly VmRow[]
  jobs: readonly JobRow[]
  /**
   * VMs that a wave under way has maintained; they are preferred.
   * @default none
   */
  maintained?: ReadonlySet<string>
  /**
   * Pools that a wave goes through; nothing is spread anew there until it is over.
   * @default none
   */
  inWave?: ReadonlySet<string>
}

/** Free room of a VM. */
interface Room {
  vm: VmRow
  cpus: number
  memoryGb: number
  /** Instances per service. */
  counts: Map<string, number>
}

/** Decides what to start and stop, given the VMs and jobs of a hall. */
export function planJobs(input: PlacementInput): JobDecision[] {
  const { table, vms, jobs } = input
  const rooms = makeRooms(table, vms, jobs)
  const byService = groupBy(jobs, (job) => job.service)
  const decisions: JobDecision[] = []
  for (const [service, mine] of byService) {
    if (table.services.has(service)) continue
    const left = mine.filter((job) => job.state !== 'stopping')
    decisions.push(...left.map((job) => stop(job, 'service is not in the table')))
  }
  for (const [service, line] of table.services) {
    const mine = byService.get(service) ?? []
    decisions.push(...planService(input, service, line, mine, rooms))
  }
  return decisions
}

function planService(
  input: PlacementInput,
  service: string,
  line: ServiceLine,
  jobs: readonly JobRow[],
  rooms: Map<string, Room>,
): JobDecision[] {
  const mine = jobs.filter((job) => job.state !== 'stopping')
  const isSound = (job: JobRow) => rooms.get(job.vm)?.vm.incarnation === job.incarnation
  const standing = mine.filter(
    (job) => isSound(job) && stands(rooms.get(job.vm)!.vm, line),
  )
  const decisions = [
    ...surplusStops(service, line, standing),
    ...fallenStops(service, line, mine, standing, rooms),
  ]
  const choose = () => start(service, line, rooms, input.maintained ?? new Set())
  for (let n = standing.length; n < line.instances; n++) {
    const decision = choose()
    decisions.push(decision)
    if (decision.kind === 'unplaced') break
  }
  const settled = mine.length === line.instances && standing.length === line.instances
  const calm = !input.inWave?.has(line.pool)
  if (settled && calm && isCrowded(service, line, standing, rooms))
    decisions.push(choose())
  return decisions
}

/** Whether an instance on this VM counts as one that stays. */
function stands(vm: VmRow, line: ServiceLine): boolean {
  return vm.state === 'active' && vm.operation === undefined && vm.pool === line.pool
}

/** Whether a VM has two more instances than another that could take one. */
function isCrowded(
  service: string,
  line: ServiceLine,
  standing: readonly JobRow[],
  rooms: Map<string, Room>,
): boolean {
  if (standing.some((job) => job.state !== 'running')) return false
  const most = Math.max(0, ...standing.map((job) => countOf(rooms.get(job.vm)!, service)))
  if (most < 2) return false
  const fewest = fittingRooms(line, rooms).map((room) => countOf(room, service))
  return most - Math.min(Infinity, ...fewest) >= 2
}

const countOf = (room: Room, service: string): number => room.counts.get(service) ?? 0

function fittingRooms(line: ServiceLine, rooms: Map<string, Room>): Room[] {
  return [...rooms.values()].filter(
    (room) =>
      stands(room.vm, line) && room.cpus >= line.cpus && room.memoryGb >= line.memory_gb,
  )
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
  room.counts.set(service, countOf(room, service) + 1)
}

function start(
  service: string,
  line: ServiceLine,
  rooms: Map<string, Room>,
  maintained: ReadonlySet<string>,
): JobDecision {
  const fitting = fittingRooms(line, rooms)
  const done = (room: Room) => (maintained.has(room.vm.id) ? 0 : 1)
  fitting.sort(
    (a, b) =>
      countOf(a, service) - countOf(b, service) ||
      done(a) - done(b) ||
      b.cpus - a.cpus ||
      (a.vm.id < b.vm.id ? -1 : 1),
  )
  const best = fitting[0]
  if (!best) {
    const inPool = [...rooms.values()].filter((room) => stands(room.vm, line))
    return { kind: 'unplaced', service, reason: shortage(line, inPool) }
  }
  const reason = `${countOf(best, service)} of its like there, ${best.cpus} processors free`
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

/**
 * More instances than asked for: those on the most crowded VM go. One that is starting
 * beside enough running ones is a move under way, and stays.
 */
function surplusStops(
  service: string,
  line: ServiceLine,
  standing: readonly JobRow[],
): JobDecision[] {
  const reason = `'${service}' asks for ${line.instances} instances`
  const running = standing.filter((job) => job.state === 'running')
  const starting = standing.filter((job) => job.state === 'starting')
  const wanted = Math.max(1, line.instances - running.length)
  const stops = starting.slice(0, Math.max(0, starting.length - wanted))
  const left = [...running]
  while (left.length > line.instances) {
    const crowded = mostCrowded(left)
    left.splice(left.indexOf(crowded), 1)
    stops.push(crowded)
  }
  return stops.map((job) => stop(job, reason))
}

/** A job on the VM with the most of these jobs; the last such one. */
function mostCrowded(jobs: readonly JobRow[]): JobRow {
  const counts = countJobs(jobs)
  const count = (job: JobRow) => counts.get(job.vm) ?? 0
  return jobs.reduce((best, job) => (count(job) >= count(best) ? job : best))
}

/**
 * Instances that do not stand any more: dead ones go at once, those that still serve
 * as far as enough others serve.
 */
function fallenStops(
  service: string,
  line: ServiceLine,
  mine: readonly JobRow[],
  standing: readonly JobRow[],
  rooms: Map<string, Room>,
): JobDecision[] {
  const fallen = mine.filter((job) => !standing.includes(job))
  const serves = (job: JobRow) => {
    const vm = rooms.get(job.vm)?.vm
    const sound = vm?.incarnation === job.incarnation
    return job.state === 'running' && sound && servesWork(vm)
  }
  const dead = fallen.filter((job) => !serves(job))
  const serving = fallen.filter(serves)
  const running = standing.filter((job) => job.state === 'running').length
  const spare = Math.max(0, running + serving.length - line.instances)
  return [
    ...dead.map((job) => stop(job, 'its VM does not serve any more')),
    ...serving.slice(0, spare).map((job) => stop(job, `'${service}' runs elsewhere`)),
  ]
}
