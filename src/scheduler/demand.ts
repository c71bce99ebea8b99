/** What a service needs, for the owner of the fleet. */
import { tasksOf } from '../jobs/index.js'
import type { Job, Step } from '../jobs/index.js'
import type { ServiceReport, TargetLoad } from '../vms/types.js'
import { createArrivalMeter } from './arrivals.js'
import { needOf } from './room.js'
import type { RunTimes } from './runTimes.js'
import type { TargetAgent } from './targetAgent.js'

/** Time in which waiting work should be done: about that of one more VM's coming, in ms. */
const CLEAR_BACKLOG_MS = 1500

/** Follows arriving work and sums up what jobs ask for. */
export interface DemandMeter {
  /** Notes the work of a new job. */
  arrived(job: Job, now: number): void
  report(
    service: string,
    term: number,
    jobs: Iterable<Job>,
    agents: TargetAgent[],
    now: number,
  ): ServiceReport
}

/** Targets without which a lasting step does not fit. */
function minTargetsFor(step: Step): number {
  const { lasting, maxPerTarget } = step.spec
  if (!lasting || maxPerTarget === 0) return 0
  return Math.ceil(step.tasks.length / maxPerTarget)
}

export function createDemandMeter(runTimes: RunTimes): DemandMeter {
  const arrivals = createArrivalMeter()
  let sequence = 0

  return {
    arrived(job, now) {
      let work = 0
      for (const step of job.occurrences[0]?.steps ?? []) {
        if (step.spec.lasting) continue
        work += step.tasks.length * needOf(step).cpu * runTimes.meanOf(step)
      }
      arrivals.note(work, now)
    },
    report(service, term, jobs, agents, now) {
      const sum = { lasting: 0, running: 0, backlog: 0 }
      let minTargets = 0
      for (const job of jobs) {
        if (job.outcome) continue
        addTasks(sum, job, runTimes)
        for (const { steps } of job.occurrences) {
          for (const step of steps) minTargets = Math.max(minTargets, minTargetsFor(step))
        }
      }
      const steady = Math.max(sum.running, arrivals.expectedCpu(now))
      sequence++
      return {
        service,
        term,
        sequence,
        neededCpu: sum.lasting + steady + sum.backlog / CLEAR_BACKLOG_MS,
        minTargets,
        targets: agents.map(loadOf),
      }
    },
  }
}

/** Adds what the tasks of a job ask for; the backlog is work, in thousandths of a core times ms. */
function addTasks(
  sum: { lasting: number; running: number; backlog: number },
  job: Job,
  runTimes: RunTimes,
): void {
  for (const task of tasksOf(job)) {
    const { cpu } = needOf(task.step)
    const wanted = task.phase === 'ready' || task.phase === 'placed'
    if (wanted && task.step.spec.lasting) sum.lasting += cpu
    else if (task.phase === 'placed') sum.running += cpu
    else if (task.phase === 'ready') sum.backlog += cpu * runTimes.meanOf(task.step)
  }
}

function loadOf(agent: TargetAgent): TargetLoad {
  const placements = [...agent.placements.values()]
  const lasting = placements.filter(({ task }) => task?.step.spec.lasting).length
  const { capacity, free } = agent.room
  return {
    id: agent.target.id,
    // What runs on a target that does not answer, or has not yet, is not known.
    runs: agent.isAnswering() ? placements.length : Math.max(1, placements.length),
    lasting,
    evacuating: agent.evacuating,
    usedCpu: capacity.cpu - free.cpu,
  }
}
