/**
 * Which VMs go into maintenance next. A step is started only while the budgets of all
 * services on the VM allow one more instance away, unplanned losses counted in.
 */
import type { BudgetRow, JobRow, VmRow, WaveRow } from '../fleet/index.js'
import type { ServiceLine, Table, WaveLine } from '../table/index.js'

/** One VM to maintain, or the reason why none is. */
export type WaveDecision =
  | { kind: 'start'; wave: string; vm: string; services: string[]; reason: string }
  | { kind: 'hold'; wave: string; reason: string }
  | { kind: 'finish'; wave: string }

/** What wave planning looks at. */
export interface WaveInput {
  table: Table
  vms: readonly VmRow[]
  jobs: readonly JobRow[]
  waves: ReadonlyMap<string, WaveRow>
  budgets: ReadonlyMap<string, BudgetRow>
  hall: string
}

/** Decides at most one step per wave; the heaviest wave goes first. */
export function planWaves(input: WaveInput): WaveDecision[] {
  const ordered = [...input.table.waves].sort(
    ([a, x], [b, y]) => y.weight - x.weight || (a < b ? -1 : 1),
  )
  const decisions: WaveDecision[] = []
  const taken = new Map<string, number>()
  for (const [wave, line] of ordered) {
    const row = input.waves.get(wave)
    if (line.state !== 'run' || row?.finished) continue
    const decision = planWave(input, wave, line, row, taken)
    decisions.push(decision)
    if (decision.kind !== 'start') continue
    for (const service of decision.services) {
      taken.set(service, (taken.get(service) ?? 0) + 1)
    }
  }
  return decisions
}

function planWave(
  input: WaveInput,
  wave: string,
  line: WaveLine,
  row: WaveRow | undefined,
  taken: ReadonlyMap<string, number>,
): WaveDecision {
  const hold = (reason: string): WaveDecision => ({ kind: 'hold', wave, reason })
  if (row && row.halted !== '') return hold(`halted: ${row.halted}`)
  const doing = row?.doing.length ?? 0
  const inPool = input.vms.filter((vm) => vm.pool === line.pool && vm.state !== 'gone')
  const left = inPool.filter((vm) => !row?.done.includes(vm.id))
  if (left.length === 0 && doing === 0) return { kind: 'finish', wave }
  if (doing >= line.limit)
    return hold(`${doing} VMs are away, the limit is ${line.limit}`)
  const ready = left.filter((vm) => vm.state === 'active' && vm.operation === undefined)
  if (ready.length === 0) return hold('no VM of the pool is free for it')

  ready.sort((a, b) => jobsOn(input, a) - jobsOn(input, b) || (a.id < b.id ? -1 : 1))
  let firstReason = ''
  for (const vm of ready) {
    const services = servicesOn(input, vm)
    const reason = budgetShortage(input, services, taken)
    if (reason === undefined) {
      const why = `${left.length} of ${inPool.length} VMs left, fewest jobs first`
      return { kind: 'start', wave, vm: vm.id, services, reason: why }
    }
    firstReason ||= `${vm.id}: ${reason}`
  }
  return hold(firstReason)
}

const jobsOn = (input: WaveInput, vm: VmRow): number =>
  input.jobs.filter((job) => job.vm === vm.id).length

/** Services with an instance on the VM, once per instance. */
function servicesOn(input: WaveInput, vm: VmRow): string[] {
  return input.jobs
    .filter((job) => job.vm === vm.id && input.table.services.has(job.service))
    .map((job) => job.service)
}

/** Why the budgets forbid taking these instances away; undefined when they allow it. */
function budgetShortage(
  input: WaveInput,
  services: readonly string[],
  taken: ReadonlyMap<string, number>,
): string | undefined {
  for (const service of new Set(services)) {
    const line = input.table.services.get(service)!
    const wanted = services.filter((each) => each === service).length
    const out = instancesOut(input, service, line) + (taken.get(service) ?? 0)
    if (out + wanted <= line.budget) continue
    return `'${service}' has ${out} of its budget of ${line.budget} away`
  }
  return undefined
}

/**
 * Instances away now: those that any hall has taken out, and those of this hall that
 * are missing for another reason.
 */
export function instancesOut(
  input: Pick<WaveInput, 'vms' | 'jobs' | 'budgets' | 'hall'>,
  service: string,
  line: ServiceLine,
): number {
  const planned = input.budgets.get(service)?.out ?? []
  const total = planned.reduce((sum, each) => sum + each.count, 0)
  const here = planned
    .filter((each) => each.hall === input.hall)
    .reduce((sum, each) => sum + each.count, 0)
  const active = new Map(input.vms.map((vm) => [vm.id, vm]))
  const available = input.jobs.filter((job) => {
    const vm = active.get(job.vm)
    const serves = vm?.state === 'active' && vm.incarnation === job.incarnation
    return job.service === service && job.state === 'running' && serves
  }).length
  const missing = Math.max(0, line.instances - available)
  return total + Math.max(0, missing - here)
}
