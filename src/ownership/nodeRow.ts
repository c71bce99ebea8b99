/** Node rows: what each node publishes about itself. */
import { z } from 'zod'
import { addressSchema, parseJson } from '../shared/index.js'
import { NODE_LEASE_MS } from './constants.js'

/** Table with one row per node; part and key are the node's id. */
export const NODES_TABLE = 'nodes'

/** Longest lease that a row may state, in ms: that of one node among 4,000 that own nothing. */
const MAX_LEASE_MS = 600_000

const nodeSchema = z.object({
  /** Differs at each start of the process. */
  life: z.string(),
  /** Address at which other nodes reach it. */
  address: addressSchema,
  hall: z.string(),
  /**
   * Capacity as an owner; 1 for a whole core whose network link is no bottleneck. An owner that is
   * picked by its id alone can be too weak: in the first four seconds of a queue, one of 43 unequal
   * nodes starts 61 tasks for 125 jobs of about 13 tasks each.
   */
  room: z.number().positive().default(1),
  /** Time for which the node counts as alive after this row is written, in ms. */
  leaseMs: z.number().positive().max(MAX_LEASE_MS).default(NODE_LEASE_MS),
  /** Services that the node owns. */
  owns: z.array(z.string()),
  /** Whether the node stops soon and accepts no services. */
  leaving: z.boolean(),
  /**
   * Whether the node, as the next owner of a service, reads the rows of its targets in the parts of
   * nodes. Earlier versions read only those in the part of the service.
   */
  readsNodeRosters: z.boolean().default(false),
  /** Whether the node calls targets for owners on other nodes. Earlier versions do not. */
  forwardsOrders: z.boolean().default(false),
  /**
   * Whether it makes a call only to the incarnation of a target that the call is for. Earlier versions
   * call whichever answers.
   */
  callsIncarnations: z.boolean().default(false),
})
/** Contents of a node row. */
export type NodeRow = z.infer<typeof nodeSchema>

/** Parses a node row; returns undefined when it has the wrong shape. */
export function decodeNode(value: string): NodeRow | undefined {
  return nodeSchema.safeParse(parseJson(value)).data
}
