/** Rows of nodes: what each node says of itself. */
import { z } from 'zod'
import { parseJson } from '../shared/index.js'

/** One row per node; part and key are the node's id. */
export const NODES_TABLE = 'nodes'

const nodeSchema = z.object({
  /** Changes at each start of the process. */
  life: z.string(),
  /** Where other nodes reach it. */
  address: z.string(),
  hall: z.string(),
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
