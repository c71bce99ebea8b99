/** RPC clients for other nodes, one per address, over keep-alive connections. */
import { Agent } from 'node:http'
import { createClient } from '@connectrpc/connect'
import type { Client } from '@connectrpc/connect'
import { createConnectTransport } from '@connectrpc/connect-node'
import { NodeService } from '../peer/gen/node_pb.js'
import { MAX_MESSAGE_BYTES } from './ownerRoutes.js'

/** Most connections to one node, which is also the limit of concurrent calls. */
const CONNECTIONS_PER_NODE = 8

/** A client for another node. */
export type NodeClient = Client<typeof NodeService>

/** Clients by address. */
export interface NodeClients {
  at(address: string): NodeClient
  close(): void
}

/** Creates the clients; connections are opened on demand. */
export function createNodeClients(): NodeClients {
  const agent = new Agent({ keepAlive: true, maxSockets: CONNECTIONS_PER_NODE })
  const clients = new Map<string, NodeClient>()
  return {
    at(address) {
      const known = clients.get(address)
      if (known) return known
      const transport = createConnectTransport({
        httpVersion: '1.1',
        baseUrl: `http://${address}`,
        readMaxBytes: MAX_MESSAGE_BYTES,
        useBinaryFormat: true,
        nodeOptions: { agent },
      })
      const client = createClient(NodeService, transport)
      clients.set(address, client)
      return client
    },
    close: () => agent.destroy(),
  }
}
