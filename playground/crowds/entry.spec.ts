/** Guards against clients that end an entry, fill its memory or use up its descriptors. */
import type { ExecutionContext } from 'ava'
import { mkdtempSync, writeFileSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { stringify } from 'ini'
import { request } from 'undici'
import { describe, itAlone } from '../../test/describe.js'
import { sleep } from '../../src/shared/index.js'
import { acceptTable, nodeSettings } from '../cluster.js'
import { createSimFleet } from '../fleet.js'
import { startPlatform } from '../platform.js'
import { freePort } from '../ports.js'
import { createRandom } from '../random.js'
import { SEED_TABLE } from '../seedTable.js'
import { CROWDS, CROWD_KINDS } from './crowds.js'
import type { CrowdTarget } from './crowds.js'
import {
  LIMIT_SETTINGS,
  MAX_OPEN_DESCRIPTORS,
  VM_MEMORY_MB,
  deployedFlags,
  ordinaryStatus,
  startLimited,
} from './limitedProcess.js'

const HOST = '127.0.0.1'
const HALL = 'h1'
const ID = 'h1-e1'
const SERVICE_PATH = '/timing/run'
const ENTRY_PROGRAM = 'dist/src/bin/entry.js'
/** Time after which a process that was asked to stop counts as hanging, in ms. */
const STOP_TIMEOUT_MS = 60_000
/** Bodies above the size that is buffered are streamed to a target. */
const LARGE_BODY = 'x'.repeat(1024 * 1024)

async function startEntry(t: ExecutionContext) {
  const random = createRandom(7)
  const ledger = new Map<string, number>()
  const fleet = createSimFleet({ host: HOST, random, ledger })
  for (let number = 1; number <= 5; number++) {
    const vm = { id: `${HALL}-w${number}`, rack: `${HALL}-r1`, hall: HALL }
    fleet.addVm({ ...vm, role: 'worker', cpus: 32, memoryGb: 128 })
  }
  fleet.addVm({ id: ID, hall: HALL, rack: 'r0', role: 'entry', cpus: 2, memoryGb: 4 })
  const platform = await startPlatform({ fleet, ledger, host: HOST })
  await acceptTable(platform.url, SEED_TABLE)
  const [port, ops, peer] = [await freePort(), await freePort(), await freePort()]
  const plan = { id: ID, hall: HALL, role: 'entry' as const, ports: { port, ops, peer } }
  const settings = nodeSettings(plan, [plan], platform.url, true, {})
  const file = join(mkdtempSync(join(tmpdir(), 'rillshunt-')), 'entry.ini')
  writeFileSync(file, `${stringify(settings)}\n${LIMIT_SETTINGS.join('\n')}\n`)
  const entry = startLimited([...deployedFlags(), ENTRY_PROGRAM, '--config', file])
  t.teardown(async () => {
    await entry.end()
    await fleet.stop()
    await platform.close()
  })
  const addresses = {
    callers: `${HOST}:${port}`,
    ops: `${HOST}:${ops}`,
    peers: `${HOST}:${peer}`,
  }
  t.is(await serve(addresses.callers), 200, entry.output())
  return { entry, addresses }
}

/** Sends an ordinary request to a service; resolves to the last status. */
const serve = (callers: string): Promise<number> =>
  ordinaryStatus(
    { url: `http://${callers}${SERVICE_PATH}`, method: 'POST', body: 'x' },
    200,
  )

/** A crowd that sends requests to a path. */
const requestsTo = (address: string, path: string): CrowdTarget => ({
  address,
  question: `GET ${path} HTTP/1.1\r\nHost: x\r\n`,
  upload: () => `POST ${path} HTTP/1.1\r\nHost: x\r\n`,
  body: 'x',
})

async function checkCrowds(
  t: ExecutionContext,
  targetOf: (
    addresses: Awaited<ReturnType<typeof startEntry>>['addresses'],
  ) => CrowdTarget,
): Promise<void> {
  const { entry, addresses } = await startEntry(t)
  const crowds = CROWD_KINDS.map((kind) => CROWDS[kind](targetOf(addresses)))
  for (const crowd of crowds) await crowd.settled()
  t.true(entry.isAlive(), entry.output().slice(-2000))
  const beside = await serve(addresses.callers)
  t.true(entry.isAlive(), entry.output().slice(-2000))
  const peakMb = entry.peakMemoryMb()
  const descriptors = entry.openDescriptors()
  t.log(`peak ${peakMb.toFixed(0)} MB, ${descriptors} descriptors`)
  t.true(peakMb <= VM_MEMORY_MB, `${peakMb} MB`)
  t.true(descriptors <= MAX_OPEN_DESCRIPTORS, `${descriptors} descriptors`)
  crowds.forEach((each) => each.close())
  t.deepEqual(
    { beside, after: await serve(addresses.callers) },
    { beside: 200, after: 200 },
  )
}

describe('a crowd at an entry', () => {
  itAlone('does not end it or keep a caller out: requests to no service', (t) =>
    checkCrowds(t, ({ callers }) => requestsTo(callers, '/nowhere/run')),
  )

  itAlone('does not end it or keep a caller out: requests to a service', (t) =>
    checkCrowds(t, ({ callers }) => requestsTo(callers, SERVICE_PATH)),
  )

  itAlone('does not end it or keep others out: the endpoint for operations', (t) =>
    checkCrowds(t, ({ ops }) => requestsTo(ops, '/metrics')),
  )

  itAlone('does not end it or keep others out: the endpoint for peers', (t) =>
    checkCrowds(t, ({ peers }) =>
      requestsTo(peers, '/rillshunt.peer.v1.PeerService/Sync'),
    ),
  )

  itAlone('does not hold up a planned stop', async (t) => {
    const { entry, addresses } = await startEntry(t)
    const target = requestsTo(addresses.callers, SERVICE_PATH)
    const crowds = CROWD_KINDS.map((kind) => CROWDS[kind](target))
    const stopped = entry.end('SIGTERM')
    const exitCode = await Promise.race([stopped, sleep(STOP_TIMEOUT_MS)])
    t.is(exitCode, 0, entry.output().slice(-2000))
    crowds.forEach((each) => each.close())
  })
})

describe('a large request to an entry', () => {
  itAlone('is streamed to a target', async (t) => {
    const { addresses } = await startEntry(t)
    const res = await request(`http://${addresses.callers}${SERVICE_PATH}`, {
      method: 'POST',
      body: LARGE_BODY,
    })
    const { received } = (await res.body.json()) as { received: number }
    t.deepEqual([res.statusCode, received], [200, LARGE_BODY.length])
  })
})
