import { Agent, get } from 'node:http'
import type { AddressInfo } from 'node:net'
import { create } from '@bufbuild/protobuf'
import { Code, ConnectError } from '@connectrpc/connect'
import { describe, it } from '../../../test/describe.js'
import { resolveConfig } from '../../config/index.js'
import { createMetrics, monotonicMs, sleep } from '../../shared/index.js'
import { NodeReportSchema } from '../gen/peer_pb.js'
import { callWithTimeout } from '../callWithTimeout.js'
import { smallVmLimits } from '../../../test/fixtures.js'
import { listenForPeers, createPeer } from '../peerLink.js'
import { createMeteredAgent, createTrafficMeter } from '../traffic.js'

/** Sync interval of the peer in these tests, in ms. */
const INTERVAL_MS = 20
/** Longer than every time-out in these tests, in ms. */
const BLOCKED_MS = 400

/** Blocks the event loop, so that the process reads nothing meanwhile. */
function blockEventLoop(ms: number): void {
  const endsAt = monotonicMs() + ms
  while (monotonicMs() < endsAt);
}

function peerWithReport() {
  const address = { hall: 'h', host: '127.0.0.1', port: 1, role: 'entry' as const }
  const peer = createPeer('p', address, INTERVAL_MS, new Agent())
  peer.recordReport(create(NodeReportSchema, { node: 'p', hall: 'h' }))
  return peer
}

/** A call whose reply arrives while the event loop is blocked. */
function answerDuringBlock(signal: AbortSignal | undefined): Promise<string> {
  return new Promise((resolve, reject) => {
    signal?.addEventListener('abort', () => reject(signal.reason as Error))
    setImmediate(() => resolve('answer'))
    blockEventLoop(BLOCKED_MS)
  })
}

const unanswered = (signal: AbortSignal | undefined) =>
  new Promise<never>((_resolve, reject) => {
    signal?.addEventListener('abort', () => reject(signal.reason as Error))
    if (signal?.aborted) reject(signal.reason as Error)
  })

describe('a process whose event loop was blocked', () => {
  it('still counts its peers as reached', async (t) => {
    const peer = peerWithReport()
    blockEventLoop(BLOCKED_MS)
    t.true(peer.isReached())
    // Messages that arrived meanwhile are read after the timers that are due.
    setImmediate(() => peer.recordReport(peer.report!))
    await sleep(0)
    t.true(peer.isReached())
    peer.stopWatching()
  })

  it('uses a reply that arrived meanwhile', async (t) => {
    // After this turn, timers that are due run before anything is read.
    await sleep(0)
    const answer = await callWithTimeout(50, ({ signal }) => answerDuringBlock(signal))
    t.is(answer, 'answer')
  })
})

describe('a peer', () => {
  it('counts as reached after a report, until it falls silent or is no longer watched', async (t) => {
    const peer = peerWithReport()
    t.true(peer.isReached())
    while (peer.isReached()) await sleep(INTERVAL_MS)
    peer.recordReport(peer.report!)
    t.true(peer.isReached())
    peer.stopWatching()
    peer.recordReport(peer.report!)
    t.false(peer.isReached())
  })

  it('that does not reply makes the call time out', async (t) => {
    const call = callWithTimeout(50, ({ signal }) => unanswered(signal))
    const error = await t.throwsAsync(call, { instanceOf: ConnectError })
    t.is(error.code, Code.DeadlineExceeded)
  })

  it('is no longer waited for once this process stops', async (t) => {
    const stopping = new AbortController()
    const hour = 3_600_000
    const run = ({ signal }: { signal?: AbortSignal }) => unanswered(signal)
    const call = callWithTimeout(hour, run, stopping.signal)
    stopping.abort()
    const error = await t.throwsAsync(call, { instanceOf: ConnectError })
    t.is(error.code, Code.Canceled)
    const late = callWithTimeout(hour, run, stopping.signal)
    await t.throwsAsync(late, { instanceOf: ConnectError })
  })
})

/** Idle time-out of the agent, in ms; its types do not declare it. */
const idleTimeoutMs = (agent: Agent) =>
  (agent as unknown as { options: { timeout: number } }).options.timeout

describe('an idle connection between processes', () => {
  it('is closed by the client first, so that no call is sent on one that the server closes', async (t) => {
    const meter = createTrafficMeter(createMetrics())
    const agent = createMeteredAgent(meter)
    const cfg = resolveConfig({
      node: { id: 'n', hall: 'h' },
      listen: { peer_port: '0' },
      platform: { url: 'http://127.0.0.1:1' },
    })._unsafeUnwrap()
    const server = await listenForPeers(cfg, () => {}, meter, smallVmLimits())
    t.teardown(() => server.close())
    const { address, port } = server.address() as AddressInfo
    const keepAliveHeader = await new Promise<string>((resolve, reject) => {
      const req = get({ host: address, port, agent }, (res) => {
        res.resume()
        resolve(String(res.headers['keep-alive']))
      })
      req.on('error', reject)
    })
    agent.destroy()
    const keptMs = Number(/^timeout=(\d+)$/.exec(keepAliveHeader)?.[1]) * 1000
    // Factor of 2: the client's timer may fire late as well.
    t.true(keptMs >= 2 * idleTimeoutMs(agent), keepAliveHeader)
  })
})
