/** Guards against accepted jobs that stand still while most of their service's room is unused. */
import { createSlowOrders } from '../../../playground/sim/slowOrders.js'
import { describe, it } from '../../../test/describe.js'
import { SPARE_POOL, startFleetOwner, startRigCloud } from '../../../test/fleetRig.js'
import type { RigCloud } from '../../../test/fleetRig.js'
import { SERVICE, createJobRig, makeJob } from '../../../test/jobRig.js'
import type { JobRig, RigOwner } from '../../../test/jobRig.js'
import type { JobSpec } from '../../jobs/index.js'
import { monotonicMs, sleep } from '../../shared/index.js'
import { REPORT_INTERVAL_MS } from '../../vms/index.js'
import type { FleetOwner } from '../../vms/index.js'

const CAPACITY = { cpu: 32_000, memMb: 128_000, gpu: 0 }
const TASK = { ms: 800, cpu: 3600 }
const TASKS_PER_JOB = 8
const JOBS = 400
const SUBMIT_INTERVAL_MS = 5
/** Processor time of the owner's calls: 20 ms for each task. */
const COSTS = { startMs: 12, reportMs: 8 }
/** Time after the last job from which its owner must have settled, in ms, and for which it is watched. */
const SETTLED_AFTER_MS = 10_000
const WATCHED_MS = 10_000
/** Time for which a job must stand still to break the rule, in ms. */
const MAX_STANDSTILL_MS = 3000
/** Share of a service's room below which its jobs must not stand still. */
const MIN_USED_SHARE = 0.5
const SAMPLE_INTERVAL_MS = 50

/** What runs on the targets at one moment. */
interface Snapshot {
  /** Jobs with a run. */
  runningJobs: Set<string>
  /** Number of tasks that are done, by job. */
  done: Map<string, number>
  /** Room of the service and its use, in thousandths of a core. */
  roomCpu: number
  usedCpu: number
}

const jobOf = (task: string): string => task.split('.')[0]!

function takeSnapshot({ ledger }: JobRig, { vms }: RigCloud): Snapshot {
  const running = new Set<string>()
  const done = new Map<string, number>()
  for (const { what, task } of ledger.entries) {
    if (what === 'start') running.add(task)
    else running.delete(task)
    if (what === 'done') done.set(jobOf(task), (done.get(jobOf(task)) ?? 0) + 1)
  }
  const up = vms.filter(({ pool, state }) => pool === SERVICE && state === 'up')
  return {
    runningJobs: new Set([...running].map(jobOf)),
    done,
    roomCpu: up.length * CAPACITY.cpu,
    usedCpu: running.size * TASK.cpu,
  }
}

/** Jobs that run nothing although a task may start, its room is there twice, and most is unused. */
function findStandingJobs(jobs: JobSpec[], snapshot: Snapshot): JobSpec[] {
  const { runningJobs, done, roomCpu, usedCpu } = snapshot
  const isUnused = usedCpu < roomCpu * MIN_USED_SHARE
  if (!isUnused || roomCpu - usedCpu < 2 * TASK.cpu) return []
  return jobs.filter(
    ({ id }) => !runningJobs.has(id) && (done.get(id) ?? 0) < TASKS_PER_JOB,
  )
}

/** Exchanges reports and answers of the two owners until the returned function is called. */
function startReports(owner: RigOwner, fleet: FleetOwner): () => Promise<void> {
  let isOver = false
  const loop = (async () => {
    while (!isOver) {
      const answer = fleet.report(owner.report())
      if (answer) owner.evacuate(answer)
      await sleep(REPORT_INTERVAL_MS)
    }
  })()
  return () => {
    isOver = true
    return loop
  }
}

describe('accepted jobs of an owner that is short of processor time', () => {
  it('do not stand still while most room of their service is unused', async (t) => {
    const rig = createJobRig()
    t.teardown(() => rig.stop())
    const rigCloud = startRigCloud(rig, {
      inPool: 6,
      spare: 54,
      capacity: CAPACITY,
      moveMs: 1500,
    })
    rig.cloud = rigCloud.cloud
    rig.orders = createSlowOrders(rig.orders, COSTS)
    const services = [SERVICE, SPARE_POOL]
    const { fleet } = startFleetOwner({ cloud: rigCloud.cloud, services })
    t.teardown(() => fleet.stop(false))
    const owner = await rig.startOwnerWithoutWaiting()
    t.teardown(startReports(owner, fleet))

    const jobs: JobSpec[] = []
    for (let count = 0; count < JOBS; count++) {
      const job = makeJob(TASK, [{ count: TASKS_PER_JOB }])
      jobs.push(job)
      rig.submit(owner, job)
      await sleep(SUBMIT_INTERVAL_MS)
    }
    await sleep(SETTLED_AFTER_MS)
    const standsSince = new Map<JobSpec, number>()
    const stalled = new Set<JobSpec>()
    const endsAt = monotonicMs() + WATCHED_MS
    for (let now = monotonicMs(); now < endsAt; now = monotonicMs()) {
      const snapshot = takeSnapshot(rig, rigCloud)
      const standing = new Set(findStandingJobs(jobs, snapshot))
      for (const job of jobs) {
        if (!standing.has(job)) standsSince.delete(job)
        else if (!standsSince.has(job)) standsSince.set(job, now)
        if (now - (standsSince.get(job) ?? now) >= MAX_STANDSTILL_MS) stalled.add(job)
      }
      await sleep(SAMPLE_INTERVAL_MS)
    }
    t.is(stalled.size, 0)
    t.true(jobs.some((job) => rig.outcomeOf(job) === undefined))
  })
})
