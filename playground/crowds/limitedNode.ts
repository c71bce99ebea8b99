/** Starts nodes with the limits of a small VM against a stand-in platform. */
import { request } from 'undici'
import { sleep } from '../../src/shared/index.js'
import { writeNodeSettings } from '../sim/nodeProcess.js'
import type { NodeSettings } from '../sim/nodeProcess.js'
import { ONE_QUEUE, QUEUE_HOST, QUEUE_PATH } from '../sim/oneQueue.js'
import { startSimPlatform } from '../sim/wireServer.js'
import type { SimPlatform } from '../sim/wireServer.js'
import type { CrowdTarget } from './crowds.js'
import {
  LIMIT_SETTINGS,
  buildBundle,
  deployedFlags,
  ordinaryStatus,
  startLimited,
} from './limitedProcess.js'
import type { LimitedProcess } from './limitedProcess.js'

const HALL = 'h1'
const READY_POLLS = 300
const POLL_MS = 100
/** Body of an ordinary job: one short task. */
export const JOB = JSON.stringify({
  spec: JSON.stringify({ ms: 50, cpu: 100 }),
  steps: [{ count: 1, cpu: 100, estimated_ms: 50 }],
})
const CALLER_HEADERS = { host: QUEUE_HOST, 'content-type': 'application/json' }

/** A node with limits. */
export type LimitedNode = LimitedProcess & NodeSettings & { name: string }

/** Id of a job. */
export const jobId = (number: number): string => number.toString(16).padStart(16, '0')

/** Starts the stand-in platform with one queue. */
export async function startPlatform(): Promise<SimPlatform> {
  const platform = await startSimPlatform({
    pools: { one: 3, idle: 1 },
    halls: [HALL],
    capacity: { cpu: 8000, memMb: 32_000, gpu: 0 },
    offlineMs: 300,
  })
  platform.putConfiguration({ ...ONE_QUEUE, limits: {} })
  return platform
}

let bundle: string | undefined

/** Starts a node; resolves before it is ready. */
export async function startLimitedNode(
  platform: SimPlatform,
  name: string,
  moreSettings: string[] = [],
): Promise<LimitedNode> {
  bundle ??= buildBundle()
  const settings = await writeNodeSettings(platform, name, HALL, [
    ...LIMIT_SETTINGS,
    ...moreSettings,
  ])
  const started = startLimited([...deployedFlags(), bundle, settings.file])
  return { name, ...settings, ...started }
}

/** Polls the readiness check; false if the node does not become ready. */
export async function becomesReady(node: LimitedNode): Promise<boolean> {
  for (let polls = 0; polls < READY_POLLS; polls++) {
    const res = await request(`http://${node.readiness}/readiness`).catch(() => undefined)
    await res?.body.dump()
    if (res?.statusCode === 200) return true
    await sleep(POLL_MS)
  }
  return false
}

/** The endpoint for callers as a crowd sees it. */
export const callersOf = ({ callers }: LimitedNode): CrowdTarget => ({
  address: callers,
  question: `GET ${QUEUE_PATH}${jobId(1)} HTTP/1.1\r\nHost: ${QUEUE_HOST}\r\n`,
  upload: (number) =>
    `POST ${QUEUE_PATH}${jobId(1_000_000 + number)} HTTP/1.1\r\nHost: ${QUEUE_HOST}\r\n` +
    'Content-Type: application/json\r\n',
  body: JOB,
})

/** Submits an ordinary job; resolves to the last status. */
export const submitStatus = (node: LimitedNode, number: number): Promise<number> =>
  ordinaryStatus(
    {
      url: `http://${node.callers}${QUEUE_PATH}${jobId(number)}`,
      method: 'POST',
      headers: CALLER_HEADERS,
      body: JOB,
    },
    200,
  )

/** Asks for the state of a job until it is `completed`; resolves to the last state. */
export async function finalState(
  node: LimitedNode,
  number: number,
): Promise<string | undefined> {
  let state: string | undefined
  for (let polls = 0; polls < READY_POLLS && state !== 'completed'; polls++) {
    const res = await request(`http://${node.callers}${QUEUE_PATH}${jobId(number)}`, {
      headers: CALLER_HEADERS,
    }).catch(() => undefined)
    const body = (await res?.body.json().catch(() => undefined)) as
      { state?: string } | undefined
    state = body?.state
    await sleep(POLL_MS)
  }
  return state
}
