/** `rillshunt node …`: jobs, owners, VMs and waves of the nodes, read from the store. */
import { Option } from 'clipanion'
import {
  createCloudClient,
  createStoreClient,
  platformDocuments,
} from '../../platform/index.js'
import {
  ENDED_TABLE,
  INTAKE_TABLE,
  PROGRESS_TABLE,
  decodeEnded,
  decodeIntake,
  decodeProgress,
  storedStatus,
} from '../jobs/index.js'
import type { JobSpec, JobStatus, Progress } from '../jobs/index.js'
import { EPOCH_TABLE, NODES_TABLE, decodeEpoch, decodeNode } from '../ownership/index.js'
import type { RowStore, StoredRow, Vm } from '../ports/index.js'
import { EXIT } from '../shared/index.js'
import { WAVES_TABLE, decodeWaveRow } from '../vms/index.js'
import { OutputCommand, need } from './base.js'

/** A job as it is listed. */
interface ListedJob {
  id: string
  queue: string
  service: string
  status: JobStatus
  tasks: number
  acceptedAtMs: number
}

/** A job that is not over, with what the store knows of it. */
interface OpenJob {
  job: JobSpec
  cancelled: boolean
  progress: Progress | undefined
  status: JobStatus
}

/** The address that an option or else a variable gives; undefined when it is none. */
function addressFrom(option: string | undefined, variable: string): string | undefined {
  const address = option ?? process.env[variable]
  return address !== undefined && /^[\d.]+:\d+$/.test(address) ? address : undefined
}

/** Base of commands that read the store of the nodes. */
abstract class StoreCommand extends OutputCommand {
  address = Option.String('--store', {
    description: 'IP:PORT of the store; RILLSHUNT_STORE otherwise',
  })

  abstract run(store: RowStore): Promise<number>

  override async execute(): Promise<number> {
    const address = addressFrom(this.address, 'RILLSHUNT_STORE')
    if (address === undefined) {
      return this.fail('name the store by --store IP:PORT or RILLSHUNT_STORE', EXIT.usage)
    }
    const store = createStoreClient({ address })
    try {
      return await this.run(store)
    } catch (cause) {
      return this.failWith(cause)
    } finally {
      store.close()
    }
  }
}

/** All rows of a table, part by part. */
async function rowsOf(store: RowStore, table: string): Promise<StoredRow[]> {
  const rows: StoredRow[] = []
  for (const part of need(await store.parts(table))) {
    rows.push(...need(await store.read(table, part)).rows)
  }
  return rows
}

/** Every accepted job that is not over, with its progress and state. */
async function readOpenJobs(store: RowStore): Promise<OpenJob[]> {
  const progress = new Map<string, Progress>()
  for (const row of await rowsOf(store, PROGRESS_TABLE)) {
    const decoded = decodeProgress(row.value)
    if (decoded) progress.set(row.key, decoded)
  }
  const entries = (await rowsOf(store, INTAKE_TABLE)).map((row) =>
    decodeIntake(row, row.value),
  )
  const cancels = new Set(
    entries.flatMap((each) => (each.kind === 'cancel' ? each.id : [])),
  )
  return entries.flatMap((entry) => {
    if (entry.kind !== 'job') return []
    const known = progress.get(entry.id)
    const cancelled = cancels.has(entry.id)
    const status = storedStatus(cancelled, known)
    return { job: entry.job, cancelled, progress: known, status }
  })
}

/** What is kept of every job that is over. */
async function readEndedJobs(store: RowStore): Promise<ListedJob[]> {
  return (await rowsOf(store, ENDED_TABLE)).flatMap((row) => {
    const ended = decodeEnded(row.value)
    return ended ? { id: row.key, ...ended, status: ended.outcome } : []
  })
}

const listed = ({ job, status }: OpenJob): ListedJob => ({
  id: job.id,
  queue: job.queue,
  service: job.service,
  status,
  tasks: job.steps.reduce((sum, { count }) => sum + count, 0),
  acceptedAtMs: job.acceptedAtMs,
})

/** `node jobs` */
export class NodeJobs extends StoreCommand {
  static override paths = [['node', 'jobs']]
  static override usage = StoreCommand.Usage({
    description: 'list accepted jobs with their state',
  })
  queue = Option.String('--queue', { description: 'only jobs of this queue' })
  state = Option.String('--state', { description: 'only jobs in this state' })

  async run(store: RowStore): Promise<number> {
    // The open ones first: a job that is over meanwhile is then among both, never in none.
    const open = (await readOpenJobs(store)).map(listed)
    const ended = await readEndedJobs(store)
    const byId = new Map([...open, ...ended].map((job) => [job.id, job]))
    const jobs = [...byId.values()]
      .filter(({ queue }) => this.queue === undefined || queue === this.queue)
      .filter(({ status }) => this.state === undefined || status === this.state)
      .sort((a, b) => a.acceptedAtMs - b.acceptedAtMs)
    const lines = jobs.map((job) => [
      job.id,
      job.queue,
      job.service,
      job.status,
      job.tasks,
      new Date(job.acceptedAtMs).toISOString(),
    ])
    const head = ['job', 'queue', 'service', 'state', 'tasks', 'accepted']
    this.print(jobs, () => this.grid(head, lines))
    return EXIT.ok
  }
}

/** What a progress row says of a step of the first repetition. */
function countStep(progress: Progress | undefined, index: number, tasks: number) {
  const done = progress?.done[`0.${index}`] ?? []
  const whole = done === 'all' || progress?.outcome === 'completed'
  const prefix = `0.${index}.`
  const failedRuns = Object.entries(progress?.failedRuns ?? {})
    .filter(([task]) => task.startsWith(prefix))
    .reduce((sum, [, runs]) => sum + runs.length, 0)
  return { done: whole ? tasks : done.length, failedRuns }
}

/** `node explain JOB` */
export class NodeExplain extends StoreCommand {
  static override paths = [['node', 'explain']]
  static override usage = StoreCommand.Usage({
    description: 'what the store knows of one job, step by step',
  })
  id = Option.String({ required: true })

  async run(store: RowStore): Promise<number> {
    const found = (await readOpenJobs(store)).find(({ job }) => job.id === this.id)
    if (!found) return this.explainEnded(store)
    const { job, progress, status } = found
    const lines = job.steps.map(({ after, count }, index) => {
      const known = countStep(progress, index, count)
      return [index, after.join(',') || '-', count, known.done, known.failedRuns]
    })
    const head = ['step', 'after', 'tasks', 'done', 'failed runs']
    this.print(found, () =>
      [
        `job ${job.id} of queue ${job.queue}: ${status}`,
        `service ${job.service}, accepted ${new Date(job.acceptedAtMs).toISOString()}`,
        this.grid(head, lines),
      ].join('\n'),
    )
    return EXIT.ok
  }

  /** Of a job that is over only its outcome is kept. */
  private async explainEnded(store: RowStore): Promise<number> {
    const ended = (await readEndedJobs(store)).find(({ id }) => id === this.id)
    if (!ended) return this.fail(`no job ${this.id} is in the store`, EXIT.failed)
    this.print(ended, () =>
      [
        `job ${ended.id} of queue ${ended.queue}: ${ended.status}, ${ended.tasks} tasks`,
        `service ${ended.service}, accepted ${new Date(ended.acceptedAtMs).toISOString()}`,
      ].join('\n'),
    )
    return EXIT.ok
  }
}

/** `node owners` */
export class NodeOwners extends StoreCommand {
  static override paths = [['node', 'owners']]
  static override usage = StoreCommand.Usage({
    description: 'list which node owns which service, and the nodes',
  })

  async run(store: RowStore): Promise<number> {
    const nodes = (await rowsOf(store, NODES_TABLE)).flatMap((row) => {
      const node = decodeNode(row.value)
      return node ? { id: row.key, ...node } : []
    })
    const owners = (await rowsOf(store, EPOCH_TABLE)).flatMap((row) => {
      const epoch = decodeEpoch(row.value)
      return epoch ? { service: row.part, ...epoch } : []
    })
    const lines = owners.map(({ service, node, term }) => {
      const hall = nodes.find(({ id }) => id === node)?.hall ?? '-'
      return [service, node || '(none)', hall, term]
    })
    this.print({ owners, nodes }, () =>
      this.grid(['service', 'node', 'hall', 'term'], lines),
    )
    return EXIT.ok
  }
}

/** `node waves` */
export class NodeWaves extends StoreCommand {
  static override paths = [['node', 'waves']]
  static override usage = StoreCommand.Usage({
    description: 'list maintenance waves and how far they are',
  })

  async run(store: RowStore): Promise<number> {
    const begun = new Map<string, string[]>()
    for (const row of await rowsOf(store, WAVES_TABLE)) {
      begun.set(row.key, decodeWaveRow(row.value)?.begun ?? [])
    }
    const { operator } = platformDocuments
    const rows = need(await store.read(operator.table, '')).rows
    const waves = rows
      .filter(({ key }) => operator.isWave(key))
      .flatMap((row) => operator.decodeWave(row.value).unwrapOr(undefined) ?? [])
      .map((wave) => ({ ...wave, begun: begun.get(String(wave.id)) ?? [] }))
    const lines = waves.map(({ id, vms, maxDown, begun: done }) => [
      id,
      vms.length,
      done.length,
      maxDown,
      vms.filter((vm) => !done.includes(vm)).join(' ') || '-',
    ])
    const head = ['wave', 'VMs', 'begun', 'at once', 'open']
    this.print(waves, () => this.grid(head, lines))
    return EXIT.ok
  }
}

/** VMs of each pool, and how many of them are up. */
function sumByPool(vms: Vm[]) {
  const names = [...new Set(vms.map(({ pool }) => pool))].sort()
  return names.map((pool) => {
    const members = vms.filter((vm) => vm.pool === pool)
    const up = members.filter(({ state }) => state === 'up').length
    return { pool, vms: members.length, up }
  })
}

/** `node vms` */
export class NodeVms extends OutputCommand {
  static override paths = [['node', 'vms']]
  static override usage = OutputCommand.Usage({
    description: 'list VMs with their pool and state, and sum them up by pool',
  })
  address = Option.String('--cloud', {
    description: 'IP:PORT of the cloud; RILLSHUNT_CLOUD otherwise',
  })
  byPool = Option.Boolean('--pools', false, { description: 'only the sums by pool' })

  override async execute(): Promise<number> {
    const address = addressFrom(this.address, 'RILLSHUNT_CLOUD')
    if (address === undefined) {
      return this.fail('name the cloud by --cloud IP:PORT or RILLSHUNT_CLOUD', EXIT.usage)
    }
    const cloud = createCloudClient({ address })
    try {
      const vms = need(await cloud.list())
      if (this.byPool) {
        const pools = sumByPool(vms)
        const lines = pools.map(({ pool, vms: count, up }) => [pool, count, up])
        this.print(pools, () => this.grid(['pool', 'VMs', 'up'], lines))
        return EXIT.ok
      }
      const lines = vms.map((vm) => [
        vm.hall,
        vm.name,
        vm.pool,
        vm.state,
        vm.targetId || '-',
      ])
      this.print(vms, () => this.grid(['hall', 'VM', 'pool', 'state', 'target'], lines))
      return EXIT.ok
    } catch (cause) {
      return this.failWith(cause)
    } finally {
      cloud.close()
    }
  }
}
