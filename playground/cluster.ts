/**
 * Starts a stand-in platform, entries, keepers and worker VMs of several data halls in this
 * process, on loopback addresses. Used by the playground and the end-to-end tests.
 */
import { resolveConfig } from '../src/config/index.js'
import type { ResolvedConfig, UserConfig } from '../src/config/index.js'
import type { Kernel } from '../src/kernel/index.js'
import { createHttpPlatform } from '../src/platform/index.js'
import { createEntry, createKeeperProgram } from '../src/programs/index.js'
import type { Logger } from '../src/shared/index.js'
import { createTableStore } from '../src/table/index.js'
import type { RawTable } from '../src/table/index.js'
import { diffTables } from '../src/table/index.js'
import type { SimFleet } from './fleet.js'
import { createSimFleet } from './fleet.js'
import type { StandInPlatform } from './platform.js'
import { startPlatform } from './platform.js'
import { freePort } from './ports.js'
import { createRandom } from './random.js'
import type { Ledger, TargetBehaviour } from './target.js'

const HOST = '127.0.0.1'

/** Ports of an entry or a keeper. */
interface Ports {
  port: number
  ops: number
  peer: number
}

/** An entry or a keeper of the cluster. */
export interface ClusterNode {
  id: string
  hall: string
  role: 'entry' | 'keeper'
  cfg: ResolvedConfig
  kernel: Kernel
  url: string
}

/** Options of {@link startCluster}. */
export interface ClusterOptions {
  halls: string[]
  entriesPerHall: number
  /** Keepers per hall; if 0, each entry hosts a keeper. */
  keepersPerHall: number
  workersPerHall: number
  seed: number
  table: RawTable
  log: (node: string, hall: string) => Logger
  /**
   * First of the fixed ports; 0 picks free ports.
   * @default 0
   */
  basePort?: number
  behaviour?: Partial<TargetBehaviour>
  /** Settings of every node that override the defaults. */
  settings?: UserConfig
}

/** A running cluster. */
export interface Cluster {
  platform: StandInPlatform
  fleet: SimFleet
  ledger: Ledger
  nodes: ClusterNode[]
  entries(): ClusterNode[]
  /** Makes the table equal to `table` and accepts it; resolves to its epoch. */
  accept(table: RawTable): Promise<number>
  /** Stops a node gracefully and starts a new one with the same settings. */
  restartNode(id: string): Promise<void>
  stop(): Promise<void>
}

const PORT_STEP_HALL = 100
const PORT_STEP_NODE = 10

async function assignPorts(base: number, hall: number, node: number): Promise<Ports> {
  if (base === 0) {
    return { port: await freePort(), ops: await freePort(), peer: await freePort() }
  }
  const first = base + (hall + 1) * PORT_STEP_HALL + (node + 1) * PORT_STEP_NODE
  return { port: first, ops: first + 1, peer: first + 2 }
}

interface NodePlan {
  id: string
  hall: string
  role: 'entry' | 'keeper'
  ports: Ports
}

async function planNodes(opts: ClusterOptions): Promise<NodePlan[]> {
  const plans: NodePlan[] = []
  for (const [h, hall] of opts.halls.entries()) {
    for (let n = 0; n < opts.entriesPerHall + opts.keepersPerHall; n++) {
      const isEntry = n < opts.entriesPerHall
      const role = isEntry ? ('entry' as const) : ('keeper' as const)
      const id = isEntry ? `${hall}-e${n + 1}` : `${hall}-k${n + 1 - opts.entriesPerHall}`
      plans.push({ id, hall, role, ports: await assignPorts(opts.basePort ?? 0, h, n) })
    }
  }
  return plans
}

/** Settings of a node, in the form of its INI file. */
export function nodeSettings(
  plan: NodePlan,
  all: readonly NodePlan[],
  platformUrl: string,
  hosted: boolean,
  extra: UserConfig,
): UserConfig {
  const peers = all.map(({ id, hall, role, ports }) => {
    const suffix = role === 'keeper' ? ' keeper' : ''
    return [id, `${hall} ${HOST}:${ports.peer}${suffix}`] as const
  })
  return {
    ...extra,
    node: { id: plan.id, hall: plan.hall },
    listen: {
      address: HOST,
      port: String(plan.ports.port),
      ops_port: String(plan.ports.ops),
      peer_port: String(plan.ports.peer),
    },
    platform: { url: platformUrl, ...extra.platform },
    peers: Object.fromEntries(peers),
    keeper: { hosted: hosted ? 'yes' : 'no', ...extra.keeper },
  }
}

/** Starts a cluster; resolves once all entries and keepers run. */
export async function startCluster(opts: ClusterOptions): Promise<Cluster> {
  const ledger: Ledger = new Map()
  const random = createRandom(opts.seed)
  const behaviour = opts.behaviour ?? {}
  const fleet = createSimFleet({ host: HOST, random, ledger, behaviour })
  const plans = await planNodes(opts)
  addVms(fleet, opts, plans)
  const port = opts.basePort ?? 0
  const platform = await startPlatform({ fleet, ledger, host: HOST, port })
  const accept = (table: RawTable) => acceptTable(platform.url, table)
  await accept(opts.table)

  const nodes: ClusterNode[] = []
  for (const plan of plans) {
    nodes.push(await startNode(opts, plan, plans, platform.url))
  }

  return {
    platform,
    fleet,
    ledger,
    nodes,
    entries: () => nodes.filter((node) => node.role === 'entry'),
    accept,
    async restartNode(id) {
      const at = nodes.findIndex((node) => node.id === id)
      await nodes[at]!.kernel.stop()
      nodes[at] = await startNode(opts, plans[at]!, plans, platform.url)
    },
    async stop() {
      await Promise.all(nodes.map((node) => node.kernel.stop()))
      await fleet.stop()
      await platform.close()
    },
  }
}

function addVms(fleet: SimFleet, opts: ClusterOptions, plans: NodePlan[]): void {
  for (const hall of opts.halls) {
    for (let n = 0; n < opts.workersPerHall; n++) {
      const rack = `${hall}-r${Math.floor(n / 4) + 1}`
      const id = `${hall}-w${n + 1}`
      fleet.addVm({ id, hall, rack, role: 'worker', cpus: 32, memoryGb: 128 })
    }
  }
  for (const { id, hall, role } of plans) {
    if (role !== 'entry') continue
    fleet.addVm({ id, hall, rack: `${hall}-r0`, role: 'entry', cpus: 2, memoryGb: 4 })
  }
}

async function startNode(
  opts: ClusterOptions,
  plan: NodePlan,
  plans: NodePlan[],
  platformUrl: string,
): Promise<ClusterNode> {
  const hosted = opts.keepersPerHall === 0
  const user = nodeSettings(plan, plans, platformUrl, hosted, opts.settings ?? {})
  const cfg = resolveConfig(user, plan.id)._unsafeUnwrap()
  const log = opts.log(plan.id, plan.hall)
  const kernel =
    plan.role === 'entry' ? createEntry(cfg, log) : createKeeperProgram(cfg, log)
  const started = await kernel.start()
  if (started.isErr()) throw started.error
  const url = `http://${HOST}:${plan.ports.port}`
  return { id: plan.id, hall: plan.hall, role: plan.role, cfg, kernel, url }
}

/** Edits and accepts the table so that it equals `table`; resolves to its epoch. */
export async function acceptTable(platformUrl: string, table: RawTable): Promise<number> {
  const editor = 'playground'
  const platform = createHttpPlatform({ url: platformUrl, timeoutMs: 2000, node: editor })
  const store = createTableStore(platform)
  const head = (await store.head())._unsafeUnwrap()
  const edits = diffTables(head?.raw ?? {}, table, editor)
  if (edits.length > 0) (await store.edit(editor, edits))._unsafeUnwrap()
  const outcome = (await store.accept(editor))._unsafeUnwrap()
  await platform.close()
  if (outcome.kind === 'accepted') return outcome.epoch
  if (outcome.kind === 'nothing') return head?.epoch ?? 0
  throw new Error(`table not accepted: ${JSON.stringify(outcome)}`)
}
