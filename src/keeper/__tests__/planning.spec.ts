import fc from 'fast-check'
import { describe, it } from '../../../test/describe.js'
import type { BudgetRow, JobRow, Operation, VmRow, WaveRow } from '../../fleet/index.js'
import { checkTable } from '../../table/index.js'
import type { RawTable, Table } from '../../table/index.js'
import { budgetShortage } from '../budgets.js'
import { planJobs } from '../placement.js'
import { planPools, allocateByWeight } from '../pools.js'
import { planWaves } from '../waves.js'

const HALL = 'h'

function vm(id: string, over: Partial<VmRow> = {}): VmRow {
  return {
    id,
    hall: HALL,
    rack: 'r1',
    pool: 'p',
    generation: 1,
    incarnation: `${id}.1`,
    state: 'active',
    cpus: 32,
    memoryGb: 128,
    ...over,
  }
}

function job(id: string, on: string, over: Partial<JobRow> = {}): JobRow {
  const base = { id, service: 's', hall: HALL, vm: on, incarnation: `${on}.1`, slots: 8 }
  return { ...base, state: 'running', address: '127.0.0.1:1', ...over }
}

const tableOf = (raw: RawTable): Table => checkTable(raw)._unsafeUnwrap()

const table = (instances = 2, over: Record<string, string> = {}): Table =>
  tableOf({
    'pool/p': { weight: '1', limit: '9' },
    'service/s': {
      weight: '1',
      limit: '9',
      pool: 'p',
      instances: String(instances),
      ...over,
    },
    'wave/w': { weight: '1', limit: '1', pool: 'p' },
  })

const operation = (kind: Operation['kind']): Operation => {
  return { id: 'o', kind, fromIncarnation: 'x', services: [] }
}

describe('allocateByWeight', () => {
  const pools = fc.dictionary(
    fc.constantFrom('a', 'b', 'c', 'd'),
    fc.record({ demand: fc.nat(8), weight: fc.integer({ min: 1, max: 5 }) }),
  )

  it('allocates the whole demand or all VMs, and no pool gets more than its demand', (t) => {
    fc.assert(
      fc.property(pools, fc.nat(30), (given, available) => {
        const demand = new Map(Object.entries(given).map(([k, v]) => [k, v.demand]))
        const weights = new Map(Object.entries(given).map(([k, v]) => [k, v.weight]))
        const shares = allocateByWeight(demand, weights, available)
        const wanted = [...demand.values()].reduce((a, b) => a + b, 0)
        const total = [...shares.values()].reduce((a, b) => a + b, 0)
        t.is(total, Math.min(wanted, available))
        for (const [pool, share] of shares) t.true(share <= demand.get(pool)!)
      }),
    )
  })

  it('allocates by weight when VMs are scarce', (t) => {
    const demand = new Map([
      ['a', 10],
      ['b', 10],
    ])
    const weights = new Map([
      ['a', 3],
      ['b', 1],
    ])
    t.deepEqual(
      [...allocateByWeight(demand, weights, 8)],
      [
        ['a', 6],
        ['b', 2],
      ],
    )
  })
})

describe('planPools', () => {
  const reserve = (id: string) => vm(id, { pool: 'reserve' })

  it('takes VMs from the reserve first and moves none from a pool at its share', (t) => {
    const moves = planPools(table(), [vm('a'), reserve('b'), reserve('c')], () => 0)
    t.deepEqual(
      moves.map((move) => `${move.vm}>${move.to}`),
      ['b>p'],
    )
    t.deepEqual(
      planPools(table(), [vm('a'), vm('b'), reserve('c')], () => 0),
      [],
    )
  })

  it('moves surplus VMs to the reserve, the one with the fewest jobs first', (t) => {
    const count = (id: string) => (id === 'b' ? 0 : 1)
    const moves = planPools(table(), [vm('a'), vm('b'), vm('c')], count)
    t.deepEqual(
      moves.map((move) => `${move.vm}>${move.to}`),
      ['b>reserve'],
    )
  })

  it('lends one VM of the reserve to a pool in a wave, within its limit', (t) => {
    const vms = [vm('a'), vm('b'), reserve('c'), reserve('d')]
    const surge = new Set(['p'])
    t.deepEqual(
      planPools(table(), vms, () => 0, surge).map((move) => move.vm),
      ['c'],
    )
    const full = tableOf({
      'pool/p': { weight: '1', limit: '2' },
      'service/s': { weight: '1', limit: '9', pool: 'p', instances: '2' },
    })
    t.deepEqual(
      planPools(full, vms, () => 0, surge),
      [],
    )
  })

  it('moves each VM at most once, and plans no more moves once these are made', (t) => {
    const pools = fc.constantFrom('p', 'q', 'reserve')
    const vms = fc
      .array(pools, { maxLength: 12 })
      .map((list) => list.map((pool, i) => vm(`v${i}`, { pool })))
    const two = tableOf({
      'pool/p': { weight: '1', limit: '9' },
      'pool/q': { weight: '2', limit: '3' },
      'service/s': { weight: '1', limit: '9', pool: 'p', instances: '3' },
      'service/u': { weight: '1', limit: '9', pool: 'q', instances: '60' },
    })
    fc.assert(
      fc.property(vms, (before) => {
        const moves = planPools(two, before, () => 0)
        t.is(new Set(moves.map((move) => move.vm)).size, moves.length)
        const target = new Map(moves.map((move) => [move.vm, move.to]))
        const after = before.map((each) => ({
          ...each,
          pool: target.get(each.id) ?? each.pool,
        }))
        t.deepEqual(
          planPools(two, after, () => 0),
          [],
        )
      }),
    )
  })
})

describe('planJobs', () => {
  it('spreads instances over VMs and reports why one does not fit', (t) => {
    const starts = planJobs({ table: table(2), vms: [vm('a'), vm('b')], jobs: [] })
    t.deepEqual(
      starts.map((each) => each.kind === 'start' && each.vm),
      ['a', 'b'],
    )
    const none = planJobs({ table: table(1, { cpus: '64' }), vms: [vm('a')], jobs: [] })
    t.like(none[0], {
      kind: 'unplaced',
      reason: 'needs 64 processors, the most free is 32',
    })
  })

  it('starts a replacement before it stops an instance on an evacuating VM', (t) => {
    const evacuatingVm = vm('a', {
      state: 'evacuating',
      operation: operation('maintain'),
    })
    const vms = [evacuatingVm, vm('b'), vm('c')]
    const first = planJobs({ table: table(2), vms, jobs: [job('1', 'a'), job('2', 'b')] })
    t.deepEqual(
      first.map((each) => each.kind),
      ['start'],
    )
    const jobs = [job('1', 'a'), job('2', 'b'), job('3', 'c')]
    t.like(planJobs({ table: table(2), vms, jobs })[0], { kind: 'stop', job: '1' })
  })

  it('stops an instance of an earlier incarnation of its VM at once', (t) => {
    const restarted = vm('a', { incarnation: 'a.2' })
    const decisions = planJobs({
      table: table(1),
      vms: [restarted],
      jobs: [job('1', 'a')],
    })
    t.deepEqual(
      decisions.map((each) => each.kind),
      ['stop', 'start'],
    )
  })

  it('rebalances one instance at a time, but not during a wave', (t) => {
    const jobs = [job('1', 'a'), job('2', 'a')]
    const input = { table: table(2), vms: [vm('a'), vm('b')], jobs }
    t.like(planJobs(input)[0], { kind: 'start', vm: 'b' })
    t.deepEqual(planJobs({ ...input, inWave: new Set(['p']) }), [])
    const moving = [...jobs, job('3', 'b', { state: 'starting' })]
    t.deepEqual(planJobs({ ...input, jobs: moving }), [])
    const moved = [...jobs, job('3', 'b')]
    t.like(planJobs({ ...input, jobs: moved })[0], { kind: 'stop', job: '2' })
  })

  it('never overfills a VM nor leaves too few instances serving, from any state', (t) => {
    const states = fc.constantFrom(
      'active',
      'evacuating',
      'leaving',
      'gone',
    ) as fc.Arbitrary<VmRow['state']>
    const fleet = fc.array(states, { minLength: 1, maxLength: 5 })
    const placements = fc.array(
      fc.record({ at: fc.nat(4), running: fc.boolean(), sound: fc.boolean() }),
      { maxLength: 8 },
    )
    fc.assert(
      fc.property(fleet, placements, fc.nat(5), (vmStates, jobSpecs, instances) => {
        const vms = vmStates.map((state, i) => vm(`v${i}`, { state, cpus: 8 }))
        const jobs = jobSpecs.map(({ at, running, sound }, i) => {
          const on = `v${at % vms.length}`
          const incarnation = sound ? `${on}.1` : `${on}.0`
          return job(`j${i}`, on, {
            state: running ? 'running' : 'starting',
            incarnation,
          })
        })
        const input = { table: table(instances, { cpus: '3' }), vms, jobs }
        const decisions = planJobs(input)
        const stopped = new Set(
          decisions.flatMap((each) => (each.kind === 'stop' ? [each.job] : [])),
        )
        const serves = (each: JobRow) => {
          const on = vms.find((one) => one.id === each.vm)!
          const takesWork = on.state === 'active' || on.state === 'evacuating'
          return (
            each.state === 'running' && takesWork && each.incarnation === on.incarnation
          )
        }
        const before = jobs.filter(serves).length
        const after = jobs.filter((each) => serves(each) && !stopped.has(each.id)).length
        t.true(after >= Math.min(before, instances), 'stopped too many serving instances')
        for (const each of decisions) {
          if (each.kind !== 'start') continue
          const on = vms.find((one) => one.id === each.vm)!
          const there = jobs.filter((one) => one.vm === on.id).length
          const starts = decisions.filter(
            (one) => one.kind === 'start' && one.vm === on.id,
          ).length
          t.is(on.state, 'active')
          t.true((there + starts) * 3 <= on.cpus, 'overfilled')
        }
      }),
    )
  })
})

describe('planWaves', () => {
  const waveRow = (over: Partial<WaveRow>): Map<string, WaveRow> =>
    new Map([
      [
        'w',
        {
          wave: 'w',
          hall: HALL,
          done: [],
          doing: [],
          halted: '',
          finished: false,
          ...over,
        },
      ],
    ])
  const input = (over: Partial<Parameters<typeof planWaves>[0]> = {}) => ({
    table: table(),
    vms: [vm('a'), vm('b')],
    jobs: [job('1', 'a')],
    waves: new Map<string, WaveRow>(),
    budgets: new Map<string, BudgetRow>(),
    hall: HALL,
    ...over,
  })

  it('begins with the VM that has the fewest jobs', (t) => {
    t.like(planWaves(input())[0], { kind: 'start', vm: 'b' })
  })

  it('holds at its limit, when halted and for an arriving VM, and finishes', (t) => {
    t.like(planWaves(input({ waves: waveRow({ doing: ['b'] }) }))[0], { kind: 'hold' })
    t.like(planWaves(input({ waves: waveRow({ halted: 'b is lost' }) }))[0], {
      kind: 'hold',
    })
    t.like(planWaves(input({ waves: waveRow({ done: ['a', 'b'] }) }))[0], {
      kind: 'finish',
    })
    t.deepEqual(planWaves(input({ waves: waveRow({ finished: true }) })), [])
    const arrivingVm = vm('c', {
      pool: 'reserve',
      operation: { ...operation('move'), toPool: 'p' },
    })
    const vms = [vm('a'), arrivingVm]
    t.like(planWaves(input({ vms }))[0], {
      kind: 'hold',
      reason: 'a VM is on its way to the pool',
    })
  })
})

describe('budgetShortage', () => {
  const base = { table: table(2, { budget: '1' }), hall: HALL, vms: [vm('a'), vm('b')] }
  const both = [job('1', 'a'), job('2', 'b')]
  const out = (hall: string): Map<string, BudgetRow> =>
    new Map([['s', { out: [{ hall, vm: 'x', operation: 'o', count: 1 }] }]])

  it('allows stopping instances up to the budget, counting all halls', (t) => {
    t.is(budgetShortage({ ...base, jobs: both, budgets: new Map() }, ['s']), undefined)
    t.regex(
      budgetShortage({ ...base, jobs: both, budgets: out('other') }, ['s'])!,
      /1 of its budget of 1/,
    )
    t.regex(
      budgetShortage({ ...base, jobs: both, budgets: new Map() }, ['s', 's'])!,
      /0 of its budget/,
    )
  })

  it('counts unplanned losses, but not again those charged by its own hall', (t) => {
    const one = [job('1', 'a')]
    t.regex(
      budgetShortage({ ...base, jobs: one, budgets: new Map() }, ['s'])!,
      /1 of its budget of 1/,
    )
    const doubledBudget = { ...base, table: table(2, { budget: '2' }) }
    t.is(
      budgetShortage({ ...doubledBudget, jobs: one, budgets: out(HALL) }, ['s']),
      undefined,
    )
  })
})
