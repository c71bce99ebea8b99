/**
 * Selects the VMs to maintain next. Empty VMs go first, so that the jobs of the others
 * can move to VMs already maintained, and each job moves at most once per wave.
 */
import type { JobRow, VmRow, WaveRow } from '../fleet/index.js'
import type { WaveLine } from '../table/index.js'
import type { BudgetInput } from './budgets.js'
import type { FleetState } from './fleetState.js'

/** Next step of a wave: a VM to maintain, the reason to wait, or its end. */
export type WaveDecision =
  | { kind: 'start'; wave: string; vm: string; reason: string }
  | { kind: 'hold'; wave: string; reason: string }
  | { kind: 'finish'; wave: string }

/** Input of {@link planWaves}. */
export interface WaveInput extends BudgetInput {
  /** Rows of the waves in this hall. */
  waves: ReadonlyMap<string, WaveRow>
}

/** Converts the state to planning input, without the versions of its rows. */
export function waveInput(state: FleetState): WaveInput {
  const values = <T>(map: Map<string, { value: T }>) =>
    new Map([...map].map(([key, each]) => [key, each.value]))
  return {
    table: state.table,
    vms: [...values(state.vms).values()],
    jobs: [...values(state.jobs).values()].map((job) => withTaskState(state, job)),
    waves: values(state.waves),
    budgets: values(state.budgets),
    hall: state.hall,
  }
}

/** Clears the incarnation of a job whose task has failed, so that it counts as dead. */
function withTaskState(state: FleetState, job: JobRow): JobRow {
  const failed = state.tasks.get(job.id)?.state === 'failed'
  return failed ? { ...job, incarnation: '' } : job
}

/** Waves that are due in this hall, by descending weight. */
export function dueWaves(
  input: Pick<WaveInput, 'table' | 'waves'>,
): [string, WaveLine][] {
  return [...input.table.waves]
    .filter(([wave, line]) => line.state === 'run' && !input.waves.get(wave)?.finished)
    .sort(([a, x], [b, y]) => y.weight - x.weight || (a < b ? -1 : 1))
}

/** Pools with a due wave; they may borrow a VM of the reserve. */
export function poolsInWave(input: Pick<WaveInput, 'table' | 'waves'>): Set<string> {
  return new Set(dueWaves(input).map(([, line]) => line.pool))
}

/** VMs that a due wave has already maintained; they are preferred for new instances. */
export function maintainedVms(input: Pick<WaveInput, 'table' | 'waves'>): Set<string> {
  return new Set(dueWaves(input).flatMap(([wave]) => input.waves.get(wave)?.done ?? []))
}

/** Decides one step per due wave. */
export function planWaves(input: WaveInput): WaveDecision[] {
  const chosenVms = new Set<string>()
  return dueWaves(input).map(([wave, line]) => {
    const decision = planWave(input, wave, line, chosenVms)
    if (decision.kind === 'start') chosenVms.add(decision.vm)
    return decision
  })
}

function planWave(
  input: WaveInput,
  wave: string,
  line: WaveLine,
  chosenVms: ReadonlySet<string>,
): WaveDecision {
  const hold = (reason: string): WaveDecision => ({ kind: 'hold', wave, reason })
  const row = input.waves.get(wave)
  if (row && row.halted !== '') return hold(`halted: ${row.halted}`)
  const doing = row?.doing.length ?? 0
  const inPool = input.vms.filter((vm) => vm.pool === line.pool && vm.state !== 'gone')
  const remaining = inPool.filter((vm) => !row?.done.includes(vm.id))
  if (remaining.length === 0 && doing === 0) return { kind: 'finish', wave }
  if (doing >= line.limit)
    return hold(`${doing} VMs are in maintenance, the limit is ${line.limit}`)
  const candidates = remaining.filter(
    (vm) => vm.state === 'active' && vm.operation === undefined && !chosenVms.has(vm.id),
  )
  const counts = countJobsByVm(input.jobs)
  const count = (vm: VmRow) => counts.get(vm.id) ?? 0
  candidates.sort((a, b) => count(a) - count(b) || (a.id < b.id ? -1 : 1))
  const next = candidates[0]
  if (!next) return hold('no VM of the pool is available for maintenance')
  const isVmArriving = input.vms.some((vm) => vm.operation?.toPool === line.pool)
  if (isVmArriving && count(next) > 0) return hold('a VM is on its way to the pool')
  const reason = `${remaining.length} of ${inPool.length} VMs left, ${count(next)} jobs on this one`
  return { kind: 'start', wave, vm: next.id, reason }
}

/** Number of jobs by VM. */
export function countJobsByVm(jobs: readonly JobRow[]): Map<string, number> {
  const counts = new Map<string, number>()
  for (const { vm } of jobs) counts.set(vm, (counts.get(vm) ?? 0) + 1)
  return counts
}
