/** Guards against new targets that stand empty while the part with their service's rows is away. */
import { describe, it } from '../../../test/describe.js'
import { SERVICE, createJobRig, makeJob } from '../../../test/jobRig.js'
import type { JobRig } from '../../../test/jobRig.js'
import { sleep } from '../../shared/index.js'

const startsOn = ({ ledger }: JobRig, target: string): number =>
  ledger.entries.filter((each) => each.what === 'start' && each.target === target).length

describe('service whose part of the store is away', () => {
  const OUTAGES = {
    refuses: 'refusedParts',
    resets: 'brokenParts',
    'is silent': 'silentParts',
  } as const

  for (const [how, parts] of Object.entries(OUTAGES)) {
    it(`starts tasks on new targets while the part ${how}`, async (t) => {
      const rig = createJobRig()
      t.teardown(() => {
        rig.table.faults[parts].clear()
        return rig.stop()
      })
      rig.addTarget('t1')
      const owner = await rig.startOwner()
      rig.submit(owner, makeJob({ ms: 8000, cpu: 1000 }, [{ count: 8 }]))
      await sleep(500)
      rig.table.faults[parts].add(SERVICE)
      rig.addTarget('t2')
      await sleep(1500)
      t.is(startsOn(rig, 't2'), 4)
    })
  }
})
