/**
 * Time of one planning run at peak load, when almost no waiting task finds room: with the
 * planner skipping needs that found no room, and with every target tried for each step.
 */
import { UNRESTRICTED_POLICY } from '../src/scheduler/placementRules.js'
import { planStarts } from '../src/scheduler/planner.js'
import { createRunTimes } from '../src/scheduler/runTimes.js'
import type { TargetAgent } from '../src/scheduler/types.js'
import { createRoom } from '../src/scheduler/room.js'
import { urgencyOf } from '../src/scheduler/urgency.js'
import { createFrozenJobBook } from '../test/fixtures.js'
import { QUEUE, makeJob } from '../test/jobRig.js'

/** Numbers of waiting jobs and of targets; one target in ten has room for some tasks. */
const SIZES = [
  { jobs: 75, targets: 40 },
  { jobs: 300, targets: 100 },
  { jobs: 625, targets: 400 },
]
const TASKS_PER_JOB = 8
const PLANS = 40

function makeAgent(index: number): TargetAgent {
  const cpu = index % 10 === 0 ? 6000 : 500
  const capacity = { cpu, memMb: 100_000, gpu: 0 }
  return {
    target: { id: `t${index}`, labels: [`r1-${index % 12}`], capacity },
    placements: new Map(),
    room: createRoom(capacity),
    isUsable: () => true,
  } as unknown as TargetAgent
}

/** Mean time of a planning run, in ms. */
function meanPlanMs(
  jobCount: number,
  targetCount: number,
  triesEveryTarget: boolean,
): number {
  const book = createFrozenJobBook()
  for (let each = 0; each < jobCount; each++) {
    const cpu = 2000 + ((each * 379) % 5000)
    book.add(makeJob({ cpu }, [{ count: TASKS_PER_JOB, cpu }]))
  }
  const agents = Array.from({ length: targetCount }, (_, index) => makeAgent(index))
  const runTimes = createRunTimes()
  const plan = (): void =>
    void planStarts({
      ready: book.ready,
      agents,
      urgencyOf: (job) => urgencyOf(job, QUEUE, runTimes, 0),
      policy: UNRESTRICTED_POLICY,
      penaltyOf: () => 0,
      mayTry: () => false,
      planned: () => undefined,
      hasStepPolicy: () => triesEveryTarget,
    })
  plan()
  const startedAt = performance.now()
  for (let each = 0; each < PLANS; each++) plan()
  return (performance.now() - startedAt) / PLANS
}

/** Prints and returns the mean times. */
export default async function plansBench(): Promise<object> {
  const plans = SIZES.map(({ jobs, targets }) => ({
    jobs,
    targets,
    naiveMs: meanPlanMs(jobs, targets, true),
    ms: meanPlanMs(jobs, targets, false),
  }))
  console.table(plans)
  return { plans }
}
