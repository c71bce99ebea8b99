import { describe, it } from '../../../test/describe.js'
import { VM_CPU, vmOf } from '../../../test/fixtures.js'
import type { Vm } from '../../ports/index.js'
import { attainableCpuOf, countAttainable } from '../attainable.js'
import type { ServiceReport } from '../types.js'

const reportOf = (service: string, vms: number): ServiceReport => {
  const cpu = vms * VM_CPU * 0.8
  const need = { neededCpu: cpu, timelyCpu: cpu, minTargets: 1 }
  return { service, term: 1, sequence: 1, ...need, targets: [] }
}

/** Number of VMs that service `a` can get. */
function attainableVms(
  vms: Vm[],
  reports: ServiceReport[],
  more: { movingTo?: Map<string, string>; unfitVms?: string[] } = {},
): number {
  const { movingTo = new Map(), unfitVms = [] } = more
  const input = {
    vms: countAttainable({ vms, movingTo }),
    reports: new Map(reports.map((each) => [each.service, each])),
    sparePool: 'idle',
    unfitVms,
  }
  return attainableCpuOf('a', input) / VM_CPU
}

describe('attainableCpuOf', () => {
  const vms = [
    ...[1, 2].map((number) => vmOf(number, 'a')),
    ...[3, 4, 5, 6].map((number) => vmOf(number, 'b')),
    ...[7, 8, 9].map((number) => vmOf(number, 'idle')),
  ]

  // Jobs are refused by this room; VMs that arrive within a second or two must count.
  it('counts own and spare VMs, and those that other services do not need', (t) => {
    t.is(attainableVms(vms, [reportOf('a', 9), reportOf('b', 1)]), 2 + 3 + 3)
    t.is(attainableVms(vms, [reportOf('a', 9), reportOf('b', 4)]), 2 + 3)
    t.is(attainableVms(vms, [reportOf('a', 9), reportOf('b', 40)]), 2 + 3)
  })

  // A new owner of the fleet has no reports at first, and must not cause refusals.
  it('counts all VMs of a service without a fresh report', (t) => {
    t.is(attainableVms(vms, [reportOf('a', 9)]), 2 + 4 + 3)
  })

  it('counts VMs on their way where they go', (t) => {
    const movingTo = new Map([['m3', 'a']])
    t.is(attainableVms(vms, [reportOf('b', 3)], { movingTo }), 2 + 1 + 3)
  })

  it('leaves out VMs that are down or do not fit', (t) => {
    const withDown = vms.map((vm): Vm =>
      vm.name === 'm1' ? { ...vm, state: 'down' } : vm,
    )
    t.is(attainableVms(withDown, [reportOf('b', 4)], { unfitVms: ['m7'] }), 1 + 2)
    // A VM that is in the pool already has its room there.
    t.is(attainableVms(vms, [reportOf('b', 4)], { unfitVms: ['m1'] }), 2 + 3)
  })

  // There are reports of up to 140 services in each round, and 1,300 VMs to count.
  it('gives the rooms of several services from one count', (t) => {
    const counted = countAttainable({ vms, movingTo: new Map() })
    const reports = new Map(['a', 'b'].map((name) => [name, reportOf(name, 1)]))
    const roomOf = (service: string): number =>
      attainableCpuOf(service, { vms: counted, reports, sparePool: 'idle', unfitVms: [] })
    t.is(roomOf('a') / VM_CPU, 2 + 3 + 3)
    t.is(roomOf('b') / VM_CPU, 1 + 4 + 3)
  })
})
