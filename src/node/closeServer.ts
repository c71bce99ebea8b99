/** Shutdown of HTTP servers. */
import type { Server } from 'node:http'

/** Stops accepting connections and closes the open ones at once. */
export function closeServer(server: Server): void {
  server.close()
  server.closeAllConnections()
}
