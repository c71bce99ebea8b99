/** What a service needs, for the owner of the fleet. */
import { tasksOf } from '../jobs/index.js'
import type { Job, Step } from '../jobs/index.js'
import { ARRIVAL_WINDOW_MS } from '../vms/constants.js'
import type { ServiceReport, TargetLoad } from '../vms/types.js'
import { needOf } from './room.js'
import type { TargetAgent } from './targetAgent.js'

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

interface Arrival {
  at: number
  /** Thousandths of a core times ms. */
  work: number
}

/** Targets on which the lasting steps fit with one more, so that one can be emptied. */
function minTargetsFor(step: Step): number {
  const { lasting, maxPerTarget } = step.spec
  if (!lasting || maxPerTarget === 0) return 0
  return Math.ceil(step.tasks.length / maxPerTarget) + 1
}

export function createDemandMeter(): DemandMeter {
  let arrivals: Arrival[] = []

  const expectedCpu = (now: number): number => {
    arrivals = arrivals.filter(({ at }) => now - at < ARRIVAL_WINDOW_MS)
    return arrivals.reduce((sum, { work }) => sum + work, 0) / ARRIVAL_WINDOW_MS
  }

  return {
    arrived(job, now) {
      const steps = job.spec.steps.filter(({ lasting }) => !lasting)
      const work = steps.reduce(
        (sum, each) => sum + each.count * each.cpu * each.estimateMs,
        0,
      )
      arrivals.push({ at: now, work })
    },
    report(service, term, jobs, agents, now) {
      let demandCpu = 0
      let lastingCpu = 0
      let minTargets = 0
      for (const job of jobs) {
        if (job.outcome) continue
        for (const task of tasksOf(job)) {
          if (task.phase !== 'ready' && task.phase !== 'placed') continue
          const { cpu } = needOf(task.step)
          demandCpu += cpu
          if (task.step.spec.lasting) lastingCpu += cpu
        }
        for (const { steps } of job.occurrences) {
          for (const step of steps) minTargets = Math.max(minTargets, minTargetsFor(step))
        }
      }
      return {
        service,
        term,
        demandCpu,
        expectedCpu: lastingCpu + expectedCpu(now),
        minTargets,
        targets: agents.map(loadOf),
      }
    },
  }
}

function loadOf(agent: TargetAgent): TargetLoad {
  const placements = [...agent.placements.values()]
  const lasting = placements.filter(({ task }) => task?.step.spec.lasting).length
  const { capacity, free } = agent.room
  return {
    id: agent.target.id,
    runs: placements.length,
    lasting,
    evacuating: agent.evacuating,
    usedCpu: capacity.cpu - free.cpu,
  }
}
