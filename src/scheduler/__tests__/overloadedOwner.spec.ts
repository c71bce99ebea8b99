/** Guards against an owner short of processor time that serves all jobs a little and few in time. */
import { createSlowOrders } from '../../../playground/sim/slowOrders.js'
import { describe, it } from '../../../test/describe.js'
import { QUEUE, createJobRig, makeJob } from '../../../test/jobRig.js'
import type { JobRig } from '../../../test/jobRig.js'
import type { JobSpec } from '../../jobs/index.js'
import { monotonicMs, sleep } from '../../shared/index.js'

const CAPACITY = { cpu: 32_000, memMb: 128_000, gpu: 0 }
const TARGETS = 60
const TASK = { ms: 600, cpu: 3000 }
const TASKS_PER_JOB = 8
/** Processor time of the owner's calls: 5 ms for each task, so 25 jobs a second. */
const COSTS = { startMs: 3, reportMs: 2 }
const JOBS_PER_S_POSSIBLE = 1000 / ((COSTS.startMs + COSTS.reportMs) * TASKS_PER_JOB)
/** Jobs that arrive, three times as many. */
const JOBS_PER_S = 75
const LOAD_MS = 8000
/** Time after the last job in which it may still be done in time, in ms. */
const TAIL_MS = 2500
/** Ratio of the longest task of a job to the mean that owners reckon with. */
const LONGEST_TASK_FACTOR = 1.4
const OBJECTIVE_MS = QUEUE.stretch * TASK.ms * LONGEST_TASK_FACTOR + QUEUE.latencyMs
/** Share of the jobs for which there is processor time that must be done in time. */
const MIN_SHARE_IN_TIME = 0.5

/** Submits jobs for a while; returns how many of them were done in time. */
async function countInTime(rig: JobRig, submit: (job: JobSpec) => void): Promise<number> {
  const submittedAt = new Map<JobSpec, number>()
  let inTime = 0
  let submitted = 0
  const startedAt = monotonicMs()
  for (let now = startedAt; now < startedAt + LOAD_MS + TAIL_MS; now = monotonicMs()) {
    const isLoaded = now < startedAt + LOAD_MS
    const due = isLoaded ? ((now - startedAt) * JOBS_PER_S) / 1000 : 0
    for (; submitted < due; submitted++) {
      const job = makeJob(TASK, [{ count: TASKS_PER_JOB }])
      submittedAt.set(job, monotonicMs())
      submit(job)
    }
    for (const [job, at] of submittedAt) {
      if (rig.outcomeOf(job) === undefined) continue
      if (monotonicMs() - at <= OBJECTIVE_MS) inTime++
      submittedAt.delete(job)
    }
    await sleep(10)
  }
  return inTime
}

/** Starts an owner with {@link COSTS} and plenty of room. */
async function startOverloaded() {
  const rig = createJobRig()
  rig.orders = createSlowOrders(rig.orders, COSTS)
  for (let count = 0; count < TARGETS; count++)
    rig.addTarget(`t${count}`, { capacity: CAPACITY })
  return { rig, owner: await rig.startOwner() }
}

describe('owner that is short of processor time', () => {
  it('finishes as many jobs in time as half of its starts are enough for', async (t) => {
    const { rig, owner } = await startOverloaded()
    t.teardown(() => rig.stop())
    const inTime = await countInTime(rig, (job) => rig.submit(owner, job))
    const possible = (JOBS_PER_S_POSSIBLE * LOAD_MS) / 1000
    t.log({ inTime, possible })
    t.true(inTime >= possible * MIN_SHARE_IN_TIME)
    t.deepEqual(rig.suspects(), [])
  })
})
