/** HTTP handlers of the stand-in platform for the list, moves and maintenance of VMs. */
import type { SimFleet, SimVm } from './simFleet.js'
import type { Body, Handler } from './wire.js'

const toWire = ({ name, pool, state, hall, labels, capacity, target }: SimVm) => ({
  machine: name,
  pool,
  state,
  zone: hall,
  labels,
  capacity: { cpu: capacity.cpu, mem_mb: capacity.memMb, gpu: capacity.gpu },
  id: target?.id ?? null,
})

/** Handlers of the cloud interface. A move to a pool that is not in `pools` is answered 400. */
export function cloudHandlers(
  fleet: SimFleet,
  pools: readonly string[],
): Record<string, Handler> {
  const { vms, maintained } = fleet
  const findVm = (body: Body): SimVm | undefined =>
    vms.find(({ name }) => name === body.machine)

  return {
    'GET /machines': () => [200, { machines: vms.map(toWire), next_page_token: null }],
    'POST /machine-move'({ body }) {
      const vm = findVm(body)
      if (!vm || !pools.includes(String(body.pool))) return [400]
      if (vm.pool === body.pool) return [200, {}]
      if (vm.state !== 'up') return [409, { reason: 'busy' }]
      fleet.takeOffline(vm, 'moving', String(body.pool))
      return [200, {}]
    },
    'POST /machine-upkeep'({ body }) {
      const vm = findVm(body)
      const wave = Number(body.wave)
      if (!vm) return [400]
      if (maintained.some((each) => each.vm === vm.name && each.wave === wave))
        return [200, {}]
      if (vm.state !== 'up') return [409, { reason: 'busy' }]
      maintained.push({ vm: vm.name, wave })
      fleet.takeOffline(vm, 'upkeep', vm.pool)
      return [200, {}]
    },
  }
}
