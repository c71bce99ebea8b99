import type { ExecutionContext } from 'ava'
import type { RequestListener, ServerResponse } from 'node:http'
import { connect } from 'node:net'
import type { AddressInfo, Socket } from 'node:net'
import { describe, it } from '../../../test/describe.js'
import { sleep } from '../../shared/index.js'
import { createConnectionPool } from '../connectionPool.js'
import type { ConnectionPool } from '../connectionPool.js'
import { createPooledServer } from '../serverLimits.js'

const LIMITS = { connections: 3, requests: 2, heldBytes: 100_000, unreadBytes: 100_000 }
const GET = 'GET / HTTP/1.1\r\nHost: x\r\n\r\n'

/** A connection of a client, and what it has received. */
interface Client {
  socket: Socket
  received(): string
  isClosed(): boolean
}

/** A server with a pool of small limits. */
async function setUp(t: ExecutionContext, listener: RequestListener, limits = {}) {
  const reasons: string[] = []
  const pool: ConnectionPool = createConnectionPool(
    { ...LIMITS, ...limits },
    {
      onClosed: (reason) => reasons.push(`closed ${reason}`),
      onRefused: (reason) => reasons.push(`refused ${reason}`),
    },
  )
  const server = createPooledServer(pool, listener)
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve))
  const { port } = server.address() as AddressInfo
  const clients: Client[] = []
  t.teardown(() => {
    for (const { socket } of clients) socket.destroy()
    server.close()
    server.closeAllConnections()
  })

  async function open(text: string): Promise<Client> {
    const socket = connect(port, '127.0.0.1')
    let received = ''
    let isClosed = false
    socket.on('data', (chunk) => (received += chunk.toString('latin1')))
    socket.on('error', () => undefined)
    socket.on('close', () => (isClosed = true))
    const client = { socket, received: () => received, isClosed: () => isClosed }
    clients.push(client)
    const before = pool.usage().connections + reasons.length
    if (text !== '') socket.write(text)
    while (pool.usage().connections + reasons.length === before) await sleep(5)
    return client
  }
  return { pool, reasons, open }
}

/** Polls in a wait, 5 ms apart, before the test fails. */
const MAX_POLLS = 4000

async function waitUntil(check: () => boolean): Promise<void> {
  for (let polls = 0; !check(); polls++) {
    if (polls === MAX_POLLS) throw new Error(`not in time: ${check}`)
    await sleep(5)
  }
}

const answer: RequestListener = (_req, res) => void res.end('ok')
const keepWaiting: RequestListener = () => undefined

describe('connections of an endpoint', () => {
  describe('at the limit of connections', () => {
    it('make room by the longest idle one that has asked for nothing', async (t) => {
      const { reasons, open } = await setUp(t, answer)
      const asked = await open(GET)
      await waitUntil(() => asked.received().endsWith('ok'))
      const silent = await open('')
      await open('')
      await open('')
      await waitUntil(silent.isClosed)
      t.deepEqual(reasons, ['closed idle'])
      t.false(asked.isClosed())
    })

    it('make room by an unfinished request if none is idle', async (t) => {
      const { pool, reasons, open } = await setUp(t, keepWaiting)
      const unfinished = await open('GET / HTTP/1.1\r\nHost:')
      await open(GET)
      await open(GET)
      await waitUntil(() => pool.usage().requests === 2)
      await open('')
      await waitUntil(unfinished.isClosed)
      t.deepEqual(reasons, ['closed unfinished'])
    })

    it('are all kept if each waits for an answer; the new one gets 503', async (t) => {
      const { pool, reasons, open } = await setUp(t, keepWaiting, { requests: 9 })
      const asking = [await open(GET), await open(GET), await open(GET)]
      await waitUntil(() => pool.usage().requests === 3)
      const refused = await open(GET)
      await waitUntil(refused.isClosed)
      t.regex(refused.received(), /^HTTP\/1\.1 503 .*\r\nRetry-After: 1\r\n/)
      t.deepEqual(reasons, ['refused connections'])
      t.true(asking.every((each) => !each.isClosed()))
    })
  })

  describe('at the limit of requests', () => {
    it('have a first request refused without running it', async (t) => {
      let runs = 0
      const { reasons, open } = await setUp(t, () => void runs++)
      await open(GET)
      await open(GET)
      await waitUntil(() => runs === 2)
      const refused = await open(GET)
      await waitUntil(() => refused.received().includes('503'))
      t.is(runs, 2)
      t.deepEqual(reasons, ['refused requests'])
    })

    it('have an unfinished request closed for a whole one', async (t) => {
      const { pool, reasons, open } = await setUp(t, keepWaiting)
      const upload = 'POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 50\r\n\r\n'
      const unfinished = await open(upload)
      const asking = await open(GET)
      await waitUntil(() => pool.usage().requests === 2)
      await open(GET)
      await waitUntil(unfinished.isClosed)
      t.deepEqual(reasons, ['closed unfinished'])
      t.false(asking.isClosed())
    })

    it('count a request of a caller that has left until its handler has ended', async (t) => {
      let end = (): void => undefined
      const handled = new Promise<void>((resolve) => (end = resolve))
      const { pool, open } = await setUp(t, () => handled as never)
      const client = await open(GET)
      await waitUntil(() => pool.usage().requests === 1)
      client.socket.destroy()
      await waitUntil(() => pool.usage().connections === 0)
      t.is(pool.usage().requests, 1)
      end()
      await waitUntil(() => pool.usage().requests === 0)
      t.pass()
    })

    it('run few requests of those sent ahead, and all of them in the end', async (t) => {
      const waiting: ServerResponse[] = []
      const { pool, open } = await setUp(t, (_req, res) => void waiting.push(res), {
        requests: 100,
      })
      const client = await open(GET.repeat(50))
      let most = 0
      for (let answered = 0; answered < 50; answered++) {
        await waitUntil(() => waiting.length > 0)
        most = Math.max(most, pool.usage().requests)
        waiting.shift()!.end('ok')
      }
      await waitUntil(() => client.received().split('HTTP/1.1 200').length === 51)
      t.true(most <= 5, `${most}`)
    })
  })

  describe('at the limit of bytes', () => {
    it('lose the unfinished request that holds most', async (t) => {
      const { reasons, open } = await setUp(t, keepWaiting, { heldBytes: 20_000 })
      const upload = 'POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 50000\r\n\r\n'
      const small = await open(`${upload}${'x'.repeat(2000)}`)
      const large = await open(`${upload}${'x'.repeat(12_000)}`)
      large.socket.write('x'.repeat(12_000))
      await waitUntil(large.isClosed)
      t.deepEqual(reasons, ['closed bytes'])
      t.false(small.isClosed())
    })

    it('hold nothing once all is answered', async (t) => {
      const { pool, open } = await setUp(t, (req, res) => {
        req.resume()
        req.once('end', () => res.end('ok'))
      })
      const upload = 'POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 9000\r\n\r\n'
      const client = await open(`${upload}${'x'.repeat(9000)}`.repeat(3))
      await waitUntil(() => client.received().split('HTTP/1.1 200').length === 4)
      await waitUntil(() => pool.usage().requests === 0)
      t.deepEqual(pool.usage(), {
        connections: 1,
        requests: 0,
        heldBytes: 0,
        unsentBytes: 0,
      })
    })
  })
})
