/** Cordons of data halls with node processes: the bound for starts, refusals, and the commands. */
import { PassThrough } from 'node:stream'
import { request } from 'undici'
import { createCli } from '../../src/cli/index.js'
import { sleep } from '../../src/shared/index.js'
import { describe, it } from '../../test/describe.js'
import { findGuaranteeViolation } from '../../test/jobRig.js'
import { startNodeProcess } from '../sim/nodeProcess.js'
import type { NodeProcess } from '../sim/nodeProcess.js'
import { ONE_QUEUE, QUEUE_HOST, QUEUE_PATH } from '../sim/oneQueue.js'
import { startSimPlatform } from '../sim/wireServer.js'

const HALLS = ['h1', 'h2']
/** Longest time from the row of a cordon to the last start there, in ms. */
const CORDON_BOUND_MS = 5000
const TASK = { ms: 100, cpu: 400 }

let lastId = 0

async function post(node: NodeProcess, more: object = {}) {
  lastId++
  const id = lastId.toString(16).padStart(16, '0')
  const steps = [{ count: 2, cpu: TASK.cpu, estimated_ms: TASK.ms, ...more }]
  const res = await request(`http://${node.callers}${QUEUE_PATH}${id}`, {
    method: 'POST',
    headers: { host: QUEUE_HOST, 'content-type': 'application/json' },
    body: JSON.stringify({ spec: JSON.stringify(TASK), steps }),
  })
  await res.body.dump()
  return { id, status: res.statusCode, retryAfter: res.headers['retry-after'] }
}

async function isCompleted(node: NodeProcess, id: string): Promise<boolean> {
  const url = `http://${node.callers}${QUEUE_PATH}${id}`
  const res = await request(url, { headers: { host: QUEUE_HOST } })
  const text = await res.body.text()
  return res.statusCode === 200 && text.includes('"completed"')
}

async function startAll(count: number) {
  const platform = await startSimPlatform({
    pools: { one: 4 },
    halls: HALLS,
    capacity: { cpu: 8000, memMb: 32_000, gpu: 0 },
    offlineMs: 300,
  })
  platform.putConfiguration(ONE_QUEUE)
  // Without the cloud no VM changes its pool, so that both halls keep two targets.
  const withoutCloud = { ...platform, cloudAddress: '' }
  const moreSettings = ['[node]', `halls = ${HALLS.join(', ')}`]
  const nodes = await Promise.all(
    Array.from({ length: count }, (_, each) =>
      startNodeProcess(withoutCloud, `n${each + 1}`, HALLS[each % 2]!, { moreSettings }),
    ),
  )
  for (const node of nodes) {
    for (let tries = 0; tries < 200; tries++) {
      const url = `http://${node.readiness}/readiness`
      const res = await request(url).catch(() => undefined)
      await res?.body.dump()
      if (res?.statusCode === 200) break
      await sleep(100)
    }
  }
  /** Time and hall of each start. */
  const starts: { at: number; hall: string | undefined }[] = []
  platform.ledger.watch = ({ what, at, target }) => {
    if (what !== 'start') return
    const vm = platform.vms.find((each) => each.target?.id === target)
    starts.push({ at, hall: vm?.hall })
  }
  return { platform, nodes, starts }
}

describe('cordon of a data hall', () => {
  it('lets no node start a task there after the bound, also a new owner', async (t) => {
    const { platform, nodes, starts } = await startAll(3)
    const ids: string[] = []
    const alive = () => nodes.filter(({ child }) => !child.killed)
    const submitFor = async (ms: number): Promise<void> => {
      const endsAt = performance.now() + ms
      while (performance.now() < endsAt) {
        const { id, status } = await post(alive()[0]!)
        if (status === 200) ids.push(id)
        await sleep(30)
      }
    }
    const countAt = (hall: string): number =>
      starts.filter((each) => each.hall === hall).length
    await submitFor(1500)
    t.true(countAt('h1') > 0 || countAt('h2') > 0)
    platform.setCordoned('h1', true)
    const cordonedAt = performance.now()
    await submitFor(500)
    const owner = nodes.find((node) =>
      /"ownershipTaken".*"service":"one"/.test(node.output()),
    )
    t.truthy(owner)
    await owner!.kill()
    await submitFor(CORDON_BOUND_MS + 1500)
    const late = starts.filter(
      ({ at, hall }) => hall === 'h1' && at - cordonedAt > CORDON_BOUND_MS,
    )
    t.deepEqual(late, [])
    const metrics = await request(alive()[0]!.metrics)
    t.regex(await metrics.body.text(), /rillshunt_hall_cordoned\{hall="h1"\} 1/)
    platform.setCordoned('h1', false)
    platform.setCordoned('h2', true)
    await submitFor(500)
    let open = ids
    for (let tries = 0; tries < 150 && open.length > 0; tries++) {
      const states = await Promise.all(open.map((id) => isCompleted(alive()[0]!, id)))
      open = open.filter((_, index) => !states[index])
      await sleep(100)
    }
    t.deepEqual(open, [])
    t.is(findGuaranteeViolation(platform.ledger), undefined)
    await Promise.all(alive().map((node) => node.kill()))
    await platform.close()
  })

  it('of all halls has jobs refused, and accepted ones wait', async (t) => {
    const { platform, nodes, starts } = await startAll(1)
    const [node] = nodes
    for (const hall of HALLS) platform.setCordoned(hall, true)
    await sleep(500)
    const refused = await post(node!)
    t.is(refused.status, 503)
    t.true(Number(refused.retryAfter) >= 1)
    t.is((await post(node!, { long_running: true })).status, 200)
    await sleep(500)
    t.deepEqual(starts, [])
    const stdout = new PassThrough()
    const args = ['node', 'halls', '--store', platform.storeAddress]
    await createCli().run([...args, '--cloud', platform.cloudAddress], { stdout })
    t.regex(String(stdout.read()), /h1 +yes +2 +0 +0 +0 +2 +0\n/)
    platform.setCordoned('h2', false)
    for (let tries = 0; tries < 100 && starts.length < 2; tries++) await sleep(100)
    t.deepEqual([...new Set(starts.map(({ hall }) => hall))], ['h2'])
    t.is((await post(node!)).status, 200)
    const after = new PassThrough()
    await createCli().run([...args, '--json'], { stdout: after })
    const { halls } = JSON.parse(String(after.read())) as { halls: object[] }
    t.like(halls, [
      { hall: 'h1', isCordoned: true, runs: 0 },
      { hall: 'h2', isCordoned: false, lastingRuns: 2 },
    ])
    await node!.kill()
    await platform.close()
  })
})
