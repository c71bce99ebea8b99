/** Previews the effects of a table with the planners that the keepers use. */
import { JOB_ROOT, VM_ROOT, jobRowSchema, vmRowSchema } from '../fleet/index.js'
import type { JobRow, VmRow } from '../fleet/index.js'
import { planJobs, planPools } from '../keeper/index.js'
import type { Platform } from '../platform/index.js'
import type { Table } from '../table/index.js'

/** Effects of a table in one hall. */
export interface HallPreview {
  hall: string
  vmMoves: { vm: string; from: string; to: string }[]
  jobStarts: number
  jobStops: number
  unplaced: { service: string; reason: string }[]
  /** Waves that cannot finish because of a limit or a budget, and why. */
  stuckWaves: { wave: string; reason: string }[]
}

/** Plans every hall once with the table. Returns undefined if the rows cannot be read. */
export async function previewTable(
  platform: Platform,
  table: Table,
): Promise<HallPreview[] | undefined> {
  const rows = await platform.changes([VM_ROOT, JOB_ROOT], 0)
  if (rows.isErr()) return undefined
  const vms: VmRow[] = []
  const jobs: JobRow[] = []
  for (const row of rows.value.rows) {
    const vm = vmRowSchema.safeParse(row.value)
    if (row.key.startsWith(VM_ROOT) && vm.success) vms.push(vm.data)
    const job = jobRowSchema.safeParse(row.value)
    if (row.key.startsWith(JOB_ROOT) && job.success) jobs.push(job.data)
  }
  const halls = [...new Set(vms.map((vm) => vm.hall))].sort()
  return halls.map((hall) => previewHall(hall, table, vms, jobs))
}

function previewHall(
  hall: string,
  table: Table,
  allVms: readonly VmRow[],
  allJobs: readonly JobRow[],
): HallPreview {
  const vms = allVms.filter((vm) => vm.hall === hall)
  const jobs = allJobs.filter((job) => job.hall === hall)
  const count = (vm: string) => jobs.filter((job) => job.vm === vm).length
  const moves = planPools(table, vms, count)
  const moved = new Map(moves.map((move) => [move.vm, move.to]))
  const after = vms.map((vm) => ({ ...vm, pool: moved.get(vm.id) ?? vm.pool }))
  const decisions = planJobs({ table, vms: after, jobs })
  return {
    hall,
    vmMoves: moves.map(({ vm, from, to }) => ({ vm, from, to })),
    jobStarts: decisions.filter((each) => each.kind === 'start').length,
    jobStops: decisions.filter((each) => each.kind === 'stop').length,
    unplaced: decisions.flatMap((each) =>
      each.kind === 'unplaced' ? [{ service: each.service, reason: each.reason }] : [],
    ),
    stuckWaves: stuckWaves(table),
  }
}

/** Running waves whose limit is 0 or whose pool has a service with a budget of 0. */
function stuckWaves(table: Table): { wave: string; reason: string }[] {
  const stuck: { wave: string; reason: string }[] = []
  for (const [wave, line] of table.waves) {
    if (line.state !== 'run') continue
    if (line.limit === 0) stuck.push({ wave, reason: 'its limit is 0' })
    for (const [service, { pool, budget, instances }] of table.services) {
      if (pool !== line.pool || instances === 0 || budget > 0) continue
      stuck.push({ wave, reason: `the budget of '${service}' is 0` })
    }
  }
  return stuck
}
