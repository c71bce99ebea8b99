import { describe, it } from '../../../test/describe.js'
import { CAPACITY, createJobRig, makeJob } from '../../../test/jobRig.js'
import { sleep } from '../../shared/index.js'

describe('roomUse', () => {
  it('tells taken room and running tasks apart while tasks wait', async (t) => {
    const rig = createJobRig()
    t.teardown(() => rig.stop())
    const target = rig.addTarget('t1')
    const owner = await rig.startOwner()
    const use = () => rig.log.events.filter(({ name }) => name === 'roomUse')
    rig.submit(owner, makeJob({ ms: 0, cpu: 500 }, [{ count: 1, lasting: true }]))
    await sleep(600)
    t.deepEqual(use(), [])

    rig.submit(owner, makeJob({ ms: 5000, cpu: 1000 }, [{ count: 8 }]))
    await sleep(2500)
    t.like(use().at(-1)?.fields, {
      targets: 1,
      usable: 1,
      cpu: CAPACITY.cpu,
      takenCpu: 3500,
      runningCpu: 3000,
      lastingCpu: 500,
      ready: 5,
      open: 2,
      isBehind: false,
    })

    // Ends that the owner has not heard of still take room.
    target.faults.silent = true
    await sleep(1500)
    t.like(use().at(-1)?.fields, { usable: 0, takenCpu: 3500 })
  })

  it('tells the processor time of the owner for its starts', async (t) => {
    const rig = createJobRig()
    t.teardown(() => rig.stop())
    rig.addTarget('t1')
    const owner = await rig.startOwner()
    rig.submit(owner, makeJob({ ms: 1600, cpu: 1000 }, [{ count: 6 }]))
    await sleep(2700)
    const use = rig.log.events.filter(({ name }) => name === 'roomUse')
    t.deepEqual(
      use.slice(0, 2).map(({ fields }) => fields['ordered']),
      [4, 0],
    )
    for (const { fields } of use) {
      t.true(Number(fields['cpuMs']) > 0)
      t.true(Number(fields['planMs']) <= Number(fields['periodMs']))
    }
  })

  it('counts the targets that wait for the store', async (t) => {
    const rig = createJobRig()
    t.teardown(() => rig.stop())
    rig.addTarget('t1')
    const owner = await rig.startOwner()
    rig.submit(owner, makeJob({ ms: 100, cpu: 1000 }, [{ count: 12 }]))
    await sleep(30)
    rig.table.faults.down = true
    rig.addTarget('t2')
    await sleep(1500)
    rig.table.faults.down = false
    const use = rig.log.events.filter(({ name }) => name === 'roomUse')
    t.true(use.some(({ fields }) => fields['withoutRow'] === 1))
    t.true(use.some(({ fields }) => fields['awaitingProgress'] === 1))
  })
})
