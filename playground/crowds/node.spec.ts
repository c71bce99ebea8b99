/** Guards against clients that end a node, fill its memory or use up its descriptors. */
import type { ExecutionContext } from 'ava'
import { describe, itAlone } from '../../test/describe.js'
import { sleep } from '../../src/shared/index.js'
import { QUEUE_HOST, QUEUE_PATH } from '../sim/oneQueue.js'
import { CROWDS, CROWD_KINDS } from './crowds.js'
import type { CrowdTarget } from './crowds.js'
import {
  MAX_OPEN_DESCRIPTORS,
  VM_MEMORY_MB,
  ordinaryStatus,
  statusOfBytes,
} from './limitedProcess.js'
import type { LimitedProcess } from './limitedProcess.js'
import {
  JOB,
  becomesReady,
  callersOf,
  finalState,
  jobId,
  startLimitedNode,
  startPlatform,
  submitStatus,
} from './limitedNode.js'
import type { LimitedNode } from './limitedNode.js'

/** Largest head and body of a request by the platform's limits, in bytes. */
const LARGEST_HEAD = 16_384
const LARGEST_BODY = 262_144

/** Time after which a process that was asked to stop counts as hanging, in ms. */
const STOP_TIMEOUT_MS = 60_000

async function startOne(t: ExecutionContext) {
  const platform = await startPlatform()
  const node = await startLimitedNode(platform, 'n1')
  t.teardown(async () => {
    await node.end()
    await platform.close()
  })
  t.true(await becomesReady(node), node.output())
  return { platform, node }
}

function checkAlive(t: ExecutionContext, process: LimitedProcess): void {
  t.true(process.isAlive(), process.output().slice(-2000))
}

function checkUsage(t: ExecutionContext, process: LimitedProcess): void {
  checkAlive(t, process)
  const peakMb = process.peakMemoryMb()
  const descriptors = process.openDescriptors()
  t.log(`peak ${peakMb.toFixed(0)} MB, ${descriptors} descriptors`)
  t.true(peakMb <= VM_MEMORY_MB, `${peakMb} MB`)
  t.true(descriptors <= MAX_OPEN_DESCRIPTORS, `${descriptors} descriptors`)
}

const readinessOf = ({ readiness }: LimitedNode): CrowdTarget => ({
  address: readiness,
  question: 'GET /readiness HTTP/1.1\r\nHost: x\r\n',
  upload: () => 'POST /readiness HTTP/1.1\r\nHost: x\r\n',
  body: '',
})

const metricsOf = ({ metrics }: LimitedNode): CrowdTarget => ({
  address: new URL(metrics).host,
  question: 'GET /metrics HTTP/1.1\r\nHost: x\r\n',
  upload: () => 'POST /metrics HTTP/1.1\r\nHost: x\r\n',
  body: '',
})

const ASK_PATH = '/rillshunt.node.v1.NodeService/Ask'

const nodePortOf = ({ nodeAddress }: LimitedNode): CrowdTarget => ({
  address: nodeAddress,
  question: `GET ${ASK_PATH} HTTP/1.1\r\nHost: x\r\n`,
  upload: () =>
    `POST ${ASK_PATH} HTTP/1.1\r\nHost: x\r\nContent-Type: application/json\r\n`,
  body: '{}',
})

/** Endpoints besides that for callers, and an ordinary request to each. */
const ENDPOINTS: Record<
  string,
  { of(node: LimitedNode): CrowdTarget; ask(node: LimitedNode): Promise<number> }
> = {
  readiness: {
    of: readinessOf,
    ask: ({ readiness }) =>
      ordinaryStatus({ url: `http://${readiness}/readiness`, method: 'GET' }, 200),
  },
  metrics: {
    of: metricsOf,
    ask: ({ metrics }) => ordinaryStatus({ url: metrics, method: 'GET' }, 200),
  },
  'calls of other nodes': {
    of: nodePortOf,
    ask: ({ nodeAddress }) =>
      ordinaryStatus(
        {
          url: `http://${nodeAddress}${ASK_PATH}`,
          method: 'POST',
          headers: { 'content-type': 'application/json' },
          body: '{}',
        },
        200,
      ),
  },
}

describe('a crowd at a node', () => {
  describe('at the endpoint for callers', () => {
    for (const kind of CROWD_KINDS) {
      itAlone(`does not end it or keep a caller out: ${kind}`, async (t) => {
        const { node } = await startOne(t)
        const crowd = CROWDS[kind](callersOf(node))
        await crowd.settled()
        checkAlive(t, node)
        const beside = await submitStatus(node, 1)
        checkUsage(t, node)
        crowd.close()
        const after = await submitStatus(node, 2)
        t.deepEqual({ beside, after }, { beside: 200, after: 200 })
        checkUsage(t, node)
      })
    }

    itAlone('does not hold up a planned stop', async (t) => {
      const { node } = await startOne(t)
      const crowds = CROWD_KINDS.map((kind) => CROWDS[kind](callersOf(node)))
      const stopped = node.end('SIGTERM')
      const exitCode = await Promise.race([stopped, sleep(STOP_TIMEOUT_MS)])
      crowds.forEach((each) => each.close())
      t.is(exitCode, 0, node.output().slice(-2000))
      t.true(node.output().includes('"kernelStopped"'))
    })
  })

  for (const [name, { of, ask }] of Object.entries(ENDPOINTS)) {
    describe(`at the endpoint for ${name}`, () => {
      itAlone('does not end it or keep others out', async (t) => {
        const { node } = await startOne(t)
        const crowds = CROWD_KINDS.map((kind) => CROWDS[kind](of(node)))
        for (const crowd of crowds) await crowd.settled()
        checkAlive(t, node)
        const beside = await ask(node)
        const job = await submitStatus(node, 1)
        checkUsage(t, node)
        crowds.forEach((each) => each.close())
        t.deepEqual({ beside, job }, { beside: 200, job: 200 })
      })
    })
  }

  describe('that waits for valid settings', () => {
    itAlone('does not end it or keep a caller out', async (t) => {
      const platform = await startPlatform()
      const node = await startLimitedNode(platform, 'n1', ['[targets]', 'orders = none'])
      t.teardown(async () => {
        await node.end()
        await platform.close()
      })
      const url = `http://${node.callers}${QUEUE_PATH}`
      t.is(await ordinaryStatus({ url, method: 'GET' }, 503), 503, node.output())
      const crowds = CROWD_KINDS.map((kind) => CROWDS[kind](callersOf(node)))
      for (const crowd of crowds) await crowd.settled()
      checkAlive(t, node)
      const beside = await ordinaryStatus({ url, method: 'GET' }, 503)
      checkUsage(t, node)
      crowds.forEach((each) => each.close())
      t.is(beside, 503)
    })
  })

  describe('at every node at once', () => {
    itAlone('stops neither duties nor orders', async (t) => {
      const platform = await startPlatform()
      const nodes = await Promise.all(
        ['n1', 'n2', 'n3'].map((name) => startLimitedNode(platform, name)),
      )
      t.teardown(async () => {
        await Promise.all(nodes.map((node) => node.end()))
        await platform.close()
      })
      for (const node of nodes) t.true(await becomesReady(node), node.output())
      t.is(await submitStatus(nodes[0]!, 1), 200)
      t.is(await finalState(nodes[0]!, 1), 'completed')
      const takeovers = (): number =>
        nodes.flatMap((node) => node.output().match(/"ownershipTaken"/g) ?? []).length
      const before = takeovers()
      const crowds = nodes.flatMap((node) =>
        CROWD_KINDS.map((kind) => CROWDS[kind](callersOf(node))),
      )
      for (const crowd of crowds) await crowd.settled()
      for (const node of nodes) checkAlive(t, node)
      const statuses = await Promise.all(
        nodes.map((node, each) => submitStatus(node, 2 + each)),
      )
      crowds.forEach((each) => each.close())
      t.deepEqual(statuses, [200, 200, 200])
      for (const [each, node] of nodes.entries())
        t.is(await finalState(node, 2 + each), 'completed')
      for (const node of nodes) checkUsage(t, node)
      t.is(takeovers(), before, 'no node takes over a service')
    })
  })
})

describe('a request at the limits of the platform', () => {
  const path = `${QUEUE_PATH}${jobId(1)}`
  const largestBody = JOB.padEnd(LARGEST_BODY)
  const headers = { host: QUEUE_HOST, 'content-type': 'application/json' }

  itAlone('is served with the largest body', async (t) => {
    const { node } = await startOne(t)
    const url = `http://${node.callers}${path}`
    const status = ordinaryStatus(
      { url, method: 'POST', headers, body: largestBody },
      200,
    )
    t.is(await status, 200)
  })

  itAlone('is served with the largest body in chunks of one byte', async (t) => {
    const { node } = await startOne(t)
    const head = `POST ${path} HTTP/1.1\r\nHost: ${QUEUE_HOST}\r\nTransfer-Encoding: chunked\r\n\r\n`
    const chunks = [...largestBody].map((byte) => `1\r\n${byte}\r\n`).join('')
    const bytes = Buffer.from(`${head}${chunks}0\r\n\r\n`)
    t.is(await statusOfBytes(node.callers, bytes, 200), 200)
  })

  itAlone('is served with the largest head', async (t) => {
    const { node } = await startOne(t)
    const head = `GET ${QUEUE_PATH} HTTP/1.1\r\nHost: ${QUEUE_HOST}\r\nx-padding: `
    const bytes = Buffer.from(`${head.padEnd(LARGEST_HEAD - 4, 'x')}\r\n\r\n`)
    t.is(await statusOfBytes(node.callers, bytes, 200), 200)
  })
})
