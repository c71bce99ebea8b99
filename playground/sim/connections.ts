/** Connections of a server whose process may end and start again at the same address. */
import type { Server } from 'node:http'
import type { Socket } from 'node:net'

/**
 * Destroys connections that are opened while `isUp` is false.
 * @returns function that destroys all open connections, as the end of a process does
 */
export function trackConnections(server: Server, isUp: () => boolean): () => void {
  const open = new Set<Socket>()
  server.on('connection', (socket: Socket) => {
    if (!isUp()) return void socket.destroy()
    open.add(socket)
    socket.once('close', () => open.delete(socket))
  })
  return () => open.forEach((socket) => socket.destroy())
}
