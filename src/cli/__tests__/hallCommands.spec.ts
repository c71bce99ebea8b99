import { PassThrough } from 'node:stream'
import { startSimPlatform } from '../../../playground/sim/wireServer.js'
import { describe, it } from '../../../test/describe.js'
import { summarizeHalls } from '../hallCommands.js'
import { createCli } from '../index.js'

describe('rillshunt node halls', () => {
  it('counts the targets and VMs of each hall that run something', (t) => {
    const halls = summarizeHalls({
      cordoned: ['h2'],
      nodeHalls: ['h3'],
      targets: [
        { id: 't1', hall: 'h1' },
        { id: 't2', hall: 'h2' },
        { id: 't3', hall: 'h2' },
      ],
      loads: [
        { id: 't1', runs: 0, lasting: 0 },
        { id: 't2', runs: 3, lasting: 1 },
      ],
      vms: [
        { hall: 'h1', targetId: 't1' },
        { hall: 'h2', targetId: 't2' },
        { hall: 'h2', targetId: 't3' },
        { hall: 'h2', targetId: '' },
      ],
    })
    const idle = { busyTargets: 0, runs: 0, lastingRuns: 0, busyVms: 0 }
    t.deepEqual(halls, [
      { hall: 'h1', isCordoned: false, targets: 1, vms: 1, ...idle },
      {
        hall: 'h2',
        isCordoned: true,
        targets: 2,
        busyTargets: 1,
        runs: 3,
        lastingRuns: 1,
        vms: 3,
        busyVms: 1,
      },
      { hall: 'h3', isCordoned: false, targets: 0, vms: 0, ...idle },
    ])
  })

  it('finds the VM of a target that has left the list', (t) => {
    const [hall] = summarizeHalls({
      cordoned: [],
      nodeHalls: [],
      targets: [],
      loads: [{ id: 't1', runs: 1, lasting: 0 }],
      vms: [{ hall: 'h1', targetId: 't1' }],
    })
    t.like(hall, { hall: 'h1', targets: 0, busyTargets: 1, busyVms: 1 })
  })

  it('counts a target of unknown hall on its own', (t) => {
    const loads = [{ id: 't1', runs: 1, lasting: 0 }]
    const facts = { cordoned: [], nodeHalls: [], targets: [], loads, vms: undefined }
    t.like(summarizeHalls(facts), [{ hall: '?', busyTargets: 1, vms: undefined }])
  })

  // Whoever cordons a hall by a wrong name has to see it.
  it('lists a cordoned hall without any target', async (t) => {
    const platform = await startSimPlatform({
      pools: { one: 2 },
      halls: ['h1', 'h2'],
      capacity: { cpu: 8000, memMb: 32_000, gpu: 0 },
      offlineMs: 300,
    })
    platform.setCordoned('h1', true)
    platform.setCordoned('elsewhere', true)
    const stdout = new PassThrough()
    const args = ['node', 'halls', '--json', '--store', platform.storeAddress]
    const code = await createCli().run([...args, '--cloud', platform.cloudAddress], {
      stdout,
    })
    t.is(code, 0)
    const { halls } = JSON.parse(String(stdout.read())) as { halls: object[] }
    t.like(halls, [
      { hall: 'elsewhere', isCordoned: true, targets: 0, vms: 0 },
      { hall: 'h1', isCordoned: true, targets: 1, vms: 1 },
      { hall: 'h2', isCordoned: false, targets: 1, vms: 1 },
    ])
    await platform.close()
  })
})
