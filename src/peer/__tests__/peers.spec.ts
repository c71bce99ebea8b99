import { request } from 'undici'
import type { ExecutionContext } from 'ava'
import fc from 'fast-check'
import { describe, it } from '../../../test/describe.js'
import { startCluster } from '../../../playground/cluster.js'
import type { Cluster } from '../../../playground/cluster.js'
import { ONE_SERVICE } from '../../../test/rig.js'
import { createMemoryLogger } from '../../shared/index.js'
import type { LoggedEvent } from '../../shared/index.js'

async function setUp(
  t: ExecutionContext,
  overrides: Partial<Parameters<typeof startCluster>[0]> = {},
) {
  const events = new Map<string, LoggedEvent[]>()
  const cluster = await startCluster({
    halls: ['h1', 'h2'],
    entriesPerHall: 2,
    keepersPerHall: 0,
    workersPerHall: 1,
    seed: 1,
    table: ONE_SERVICE,
    settings: { requests: { drain_notice: '0ms' }, ...overrides.settings },
    log(node) {
      const log = createMemoryLogger()
      events.set(node, log.events)
      return log
    },
    ...overrides,
  })
  t.teardown(() => cluster.stop())
  return { cluster, events }
}

async function waitUntil(check: () => boolean): Promise<void> {
  while (!check()) await new Promise((resolve) => setTimeout(resolve, 10))
}

const epochOf = (cluster: Cluster, index: number) =>
  cluster.nodes[index]!.kernel.get('table').current()?.epoch ?? 0

describe('peers', () => {
  it('bring an accepted table to entries that are cut off from the platform', async (t) => {
    const { cluster } = await setUp(t)
    await waitUntil(() => cluster.nodes.every((_, i) => epochOf(cluster, i) === 1))
    for (const id of ['h2-e1', 'h2-e2']) cluster.platform.faults.cut.add(id)
    const table = { ...ONE_SERVICE, 'pool/p': { weight: '2', limit: '10' } }
    await cluster.accept(table)
    await waitUntil(() => cluster.nodes.every((_, i) => epochOf(cluster, i) === 2))
    const source = cluster.nodes[2]!.kernel.get('table').current()?.accepted.raw
    t.deepEqual(source, table)
  })

  it('supply rows and table to an entry that starts while the platform is unreachable', async (t) => {
    const { cluster } = await setUp(t, { halls: ['h1'] })
    const [first] = cluster.nodes
    const rows = first!.kernel.get('rows')
    await waitUntil(() => [...rows.rows.keys()].some((key) => key.startsWith('jobs/h1/')))
    cluster.platform.faults.outage = true
    await cluster.restartNode('h1-e2')
    const restarted = cluster.nodes.find(({ id }) => id === 'h1-e2')!.kernel
    await waitUntil(() => restarted.get('table').current()?.epoch === 1)
    await waitUntil(() => restarted.get('rows').rows.size > 0)
    t.deepEqual(
      [...restarted.get('rows').rows.keys()].sort(),
      [...rows.rows.keys()].sort(),
    )
  })

  it('detect a repeated unrepeatable request at every entry', async (t) => {
    const { cluster } = await setUp(t)
    const serves = (index: number) =>
      cluster.nodes[index]!.kernel.get('view').targets('s').length > 0
    await waitUntil(() => cluster.nodes.every((_, index) => serves(index)))
    const send = async (index: number, id: string) => {
      const res = await request(`${cluster.nodes[index]!.url}/s/activate`, {
        method: 'POST',
        headers: { 'rillshunt-request-id': id },
        body: 'x',
      })
      await res.body.dump()
      return [res.statusCode, res.headers['rillshunt-outcome']]
    }
    for (const id of ['r1', 'r2', `h2.${Math.floor(Date.now() / 1000)}.r3`]) {
      t.deepEqual(await send(0, id), [200, 'answered'])
      for (const index of [0, 1, 2, 3])
        t.deepEqual(await send(index, id), [409, 'unknown'])
      t.is(cluster.ledger.get(id), 1)
    }
  })

  it('notify each other of a draining target while the platform is unreachable', async (t) => {
    const { cluster } = await setUp(t, { halls: ['h1'] })
    const targetsOf = (index: number) =>
      cluster.nodes[index]!.kernel.get('view').targets('s')
    await waitUntil(() => [0, 1].every((index) => targetsOf(index).length === 2))
    cluster.platform.faults.outage = true
    for (const { job } of targetsOf(0)) {
      cluster.fleet.targetOf(job)!.drain()
      const knows = (index: number) =>
        targetsOf(index).some((target) => target.job === job && target.draining)
      await waitUntil(() => [0, 1].every(knows))
    }
    t.pass()
  })

  describe('hostile messages', () => {
    it('are refused, and the process keeps running', async (t) => {
      const { cluster, events } = await setUp(t, { halls: ['h1'] })
      const { peer_port: port } = cluster.nodes[0]!.cfg.listen
      const method = fc.constantFrom(
        'Sync',
        'PushHead',
        'FetchTable',
        'FetchRows',
        'Nope',
      )
      const type = fc.constantFrom('application/json', 'application/proto', 'text/plain')
      const body = fc.oneof(
        fc.uint8Array({ maxLength: 64 }).map((bytes) => Buffer.from(bytes)),
        fc.json().map((text) => Buffer.from(text)),
        fc
          .constantFrom(
            '{"report":{"node":"x","hall":"h1"}}',
            '{"node":"x","epoch":"99"}',
          )
          .map((text) => Buffer.from(text)),
      )
      const send = async (name: string, contentType: string, bytes: Buffer) => {
        const path = `/rillshunt.peer.v1.PeerService/${name}`
        const headers = { 'content-type': contentType }
        const options = { method: 'POST' as const, headers, body: bytes }
        const res = await request(`http://127.0.0.1:${port}${path}`, options)
        await res.body.dump()
        return res.statusCode
      }
      const unknownPeerReport = Buffer.from(
        '{"report":{"node":"x","hall":"h1","epoch":"99"}}',
      )
      t.is(await send('Sync', 'application/json', unknownPeerReport), 403)
      await fc.assert(
        fc.asyncProperty(method, type, body, async (name, contentType, bytes) => {
          t.true((await send(name, contentType, bytes)) >= 200)
        }),
        { numRuns: 80 },
      )
      t.is(epochOf(cluster, 0), 1)
      t.true(events.get('h1-e1')!.some(({ name }) => name === 'peerMessageRefused'))
      await waitUntil(
        () => cluster.nodes[0]!.kernel.get('peers').peers()[0]?.report !== undefined,
      )
    })
  })
})
