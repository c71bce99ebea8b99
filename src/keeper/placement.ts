/**
 * Decides on which VMs the instances of services run. An instance stays where it is well
 * placed. A missing one goes to the VM of its pool with the fewest instances of the
 * service; among equals, VMs that a wave has maintained come first, then those with the
 * most free processors.
 */
import { nanoid } from 'nanoid'
import { acceptsWork } from '../fleet/index.js'
import type { JobRow, VmRow } from '../fleet/index.js'
import { groupBy } from '../shared/index.js'
import type { ServiceLine, Table } from '../table/index.js'
import { countJobsByVm } from './waves.js'

/** One decision about jobs. */
export type JobDecision =
  | {
      kind: 'start'
      job: string
      service: string
      vm: string
      /** Number of VMs that had room for the instance. */
      from: number
      reason: string
    }
  | { kind: 'stop'; job: string; service: string; reason: string }
  | { kind: 'unplaced'; service: string; reason: string }

/** Input of {@link planJobs}. */
export interface PlacementInput {
  table: Table
  vms: readonly VmRow[]
  jobs: readonly JobRow[]
  /**
   * VMs that a wave in progress has maintained; they are preferred.
   * @default none
   */
  maintained?: ReadonlySet<string>
  /**
   * Pools with a wave in progress; their instances are not rebalanced until it ends.
   * @default none
   */
  inWave?: ReadonlySet<string>
}

/** Free capacity of a VM. */
interface VmCapacity {
  vm: VmRow
  cpus: number
  memoryGb: number
  /** Instances per service. */
  counts: Map<string, number>
}

/** Decides which jobs of a hall to start and stop. */
export function planJobs(input: PlacementInput): JobDecision[] {
  const { table, vms, jobs } = input
  const capacities = computeCapacities(table, vms, jobs)
  const byService = groupBy(jobs, (job) => job.service)
  const decisions: JobDecision[] = []
  for (const [service, serviceJobs] of byService) {
    if (table.services.has(service)) continue
    const unstopped = serviceJobs.filter((job) => job.state !== 'stopping')
    decisions.push(
      ...unstopped.map((job) => stopDecision(job, 'service is not in the table')),
    )
  }
  for (const [service, line] of table.services) {
    const serviceJobs = byService.get(service) ?? []
    decisions.push(...planService(input, service, line, serviceJobs, capacities))
  }
  return decisions
}

function planService(
  input: PlacementInput,
  service: string,
  line: ServiceLine,
  jobs: readonly JobRow[],
  capacities: Map<string, VmCapacity>,
): JobDecision[] {
  const current = jobs.filter((job) => job.state !== 'stopping')
  const isOnCurrentIncarnation = (job: JobRow) =>
    capacities.get(job.vm)?.vm.incarnation === job.incarnation
  const staying = current.filter(
    (job) =>
      isOnCurrentIncarnation(job) && keepsInstances(capacities.get(job.vm)!.vm, line),
  )
  const decisions = [
    ...surplusStops(service, line, staying),
    ...displacedStops(service, line, current, staying, capacities),
  ]
  const placeNext = () =>
    placeInstance(service, line, capacities, input.maintained ?? new Set())
  for (let n = staying.length; n < line.instances; n++) {
    const decision = placeNext()
    decisions.push(decision)
    if (decision.kind === 'unplaced') break
  }
  const hasExactCount =
    current.length === line.instances && staying.length === line.instances
  const isOutsideWave = !input.inWave?.has(line.pool)
  if (
    hasExactCount &&
    isOutsideWave &&
    isUnevenlySpread(service, line, staying, capacities)
  )
    decisions.push(placeNext())
  return decisions
}

/** Whether an instance of the service may stay on this VM. */
function keepsInstances(vm: VmRow, line: ServiceLine): boolean {
  return vm.state === 'active' && vm.operation === undefined && vm.pool === line.pool
}

/** Whether a VM has at least two more instances than another that has room for one. */
function isUnevenlySpread(
  service: string,
  line: ServiceLine,
  staying: readonly JobRow[],
  capacities: Map<string, VmCapacity>,
): boolean {
  if (staying.some((job) => job.state !== 'running')) return false
  const most = Math.max(
    0,
    ...staying.map((job) => instanceCount(capacities.get(job.vm)!, service)),
  )
  if (most < 2) return false
  const fewest = candidateCapacities(line, capacities).map((capacity) =>
    instanceCount(capacity, service),
  )
  return most - Math.min(Infinity, ...fewest) >= 2
}

const instanceCount = (capacity: VmCapacity, service: string): number =>
  capacity.counts.get(service) ?? 0

function candidateCapacities(
  line: ServiceLine,
  capacities: Map<string, VmCapacity>,
): VmCapacity[] {
  return [...capacities.values()].filter(
    (capacity) =>
      keepsInstances(capacity.vm, line) &&
      capacity.cpus >= line.cpus &&
      capacity.memoryGb >= line.memory_gb,
  )
}

function computeCapacities(
  table: Table,
  vms: readonly VmRow[],
  jobs: readonly JobRow[],
): Map<string, VmCapacity> {
  const capacities = new Map<string, VmCapacity>()
  for (const vm of vms) {
    if (vm.state === 'gone') continue
    const { cpus, memoryGb } = vm
    capacities.set(vm.id, { vm, cpus, memoryGb, counts: new Map() })
  }
  for (const job of jobs) {
    const capacity = capacities.get(job.vm)
    const line = table.services.get(job.service)
    if (capacity && line) addInstance(capacity, job.service, line)
  }
  return capacities
}

function addInstance(capacity: VmCapacity, service: string, line: ServiceLine): void {
  capacity.cpus -= line.cpus
  capacity.memoryGb -= line.memory_gb
  capacity.counts.set(service, instanceCount(capacity, service) + 1)
}

function placeInstance(
  service: string,
  line: ServiceLine,
  capacities: Map<string, VmCapacity>,
  maintained: ReadonlySet<string>,
): JobDecision {
  const candidates = candidateCapacities(line, capacities)
  const waveRank = (capacity: VmCapacity) => (maintained.has(capacity.vm.id) ? 0 : 1)
  candidates.sort(
    (a, b) =>
      instanceCount(a, service) - instanceCount(b, service) ||
      waveRank(a) - waveRank(b) ||
      b.cpus - a.cpus ||
      (a.vm.id < b.vm.id ? -1 : 1),
  )
  const best = candidates[0]
  if (!best) {
    const inPool = [...capacities.values()].filter((capacity) =>
      keepsInstances(capacity.vm, line),
    )
    return { kind: 'unplaced', service, reason: shortage(line, inPool) }
  }
  const reason = `${instanceCount(best, service)} of its instances there, ${best.cpus} processors free`
  addInstance(best, service, line)
  const job = `${service}-${nanoid(8)}`
  return { kind: 'start', job, service, vm: best.vm.id, from: candidates.length, reason }
}

/** Tells operators which resource is short. */
function shortage(line: ServiceLine, inPool: readonly VmCapacity[]): string {
  if (inPool.length === 0) return `pool '${line.pool}' has no active VM`
  const cpus = Math.max(...inPool.map((capacity) => capacity.cpus))
  const memory = Math.max(...inPool.map((capacity) => capacity.memoryGb))
  if (cpus < line.cpus) return `needs ${line.cpus} processors, the most free is ${cpus}`
  if (memory < line.memory_gb) {
    return `needs ${line.memory_gb} GB of memory, the most free is ${memory} GB`
  }
  return 'no VM has both the processors and the memory'
}

function stopDecision(job: JobRow, reason: string): JobDecision {
  return { kind: 'stop', job: job.id, service: job.service, reason }
}

/**
 * Stops instances above the configured number, first on the VM with the most of them. One
 * instance that is starting although enough are running belongs to a move, and stays.
 */
function surplusStops(
  service: string,
  line: ServiceLine,
  staying: readonly JobRow[],
): JobDecision[] {
  const reason = `'${service}' needs ${line.instances} instances`
  const running = staying.filter((job) => job.state === 'running')
  const starting = staying.filter((job) => job.state === 'starting')
  const allowedStarts = Math.max(1, line.instances - running.length)
  const stops = starting.slice(0, Math.max(0, starting.length - allowedStarts))
  const remaining = [...running]
  while (remaining.length > line.instances) {
    const surplus = jobOnFullestVm(remaining)
    remaining.splice(remaining.indexOf(surplus), 1)
    stops.push(surplus)
  }
  return stops.map((job) => stopDecision(job, reason))
}

/** Returns the last of the jobs whose VM has the most of them. */
function jobOnFullestVm(jobs: readonly JobRow[]): JobRow {
  const counts = countJobsByVm(jobs)
  const count = (job: JobRow) => counts.get(job.vm) ?? 0
  return jobs.reduce((best, job) => (count(job) >= count(best) ? job : best))
}

/**
 * Stops instances that may not stay: dead ones at once, serving ones only while enough
 * other instances serve.
 */
function displacedStops(
  service: string,
  line: ServiceLine,
  current: readonly JobRow[],
  staying: readonly JobRow[],
  capacities: Map<string, VmCapacity>,
): JobDecision[] {
  const displaced = current.filter((job) => !staying.includes(job))
  const isServing = (job: JobRow) => {
    const vm = capacities.get(job.vm)?.vm
    const isCurrentIncarnation = vm?.incarnation === job.incarnation
    return job.state === 'running' && isCurrentIncarnation && acceptsWork(vm)
  }
  const dead = displaced.filter((job) => !isServing(job))
  const serving = displaced.filter(isServing)
  const running = staying.filter((job) => job.state === 'running').length
  const surplus = Math.max(0, running + serving.length - line.instances)
  return [
    ...dead.map((job) => stopDecision(job, 'it does not run on a VM in service')),
    ...serving
      .slice(0, surplus)
      .map((job) => stopDecision(job, `'${service}' runs elsewhere`)),
  ]
}
