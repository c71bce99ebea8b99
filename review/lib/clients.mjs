/** Clients that reach the nodes in turn, and record what they send and are answered. */
import { call } from './system.mjs'

/** Returns a function that makes a call to the node with a number, counted round. */
export const createClients =
  ({ nodes }, record) =>
  async (number, method, path, body) => {
    const { name, address } = nodes[number % nodes.length]
    const answer = await call(address, method, path, body)
    record(`client: ${method} ${path} to ${name}: ${answer.status} ${answer.text}`)
    return answer
  }
