import { createServer } from 'node:http'
import type { RequestListener } from 'node:http'
import type { AddressInfo } from 'node:net'
import type { ExecutionContext } from 'ava'
import fc from 'fast-check'
import { describe, it } from '../../../test/describe.js'
import { startStandIn } from '../../../test/standIn.js'
import { createMemoryLogger, createMetrics } from '../../shared/index.js'
import { commit, createHttpPlatform, createRowWatch, newOpId } from '../index.js'
import type { Platform } from '../index.js'

const put = (platform: Platform, key: string, version: number, value: unknown) =>
  commit(platform, { opId: newOpId('t'), writes: [{ key, version, value }], guards: [] })

describe('commit', () => {
  it('applies all writes or none', async (t) => {
    const { platform, standIn } = await startStandIn(t)
    await put(platform, 'a', 0, 1)
    const writes = [
      { key: 'b', version: 0, value: 1 },
      { key: 'a', version: 0, value: 2 },
    ]
    const outcome = await commit(platform, { opId: 'x', writes, guards: [] })
    t.deepEqual(outcome._unsafeUnwrap(), { committed: false, failedKey: 'a' })
    t.is(standIn.row('b'), undefined)
  })

  it('recognises its own write after a lost reply, and does not write twice', async (t) => {
    const { platform, standIn } = await startStandIn(t)
    standIn.faults.loseReplies = 1
    t.true((await put(platform, 'a', 0, { n: 1 }))._unsafeUnwrap().committed)
    const row = (await platform.read(['a']))._unsafeUnwrap().get('a')
    t.is(row?.version, 1)
  })

  it('refuses a write under an older fencing token', async (t) => {
    const { platform } = await startStandIn(t)
    await put(platform, 'lease', 0, { fence: 2 })
    const guards = [{ key: 'lease', field: 'fence', equals: 1 }]
    const writes = [{ key: 'a', version: 0, value: 1 }]
    const outcome = await commit(platform, { opId: 'x', writes, guards })
    t.deepEqual(outcome._unsafeUnwrap(), { committed: false, failedKey: 'lease' })
  })

  it('reports that nothing was sent when no server listens', async (t) => {
    const platform = createHttpPlatform({
      url: 'http://127.0.0.1:1',
      timeoutMs: 500,
      node: 'n',
    })
    t.teardown(() => platform.close())
    t.is((await put(platform, 'a', 0, 1))._unsafeUnwrapErr().failure, 'unreachable')
  })
})

describe('createRowWatch', () => {
  const watch = (platform: Platform) =>
    createRowWatch({
      platform,
      prefixes: ['a/'],
      pollMs: 1000,
      maxBackoffMs: 1000,
      log: createMemoryLogger(),
      metrics: createMetrics(),
    })

  it('applies changes and deletions incrementally', async (t) => {
    const { platform } = await startStandIn(t)
    const rows = watch(platform)
    const seen: string[][] = []
    rows.subscribe((keys) => seen.push(keys))
    await put(platform, 'a/1', 0, 1)
    await rows.refresh()
    await put(platform, 'a/2', 0, 1)
    await put(platform, 'a/1', 1, null)
    await put(platform, 'b/1', 0, 1)
    await rows.refresh()
    await rows.refresh()
    t.deepEqual([...rows.rows.keys()], ['a/2'])
    t.deepEqual(seen, [['a/1'], ['a/1', 'a/2']])
  })

  it('keeps its copy in an outage, and accepts a seed only before the first answer', async (t) => {
    const { platform, standIn } = await startStandIn(t)
    await put(platform, 'a/1', 0, 1)
    const rows = watch(platform)
    await rows.refresh()
    standIn.faults.outage = true
    await rows.refresh()
    t.deepEqual([...rows.rows.keys()], ['a/1'])
    t.false(rows.seed({ revision: 99, rows: [], deleted: [], full: true }))
    const fresh = watch(platform)
    t.true(
      fresh.seed({ revision: 1, rows: [...rows.rows.values()], deleted: [], full: true }),
    )
    t.deepEqual([...fresh.rows.keys()], ['a/1'])
  })
})

describe('createHttpPlatform', () => {
  async function startFaultyPlatform(
    t: ExecutionContext,
    listener: RequestListener,
  ): Promise<Platform> {
    const server = createServer(listener)
    await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve))
    const url = `http://127.0.0.1:${(server.address() as AddressInfo).port}`
    const platform = createHttpPlatform({ url, timeoutMs: 300, node: 'n1' })
    t.teardown(async () => {
      await platform.close()
      server.closeAllConnections()
      server.close()
    })
    return platform
  }

  it('turns malformed answers into errors with the step and the peer', async (t) => {
    let answer = ''
    const platform = await startFaultyPlatform(t, (_req, res) => res.end(answer))
    const calls: [string, () => Promise<{ isErr(): boolean }>][] = [
      ['read', () => platform.read(['a'])],
      ['changes', () => platform.changes(['a'], 0)],
      ['transact', () => platform.transact({ opId: 'x', writes: [], guards: [] })],
      ['listVms', () => platform.listVms('h', 0)],
      ['listTasks', () => platform.listTasks('h', 0)],
      ['listObjects', () => platform.listObjects('e')],
    ]
    const texts = fc.oneof(fc.string(), fc.json(), fc.constant('{"rows":[{"key":1}]}'))
    await fc.assert(
      fc.asyncProperty(texts, fc.constantFrom(...calls), async (text, [step, call]) => {
        answer = text
        const result = (await call()) as { error?: { step: string; peer: string } }
        if (!result.error) return
        t.is(result.error.step, `platform.${step}`)
        t.regex(result.error.peer, /^http:\/\/127/)
      }),
      { numRuns: 60 },
    )
  })

  it('ends a call whose answer never arrives or is cut off', async (t) => {
    const silent = await startFaultyPlatform(t, () => {})
    t.is((await silent.read(['a']))._unsafeUnwrapErr().failure, 'unknown')
    const breaking = await startFaultyPlatform(t, (_req, res) => {
      res.writeHead(200, { 'content-length': 100 })
      res.write('{', () => res.destroy())
    })
    t.is((await breaking.read(['a']))._unsafeUnwrapErr().failure, 'unknown')
  })
})
