/** Closing of the servers of a node. */
import type { Server } from 'node:http'

/** Takes no more connections and cuts those that are open. */
export function closeServer(server: Server): void {
  server.close()
  server.closeAllConnections()
}
