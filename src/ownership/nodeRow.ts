/** Rows of nodes: what each node says of itself. */
import { z } from 'zod'
import { addressSchema, parseJson } from '../shared/index.js'
import { NODE_LEASE_MS } from './constants.js'

/** One row per node; part and key are the node's id. */
export const NODES_TABLE = 'nodes'

/** Longest lease that a row may claim, in ms: that of one node among 4,000 that own nothing. */
const MAX_LEASE_MS = 600_000

const nodeSchema = z.object({
  /** Changes at each start of the process. */
  life: z.string(),
  /** Where other nodes reach it. */
  address: addressSchema,
  hall: z.string(),
  /**
   * What it can carry as an owner, 1 for a whole core with a link that does not bind. Of 43
   * unequal nodes one that was picked by its name started 61 tasks for the 125 jobs, of
   * about 13 tasks each, of its queue's first four seconds.
   */
  room: z.number().positive().default(1),
  /** Time for which it counts as alive after this row was written, in ms. */
  leaseMs: z.number().positive().max(MAX_LEASE_MS).default(NODE_LEASE_MS),
  /** Services that it owns. */
  owns: z.array(z.string()),
  /** It stops soon and takes nothing on. */
  leaving: z.boolean(),
})
/** What a node's row says. */
export type NodeRow = z.infer<typeof nodeSchema>

/** Reads a node's row; undefined when it has the wrong shape. */
export function decodeNode(value: string): NodeRow | undefined {
  return nodeSchema.safeParse(parseJson(value)).data
}
