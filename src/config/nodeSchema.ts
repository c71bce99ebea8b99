/** Settings of `rillshunt-node`; `docs/config.md` lists every key. */
import { z } from 'zod'
import {
  identifierList,
  ipAddress,
  nodeName,
  port,
  positiveNumber,
  socketAddress,
} from './values.js'

const section = <T extends z.ZodRawShape>(shape: T) => z.strictObject(shape)

/**
 * Contracts of the platform that this version implements. `health` asks nothing of a node:
 * what targets do with their tasks says more than what they answer of themselves.
 */
const KNOWN_CONTRACTS: readonly string[] = [
  'base',
  'drain',
  'config',
  'cost',
  'recover',
  'health',
  'sched',
  'platform',
  'advice',
  'upkeep',
  'sharing',
]

/** The whole of the settings. */
export const nodeConfigSchema = z.strictObject({
  node: section({
    /** Unique name of the node. Required. */
    id: nodeName(),
    /** Data hall that it stands in. Required. */
    hall: nodeName(),
    /** Changes nothing by itself; printed in every log line. @default 'entry' */
    role: nodeName().prefault('entry'),
    /** Cores that it may use; stronger nodes own services first. @default 1 */
    cpu_share: positiveNumber().prefault('1'),
    /** Bandwidth of its link, in Mbit/s. @default 1000 */
    link_mbps: positiveNumber().prefault('1000'),
  }),
  listen: section({
    /** IP number at which other nodes reach this one. Required. */
    address: ipAddress(),
    /** Where callers come in. Required. */
    callers: socketAddress(),
    /** Where the platform asks whether the node is ready. Required. */
    readiness: socketAddress(),
    /** Port for other nodes. @default 7060 */
    node_port: port().prefault('7060'),
    /** Port for metrics. @default 7061 */
    metrics_port: port().prefault('7061'),
  }),
  store: section({
    /** Where the store answers. Required. */
    address: socketAddress(),
    /** Kind of the store; only `table` is implemented. @default 'table' */
    form: z.literal('table', { error: "only 'table' is implemented" }).prefault('table'),
  }),
  targets: section({
    /** How orders reach targets; only `call` is implemented. @default 'call' */
    orders: z.literal('call', { error: "only 'call' is implemented" }).prefault('call'),
  }),
  cloud: section({
    /** Where VMs are controlled; without it pools and waves are left alone. */
    address: socketAddress().optional(),
    /** Orders that it takes in a second, from all nodes together. @default 64 */
    orders_per_second: positiveNumber().prefault('64'),
  }),
  advice: section({
    /** Where the advice service answers; needed only by queues that have a policy. */
    address: socketAddress().optional(),
  }),
  contracts: section({
    /** Contracts of the platform in force. @default the known ones */
    in_force: identifierList().prefault(KNOWN_CONTRACTS.join(',')),
  }),
  log: section({
    /** Lowest level that is written: error, warn, info or debug. @default 'info' */
    level: z.enum(['error', 'warn', 'info', 'debug']).prefault('info'),
  }),
})

/**
 * Keys without which a node can serve: one that cannot be read gets its default, and the
 * log says so. An address or a way to speak that cannot be used stops a node, rightly.
 */
export const KEYS_WITH_FALLBACK: Record<string, readonly string[]> = {
  node: ['role', 'cpu_share', 'link_mbps'],
  listen: ['metrics_port'],
  cloud: ['orders_per_second'],
  contracts: ['in_force'],
  log: ['level'],
}

/** Settings as the program uses them: durations in ms. */
export type NodeConfig = z.output<typeof nodeConfigSchema>

/** Contracts in force that this version does not know; the node serves the others. */
export function unknownContracts(cfg: NodeConfig): string[] {
  return cfg.contracts.in_force.filter((name) => !KNOWN_CONTRACTS.includes(name))
}
