/** Stand-ins of the machines' service and of the advice service. */
import { listen, readBody, reply, sleep } from './http.mjs'

const MOVE_MS = 1500
const UPKEEP_MS = 2000
/** Validity of a ticket, in ms; the queues of the cases state the same. */
export const TICKET_MS = 3000

/**
 * Starts the machines' service.
 *
 * @param machines machines by name, with their minions
 * @param restart starts the next life of a machine in a pool
 */
export async function startCloud(host, machines, restart, record) {
  const orders = {
    '/machine-move': { state: 'moving', ms: MOVE_MS, poolOf: ({ pool }) => pool },
    '/machine-upkeep': {
      state: 'upkeep',
      ms: UPKEEP_MS,
      poolOf: (_json, { pool }) => pool,
    },
  }
  return listen(host, async (req, res) => {
    const { json } = await readBody(req)
    if (req.method === 'GET') {
      const list = [...machines.values()].map(({ minion: _, ...each }) => each)
      return reply(res, 200, { machines: list })
    }
    const order = orders[req.url]
    const machine = machines.get(json.machine)
    if (!order || !machine) return reply(res, 400, { error: 'no such machine' })
    if (req.url === '/machine-move' && machine.pool === json.pool)
      return reply(res, 200, {})
    if (machine.state !== 'up') return reply(res, 409, { reason: 'busy' })
    record('order for a machine', { path: req.url, ...json })
    const pool = order.poolOf(json, machine)
    Object.assign(machine, { state: order.state, id: '' })
    machine.minion.die(0)
    setTimeout(() => restart(machine, pool), order.ms)
    return reply(res, 200, {})
  })
}

/**
 * Starts the advice service.
 *
 * @param isAllowed whether a step may run on the minion with this id
 */
export function startAdvice(host, isAllowed, { decideMs, eachMs }, record) {
  return listen(host, async (req, res) => {
    const { json } = await readBody(req)
    const { step, workers } = json
    await sleep(decideMs + eachMs * workers.length)
    const good = workers.filter((id) => isAllowed(id)).map((id) => [id, `ticket-${id}`])
    record('advice', { step, asked: workers.length, good: good.length })
    return reply(res, 200, { good, valid_ms: TICKET_MS })
  })
}
