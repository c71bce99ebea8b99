import { once } from 'node:events'
import { connect } from 'node:net'
import { Readable } from 'node:stream'
import type { ExecutionContext } from 'ava'
import fc from 'fast-check'
import { request } from 'undici'
import { describe, it } from '../../../test/describe.js'
import { startRig } from '../../../test/rig.js'
import type { EntryRig } from '../../../test/rig.js'

async function setUp(t: ExecutionContext, settings = {}): Promise<EntryRig> {
  const rig = await startRig(settings)
  t.teardown(() => rig.stop())
  return rig
}

interface Reply {
  status: number
  outcome: string | undefined
  body: string
  headers: Record<string, string | string[] | undefined>
}

async function call(
  rig: EntryRig,
  path: string,
  opts: Parameters<typeof request>[1] = {},
): Promise<Reply> {
  const res = await request(`${rig.url}${path}`, opts)
  const body = await res.body.text()
  const outcome = res.headers['rillshunt-outcome'] as string | undefined
  return { status: res.statusCode, outcome, body, headers: res.headers }
}

describe('entry', () => {
  describe('answers', () => {
    it('forwards a request to a target and returns the whole answer', async (t) => {
      const rig = await setUp(t)
      await rig.addTarget('v1')
      const reply = await call(rig, '/s/rank/1?x=2', { method: 'POST', body: 'abc' })
      t.is(reply.status, 200)
      t.is(reply.outcome, 'answered')
      t.like(JSON.parse(reply.body) as object, {
        url: '/rank/1?x=2',
        method: 'POST',
        received: 3,
      })
    })

    it('keeps an idle connection open longer than load balancers do', async (t) => {
      const rig = await setUp(t)
      const reply = await call(rig, '/nothing')
      const kept = /^timeout=(\d+)$/.exec(String(reply.headers['keep-alive']))
      // Load balancers keep idle connections for 60 s by default.
      t.true(Number(kept?.[1]) > 60)
    })

    // A caller that keeps its connection open would be waited for without end.
    it('refuses a request whose body is not whole at its deadline', async (t) => {
      const rig = await setUp(t)
      await rig.addTarget('v1')
      const { hostname, port } = new URL(rig.url)
      const socket = connect(Number(port), hostname)
      t.teardown(() => socket.destroy())
      socket.write(
        'POST /s/a HTTP/1.1\r\nHost: x\r\nrillshunt-deadline-ms: 100\r\nContent-Length: 9\r\n\r\nabc',
      )
      const [answer] = (await once(socket, 'data')) as [Buffer]
      t.regex(answer.toString(), /^HTTP\/1\.1 504 /)
      t.regex(answer.toString(), /rillshunt-outcome: not-run/)
    })

    it('streams a large body with backpressure instead of buffering it', async (t) => {
      const rig = await setUp(t)
      let letRead = () => {}
      const readsAfter = new Promise<void>((resolve) => (letRead = resolve))
      await rig.addTarget('v1', { readsBodiesAfter: readsAfter })
      const chunk = Buffer.alloc(1024 * 1024)
      const chunks = 128
      let sent = 0
      const body = Readable.from(
        (function* () {
          for (; sent < chunks; sent++) yield chunk
        })(),
      )
      const reply = call(rig, '/s/replay', { method: 'POST', body })
      // The caller stalls once the socket buffers are full.
      for (let before = -1; before !== sent || sent === 0;) {
        before = sent
        await new Promise((resolve) => setTimeout(resolve, 200))
      }
      t.true(sent < chunks / 2, `${sent} MB were accepted before the target read any`)
      letRead()
      t.like(JSON.parse((await reply).body) as object, {
        received: chunks * chunk.length,
      })
    })

    it('closes the connection when the answer breaks off, without a retry', async (t) => {
      const rig = await setUp(t)
      await rig.addTarget('v1', { truncatesAnswers: true })
      await t.throwsAsync(
        call(rig, '/s/x', { headers: { 'rillshunt-request-id': 'r1' } }),
      )
      t.is(rig.ledger.get('r1'), 1)
    })

    it('answers HEAD without a body', async (t) => {
      const rig = await setUp(t)
      await rig.addTarget('v1')
      const reply = await call(rig, '/s/x', { method: 'HEAD' })
      t.is(reply.status, 200)
      t.is(reply.body, '')
    })
  })

  describe('not run', () => {
    it('is given for an unknown service, an invalid request and a missing target', async (t) => {
      const rig = await setUp(t)
      t.like(await call(rig, '/nope/x'), { status: 404, outcome: 'not-run' })
      t.like(await call(rig, '/'), { status: 400, outcome: 'not-run' })
      const headers = { 'rillshunt-repeatable': 'maybe' }
      t.like(await call(rig, '/s/x', { headers }), { status: 400, outcome: 'not-run' })
      const none = await call(rig, '/s/x')
      t.like(none, { status: 503, outcome: 'not-run' })
      t.is(none.headers['retry-after'], '1')
    })

    it('is given when nothing listens at the target; another target is used once there is one', async (t) => {
      const rig = await setUp(t, { requests: { retry_share: '1' } })
      const { target } = await rig.addTarget('v1')
      await target.kill()
      const headers = { 'rillshunt-request-id': 'r1' }
      t.like(await call(rig, '/s/x', { method: 'POST', body: 'x', headers }), {
        status: 503,
        outcome: 'not-run',
      })
      t.is(rig.ledger.get('r1'), undefined)
      await rig.addTarget('v2')
      for (let i = 0; i < 5; i++) t.like(await call(rig, '/s/x'), { outcome: 'answered' })
    })

    it('is given when the deadline passes while the request waits for a slot', async (t) => {
      const rig = await setUp(t)
      await rig.addTarget('v1', { hangs: true })
      const hanging = Array.from({ length: 8 }, () =>
        call(rig, '/s/x', { headers: { 'rillshunt-deadline-ms': '2000' } }).catch(
          () => undefined,
        ),
      )
      await rig.waitUntil(() => rig.kernel.get('router').loads()[0]?.inFlight === 8)
      const headers = { 'rillshunt-deadline-ms': '50', 'rillshunt-request-id': 'late' }
      t.like(await call(rig, '/s/x', { headers }), { status: 504, outcome: 'not-run' })
      t.is(rig.ledger.get('late'), undefined)
      await Promise.all(hanging)
    })
  })

  describe('unknown', () => {
    it('is given when the target dies after the body was sent, without a retry of an unrepeatable request', async (t) => {
      const rig = await setUp(t, { requests: { retry_share: '1' } })
      const { target } = await rig.addTarget('v1', { hangs: true })
      const headers = { 'rillshunt-request-id': 'r1' }
      const reply = call(rig, '/s/x', { method: 'POST', body: 'x', headers })
      await rig.waitUntil(() => rig.ledger.get('r1') === 1)
      await rig.addTarget('v2')
      await target.kill()
      t.like(await reply, { status: 502, outcome: 'unknown' })
      t.is(rig.ledger.get('r1'), 1)
    })

    it('is avoided for a repeatable request by a retry at another target', async (t) => {
      const rig = await setUp(t, { requests: { retry_share: '1' } })
      const { target } = await rig.addTarget('v1', { hangs: true })
      const headers = { 'rillshunt-request-id': 'r1' }
      const reply = call(rig, '/s/x', { headers })
      await rig.waitUntil(() => rig.ledger.get('r1') === 1)
      await rig.addTarget('v2')
      await target.kill()
      t.like(await reply, { status: 200, outcome: 'answered' })
      t.is(rig.ledger.get('r1'), 2)
    })

    it('is given when the deadline passes after sending', async (t) => {
      const rig = await setUp(t)
      await rig.addTarget('v1', { hangs: true })
      // Long enough for the request to be sent before it passes on a loaded machine.
      const headers = { 'rillshunt-deadline-ms': '2000' }
      t.like(await call(rig, '/s/x', { headers }), { status: 504, outcome: 'unknown' })
    })
  })

  describe('leaving targets', () => {
    it('receive no new requests once their row says so, and finish those in flight', async (t) => {
      const rig = await setUp(t)
      await rig.addTarget('v1', { meanMs: 200 })
      const headers = { 'rillshunt-request-id': 'r1' }
      const running = call(rig, '/s/x', { headers })
      await rig.waitUntil(() => rig.ledger.has('r1'))
      await rig.setVm('v1', { state: 'leaving', generation: 2 })
      t.like(await call(rig, '/s/x'), { status: 503, outcome: 'not-run' })
      t.deepEqual(rig.kernel.get('view').leaving()[0]?.vm, 'v1')
      t.like(await running, { status: 200 })
    })

    it('receive no new requests once they report draining, even while the platform is unreachable', async (t) => {
      const rig = await setUp(t)
      const { target } = await rig.addTarget('v1')
      rig.standIn.faults.outage = true
      target.drain()
      await rig.waitUntil(() => rig.kernel.get('view').targets('s')[0]?.draining === true)
      t.like(await call(rig, '/s/x'), { status: 503, outcome: 'not-run' })
    })
  })

  describe('identity', () => {
    it('sends nothing to another incarnation at the same address', async (t) => {
      const rig = await setUp(t)
      const { target } = await rig.addTarget('v1')
      t.like(await call(rig, '/s/x'), { status: 200 })
      const port = Number(target.address.split(':')[1])
      await target.kill()
      // The rows still name the first incarnation; the address now belongs to the second.
      const { startTarget } = await import('../../../playground/target.js')
      const other = await startTarget({
        vm: 'v1',
        incarnation: 'v1.2',
        job: 'other',
        service: 's',
        slots: 8,
        host: '127.0.0.1',
        port,
        random: () => 0,
        ledger: rig.ledger,
        behaviour: { meanMs: 0 },
      })
      t.teardown(() => other.kill())
      const before = [...rig.ledger.values()].length
      for (let i = 0; i < 3; i++) t.like(await call(rig, '/s/x'), { outcome: 'not-run' })
      t.is([...rig.ledger.values()].length, before)
      t.true(rig.events.some(({ name }) => name === 'identityMismatch'))
    })
  })

  describe('planned stop', () => {
    it('lets requests in flight finish', async (t) => {
      const rig = await startRig()
      await rig.addTarget('v1', { meanMs: 100 })
      const ids = Array.from({ length: 8 }, (_, i) => `r${i}`)
      const replies = ids.map((id) =>
        call(rig, '/s/x', { headers: { 'rillshunt-request-id': id } }),
      )
      await rig.waitUntil(() => ids.every((id) => rig.ledger.has(id)))
      const stopped = rig.stop()
      for (const reply of await Promise.all(replies))
        t.like(reply, { outcome: 'answered' })
      await stopped
    })

    it('fails the readiness check while callers are still answered', async (t) => {
      // Long enough for a loaded machine to check the readiness within it.
      const rig = await startRig({ requests: { drain_notice: '3s' } })
      t.is((await request(`${rig.opsUrl}/readyz`)).statusCode, 200)
      const stopped = rig.stop()
      await rig.waitUntil(
        async () => (await request(`${rig.opsUrl}/readyz`)).statusCode === 503,
      )
      t.like(await call(rig, '/s/x'), { status: 503 })
      await stopped
    })
  })

  describe('operations server', () => {
    it('serves metrics', async (t) => {
      const rig = await setUp(t)
      await rig.addTarget('v1')
      await call(rig, '/s/x')
      const text = await (await request(`${rig.opsUrl}/metrics`)).body.text()
      t.regex(text, /rillshunt_requests_total\{service="s",outcome="answered"\} 1/)
    })
  })

  describe('malformed input', () => {
    it('is answered or its connection is closed, and the entry keeps serving', async (t) => {
      const rig = await setUp(t)
      await rig.addTarget('v1')
      const { port } = rig.kernel.get('front').address
      const line = fc.constantFrom(
        'GET /s/x HTTP/1.1',
        'POST /s/x HTTP/1.1',
        'Host: a',
        'Content-Length: 5',
        'Content-Length: -1',
        'Transfer-Encoding: chunked',
        'Rillshunt-Request-Id: \u0001',
        'Rillshunt-Deadline-Ms: 1e9',
        '',
        'zz',
        '5',
      )
      const text = fc.array(fc.oneof(line, fc.string()), { maxLength: 8 })
      await fc.assert(
        fc.asyncProperty(text, async (lines) => {
          await sendRaw(port, `${lines.join('\r\n')}\r\n\r\n`)
        }),
        { numRuns: 60 },
      )
      t.like(await call(rig, '/s/x'), { status: 200, outcome: 'answered' })
    })
  })
})

/** Sends bytes, half-closes, and waits until the connection has ended. */
function sendRaw(port: number, text: string): Promise<void> {
  return new Promise((resolve) => {
    const socket = connect(port, '127.0.0.1', () => socket.end(text, 'latin1'))
    socket.resume()
    socket.on('error', () => {})
    socket.on('close', () => resolve())
  })
}
