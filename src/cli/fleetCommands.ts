/** `rillshunt vms|pools|jobs|waves`: the fleet according to the platform's rows. */
import type { z } from 'zod'
import {
  JOB_ROOT,
  VM_ROOT,
  WAVE_PREFIX,
  jobRowSchema,
  vmRowSchema,
  waveRowSchema,
} from '../fleet/index.js'
import { EXIT } from '../shared/index.js'
import { RESERVE_POOL, checkTable } from '../table/index.js'
import { PlatformCommand, unwrap } from './base.js'
import type { Session } from './base.js'

async function readAll<T>(
  { platform }: Session,
  prefix: string,
  schema: z.ZodType<T>,
): Promise<T[]> {
  const { rows } = unwrap(await platform.changes([prefix], 0))
  rows.sort((a, b) => (a.key < b.key ? -1 : 1))
  return rows.flatMap((row) => schema.safeParse(row.value).data ?? [])
}

/** `vms` */
export class Vms extends PlatformCommand {
  static override paths = [['vms']]
  static override usage = PlatformCommand.Usage({
    description: 'list VMs with their pool, state and operation',
  })

  async run(session: Session): Promise<number> {
    const vms = await readAll(session, VM_ROOT, vmRowSchema)
    const lines = vms.map((vm) => [
      vm.hall,
      vm.rack,
      vm.id,
      vm.pool,
      vm.state,
      vm.incarnation,
      vm.operation
        ? `${vm.operation.kind} ${vm.operation.wave ?? vm.operation.toPool ?? ''}`
        : '-',
    ])
    const head = ['hall', 'rack', 'VM', 'pool', 'state', 'incarnation', 'operation']
    this.print(vms, () => this.formatTable(head, lines))
    return EXIT.ok
  }
}

/** `pools` */
export class Pools extends PlatformCommand {
  static override paths = [['pools']]
  static override usage = PlatformCommand.Usage({
    description: 'list pools and their VMs',
  })

  async run(session: Session): Promise<number> {
    const vms = await readAll(session, VM_ROOT, vmRowSchema)
    const jobs = await readAll(session, JOB_ROOT, jobRowSchema)
    const names = new Set([...vms.map((vm) => `${vm.hall} ${vm.pool}`)])
    const pools = [...names].sort().map((name) => {
      const [hall, pool] = name.split(' ')
      const members = vms.filter((vm) => vm.hall === hall && vm.pool === pool)
      const ids = new Set(members.map((vm) => vm.id))
      const active = members.filter((vm) => vm.state === 'active').length
      const count = jobs.filter((job) => ids.has(job.vm)).length
      return { hall, pool, vms: members.length, active, jobs: count }
    })
    this.print(pools, () =>
      this.formatTable(
        ['hall', 'pool', 'VMs', 'active', 'jobs'],
        pools.map((each) => [
          each.hall ?? '',
          each.pool === RESERVE_POOL
            ? `${each.pool} (no pool needs them)`
            : (each.pool ?? ''),
          each.vms,
          each.active,
          each.jobs,
        ]),
      ),
    )
    return EXIT.ok
  }
}

/** `jobs` */
export class Jobs extends PlatformCommand {
  static override paths = [['jobs']]
  static override usage = PlatformCommand.Usage({
    description: 'list jobs and where they run',
  })

  async run(session: Session): Promise<number> {
    const jobs = await readAll(session, JOB_ROOT, jobRowSchema)
    const lines = jobs.map((job) => [
      job.hall,
      job.service,
      job.id,
      job.vm,
      job.state,
      job.address ?? '-',
    ])
    const head = ['hall', 'service', 'job', 'VM', 'state', 'address']
    this.print(jobs, () => this.formatTable(head, lines))
    return EXIT.ok
  }
}

/** `waves` */
export class Waves extends PlatformCommand {
  static override paths = [['waves']]
  static override usage = PlatformCommand.Usage({
    description: 'list maintenance waves and their progress in each hall',
  })

  async run(session: Session): Promise<number> {
    const rows = await readAll(session, WAVE_PREFIX, waveRowSchema)
    const vms = await readAll(session, VM_ROOT, vmRowSchema)
    const head = unwrap(await session.store.head())
    const table = checkTable(head?.raw ?? {}).unwrapOr(undefined)
    const lines = rows.map((row) => {
      const pool = table?.waves.get(row.wave)?.pool
      const inPool = vms.filter((vm) => vm.hall === row.hall && vm.pool === pool)
      const total = new Set([...inPool.map((vm) => vm.id), ...row.done]).size
      const state = row.finished ? 'finished' : row.halted || 'running'
      return [
        row.wave,
        row.hall,
        `${row.done.length} of ${total}`,
        row.doing.join(' ') || '-',
        state,
      ]
    })
    const heading = ['wave', 'hall', 'done', 'away now', 'state']
    this.print(rows, () => this.formatTable(heading, lines))
    return EXIT.ok
  }
}
