/** An entry with HTTP targets and a stand-in platform whose rows the test writes. */
import { createSimFleet } from '../playground/fleet.js'
import type { SimFleet } from '../playground/fleet.js'
import { startPlatform } from '../playground/platform.js'
import type { StandInPlatform } from '../playground/platform.js'
import { createRandom } from '../playground/random.js'
import { startTarget } from '../playground/target.js'
import type { Ledger, TargetBehaviour, TargetServer } from '../playground/target.js'
import { acceptTable } from '../playground/cluster.js'
import { resolveConfig } from '../src/config/index.js'
import type { UserConfig } from '../src/config/index.js'
import { jobKey, vmKey } from '../src/fleet/index.js'
import type { JobRow, VmRow } from '../src/fleet/index.js'
import type { Kernel } from '../src/kernel/index.js'
import { commit, createHttpPlatform, newOpId } from '../src/platform/index.js'
import type { Platform } from '../src/platform/index.js'
import { createEntry } from '../src/programs/index.js'
import { createMemoryLogger } from '../src/shared/index.js'
import type { LoggedEvent } from '../src/shared/index.js'
import type { RawTable } from '../src/table/index.js'

const HOST = '127.0.0.1'
export const HALL = 'h1'

/** A table with one service. */
export const ONE_SERVICE: RawTable = {
  'pool/p': { weight: '1', limit: '10' },
  'service/s': { weight: '1', limit: '100', pool: 'p', instances: '2' },
}

/** A running entry with its platform and targets. */
export interface EntryRig {
  url: string
  opsUrl: string
  kernel: Kernel
  events: LoggedEvent[]
  platform: Platform
  standIn: StandInPlatform
  fleet: SimFleet
  ledger: Ledger
  /** Starts a target and writes its rows; resolves once the entry lists it. */
  addTarget(
    vm: string,
    behaviour?: Partial<TargetBehaviour>,
    extra?: { port?: number; incarnation?: string },
  ): Promise<{ target: TargetServer; job: string }>
  /** Writes the rows of a target at an address; resolves once the entry lists it. */
  announce(vm: string, incarnation: string, address: string): Promise<void>
  /** Changes fields of a VM's row and creates the row if it is absent. */
  setVm(id: string, change: Partial<VmRow>): Promise<void>
  /** Polls the check every 10 ms until it holds; never times out. */
  waitUntil(check: () => boolean | Promise<boolean>): Promise<void>
  stop(): Promise<void>
}

/** Id of the job whose row announces a target. */
export const jobOf = (vm: string, incarnation: string): string => `s-${vm}-${incarnation}`

/** Starts a platform with the table {@link ONE_SERVICE} and an entry in this process. */
export async function startRig(settings: UserConfig = {}): Promise<EntryRig> {
  const ledger: Ledger = new Map()
  const random = createRandom(1)
  const fleet = createSimFleet({ host: HOST, random, ledger })
  const standIn = await startPlatform({ fleet, ledger })
  await acceptTable(standIn.url, ONE_SERVICE)
  const platform = createHttpPlatform({ url: standIn.url, timeoutMs: 2000, node: 'test' })
  const targets: TargetServer[] = []
  const log = createMemoryLogger()
  const cfg = resolveConfig({
    ...settings,
    node: { id: 'e1', hall: HALL },
    listen: { port: '0', ops_port: '0', peer_port: '0' },
    platform: { url: standIn.url, poll: '50ms' },
    requests: { drain_notice: '0ms', health_interval: '50ms', ...settings.requests },
  })._unsafeUnwrap()
  const kernel = createEntry(cfg, log)
  ;(await kernel.start())._unsafeUnwrap()
  const front = kernel.get('front')

  async function put(key: string, value: unknown): Promise<void> {
    const row = (await platform.read([key]))._unsafeUnwrap().get(key)
    const writes = [{ key, version: row?.version ?? 0, value }]
    const tx = { opId: newOpId('test'), writes, guards: [] }
    ;(await commit(platform, tx))._unsafeUnwrap()
    await kernel.get('rows').refresh()
  }

  const rig: EntryRig = {
    url: `http://${HOST}:${front.address.port}`,
    opsUrl: `http://${HOST}:${kernel.get('ops').port}`,
    kernel,
    events: log.events,
    platform,
    standIn,
    fleet,
    ledger,
    async addTarget(vm, behaviour = {}, extra = {}) {
      const incarnation = extra.incarnation ?? `${vm}.1`
      const job = jobOf(vm, incarnation)
      const target = await startTarget({
        vm,
        incarnation,
        job,
        service: 's',
        slots: 8,
        host: HOST,
        ...(extra.port !== undefined && { port: extra.port }),
        random,
        ledger,
        behaviour: { meanMs: 0, ...behaviour },
      })
      targets.push(target)
      await rig.announce(vm, incarnation, target.address)
      return { target, job }
    },
    async announce(vm, incarnation, address) {
      const id = jobOf(vm, incarnation)
      const base = { id, service: 's', hall: HALL, vm, incarnation, address, slots: 8 }
      const row: JobRow = { ...base, state: 'running' }
      await rig.setVm(vm, { incarnation })
      await put(jobKey(HALL, id), row)
      await rig.waitUntil(() =>
        kernel
          .get('view')
          .targets('s')
          .some((each) => each.job === id),
      )
    },
    async setVm(id, change) {
      const key = vmKey(HALL, id)
      const fresh: VmRow = {
        id,
        hall: HALL,
        rack: 'r1',
        pool: 'p',
        generation: 1,
        incarnation: `${id}.1`,
        state: 'active',
        cpus: 32,
        memoryGb: 128,
      }
      const before = (standIn.row(key) as VmRow | undefined) ?? fresh
      await put(key, { ...before, ...change })
    },
    async waitUntil(check) {
      while (!(await check())) await new Promise((resolve) => setTimeout(resolve, 10))
    },
    async stop() {
      await kernel.stop()
      await Promise.all(targets.map((target) => target.kill()))
      await platform.close()
      await standIn.close()
      await fleet.stop()
    },
  }
  await rig.waitUntil(() => kernel.get('table').current() !== undefined)
  return rig
}
