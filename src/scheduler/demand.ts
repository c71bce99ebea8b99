/** What a service needs, for the owner of the fleet. */
import { hasSoleSuspect, isStepDone } from '../jobs/index.js'
import type { Job, JobBook, Step } from '../jobs/index.js'
import type { ServiceReport, TargetLoad } from '../vms/types.js'
import { createArrivalMeter } from './arrivals.js'
import type { ArrivalMeter } from './arrivals.js'
import { needOf } from './room.js'
import type { RunTimes } from './runTimes.js'
import type { TargetAgent } from './types.js'

/** Time in which waiting work should be done: about that of one more VM's coming, in ms. */
const CLEAR_BACKLOG_MS = 1500
/**
 * Growth of the need since the last report that is told at once, as a share of it: about
 * one VM of the seven that a small service has. Saves up to 0.15 s, the usual pause.
 */
const TELL_GROWTH = 0.15

/** The jobs without an outcome. */
type OpenJobs = JobBook['open']

/** Follows arriving work and sums up what jobs ask for. */
export interface DemandMeter {
  /** Notes the work of a new job. */
  arrived(job: Job, now: number): void
  /** Notes the work of jobs that came to the predecessor, at the times of their rows. */
  inherited(jobs: readonly Job[], now: number, wallMs: number): void
  /** Whether the need has grown so much since the last report that it should be told now. */
  hasGrown(open: OpenJobs, now: number): boolean
  report(
    service: string,
    term: number,
    open: OpenJobs,
    agents: TargetAgent[],
    now: number,
  ): ServiceReport
}

/** What tasks ask for, in thousandths of a core; the backlog is that times ms. */
interface Sums {
  lasting: number
  running: number
  backlog: number
  /** Steps that need a target for themselves, as they will probably crash it. */
  isolated: number
}

/** What a service needs, in thousandths of a core. */
interface Need {
  cpu: number
  /** The part of it that is for jobs which can still meet their objective. */
  timelyCpu: number
}

/** Targets without which a lasting step does not fit. */
function minTargetsFor(step: Step): number {
  const { lasting, maxPerTarget } = step.spec
  if (!lasting || maxPerTarget === 0) return 0
  return Math.ceil(step.tasks.length / maxPerTarget)
}

/** Creates a meter that has seen nothing. */
export function createDemandMeter(opts: {
  runTimes: RunTimes
  /** Whether the job can still meet its objective. */
  isTimely(job: Job, now: number): boolean
  /** Whether evidence keeps tasks off the target. */
  isSuspect(agent: TargetAgent): boolean
}): DemandMeter {
  const { runTimes, isTimely, isSuspect } = opts
  const arrivals = new Map<string, ArrivalMeter>()
  let sequence = 0
  let reportedCpu = 0
  /** Room of a target at the last report, in thousandths of a core. */
  let targetCpu = 0

  const meterOf = (queue: string): ArrivalMeter => {
    const known = arrivals.get(queue)
    if (known) return known
    const meter = createArrivalMeter()
    arrivals.set(queue, meter)
    return meter
  }

  const total = (
    { lasting, running, backlog, isolated }: Sums,
    expected: number,
  ): number =>
    lasting +
    Math.max(running, expected) +
    backlog / CLEAR_BACKLOG_MS +
    isolated * targetCpu

  function expectedCpu(now: number): number {
    let expected = 0
    for (const each of arrivals.values()) expected += each.expectedCpu(now)
    return expected
  }

  /** Thousandths of a core that the tasks need, now and soon. */
  function needed(open: OpenJobs, now: number): Need {
    const all = createSums()
    const timely = createSums()
    for (const job of open) {
      const asked = askedBy(job, runTimes)
      add(all, asked)
      if (isTimely(job, now)) add(timely, { ...asked, isolated: 0 })
    }
    const expected = expectedCpu(now)
    return { cpu: total(all, expected), timelyCpu: total(timely, expected) }
  }

  /** The same without the question what can be in time, which costs most of it. */
  function neededCpu(open: OpenJobs, now: number): number {
    const all = createSums()
    for (const job of open) add(all, askedBy(job, runTimes))
    return total(all, expectedCpu(now))
  }

  const meter: DemandMeter = {
    arrived(job, now) {
      let work = 0
      for (const step of job.occurrences[0]?.steps ?? []) {
        if (step.spec.lasting) continue
        work += step.tasks.length * needOf(step).cpu * runTimes.meanOf(step)
      }
      if (work > 0) meterOf(job.spec.queue).note(work, now)
    },
    inherited(jobs, now, wallMs) {
      for (const job of jobs) {
        // Clocks of nodes differ a little; a job from the future came just now.
        const ageMs = Math.max(0, wallMs - job.spec.acceptedAtMs)
        meter.arrived(job, now - ageMs)
      }
    },
    hasGrown: (open, now) => neededCpu(open, now) > reportedCpu * (1 + TELL_GROWTH),
    report(service, term, open, agents, now) {
      let minTargets = 0
      for (const job of open) {
        for (const { steps } of job.occurrences) {
          for (const step of steps) minTargets = Math.max(minTargets, minTargetsFor(step))
        }
      }
      targetCpu = meanCpuOf(agents)
      const { cpu, timelyCpu } = needed(open, now)
      reportedCpu = cpu
      sequence++
      return {
        service,
        term,
        sequence,
        neededCpu: cpu,
        timelyCpu,
        minTargets,
        targets: agents.map((agent) => ({
          ...loadOf(agent),
          suspect: isSuspect(agent),
        })),
      }
    },
  }
  return meter
}

const createSums = (): Sums => ({ lasting: 0, running: 0, backlog: 0, isolated: 0 })

/** Mean room of the targets, in thousandths of a core; 0 without any. */
function meanCpuOf(agents: TargetAgent[]): number {
  const sum = agents.reduce((cpu, { room }) => cpu + room.capacity.cpu, 0)
  return sum / Math.max(1, agents.length)
}

function add(sum: Sums, more: Sums): void {
  sum.lasting += more.lasting
  sum.running += more.running
  sum.backlog += more.backlog
  sum.isolated += more.isolated
}

/** What the tasks of a job ask for now: those of steps that may run and are not done. */
function askedBy(job: Job, runTimes: RunTimes): Sums {
  const sum = createSums()
  for (const { steps } of job.occurrences) {
    for (const step of steps) {
      if (step.unblocked && !isStepDone(step)) add(sum, askedByStep(step, runTimes))
    }
  }
  return sum
}

function askedByStep(step: Step, runTimes: RunTimes): Sums {
  const { cpu } = needOf(step)
  let ready = 0
  let placed = 0
  for (const { phase } of step.tasks) {
    if (phase === 'ready') ready++
    else if (phase === 'placed') placed++
  }
  if (step.spec.lasting) return { ...createSums(), lasting: cpu * (ready + placed) }
  return {
    lasting: 0,
    running: cpu * placed,
    backlog: cpu * ready * runTimes.meanOf(step),
    isolated: hasSoleSuspect(step) ? 1 : 0,
  }
}

function loadOf(agent: TargetAgent): Omit<TargetLoad, 'suspect'> {
  const placements = [...agent.placements.values()]
  const lasting = placements.filter(({ task }) => task?.step.spec.lasting).length
  const { capacity, free } = agent.room
  const known = placements.length + agent.heldRuns()
  return {
    id: agent.target.id,
    // What runs on a target that does not answer, or has not yet, is not known.
    runs: agent.isAnswering() ? known : Math.max(1, known),
    lasting,
    evacuating: agent.evacuating,
    usedCpu: capacity.cpu - free.cpu,
  }
}
