/** Asks the owners of services, which the stored rows name, a question each. */
import { createNodeClients } from '../front/index.js'
import { EPOCH_TABLE, NODES_TABLE, decodeEpoch, decodeNode } from '../ownership/index.js'
import type { Answer, Question } from '../peer/gen/node_pb.js'
import type { RowStore } from '../ports/index.js'
import { readAllRows } from './addressedCommand.js'

/** Time-out of the call to the owner, in ms. After it, operators look at the owner's log. */
const ASK_TIMEOUT_MS = 2000

/** The owner of a service by the rows of the store. */
export interface StoredOwner {
  service: string
  /** Undefined if the service has no owner. */
  node: string | undefined
  /** Undefined if the owner has no row with an address. */
  address: string | undefined
}

/** Answer of an owner, or why there is none. */
export type OwnerReply = { answer: Answer } | { failure: string }

/** Reads the owners of all services that have had one. */
export async function readOwners(store: RowStore): Promise<StoredOwner[]> {
  const epochs = await readAllRows(store, EPOCH_TABLE)
  const nodes = await readAllRows(store, NODES_TABLE)
  return epochs.map(({ part, value }) => {
    const node = decodeEpoch(value)?.node || undefined
    const row = nodes.find(({ key }) => key === node)
    return { service: part, node, address: row && decodeNode(row.value)?.address }
  })
}

/** Asks the owner of a service one question. */
export async function askOwner(
  { service, address }: StoredOwner,
  about: Question['about'],
): Promise<OwnerReply> {
  if (address === undefined) return { failure: 'no address' }
  const clients = createNodeClients()
  try {
    const questions = [{ service, about }]
    const timeoutMs = ASK_TIMEOUT_MS
    const { answers } = await clients.at(address).ask({ questions }, { timeoutMs })
    const [answer] = answers
    return answer?.owns ? { answer } : { failure: 'it owns it no more' }
  } catch (cause) {
    return { failure: (cause as Error).message }
  } finally {
    clients.close()
  }
}
