import fc from 'fast-check'
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
  cordons: new Set(),
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

  // Otherwise a new owner loses the VMs that the jobs need which it has not read yet.
  it('takes no idle VM from a service whose owner has not read all its jobs', (t) => {
    const idle = [2, 3, 4].map((number) => loadOf(number))
    const reports = (mayLackJobs: boolean) => [
      reportOf('a', TIMELY, [loadOf(1, { runs: 9 })]),
      { ...reportOf('b', { cpu: 0, timelyCpu: 0 }, idle), mayLackJobs },
    ]
    t.deepEqual(movesOf(inputOf(vms, reports(true))), [])
    t.deepEqual(movesOf(inputOf(vms, reports(false))), ['m2 a', 'm3 a'])
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

describe('planPools with cordoned data halls', () => {
  const NOTHING = { cpu: 0, timelyCpu: 0 }
  const ONE_VM = { cpu: 0.8 * VM_CPU, timelyCpu: 0.8 * VM_CPU }
  const TWO_VMS = { cpu: 1.6 * VM_CPU, timelyCpu: 1.6 * VM_CPU }
  const vmIn = (hall: string, number: number, pool: string): Vm => ({
    ...vmOf(number, pool),
    hall,
  })
  const cordon = (input: PoolInput, ...halls: string[]): PoolInput => ({
    ...input,
    cordons: new Set(halls),
  })

  // Otherwise a service keeps waiting for VMs on which nothing may start.
  it('replaces VMs there and parks the idle ones', (t) => {
    const vms = [vmIn('h1', 1, 'a'), vmIn('h2', 2, 'a'), vmIn('h2', 3, 'idle')]
    const input = inputOf(vms, [reportOf('a', TWO_VMS, [loadOf(1), loadOf(2)])])
    t.deepEqual(movesOf(input), [])
    t.deepEqual(movesOf(cordon(input, 'h1')), ['m3 a', 'm1 idle'])
  })

  // Otherwise a service gets a VM that it cannot use, and a VM elsewhere stays spare.
  it('moves none of the VMs there into the pool of a service', (t) => {
    const vms = [
      vmIn('h2', 1, 'a'),
      vmIn('h1', 2, 'idle'),
      vmIn('h1', 3, 'b'),
      vmIn('h1', 4, 'b'),
      vmIn('h2', 5, 'b'),
    ]
    const loads = [loadOf(3, { runs: 1 }), loadOf(4), loadOf(5, { runs: 1 })]
    const input = inputOf(vms, [
      reportOf('a', TWO_VMS, [loadOf(1)]),
      reportOf('b', ONE_VM, loads),
    ])
    t.deepEqual(movesOf(cordon(input, 'h1')), ['m4 idle'])
    const suspects = inputOf(vms, [
      reportOf('a', TWO_VMS, [loadOf(1)]),
      reportOf('b', NOTHING, [loadOf(4, { suspect: true }), loadOf(5)]),
    ])
    t.deepEqual(movesOf(cordon(suspects, 'h1')), ['m4 idle'])
  })

  // Otherwise tasks that may finish are stopped, or lasting ones are moved because of a cordon.
  it('leaves VMs there that still run something where they are', (t) => {
    const vms = [vmIn('h1', 1, 'a'), vmIn('h1', 2, 'a'), vmIn('h2', 3, 'a')]
    const loads = [
      loadOf(1, { runs: 1 }),
      loadOf(2, { runs: 1, lasting: 1 }),
      loadOf(3, { runs: 4 }),
    ]
    t.deepEqual(movesOf(cordon(inputOf(vms, [reportOf('a', ONE_VM, loads)]), 'h1')), [])
  })

  // Otherwise the cloud is told to move a VM that its service's owner may still use.
  it('leaves VMs there whose service has not reported where they are', (t) => {
    const vms = [vmIn('h1', 1, 'a'), vmIn('h1', 2, 'b'), vmIn('h2', 3, 'b')]
    t.deepEqual(movesOf(cordon(inputOf(vms, []), 'h1')), [])
    const unheard = inputOf(vms, [reportOf('b', ONE_VM, [loadOf(3)])])
    t.deepEqual(movesOf(cordon(unheard, 'h1')), [])
  })

  // Otherwise each service of a deployment whose halls are all cordoned starts nothing for the time
  // of a move after the cordon is lifted.
  it('parks all but one VM of each pool if all halls are cordoned', (t) => {
    const vms = [
      vmIn('h1', 1, 'a'),
      vmIn('h2', 2, 'a'),
      vmIn('h2', 3, 'b'),
      vmIn('h1', 4, 'idle'),
    ]
    const input = inputOf(vms, [
      reportOf('a', TWO_VMS, [loadOf(1), loadOf(2, { evacuating: true })]),
      reportOf('b', ONE_VM, [loadOf(3)]),
    ])
    t.deepEqual(movesOf(cordon(input, 'h1', 'h2')), ['m2 idle'])
  })

  it('parks the last VM of a pool once another one is up there', (t) => {
    const last = vmIn('h1', 1, 'a')
    const input = (state: Vm['state']): PoolInput =>
      inputOf(
        [last, { ...vmIn('h2', 2, 'a'), state }],
        [reportOf('a', ONE_VM, [loadOf(1), loadOf(2)])],
      )
    t.deepEqual(movesOf(cordon(input('moving'), 'h1')), [])
    t.deepEqual(movesOf(cordon(input('up'), 'h1')), ['m1 idle'])
  })

  // Otherwise the only VM that can run anything leaves, as those in the hall count as staying.
  it('keeps a VM that works badly and is the last one outside the halls', (t) => {
    const vms = [vmIn('h1', 1, 'a'), vmIn('h2', 2, 'a')]
    const loads = [loadOf(1, { runs: 1 }), loadOf(2, { suspect: true })]
    t.deepEqual(movesOf(cordon(inputOf(vms, [reportOf('a', ONE_VM, loads)]), 'h1')), [])
  })

  it('parks VMs there that work badly', (t) => {
    const vms = [vmIn('h1', 1, 'a'), vmIn('h2', 2, 'a')]
    const loads = [loadOf(1, { suspect: true }), loadOf(2)]
    const input = cordon(inputOf(vms, [reportOf('a', ONE_VM, loads)]), 'h1')
    t.deepEqual(movesOf(input), ['m1 idle'])
  })

  // A VM whose move to the service was ordered before the cordon cannot be used when it arrives.
  it('replaces VMs on their way into the hall', (t) => {
    const vms = [
      vmIn('h2', 1, 'a'),
      { ...vmIn('h1', 2, 'a'), state: 'moving' as const },
      vmIn('h1', 3, 'idle'),
      vmIn('h2', 4, 'idle'),
      vmIn('h2', 5, 'idle'),
    ]
    const input = {
      ...inputOf(vms, [reportOf('a', TWO_VMS, [loadOf(1, { runs: 1 })])]),
      movingTo: new Map([['m3', 'a']]),
      ordered: new Set(['m3']),
    }
    t.deepEqual(movesOf(input), [])
    t.deepEqual(movesOf(cordon(input, 'h1')), ['m4 a'])
  })

  it('moves no VM there without a spare pool', (t) => {
    const vms = [vmIn('h1', 1, 'a'), vmIn('h2', 2, 'a'), vmIn('h2', 3, 'b')]
    const input = inputOf(vms, [
      reportOf('a', ONE_VM, [loadOf(1), loadOf(2)]),
      reportOf('b', TWO_VMS, [loadOf(3)]),
    ])
    t.deepEqual(movesOf(cordon({ ...input, sparePool: undefined }, 'h1')), [])
  })

  it('returns VMs by need after the cordon is lifted', (t) => {
    const vms = [
      vmIn('h2', 1, 'a'),
      ...[2, 3, 4, 5].map((number) => vmIn('h1', number, 'idle')),
    ]
    const input = inputOf(vms, [reportOf('a', TWO_VMS, [loadOf(1)])])
    t.deepEqual(movesOf(cordon(input, 'h1')), [])
    t.deepEqual(movesOf(input), ['m2 a'])
  })

  describe('for random fleets', () => {
    const HALLS = ['h1', 'h2', 'h3']
    const POOLS = ['a', 'b', 'c', 'idle']
    const inputs = fc
      .record({
        vms: fc.array(
          fc.record({
            hall: fc.constantFrom(...HALLS),
            pool: fc.constantFrom(...POOLS),
            state: fc.constantFrom<Vm['state'][]>('up', 'up', 'up', 'moving', 'down'),
            isEmptying: fc.boolean(),
            isOrdered: fc.boolean(),
            load: fc.record({
              runs: fc.nat(2),
              lasting: fc.nat(1),
              evacuating: fc.boolean(),
              usedCpu: fc.nat(VM_CPU),
              suspect: fc.boolean(),
            }),
          }),
          { maxLength: 14 },
        ),
        needs: fc.array(fc.tuple(fc.nat(6 * VM_CPU), fc.nat(100)), {
          minLength: 3,
          maxLength: 3,
        }),
        hasSpare: fc.boolean(),
      })
      .map(({ vms: drawn, needs, hasSpare }): PoolInput => {
        const vms = drawn.map(({ hall, pool, state }, at) => ({
          ...vmIn(hall, at, pool),
          state,
        }))
        const namesOf = (isIn: (each: (typeof drawn)[number]) => boolean): Set<string> =>
          new Set(drawn.flatMap((each, at) => (isIn(each) ? [`m${at}`] : [])))
        const reports = needs.map(([cpu, timely], index) =>
          reportOf(
            POOLS[index]!,
            { cpu, timelyCpu: (cpu * timely) / 100 },
            drawn.flatMap(({ pool, load }, at) =>
              pool === POOLS[index] ? [loadOf(at, load)] : [],
            ),
          ),
        )
        return {
          ...inputOf(vms, reports),
          sparePool: hasSpare ? 'idle' : undefined,
          emptying: namesOf(({ isEmptying }) => isEmptying),
          ordered: namesOf(({ isOrdered }) => isOrdered),
        }
      })
    const halls = fc.subarray([...HALLS, 'unknown'])

    // Guards deployments without a cordon, and a cordon of a hall without VMs.
    it('plans as without any cordon if no VM is in a cordoned hall', (t) => {
      fc.assert(
        fc.property(inputs, (input) => {
          t.deepEqual(movesOf(cordon(input, 'unknown')), movesOf(input))
        }),
        { numRuns: 500 },
      )
      t.pass()
    })

    // The VMs in the halls must neither count for nor change what the others are used for.
    it('plans the other VMs as if those in cordoned halls did not exist', (t) => {
      fc.assert(
        fc.property(inputs, halls, (input, cordoned) => {
          const isIn = ({ hall }: Vm): boolean => cordoned.includes(hall)
          const moves = planPools(cordon(input, ...cordoned))
          const vms = input.vms.filter((vm) => !isIn(vm))
          const others = moves.filter(({ vm }) => !isIn(vm))
          // Without any VM left, the size of a VM and so the need in VMs is unknown.
          t.deepEqual(others, vms.length === 0 ? [] : planPools({ ...input, vms }))
          for (const { vm, pool } of moves.filter(({ vm: each }) => isIn(each))) {
            t.is(pool, 'idle')
            t.not(vm.pool, 'idle')
            const report = input.reports.get(vm.pool)
            t.is(report?.targets.find(({ id }) => id === vm.targetId)?.runs, 0)
            t.false(input.emptying.has(vm.name) || input.ordered.has(vm.name))
          }
          t.is(new Set(moves.map(({ vm }) => vm)).size, moves.length)
        }),
        { numRuns: 500 },
      )
      t.pass()
    })
  })
})
