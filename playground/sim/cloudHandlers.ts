/** HTTP handlers of the stand-in platform for the list, moves and maintenance of VMs. */
import { sleep } from '../../src/shared/index.js'
import type { SimFleet, SimVm } from './simFleet.js'
import type { Body, Handler, Reply } from './wire.js'

/** Time after which a silent cloud answers, in ms: longer than any client waits. */
const SILENT_MS = 10_000

/** How the list of VMs is answered. */
export type ListFault = 'none' | 'refused' | 'silent' | 'partial' | 'unreadable'

/** Injected faults of the cloud. Each field can be changed at any time. */
export interface CloudFaults {
  list: ListFault
  /** Delay of the list, in ms. */
  listDelayMs: number
  /** Index of the VM that partial and unreadable lists concern, modulo their number. */
  which: number
  /** Time after which orders are carried out, in ms; without an answer unless it is 0. */
  orderDelayMs: number
}

/** Faults of a healthy cloud. */
export const HEALTHY_CLOUD: CloudFaults = {
  list: 'none',
  listDelayMs: 0,
  which: 0,
  orderDelayMs: 0,
}

const toWire = ({ name, pool, state, hall, labels, capacity, target }: SimVm) => ({
  machine: name,
  pool,
  state,
  zone: hall,
  labels,
  capacity: { cpu: capacity.cpu, mem_mb: capacity.memMb, gpu: capacity.gpu },
  id: target?.id ?? null,
})

const listReply = (machines: unknown[]): Reply => [
  200,
  { machines, next_page_token: null },
]

/** Answers to a read of the list, by fault; `other` is the VM that the fault concerns. */
const LIST_REPLIES: Record<
  ListFault,
  (vms: SimVm[], other: SimVm | undefined) => Reply | Promise<Reply>
> = {
  none: (vms) => listReply(vms.map(toWire)),
  refused: () => [503],
  async silent() {
    await sleep(SILENT_MS)
    return [503]
  },
  partial: (vms, other) => listReply(vms.filter((vm) => vm !== other).map(toWire)),
  unreadable: (vms, other) =>
    listReply(vms.map((vm) => (vm === other ? { machine: vm.name } : toWire(vm)))),
}

/** Handlers of the cloud interface. A move to a pool that is not in `pools` is answered 400. */
export function cloudHandlers(
  fleet: SimFleet,
  pools: readonly string[],
  faults: CloudFaults,
): Record<string, Handler> {
  const { vms, maintained } = fleet

  let highestToken = 0

  /** Carries out an order at once, or late and without an answer unless a newer owner has sent one. */
  const ordered =
    (carryOut: Handler): Handler =>
    async (req) => {
      const delayMs = faults.orderDelayMs
      const token = Number(req.headers['rillshunt-fencing-token'] ?? 0)
      highestToken = Math.max(highestToken, token)
      if (delayMs === 0) return carryOut(req)
      setTimeout(() => token >= highestToken && void carryOut(req), delayMs).unref()
      await sleep(SILENT_MS)
      return [503]
    }

  const findVm = (body: Body): SimVm | undefined =>
    vms.find(({ name }) => name === body.machine)

  return {
    async 'GET /machines'() {
      const { list, which, listDelayMs } = faults
      const reply = await LIST_REPLIES[list](vms, vms[which % vms.length])
      if (listDelayMs > 0) await sleep(listDelayMs)
      return reply
    },
    'POST /machine-move': ordered(({ body }) => {
      const vm = findVm(body)
      if (!vm || !pools.includes(String(body.pool))) return [400]
      if (vm.pool === body.pool) return [200, {}]
      if (vm.state !== 'up') return [409, { reason: 'busy' }]
      fleet.takeOffline(vm, 'moving', String(body.pool))
      return [200, {}]
    }),
    'POST /machine-upkeep': ordered(({ body }) => {
      const vm = findVm(body)
      const wave = Number(body.wave)
      if (!vm) return [400]
      if (maintained.some((each) => each.vm === vm.name && each.wave === wave))
        return [200, {}]
      if (vm.state !== 'up') return [409, { reason: 'busy' }]
      maintained.push({ vm: vm.name, wave })
      fleet.takeOffline(vm, 'upkeep', vm.pool)
      return [200, {}]
    }),
  }
}
