/** Reports on waiting jobs: the rules that hold them, on how many targets, and until when. */
import { describe, it } from '../../../test/describe.js'
import { CAPACITY, createJobRig, makeJob } from '../../../test/jobRig.js'
import type { JobRig } from '../../../test/jobRig.js'
import { waitReportSchema } from '../waitWatch.js'
import { sleep } from '../../shared/index.js'
import type { EventName } from '../../shared/index.js'

/** The second after which a wait is reported, and three checks more, in ms. */
const REPORTED_WITHIN_MS = 1800
/** Longest wait for an event on a busy machine, in ms. */
const MAX_WAIT_MS = 10_000

const eventsOf = ({ log }: JobRig, event: EventName) =>
  log.events.filter(({ name }) => name === event).map(({ fields }) => fields)

async function firstEvent(rig: JobRig, event: EventName) {
  const endsAt = performance.now() + MAX_WAIT_MS
  while (eventsOf(rig, event).length === 0 && performance.now() < endsAt) await sleep(20)
  return eventsOf(rig, event)[0]
}

describe('createWaitWatch', () => {
  it('reports that no target is large enough', async (t) => {
    const rig = createJobRig()
    rig.addTarget('t1')
    rig.addTarget('t2')
    const owner = await rig.startOwner()
    const job = makeJob({ ms: 20, cpu: CAPACITY.cpu + 1 })
    rig.submit(owner, job)
    t.like(await firstEvent(rig, 'taskWaits'), {
      job: job.id,
      hold: 'size',
      targets: '{"size":2}',
      couldRunOn: 0,
    })
    t.deepEqual(eventsOf(rig, 'jobStalled'), [])
    const report = waitReportSchema.parse(owner.explain(job.id))
    t.like(report, { task: `${job.id}.0.0.0`, holds: { size: 2 }, couldRunOn: 0 })
    t.is(owner.explain('0123456789abcdef'), undefined)
    await rig.stop()
  })

  it('distinguishes a turn in a queue from a stall', async (t) => {
    const rig = createJobRig()
    rig.addTarget('t1')
    const owner = await rig.startOwner()
    rig.submit(owner, makeJob({ ms: 12_000, cpu: 3000 }, [{ count: 1 }]))
    await sleep(100)
    const second = makeJob({ ms: 20, cpu: 3000 }, [{ count: 1 }])
    rig.submit(owner, second)
    t.like(await firstEvent(rig, 'taskWaits'), { job: second.id, hold: 'room' })
    t.deepEqual(eventsOf(rig, 'jobStalled'), [])
    await rig.stop()
  })

  it('reports nothing for jobs with running tasks', async (t) => {
    const rig = createJobRig()
    rig.addTarget('t1')
    const owner = await rig.startOwner()
    rig.submit(owner, makeJob({ ms: 3000, cpu: 1500 }, [{ count: 4 }]))
    await sleep(REPORTED_WITHIN_MS)
    t.deepEqual(eventsOf(rig, 'taskWaits'), [])
    await rig.stop()
  })

  it('reports a stall if all targets are being evacuated', async (t) => {
    const rig = createJobRig()
    rig.addTarget('t1')
    const owner = await rig.startOwner()
    await sleep(200)
    owner.evacuate({ evacuate: ['t1'], hurry: [], ended: [] })
    const job = makeJob({ ms: 20, cpu: 100 })
    rig.submit(owner, job)
    t.like(await firstEvent(rig, 'taskWaits'), { hold: 'evacuating', couldRunOn: 1 })
    t.truthy(await firstEvent(rig, 'jobStalled'))
    await rig.stop()
  })

  it('reports how long an inherited job waits for a silent target', async (t) => {
    const rig = createJobRig()
    rig.addTarget('t1')
    const silent = rig.addTarget('t2')
    const first = await rig.startOwner()
    await sleep(300)
    first.live = false
    silent.faults.silent = true
    const job = makeJob({ ms: 20, cpu: 100 })
    rig.submit(first, job)
    await rig.startOwner()
    const event = await firstEvent(rig, 'taskWaits')
    t.like(event, { job: job.id, hold: 'takeover', targets: '{"takeover":1}' })
    t.true(Number(event?.['endsInMs']) > 0)
    await rig.stop()
  })
})
