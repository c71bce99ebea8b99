/** A stand-in platform whose rows announce targets, and the settings of an entry before it. */
import { mkdtemp, writeFile } from 'node:fs/promises'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { acceptTable } from '../playground/cluster.js'
import { createSimFleet } from '../playground/fleet.js'
import { startPlatform } from '../playground/platform.js'
import { createRandom } from '../playground/random.js'
import { startTarget } from '../playground/target.js'
import type { TargetServer } from '../playground/target.js'
import { jobKey, vmKey } from '../src/fleet/index.js'
import { commit, createHttpPlatform } from '../src/platform/index.js'
import type { RowWrite } from '../src/platform/index.js'

const HOST = '127.0.0.1'
const HALL = 'h'
const OPS_PORT = 7491
const TARGETS_PER_VM = 2

/** A platform with rows for one hall. */
export interface HallPlatform {
  /** Writes an INI file; returns its path. */
  writeSettings(hosted: boolean): Promise<string>
  /** Calls that the platform has served. */
  calls(): number
  /** Bytes to and from the platform, as the entry counts them. */
  platformBytes(): Promise<number>
  close(): Promise<void>
}

/** Starts a platform and so many targets, two to a VM. */
export async function startHallPlatform(
  targets: number,
  seed: number,
): Promise<HallPlatform> {
  const ledger = new Map<string, number>()
  const random = createRandom(seed)
  const fleet = createSimFleet({ host: HOST, random, ledger })
  const platform = await startPlatform({ fleet })
  await acceptTable(platform.url, {
    'pool/p': { weight: '1', limit: '10000' },
    'service/s': { weight: '1', limit: '1000', pool: 'p', instances: String(targets) },
  })
  const servers: TargetServer[] = []
  const writes: RowWrite[] = []
  for (let i = 0; i < targets; i++) {
    const vm = `w${Math.floor(i / TARGETS_PER_VM)}`
    const incarnation = `${vm}.1`
    const id = `s-${i}`
    const base = { vm, incarnation, service: 's', slots: 8 }
    const server = await startTarget({ ...base, job: id, host: HOST, random, ledger })
    servers.push(server)
    if (i % TARGETS_PER_VM === 0) {
      fleet.addVm({
        id: vm,
        hall: HALL,
        rack: 'r',
        role: 'worker',
        cpus: 32,
        memoryGb: 128,
      })
      const row = { id: vm, hall: HALL, rack: 'r', pool: 'p', generation: 1, incarnation }
      const value = { ...row, state: 'active', cpus: 32, memoryGb: 128 }
      writes.push({ key: vmKey(HALL, vm), version: 0, value })
    }
    const value = { ...base, id, hall: HALL, state: 'running', address: server.address }
    writes.push({ key: jobKey(HALL, id), version: 0, value })
  }
  const client = createHttpPlatform({ url: platform.url, timeoutMs: 5000, node: 'bench' })
  if (writes.length > 0) await commit(client, { opId: 'bench', writes, guards: [] })
  await client.close()

  return {
    async writeSettings(hosted) {
      const file = join(await mkdtemp(join(tmpdir(), 'rillshunt-bench-')), 'e.ini')
      const lines = [
        '[node]',
        'id = e1',
        `hall = ${HALL}`,
        '[listen]',
        'port = 0',
        `ops_port = ${OPS_PORT}`,
        'peer_port = 0',
        '[platform]',
        `url = ${platform.url}`,
        '[requests]',
        'drain_notice = 0ms',
        '[keeper]',
        `hosted = ${hosted ? 'yes' : 'no'}`,
      ]
      await writeFile(file, `${lines.join('\n')}\n`)
      return file
    },
    calls: () => [...platform.calls.values()].reduce((sum, count) => sum + count, 0),
    async platformBytes() {
      const text = await (await fetch(`http://${HOST}:${OPS_PORT}/metrics`)).text()
      const values = [...text.matchAll(/^rillshunt_platform_bytes_total\{.*\} (\d+)$/gm)]
      return values.reduce((sum, [, value]) => sum + Number(value), 0)
    },
    async close() {
      await Promise.all(servers.map((server) => server.kill()))
      await platform.close()
      await fleet.stop()
    },
  }
}
