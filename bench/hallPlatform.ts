/** A simulated platform of one hall, and the settings of an entry that uses it. */
import { mkdtemp, writeFile } from 'node:fs/promises'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { acceptTable } from '../playground/cluster.js'
import { createSimFleet } from '../playground/fleet.js'
import { startPlatform } from '../playground/platform.js'
import { createRandom } from '../playground/random.js'

const HOST = '127.0.0.1'
const HALL = 'h'
const OPS_PORT = 7491
const TARGETS_PER_VM = 2
const VM_CPUS = 32

/** A running platform. */
export interface HallPlatform {
  /** Writes the settings of an entry with or without a keeper; returns the path. */
  writeSettings(hosted: boolean): Promise<string>
  /** Number of running targets. */
  countRunning(): number
  /** Number of calls served so far. */
  countCalls(): number
  /** Bytes to and from the platform so far, from the metrics of the entry. */
  platformBytes(): Promise<number>
  close(): Promise<void>
}

/** Starts a platform with VMs for `targets` targets, two per VM; a keeper places them. */
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
    'service/s': {
      weight: '1',
      limit: '1000',
      pool: 'p',
      instances: String(targets),
      cpus: String(VM_CPUS / TARGETS_PER_VM),
    },
  })
  for (let v = 0; v < targets / TARGETS_PER_VM; v++) {
    fleet.addVm({
      id: `w${v}`,
      hall: HALL,
      rack: 'r',
      role: 'worker',
      cpus: VM_CPUS,
      memoryGb: 128,
    })
  }

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
    countRunning: () =>
      fleet.tasks(HALL).filter((task) => task.state === 'running').length,
    countCalls: () => [...platform.calls.values()].reduce((sum, count) => sum + count, 0),
    async platformBytes() {
      const text = await (await fetch(`http://${HOST}:${OPS_PORT}/metrics`)).text()
      const values = [...text.matchAll(/^rillshunt_platform_bytes_total\{.*\} (\d+)$/gm)]
      return values.reduce((sum, [, value]) => sum + Number(value), 0)
    },
    async close() {
      await platform.close()
      await fleet.stop()
    },
  }
}
