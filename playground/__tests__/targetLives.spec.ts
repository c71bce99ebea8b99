/**
 * The stand-in's targets end as processes do. Guards against tests that pass since a dead target
 * answers, or since a connection outlives the target that it was opened to.
 */
import { Pool } from 'undici'
import type { ExecutionContext } from 'ava'
import { describe, it } from '../../test/describe.js'
import { sleep } from '../../src/shared/index.js'
import { openFaultLink } from '../soak/faultLink.js'
import { HOST } from '../sim/wire.js'
import { startSimPlatform } from '../sim/wireServer.js'

/** Duration of a hold order, longer than any of these tests, in ms. */
const HOLD_MS = 60_000
/** Delay of a slow link, and a time by which an order on it has not arrived, in ms. */
const LINK_DELAY_MS = 400
const UNDER_WAY_MS = 100

async function openTarget(t: ExecutionContext, throughLink = false) {
  const platform = await startSimPlatform({
    pools: { one: 1 },
    halls: ['h1'],
    capacity: { cpu: 8000, memMb: 32_000, gpu: 0 },
    offlineMs: 100,
  })
  const vm = platform.vms[0]!
  const id = vm.target!.id
  const link = await openFaultLink(vm.port)
  const port = throughLink ? link.port : vm.port
  const pool = new Pool(`http://${HOST}:${port}`, { connections: 1 })
  t.teardown(async () => {
    await pool.destroy()
    link.close()
    await platform.close()
  })

  /** Status of an answer, or undefined if the connection ends without one. */
  async function post(path: string, body: object, expected = id) {
    const headers = { 'rillshunt-expected-instance': expected }
    const text = JSON.stringify(body)
    const req = { path, method: 'POST', headers, body: text } as const
    const res = await pool.request(req).catch(() => undefined)
    await res?.body.dump()
    return res?.statusCode
  }
  const start = (run: number) =>
    post('/run-start', { task: `t${run}`, run, until_ms: HOLD_MS, spec: '{"ms":0}' })
  return { platform, vm, id, link, post, start }
}

describe('a target of the stand-in', () => {
  it('answers 421 to requests for another id while it is up', async (t) => {
    const { post } = await openTarget(t)
    t.is(await post('/hold', {}, 'i-other'), 421)
  })

  it('leaves a request unanswered when it crashes', async (t) => {
    const { platform, vm, post } = await openTarget(t)
    const held = post('/hold', { wait_ms: HOLD_MS })
    await sleep(UNDER_WAY_MS)
    platform.crash(vm)
    t.is(await held, undefined)
  })

  it('answers nothing while it is down, and again when it is up', async (t) => {
    const { platform, vm, id, post } = await openTarget(t)
    platform.crash(vm)
    t.is(await post('/hold', {}), undefined)
    platform.revive(vm, id)
    t.is(await post('/hold', {}), 200)
  })

  it('gets no order that lay on a connection to the one before', async (t) => {
    const { platform, vm, id, link, start } = await openTarget(t, true)
    t.is(await start(1), 200)
    link.delayMs = LINK_DELAY_MS
    const late = start(2)
    await sleep(UNDER_WAY_MS)
    platform.crash(vm)
    platform.revive(vm, id)
    t.is(await late, undefined)
    const starts = platform.ledger.entries.filter(({ what }) => what === 'start')
    t.deepEqual(
      starts.map(({ task }) => task),
      ['t1'],
    )
  })

  it('gets an order whose connection is opened late by a slow link', async (t) => {
    const { platform, vm, id, link, start } = await openTarget(t, true)
    link.delayMs = LINK_DELAY_MS
    const late = start(1)
    await sleep(UNDER_WAY_MS)
    platform.crash(vm)
    platform.revive(vm, id)
    t.is(await late, 200)
  })
})
