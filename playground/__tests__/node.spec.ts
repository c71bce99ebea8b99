import { readFileSync, writeFileSync } from 'node:fs'
import { request } from 'undici'
import { describe, it } from '../../test/describe.js'
import { findGuaranteeViolation } from '../../test/jobRig.js'
import { sleep } from '../../src/shared/index.js'
import { startNodeProcess } from '../sim/nodeProcess.js'
import type { NodeProcess } from '../sim/nodeProcess.js'
import { ONE_QUEUE, QUEUE_HOST } from '../sim/oneQueue.js'
import type { SimPlatform } from '../sim/wireServer.js'
import { startSimPlatform } from '../sim/wireServer.js'

const jobId = (number: number): string => number.toString(16).padStart(16, '0')

async function call(
  node: NodeProcess,
  method: 'GET' | 'POST' | 'DELETE',
  path: string,
  body?: unknown,
) {
  const headers = { host: QUEUE_HOST, 'content-type': 'application/json' }
  const res = await request(`http://${node.callers}${path}`, {
    method,
    headers,
    body: body === undefined ? null : JSON.stringify(body),
  })
  const text = await res.body.text()
  return {
    status: res.statusCode,
    retryAfter: res.headers['retry-after'],
    body: (text === '' ? {} : JSON.parse(text)) as { state?: string; waiting?: number },
  }
}

/** Polls an address until it answers. */
async function firstAnswer(url: string) {
  for (let tries = 0; tries < 100; tries++) {
    const res = await request(url).catch(() => undefined)
    if (res) return res
    await sleep(100)
  }
  throw new Error(`${url} did not open`)
}

async function waitUntilReady(nodes: NodeProcess[]): Promise<void> {
  for (const node of nodes) {
    for (let tries = 0; tries < 100; tries++) {
      const res = await request(`http://${node.readiness}/readiness`).catch(
        () => undefined,
      )
      await res?.body.dump()
      if (res?.statusCode === 200) break
      await sleep(100)
    }
  }
}

/** Runs that were active when their target ended, for example by a move of its VM. */
const killedRuns = ({ ledger }: SimPlatform): string[] =>
  ledger.entries.flatMap(({ what, task, target }) =>
    what === 'killed' ? `${task} on ${target}` : [],
  )

async function startAll(count: number) {
  const platform = await startSimPlatform({
    pools: { one: 3, idle: 2 },
    halls: ['h1', 'h2'],
    capacity: { cpu: 8000, memMb: 32_000, gpu: 0 },
    offlineMs: 300,
  })
  platform.putConfiguration(ONE_QUEUE)
  const names = Array.from({ length: count }, (_, each) => `n${each + 1}`)
  const nodes = await Promise.all(
    names.map((name, each) => startNodeProcess(platform, name, `h${(each % 2) + 1}`)),
  )
  await waitUntilReady(nodes)
  return { platform, nodes }
}

describe('rillshunt-node as a process', () => {
  it('neither loses nor doubles a job when the owner is killed', async (t) => {
    const { platform, nodes } = await startAll(3)
    const total = 200
    const spec = JSON.stringify({ ms: 120, cpu: 400 })
    const steps = [
      { count: 2, cpu: 400, estimated_ms: 120 },
      { count: 1, cpu: 400, estimated_ms: 120, after_revision: [0] },
    ]
    let killed = false
    const alive = () =>
      nodes.filter(({ child }) => child.exitCode === null && !child.killed)
    for (let number = 1; number <= total; number++) {
      const path = `/one/${jobId(number)}`
      for (let tries = 0; tries < 20; tries++) {
        const candidates = alive()
        const node = candidates[number % candidates.length]!
        const res = await call(node, 'POST', path, { spec, steps }).catch(() => undefined)
        if (res?.status === 200) break
        await sleep(100)
      }
      if (number === total / 2 && !killed) {
        killed = true
        const owner = nodes.find((node) =>
          /"ownershipTaken".*"service":"one"/.test(node.output()),
        )
        t.truthy(owner)
        await owner!.kill()
      }
      await sleep(8)
    }
    const states = new Map<number, string | undefined>()
    for (let tries = 0; tries < 150 && states.size < total; tries++) {
      for (let number = 1; number <= total; number++) {
        if (states.has(number)) continue
        const res = await call(alive()[0]!, 'GET', `/one/${jobId(number)}`)
        if (res.body.state === 'completed') states.set(number, res.body.state)
      }
      await sleep(100)
    }
    t.is(states.size, total)
    t.is(findGuaranteeViolation(platform.ledger), undefined)
    t.deepEqual(killedRuns(platform), [])
    await Promise.all(alive().map((node) => node.kill()))
    await platform.close()
  })

  it('answers requests that it cannot accept with the right status', async (t) => {
    const { platform, nodes } = await startAll(1)
    const node = nodes[0]!
    const good = { spec: '{}', steps: [{ count: 1, cpu: 100 }] }
    const cases: [path: string, body: unknown, status: number][] = [
      [`/one/${jobId(1)}`, { ...good, steps: [] }, 400],
      [`/one/${jobId(2)}`, { ...good, steps: [{ count: 0 }] }, 400],
      [`/one/${jobId(3)}`, { ...good, steps: [{ count: 1e9 }] }, 400],
      [`/one/${jobId(4)}`, { ...good, steps: [{ count: 1, after_revision: [0] }] }, 400],
      [`/one/${jobId(5)}`, { ...good, spec: 'x'.repeat(4001) }, 400],
      [`/one/${jobId(6)}`, { ...good, spec: 'x'.repeat(30_000) }, 413],
      ['/one/notanid', good, 404],
      [`/two/${jobId(7)}`, good, 404],
      [`/one/${jobId(8)}`, 'text', 400],
    ]
    for (const [path, body, status] of cases) {
      t.is((await call(node, 'POST', path, body)).status, status, path)
    }
    t.is((await call(node, 'GET', `/one/${jobId(1)}`)).status, 410)
    t.is((await call(node, 'DELETE', `/one/${jobId(1)}`)).status, 410)
    t.is((await call(node, 'POST', `/one/${jobId(9)}`, good)).status, 200)
    t.is((await call(node, 'POST', `/one/${jobId(9)}`, good)).status, 200)
    platform.table.faults.down = true
    const refused = await call(node, 'POST', `/one/${jobId(10)}`, good)
    t.is(refused.status, 503)
    t.truthy(refused.retryAfter)
    await node.kill()
    await platform.close()
  })

  it('answers 503 when its settings are invalid', async (t) => {
    const { platform, nodes } = await startAll(1)
    const node = await startNodeProcess(platform, 'n9', 'h1', {
      moreSettings: ['[targets]', 'orders = heartbeat'],
    })
    const res = await firstAnswer(`http://${node.readiness}/readiness`)
    t.is(res.statusCode, 503)
    t.true((await res.body.text()).includes('[targets] orders'))
    t.is((await request(`http://${node.callers}/one/${jobId(1)}`)).statusCode, 503)
    t.is(node.child.exitCode, null)
    await Promise.all([node, ...nodes].map((each) => each.kill()))
    await platform.close()
  })

  it('survives reloads of invalid settings and serves once they are valid', async (t) => {
    const { platform, nodes } = await startAll(1)
    const wrong = ['[targets]', 'orders = heartbeat']
    const node = await startNodeProcess(platform, 'n9', 'h1', { moreSettings: wrong })
    await firstAnswer(`http://${node.readiness}/readiness`)
    const rejections = () => node.output().split('"settingsRejected"').length - 1
    node.child.kill('SIGHUP')
    while (rejections() < 1) await sleep(20)
    t.is(node.child.exitCode, null)
    const text = readFileSync(node.settingsFile, 'utf8')
    writeFileSync(node.settingsFile, text.replace('heartbeat', 'call'))
    node.child.kill('SIGHUP')
    await waitUntilReady([node])
    const job = { spec: '{}', steps: [{ count: 1, cpu: 100, estimated_ms: 10 }] }
    t.is((await call(node, 'POST', `/one/${jobId(1)}`, job)).status, 200)
    await Promise.all([node, ...nodes].map((each) => each.kill()))
    await platform.close()
  })

  it('serves under an unknown contract and logs it', async (t) => {
    const { platform, nodes } = await startAll(1)
    const contracts = ['[contracts]', 'in_force = base,health,sched,magic']
    const node = await startNodeProcess(platform, 'n9', 'h1', {
      moreSettings: contracts,
    })
    await waitUntilReady([node])
    const job = { spec: '{}', steps: [{ count: 1, cpu: 100, estimated_ms: 10 }] }
    t.is((await call(node, 'POST', `/one/${jobId(1)}`, job)).status, 200)
    t.regex(node.output(), /"level":"error".*"contractsUnknown".*\["magic"\]/)
    await Promise.all([node, ...nodes].map((each) => each.kill()))
    await platform.close()
  })

  it('carries out a wave, evacuates its VMs first and reports completion', async (t) => {
    const { platform, nodes } = await startAll(2)
    const spec = JSON.stringify({ ms: 300, cpu: 1000 })
    const steps = [{ count: 4, cpu: 1000, estimated_ms: 300 }]
    platform.putWave(1, ['m-1', 'm-2', 'm-4'], 20, 1)
    for (let number = 1; number <= 40; number++) {
      await call(nodes[number % 2]!, 'POST', `/one/${jobId(number)}`, { spec, steps })
      await sleep(100)
    }
    for (let tries = 0; tries < 150; tries++) {
      if (platform.waveStatus(1) === 'completed') break
      await sleep(100)
    }
    t.is(platform.waveStatus(1), 'completed')
    t.deepEqual(platform.maintained.map(({ vm }) => vm).sort(), ['m-1', 'm-2', 'm-4'])
    t.is(findGuaranteeViolation(platform.ledger), undefined)
    t.deepEqual(killedRuns(platform), [])
    await Promise.all(nodes.map((node) => node.kill('SIGTERM')))
    await platform.close()
  })
})
