import { createServer } from 'node:http'
import type { IncomingMessage, Server, ServerResponse } from 'node:http'
import { connect } from 'node:net'
import type { AddressInfo } from 'node:net'
import type { ExecutionContext } from 'ava'
import { request } from 'undici'
import { describe, it } from '../../../test/describe.js'
import { jobOf, startRig } from '../../../test/rig.js'
import type { EntryRig } from '../../../test/rig.js'

const LARGE = Buffer.alloc(300 * 1024, 'x')

/** Behaviour of a target, by the path of the request. */
const TARGET_HANDLERS: Record<
  string,
  (req: IncomingMessage, res: ServerResponse) => void
> = {
  '/half-request': (req) => void req.once('data', () => req.socket.destroy()),
  '/whole-request': (req) => void req.resume().once('end', () => req.socket.destroy()),
  '/head-only': (req, res) => {
    res.writeHead(200, { 'content-length': 100 })
    res.flushHeaders()
    setImmediate(() => req.socket.destroy())
  },
  '/half-fixed': (req, res) => {
    res.writeHead(200, { 'content-length': 100 })
    res.write('x'.repeat(50), () => req.socket.destroy())
  },
  '/half-chunked': (req, res) =>
    void res.write('x'.repeat(50), () => req.socket.destroy()),
  '/refuse-midway': (req, res) =>
    void req.once('data', () =>
      res.writeHead(503, { 'rillshunt-outcome': 'not-run' }).end(),
    ),
  '/early-answer': (_req, res) =>
    void res.writeHead(413, { connection: 'close' }).end('too large'),
  '/no-content': (_req, res) => void res.writeHead(204).end(),
  '/trailers': (_req, res) => {
    res.writeHead(200, { trailer: 'x-sum' })
    res.write('body')
    res.addTrailers({ 'x-sum': '7' })
    res.end()
  },
  '/two-cookies': (_req, res) =>
    void res.writeHead(200, { 'set-cookie': ['a=1', 'b=2'] }).end(),
  '/continue': (req, res) => void req.resume().once('end', () => res.end('done')),
  // The first target to receive it closes the connection, the second one refuses.
  '/break-then-refuse': (() => {
    let times = 0
    return (req: IncomingMessage, res: ServerResponse): void => {
      if (times++ === 0) return void req.socket.destroy()
      res.writeHead(503, { 'rillshunt-outcome': 'not-run' }).end()
    }
  })(),
  '/large': (_req, res) => void res.end(Buffer.alloc(32 * 1024 * 1024, 'y')),
}

async function setUp(t: ExecutionContext): Promise<{ rig: EntryRig; hits: string[] }> {
  const rig = await startRig({ requests: { retry_share: '1' } })
  const hits: string[] = []
  const servers: Server[] = []
  // Two targets, so that an unwanted retry is detected.
  for (const vm of ['v1', 'v2']) {
    const incarnation = `${vm}.1`
    const health = { vm, incarnation, job: jobOf(vm, incarnation), state: 'ok', load: 0 }
    const server = createServer((req, res) => {
      if (req.url === '/health') return void res.end(JSON.stringify(health))
      hits.push(req.url!)
      TARGET_HANDLERS[req.url!]!(req, res)
    })
    await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve))
    servers.push(server)
    await rig.announce(
      vm,
      incarnation,
      `127.0.0.1:${(server.address() as AddressInfo).port}`,
    )
  }
  t.teardown(async () => {
    await rig.stop()
    for (const server of servers) server.close().closeAllConnections()
  })
  return { rig, hits }
}

async function post(rig: EntryRig, path: string, body: Buffer | string, headers = {}) {
  const res = await request(`${rig.url}/s${path}`, { method: 'POST', body, headers })
  return { status: res.statusCode, outcome: res.headers['rillshunt-outcome'], res }
}

describe('outcomes', () => {
  describe('a target that fails', () => {
    for (const path of ['/half-request', '/whole-request']) {
      it(`during the request (${path}) gives unknown, without a retry`, async (t) => {
        const { rig, hits } = await setUp(t)
        for (const body of [LARGE, 'small']) {
          hits.length = 0
          const { status, outcome, res } = await post(rig, path, body)
          await res.body.dump()
          t.deepEqual([status, outcome], [502, 'unknown'])
          t.deepEqual(hits, [path])
        }
      })
    }

    it('in the first attempt leaves the outcome unknown when the retry is refused', async (t) => {
      const { rig, hits } = await setUp(t)
      const res = await request(`${rig.url}/s/break-then-refuse`)
      await res.body.dump()
      t.is(res.headers['rillshunt-outcome'], 'unknown')
      t.deepEqual(hits, ['/break-then-refuse', '/break-then-refuse'])
    })

    it('does not lead to a retry once bytes of a streamed body were read', async (t) => {
      const { rig, hits } = await setUp(t)
      const { status, outcome, res } = await post(rig, '/refuse-midway', LARGE)
      await res.body.dump()
      t.deepEqual([status, outcome], [503, 'not-run'])
      t.deepEqual(hits, ['/refuse-midway'])
    })

    for (const path of ['/head-only', '/half-fixed', '/half-chunked']) {
      it(`during the answer (${path}) breaks the caller's connection, without a retry`, async (t) => {
        const { rig, hits } = await setUp(t)
        for (const method of ['GET', 'POST'] as const) {
          hits.length = 0
          const whole = request(`${rig.url}/s${path}`, { method }).then((res) =>
            res.body.text(),
          )
          await t.throwsAsync(whole)
          t.deepEqual(hits, [path])
        }
      })
    }
  })

  describe('a caller that disconnects', () => {
    it('during a small body has reached no target', async (t) => {
      const { rig, hits } = await setUp(t)
      const { port } = rig.kernel.get('front').address
      const socket = connect(port, '127.0.0.1')
      socket.write(
        'POST /s/continue HTTP/1.1\r\nhost: x\r\ncontent-length: 10\r\n\r\nhalf',
      )
      await rig.waitUntil(() => rig.kernel.get('router').open() === 1)
      socket.destroy()
      await rig.waitUntil(() => rig.kernel.get('router').open() === 0)
      t.deepEqual(hits, [])
    })

    it('during a streamed answer ends the request at the target', async (t) => {
      const { rig } = await setUp(t)
      const { port } = rig.kernel.get('front').address
      const socket = connect(port, '127.0.0.1')
      socket.write('GET /s/large HTTP/1.1\r\nhost: x\r\n\r\n')
      await new Promise((resolve) => socket.once('data', resolve))
      socket.pause()
      socket.destroy()
      await rig.waitUntil(() => rig.kernel.get('router').open() === 0)
      for (const target of rig.kernel.get('view').targets('s')) t.is(target.inFlight, 0)
    })
  })

  describe('unusual answers are passed whole', () => {
    it('when early, empty, with trailers or with several headers of one name', async (t) => {
      const { rig } = await setUp(t)
      const early = await post(rig, '/early-answer', LARGE).catch(() => undefined)
      if (early) {
        await early.res.body.dump().catch(() => undefined)
        t.true([413, 502].includes(early.status))
      }
      const empty = await post(rig, '/no-content', '')
      t.deepEqual([empty.status, await empty.res.body.text()], [204, ''])
      const trailers = await post(rig, '/trailers', '')
      t.is(await trailers.res.body.text(), 'body')
      t.deepEqual({ ...trailers.res.trailers }, { 'x-sum': '7' })
      const cookies = await post(rig, '/two-cookies', '')
      t.deepEqual(cookies.res.headers['set-cookie'], ['a=1', 'b=2'])
      await cookies.res.body.dump()
    })

    it('to a very slow reader, without being buffered whole', async (t) => {
      const { rig } = await setUp(t)
      const res = await request(`${rig.url}/s/large`)
      let bytes = 0
      for await (const chunk of res.body) {
        bytes += (chunk as Buffer).length
        if (bytes % 7 === 0) await new Promise((resolve) => setImmediate(resolve))
      }
      t.is(bytes, 32 * 1024 * 1024)
    })
  })

  it('answers "expect: 100-continue" so that the caller sends the body', async (t) => {
    const { rig } = await setUp(t)
    const { port } = rig.kernel.get('front').address
    const socket = connect(port, '127.0.0.1')
    let text = ''
    socket.on('data', (chunk) => (text += chunk))
    socket.write(
      'POST /s/continue HTTP/1.1\r\nhost: x\r\nexpect: 100-continue\r\ncontent-length: 4\r\nconnection: close\r\n\r\n',
    )
    await rig.waitUntil(() => text.includes('100 Continue'))
    socket.write('body')
    await new Promise((resolve) => socket.once('close', resolve))
    t.regex(text, /200 OK[\s\S]*rillshunt-outcome: answered[\s\S]*done/i)
  })
})
