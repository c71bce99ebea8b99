/** `rillshunt node halls`: data halls, their cordons and what still runs there. */
import { Option } from 'clipanion'
import { z } from 'zod'
import { createCloudClient, platformDocuments } from '../../platform/index.js'
import { FLEET, NODES_TABLE, decodeNode } from '../ownership/index.js'
import type { RowStore, Target, Vm } from '../ports/index.js'
import { EXIT, parseJson } from '../shared/index.js'
import { targetLoadSchema } from '../vms/index.js'
import type { TargetLoad } from '../vms/index.js'
import { StoreCommand, readAllRows } from './addressedCommand.js'
import { askOwner, readOwners } from './askOwner.js'
import type { StoredOwner } from './askOwner.js'
import { unwrap } from './base.js'

/** Hall of a target whose entry has left the list. */
const UNKNOWN_HALL = '?'

/** What is known of a hall. */
export interface HallUse {
  hall: string
  isCordoned: boolean
  targets: number
  /** Number of targets with runs; undefined for a count that is not known. */
  busyTargets: number
  /** Number of runs, and of those that end only when they are stopped. */
  runs: number
  lastingRuns: number
  /** Undefined without a cloud. */
  vms: number | undefined
  busyVms: number | undefined
}

/** Rows and answers that describe the halls. */
export interface HallFacts {
  cordoned: string[]
  /** Halls of nodes. */
  nodeHalls: string[]
  targets: Pick<Target, 'id' | 'hall'>[]
  /** Loads of the targets of all owners that have answered. */
  loads: Pick<TargetLoad, 'id' | 'runs' | 'lasting'>[]
  /** Undefined without a cloud. */
  vms: Pick<Vm, 'hall' | 'targetId'>[] | undefined
}

/** Sums up what is known by hall, sorted by name. */
export function summarizeHalls(facts: HallFacts): HallUse[] {
  const { cordoned, nodeHalls, targets, vms } = facts
  const hallOf = new Map([
    ...(vms ?? []).map(({ targetId, hall }): [string, string] => [targetId, hall]),
    ...targets.map(({ id, hall }): [string, string] => [id, hall]),
  ])
  const loads = facts.loads.filter(({ runs }) => runs > 0)
  const busyIds = new Set(loads.map(({ id }) => id))
  const hallOfLoad = ({ id }: { id: string }): string => hallOf.get(id) ?? UNKNOWN_HALL
  const halls = new Set([
    ...cordoned,
    ...nodeHalls,
    ...hallOf.values(),
    ...(vms ?? []).map(({ hall }) => hall),
    ...loads.map(hallOfLoad),
  ])
  return [...halls].sort().map((hall) => {
    const here = loads.filter((load) => hallOfLoad(load) === hall)
    const vmsHere = vms?.filter((vm) => vm.hall === hall)
    return {
      hall,
      isCordoned: cordoned.includes(hall),
      targets: targets.filter((target) => target.hall === hall).length,
      busyTargets: here.length,
      runs: here.reduce((sum, { runs }) => sum + runs, 0),
      lastingRuns: here.reduce((sum, { lasting }) => sum + lasting, 0),
      vms: vmsHere?.length,
      busyVms: vmsHere?.filter(({ targetId }) => busyIds.has(targetId)).length,
    }
  })
}

/** Loads that an owner has reported, or why it has not. */
type ServiceLoads = { loads: TargetLoad[] } | { failure: string }

async function askLoads(owner: StoredOwner): Promise<ServiceLoads> {
  const reply = await askOwner(owner, { case: 'loads', value: '' })
  if ('failure' in reply) return reply
  const loads = z.array(targetLoadSchema).safeParse(parseJson(reply.answer.loads))
  return loads.success ? { loads: loads.data } : { failure: 'it does not report loads' }
}

/** `node halls` */
export class NodeHalls extends StoreCommand {
  static override paths = [['node', 'halls']]
  static override usage = StoreCommand.Usage({
    description: 'list data halls, whether they are cordoned, and what still runs there',
  })
  cloudAddress = Option.String('--cloud', {
    description: 'IP:PORT of the cloud, for VMs (default: $RILLSHUNT_CLOUD)',
  })

  async run(store: RowStore): Promise<number> {
    const { operator, targets: list } = platformDocuments
    const operatorRows = unwrap(await store.read(operator.table, '')).rows
    const cordoned = operatorRows.flatMap(({ key }) => operator.cordonedHall(key) || [])
    const targets = unwrap(await store.read(list.table, '')).rows.flatMap(
      ({ key, value }) => list.decode(key, value).unwrapOr(undefined) ?? [],
    )
    const nodeHalls = (await readAllRows(store, NODES_TABLE)).flatMap(
      ({ value }) => decodeNode(value)?.hall ?? [],
    )
    const owners = (await readOwners(store)).filter(({ service }) => service !== FLEET)
    const replies = await Promise.all(
      owners.map(async (owner) => ({ ...owner, reply: await askLoads(owner) })),
    )
    const loads = replies.flatMap(({ reply }) => ('loads' in reply ? reply.loads : []))
    const unknown = replies.flatMap(({ service, node, reply }) =>
      'failure' in reply ? { service, node, failure: reply.failure } : [],
    )
    const vms = await this.listVms()
    const halls = summarizeHalls({ cordoned, nodeHalls, targets, loads, vms })
    const head = [
      'hall',
      'cordoned',
      'targets',
      'busy',
      'runs',
      'lasting',
      'VMs',
      'busy VMs',
    ]
    const lines = halls.map((each) => [
      each.hall,
      each.isCordoned ? 'yes' : 'no',
      each.targets,
      each.busyTargets,
      each.runs,
      each.lastingRuns,
      each.vms ?? '-',
      each.busyVms ?? '-',
    ])
    const notes = unknown.map(
      ({ service, node = '(none)', failure }) =>
        `runs of ${service} are not counted: its owner ${node} could not be asked: ${failure}`,
    )
    this.print({ halls, unknown }, () =>
      [this.formatTable(head, lines), ...notes].join('\n'),
    )
    return EXIT.ok
  }

  /** VMs by the cloud; undefined where no cloud is given. */
  private async listVms(): Promise<Vm[] | undefined> {
    const address = this.cloudAddress ?? process.env['RILLSHUNT_CLOUD']
    if (address === undefined) return undefined
    const cloud = createCloudClient({ address })
    try {
      return unwrap(await cloud.list()).vms
    } finally {
      cloud.close()
    }
  }
}
