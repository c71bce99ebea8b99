/**
 * Guards against nodes that lose or double jobs, or answer wrongly, because another program
 * writes rows with arbitrary texts into the store.
 */
import fc from 'fast-check'
import { request } from 'undici'
import { describe, itAlone } from '../../test/describe.js'
import { isReady, waitUntil } from '../../test/nodeProbe.js'
import { foreignKey, foreignText } from '../../test/foreignRows.js'
import { findGuaranteeViolation } from '../../test/jobRig.js'
import { endedKey, intakeKey } from '../../src/jobs/index.js'
import type { RowKey } from '../../src/ports/index.js'
import { sleep } from '../../src/shared/index.js'
import { startNodeProcess } from '../sim/nodeProcess.js'
import type { NodeProcess } from '../sim/nodeProcess.js'
import { ONE_QUEUE, QUEUE_HOST, QUEUE_NAME, QUEUE_SERVICE } from '../sim/oneQueue.js'
import { startSimPlatform } from '../sim/wireServer.js'
import type { SimPlatform } from '../sim/wireServer.js'

const JOBS = 60
/** Interval of the rows of the other writer, in ms. */
const WRITE_INTERVAL_MS = 25

/** Seed of the texts; set `FOREIGN_SEED` to use another one. */
const SEED = Number(process.env['FOREIGN_SEED'] ?? 4111)

const jobId = (number: number): string => number.toString(16).padStart(16, '0')

async function call(
  node: NodeProcess,
  method: 'GET' | 'POST',
  id: string,
  body?: unknown,
) {
  const res = await request(`http://${node.callers}/one/${id}`, {
    method,
    headers: { host: QUEUE_HOST, 'content-type': 'application/json' },
    body: body === undefined ? null : JSON.stringify(body),
  })
  const text = await res.body.text()
  const { state } = (text === '' ? {} : JSON.parse(text)) as { state?: string }
  return { status: res.statusCode, state }
}

const JOB = {
  spec: JSON.stringify({ ms: 150, cpu: 400 }),
  steps: [
    { count: 2, cpu: 400, estimated_ms: 150 },
    { count: 1, cpu: 400, estimated_ms: 150, after_revision: [0] },
  ],
}
const ENTRY = JSON.stringify({
  service: QUEUE_SERVICE,
  address: '127.0.0.1:9',
  zone: 'h1',
  state: 'ready',
  labels: [],
  capacity: { cpu: 8000, mem_mb: 32_000, gpu: 0 },
})
/** Texts with a lone surrogate, which the stand-in sends as a byte that is invalid in UTF-8. */
const INVALID_UTF8 = ['\uD800', '"\uD800"', ENTRY.replace('h1', '\uD800')]

/** Tables and parts that nodes read, with and without rows of their own. */
const LOCATIONS: Omit<RowKey, 'key'>[] = [
  { table: 'servers', part: '' },
  { table: 'nodes', part: 'stranger' },
  { table: 'intake', part: `${QUEUE_NAME}/0` },
  { table: 'intake', part: 'strange part' },
  { table: 'ended', part: `${QUEUE_NAME}/1` },
  { table: 'progress', part: QUEUE_SERVICE },
  { table: 'roster', part: QUEUE_SERVICE },
  { table: 'waves', part: '~fleet' },
  { table: 'epochs', part: 'stranger' },
]

/** Starts the other writer, which overwrites entries of targets and adds rows. */
function startWriter(platform: SimPlatform) {
  const { table, vms } = platform
  const write = fc.record({
    text: fc.oneof(foreignText(ENTRY), fc.constantFrom(...INVALID_UTF8)),
    key: foreignKey,
    pick: fc.nat({ max: 1000 }),
  })
  const writes = fc.sample(write, { seed: SEED, numRuns: 400 })
  let next = 0
  const step = (): void => {
    const { text, key, pick } = writes[next++ % writes.length]!
    const id = vms[pick % vms.length]?.target?.id
    if (next % 2 && id !== undefined) {
      return void table.put({ table: 'servers', part: '', key: id }, text)
    }
    const place = LOCATIONS[pick % LOCATIONS.length]!
    if (place.table === 'intake' && key.endsWith('.cancel')) return
    table.put({ ...place, key }, text)
  }
  const timer = setInterval(step, WRITE_INTERVAL_MS)
  return { stop: () => clearInterval(timer), written: () => next }
}

async function startAll() {
  const platform = await startSimPlatform({
    pools: { one: 3, idle: 2 },
    halls: ['h1', 'h2'],
    capacity: { cpu: 8000, memMb: 32_000, gpu: 0 },
    offlineMs: 300,
  })
  platform.putConfiguration(ONE_QUEUE)
  const nodes = await Promise.all(
    ['n1', 'n2', 'n3'].map((name, each) =>
      startNodeProcess(platform, name, `h${(each % 2) + 1}`),
    ),
  )
  for (const node of nodes) await waitUntil(() => isReady(node))
  return { platform, nodes }
}

/** Log lines of the nodes that contain an event name. */
const linesOf = (nodes: NodeProcess[], name: string): string[] =>
  nodes.flatMap((node) =>
    node
      .output()
      .split('\n')
      .filter((line) => line.includes(`"${name}"`)),
  )

describe('another writer in the store of the nodes', () => {
  itAlone('causes no lost or doubled job, also when an owner is killed', async (t) => {
    const { platform, nodes } = await startAll()
    const writer = startWriter(platform)
    const alive = () =>
      nodes.filter(({ child }) => child.exitCode === null && !child.killed)
    for (let number = 1; number <= JOBS; number++) {
      await waitUntil(async () => {
        const candidates = alive()
        const node = candidates[number % candidates.length]!
        const res = await call(node, 'POST', jobId(number), JOB).catch(() => undefined)
        return res?.status === 200
      })
      if (number === JOBS / 2) {
        const owner = nodes.find((node) =>
          /"ownershipTaken".*"service":"one"/.test(node.output()),
        )
        await owner?.kill()
      }
      await sleep(50)
    }
    writer.stop()
    const open = new Set(Array.from({ length: JOBS }, (_, each) => jobId(each + 1)))
    const done = await waitUntil(async () => {
      for (const id of open) {
        const { state } = await call(alive()[0]!, 'GET', id)
        if (state === 'completed') open.delete(id)
      }
      return open.size === 0
    })
    t.true(done, `open: ${[...open].join(' ')}`)
    t.is(findGuaranteeViolation(platform.ledger), undefined)
    t.deepEqual(linesOf(nodes, 'unexpectedError'), [])
    const lines = linesOf(nodes, 'rowInvalid')
    t.true(lines.length > 0)
    t.true(Math.max(...lines.map(({ length }) => length)) < 1500)
    t.log(`${writer.written()} rows written, ${lines.length} lines about them`)
    await Promise.all(alive().map((node) => node.kill()))
    await platform.close()
  })

  itAlone(
    'does not make a job with an unreadable row count as unknown or ended',
    async (t) => {
      const { platform, nodes } = await startAll()
      const node = nodes[0]!
      for (const [index, text] of ['{}', ...INVALID_UTF8].entries()) {
        const [open, over] = [jobId(1000 + index), jobId(2000 + index)]
        platform.table.put(intakeKey(QUEUE_NAME, open), text)
        platform.table.put(endedKey(QUEUE_NAME, over), text)
        for (const id of [open, over]) {
          t.is((await call(node, 'GET', id)).status, 503)
          t.is((await call(node, 'POST', id, JOB)).status, 504)
        }
      }
      t.is((await call(node, 'GET', jobId(3000))).status, 410)
      await Promise.all(nodes.map((each) => each.kill()))
      await platform.close()
    },
  )
})
