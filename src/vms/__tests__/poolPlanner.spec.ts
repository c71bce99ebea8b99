import { describe, it } from '../../../test/describe.js'
import { VM_CPU, vmOf } from '../../../test/fixtures.js'
import type { Vm } from '../../ports/index.js'
import { planPools } from '../poolPlanner.js'
import type { PoolInput } from '../poolPlanner.js'
import type { ServiceReport, TargetLoad } from '../types.js'

const loadOf = (number: number, load: Partial<TargetLoad> = {}): TargetLoad => ({
  id: `i${number}`,
  runs: 0,
  lasting: 0,
  evacuating: false,
  usedCpu: 0,
  suspect: false,
  ...load,
})

function reportOf(
  service: string,
  need: { cpu: number; timelyCpu: number },
  targets: TargetLoad[],
): ServiceReport {
  const { cpu: neededCpu, timelyCpu } = need
  const head = { service, term: 1, sequence: 1, minTargets: 1 }
  return { ...head, neededCpu, timelyCpu, targets }
}

const inputOf = (vms: Vm[], reports: ServiceReport[]): PoolInput => ({
  vms,
  reports: new Map(reports.map((report) => [report.service, report])),
  sparePool: 'idle',
  movingTo: new Map(),
  emptying: new Set(),
  ordered: new Set(),
  fitsPool: () => true,
  vmsToKeep: (_service, needed) => needed,
})

const movesOf = (input: PoolInput): string[] =>
  planPools(input).map(({ vm, pool }) => `${vm.name} ${pool}`)

describe('planPools', () => {
  const LATE = { cpu: 3 * VM_CPU, timelyCpu: 0 }
  const TIMELY = { cpu: 2 * VM_CPU, timelyCpu: 2 * VM_CPU }
  const vms = [vmOf(1, 'a'), vmOf(2, 'b'), vmOf(3, 'b'), vmOf(4, 'b')]

  describe('where one service has timely work and another only late work', () => {
    // Otherwise a queue whose turn begins after a loss of power at all nodes gets its VMs one by
    // one within 5 s, because the previous queue still works on late jobs.
    it('takes VMs whose tasks end by themselves, those with the least work first', (t) => {
      const late = [
        loadOf(2, { runs: 5, usedCpu: 9000 }),
        loadOf(3, { runs: 1, usedCpu: 900 }),
        loadOf(4, { runs: 2, usedCpu: 4000 }),
      ]
      const reports = [reportOf('a', TIMELY, [loadOf(1)]), reportOf('b', LATE, late)]
      t.deepEqual(movesOf(inputOf(vms, reports)), ['m3 a', 'm4 a'])
    })

    it('keeps to the VMs that are already being emptied', (t) => {
      const late = [
        loadOf(2, { runs: 5, usedCpu: 9000, evacuating: true }),
        loadOf(3, { runs: 1, usedCpu: 900 }),
        loadOf(4, { runs: 2, usedCpu: 4000, evacuating: true }),
      ]
      const reports = [reportOf('a', TIMELY, [loadOf(1)]), reportOf('b', LATE, late)]
      t.deepEqual(movesOf(inputOf(vms, reports)), ['m4 a', 'm2 a'])
    })

    it('takes neither VMs with lasting tasks nor the last VM of a service', (t) => {
      const late = [2, 3, 4].map((number) => loadOf(number, { runs: 1, lasting: 1 }))
      const reports = [reportOf('a', TIMELY, [loadOf(1)]), reportOf('b', LATE, late)]
      t.deepEqual(movesOf(inputOf(vms, reports)), [])
      const passing = [2, 3, 4].map((number) => loadOf(number, { runs: 1 }))
      const much = { cpu: 9 * VM_CPU, timelyCpu: 9 * VM_CPU }
      const bothInNeed = [reportOf('a', much, [loadOf(1)]), reportOf('b', LATE, passing)]
      t.is(movesOf(inputOf(vms, bothInNeed)).length, 2)
    })
  })

  it('takes no VM in use from a service for late work of another', (t) => {
    const busy = [2, 3, 4].map((number) => loadOf(number, { runs: 1 }))
    const reports = [
      reportOf('a', LATE, [loadOf(1, { runs: 9 })]),
      reportOf('b', { cpu: 0, timelyCpu: 0 }, busy),
    ]
    t.deepEqual(movesOf(inputOf(vms, reports)), [])
  })

  it('gives spare VMs to timely work before late work', (t) => {
    const spare = [vmOf(1, 'a'), vmOf(2, 'b'), vmOf(3, 'idle')]
    const reports = [
      reportOf('a', LATE, [loadOf(1, { runs: 9 })]),
      reportOf('b', TIMELY, [loadOf(2, { runs: 9 })]),
    ]
    t.deepEqual(movesOf(inputOf(spare, reports)), ['m3 b'])
  })

  describe('VMs that work badly', () => {
    const ONE_VM = { cpu: 0.8 * VM_CPU, timelyCpu: 0.8 * VM_CPU }
    const TWO_VMS = { cpu: 1.6 * VM_CPU, timelyCpu: 1.6 * VM_CPU }
    const bad = loadOf(1, { suspect: true })

    it('do not count as supply and are replaced by others', (t) => {
      const pool = [vmOf(1, 'a'), vmOf(5, 'a'), vmOf(3, 'idle')]
      const movesFor = (need: typeof ONE_VM) =>
        movesOf(inputOf(pool, [reportOf('a', need, [bad, loadOf(5)])]))
      t.deepEqual(movesFor(TWO_VMS), ['m3 a', 'm1 idle'])
      t.deepEqual(movesFor(ONE_VM), ['m1 idle'])
    })

    it('stay while something runs there', (t) => {
      const busy = loadOf(1, { suspect: true, runs: 1 })
      const pool = [vmOf(1, 'a'), vmOf(5, 'a')]
      t.deepEqual(movesOf(inputOf(pool, [reportOf('a', ONE_VM, [busy, loadOf(5)])])), [])
    })

    it('stay while they are the last of their pool', (t) => {
      const pool = [vmOf(1, 'a'), vmOf(3, 'idle')]
      t.deepEqual(movesOf(inputOf(pool, [reportOf('a', ONE_VM, [bad])])), ['m3 a'])
    })

    it('stay while the others of their pool are leaving, even if another service lacks VMs', (t) => {
      const pool = [vmOf(1, 'a'), vmOf(5, 'a'), vmOf(2, 'b')]
      const ofA = reportOf('a', ONE_VM, [bad, loadOf(5)])
      for (const leaving of ['emptying', 'ordered'] as const) {
        const input = { ...inputOf(pool, [ofA]), [leaving]: new Set(['m5']) }
        t.deepEqual(movesOf(input), [], leaving)
      }
      const ofB = reportOf('b', TWO_VMS, [loadOf(2, { runs: 1 })])
      const two = [vmOf(1, 'a'), vmOf(2, 'b')]
      t.deepEqual(movesOf(inputOf(two, [reportOf('a', ONE_VM, [bad]), ofB])), [])
    })

    it('move to another service that lacks a VM when none is spare', (t) => {
      const pool = [vmOf(1, 'a'), vmOf(5, 'a'), vmOf(2, 'b')]
      const reports = [
        reportOf('a', ONE_VM, [bad, loadOf(5)]),
        reportOf('b', { ...TWO_VMS, timelyCpu: 0 }, [loadOf(2, { runs: 1 })]),
      ]
      t.deepEqual(movesOf(inputOf(pool, reports)), ['m1 b'])
    })
  })

  describe('where every service has more late work than its VMs can do', () => {
    /** Builds pools of `has` busy VMs whose services need `needs` VMs. */
    function inputWithPools(pools: [name: string, has: number, needs: number][]) {
      let number = 0
      const all: Vm[] = []
      const reports = pools.map(([name, has, needs]) => {
        const loads = Array.from({ length: has }, () => {
          number++
          all.push(vmOf(number, name))
          return loadOf(number, { runs: 7, usedCpu: VM_CPU * 0.9 })
        })
        return reportOf(name, { cpu: needs * VM_CPU * 0.85, timelyCpu: 0 }, loads)
      })
      return inputOf(all, reports)
    }
    const countsTo = (input: PoolInput): Map<string, number> => {
      const counts = new Map<string, number>()
      for (const { pool } of planPools(input))
        counts.set(pool, (counts.get(pool) ?? 0) + 1)
      return counts
    }

    // Otherwise accepted jobs of the small pool wait 28 s only because the VMs are in the other pool.
    it('gives more VMs to the service whose work waits far longer', (t) => {
      const counts = countsTo(
        inputWithPools([
          ['a', 2, 166],
          ['b', 52, 196],
        ]),
      )
      t.deepEqual([...counts.keys()], ['a'])
      // At least about half of the fair share of 25.
      t.true(counts.get('a')! >= 10 && counts.get('a')! <= 25, String(counts.get('a')))
    })

    it('moves none while the work of both waits about equally long', (t) => {
      t.is(
        countsTo(
          inputWithPools([
            ['a', 20, 166],
            ['b', 34, 196],
          ]),
        ).size,
        0,
      )
    })

    it('takes no VM that timely work needs', (t) => {
      const input = inputWithPools([
        ['a', 2, 166],
        ['b', 4, 20],
      ])
      const report = input.reports.get('b')!
      report.timelyCpu = report.neededCpu
      t.false(countsTo(input).has('a'))
    })

    it('plans no further moves once its moves are done', (t) => {
      const input = inputWithPools([
        ['a', 12, 166],
        ['b', 42, 196],
      ])
      const moved = countsTo(input).get('a') ?? 0
      const after = inputWithPools([
        ['a', 12 + moved, 166],
        ['b', 42 - moved, 196],
      ])
      t.is(countsTo(after).size, 0)
    })
  })
})
