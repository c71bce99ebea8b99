/** What a service needs, for the owner of the fleet. */
import { hasSoleSuspect, isStepDone } from '../jobs/index.js'
import type { Job, JobBook, Step } from '../jobs/index.js'
import type { Resources } from '../ports/index.js'
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
const IMMEDIATE_REPORT_GROWTH = 0.15

/** Room that an owner which is behind asks for, as a multiple of what its tasks use. */
const BEHIND_HEADROOM = 1.5

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
interface Demand {
  lasting: number
  running: number
  backlog: number
}

/**
 * What tasks ask for by resource; memory as the processor room of the targets that have it. The
 * scarcer of the two says how many targets are needed: the dominant resource of A. Ghodsi et al.,
 * "Dominant resource fairness", NSDI 2011.
 */
interface DemandTotals {
  cpu: Demand
  memory: Demand
  /** Steps that need a target for themselves, as they will probably crash it. */
  isolated: number
}

/** Mean room of the targets of a service. */
type TargetRoom = Pick<Resources, 'cpu' | 'memMb'>

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
  /** Whether the owner cannot order what waits for it as fast as it comes. */
  isBehind(): boolean
  /** Whether evidence keeps tasks off the target. */
  isSuspect(agent: TargetAgent): boolean
}): DemandMeter {
  const { runTimes, isTimely, isBehind, isSuspect } = opts
  const arrivals = new Map<string, ArrivalMeter>()
  let sequence = 0
  let reportedCpu = 0
  /** Room of a target at the last report. */
  let targetRoom: TargetRoom = { cpu: 0, memMb: 0 }

  const meterOf = (queue: string): ArrivalMeter => {
    const known = arrivals.get(queue)
    if (known) return known
    const meter = createArrivalMeter()
    arrivals.set(queue, meter)
    return meter
  }

  /** Room by the scarcer resource, given the room for the amounts of one. */
  const roomFor = (
    { cpu, memory, isolated }: DemandTotals,
    amountOf: (amounts: Demand) => number,
  ): number => Math.max(amountOf(cpu), amountOf(memory)) + isolated * targetRoom.cpu

  /** Room for all that is asked for, and for the work that is expected. */
  const requiredRoom = (sums: DemandTotals, expected: number): number =>
    roomFor(
      sums,
      ({ lasting, running, backlog }) =>
        lasting + Math.max(running, expected) + backlog / CLEAR_BACKLOG_MS,
    )

  /**
   * What an owner that is behind can use: more room than its starts fill would stay empty, and be
   * missed elsewhere.
   */
  const usableRoom = (sums: DemandTotals): number =>
    roomFor(sums, ({ lasting, running }) => lasting + running * BEHIND_HEADROOM)

  function expectedCpu(now: number): number {
    let expected = 0
    for (const each of arrivals.values()) expected += each.expectedCpu(now)
    return expected
  }

  /** Adds what the tasks of a job ask for now: those of steps that may run and are not done. */
  function addJob(sum: DemandTotals, job: Job): void {
    for (const { steps } of job.occurrences) {
      for (const step of steps) {
        if (step.unblocked && !isStepDone(step)) addStep(sum, step, runTimes, targetRoom)
      }
    }
  }

  /** Thousandths of a core that the tasks need, now and soon. */
  function computeNeed(open: OpenJobs, now: number): Need {
    const all = createTotals()
    const timely = createTotals()
    for (const job of open) {
      addJob(all, job)
      if (isTimely(job, now)) addJob(timely, job)
    }
    timely.isolated = 0
    const expected = expectedCpu(now)
    const limit = isBehind() ? usableRoom(all) : Infinity
    return {
      cpu: Math.min(limit, requiredRoom(all, expected)),
      timelyCpu: Math.min(limit, requiredRoom(timely, expected)),
    }
  }

  /** The same without the question what can be in time, which costs most of it. */
  function neededCpu(open: OpenJobs, now: number): number {
    const all = createTotals()
    for (const job of open) addJob(all, job)
    const limit = isBehind() ? usableRoom(all) : Infinity
    return Math.min(limit, requiredRoom(all, expectedCpu(now)))
  }

  const meter: DemandMeter = {
    arrived(job, now) {
      let work = 0
      for (const step of job.occurrences[0]?.steps ?? []) {
        if (step.spec.lasting) continue
        const { cpu, memory } = roomOf(step, targetRoom)
        work += step.tasks.length * Math.max(cpu, memory) * runTimes.meanOf(step)
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
    hasGrown: (open, now) =>
      neededCpu(open, now) > reportedCpu * (1 + IMMEDIATE_REPORT_GROWTH),
    report(service, term, open, agents, now) {
      let minTargets = 0
      for (const job of open) {
        for (const { steps } of job.occurrences) {
          for (const step of steps) minTargets = Math.max(minTargets, minTargetsFor(step))
        }
      }
      targetRoom = meanRoomOf(agents)
      const { cpu, timelyCpu } = computeNeed(open, now)
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

const createDemand = (): Demand => ({ lasting: 0, running: 0, backlog: 0 })

const createTotals = (): DemandTotals => ({
  cpu: createDemand(),
  memory: createDemand(),
  isolated: 0,
})

/** Mean room of the targets; 0 without any. */
function meanRoomOf(agents: TargetAgent[]): TargetRoom {
  const count = Math.max(1, agents.length)
  const sum = { cpu: 0, memMb: 0 }
  for (const { room } of agents) {
    sum.cpu += room.capacity.cpu / count
    sum.memMb += room.capacity.memMb / count
  }
  return sum
}

/** Room that a task of the step takes by processor and by memory, in thousandths of a core. */
function roomOf(step: Step, { cpu, memMb }: TargetRoom): { cpu: number; memory: number } {
  const need = needOf(step)
  return { cpu: need.cpu, memory: memMb > 0 ? (need.memMb * cpu) / memMb : 0 }
}

function addStep(
  sum: DemandTotals,
  step: Step,
  runTimes: RunTimes,
  targetRoom: TargetRoom,
): void {
  const { cpu, memory } = roomOf(step, targetRoom)
  let ready = 0
  let placed = 0
  for (const { phase } of step.tasks) {
    if (phase === 'ready') ready++
    else if (phase === 'placed') placed++
  }
  if (step.spec.lasting) {
    sum.cpu.lasting += cpu * (ready + placed)
    sum.memory.lasting += memory * (ready + placed)
    return
  }
  const readyMs = ready * runTimes.meanOf(step)
  sum.cpu.running += cpu * placed
  sum.memory.running += memory * placed
  sum.cpu.backlog += cpu * readyMs
  sum.memory.backlog += memory * readyMs
  if (step.crashSuspects.size > 0 && hasSoleSuspect(step)) sum.isolated++
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
