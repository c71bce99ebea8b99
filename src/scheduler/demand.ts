/** Estimates the processor room that a service needs, for its report to the fleet's owner. */
import { hasSoleSuspect, isStepDone } from '../jobs/index.js'
import type { Job, JobBook, JobSpec, Step, StepSpec } from '../jobs/index.js'
import type { Resources } from '../ports/index.js'
import { dominantCpu, memoryAsCpu } from '../shares/index.js'
import { PLANNED_UTILIZATION } from '../vms/constants.js'
import type { ServiceReport, TargetLoad } from '../vms/types.js'
import { createArrivalMeter } from './arrivals.js'
import type { ArrivalMeter } from './arrivals.js'
import { needOf, takenCpuOf } from './room.js'
import type { RunTimes } from './runTimes.js'
import type { TargetAgent } from './types.js'
import { createUsableRoom } from './usableRoom.js'

/** Time in which the backlog should be finished, in ms: about the time to add a VM. */
const CLEAR_BACKLOG_MS = 1500
/**
 * Growth of the need since the last report that is reported at once, as a share of the reported
 * need: about one VM for a small service of seven. This saves up to 0.15 s, the usual interval
 * between reports.
 */
const IMMEDIATE_REPORT_GROWTH = 0.15

/** Jobs without an outcome. */
type OpenJobs = JobBook['open']

/** Tracks the arrival rate of work and sums up the needs of open jobs. */
export interface DemandMeter {
  /** Records the work of a new job. */
  noteArrival(job: JobSpec, now: number): void
  /**
   * Records the work of jobs that the predecessor accepted, at the acceptance times in their rows.
   * @param wallMs the present wall clock time, in ms
   */
  noteInherited(jobs: readonly Job[], now: number, wallMs: number): void
  /** Whether the need has grown enough since the last report to be reported at once. */
  hasGrown(open: OpenJobs, now: number): boolean
  /** Returns the room that the last report requested, in thousandths of a core. */
  requestedCpu(): number
  /** Returns the number of targets of mean capacity that it requested; 0 before the first target. */
  requestedTargets(): number
  /** Returns the room that the owner can use, in thousandths of a core; Infinity without a limit. */
  usableCpu(): number
  /** Returns the loads of the targets. */
  loads(agents: TargetAgent[]): TargetLoad[]
  report(
    service: string,
    term: number,
    open: OpenJobs,
    agents: TargetAgent[],
    now: number,
  ): ServiceReport
}

/** Room that tasks need, in thousandths of a core; for the backlog in thousandths times ms. */
interface Demand {
  lasting: number
  running: number
  backlog: number
}

/**
 * Room that tasks need by resource. Memory is converted to the processor room of the targets that
 * provide it. The scarcer resource determines how many targets are needed: the dominant resource of
 * A. Ghodsi et al., "Dominant resource fairness", NSDI 2011.
 */
interface DemandTotals {
  cpu: Demand
  memory: Demand
  /** Number of steps that need a target of their own because they will probably crash it. */
  isolated: number
}

/** Mean capacity of the targets of a service. */
type TargetRoom = Pick<Resources, 'cpu' | 'memMb'>

/** Room that a service needs, in thousandths of a core. */
interface Need {
  cpu: number
  /** Room for the jobs that can still meet their objective. */
  timelyCpu: number
}

/** Returns the minimum number of targets on which a lasting step fits. */
function minTargetsFor({ lasting, maxPerTarget, count }: StepSpec): number {
  if (!lasting || maxPerTarget === 0) return 0
  return Math.ceil(count / maxPerTarget)
}

/** Creates a meter without any recorded work. */
export function createDemandMeter(opts: {
  runTimes: RunTimes
  /** Whether the job can still meet its objective. */
  isTimely(job: Job, now: number): boolean
  /** Whether the owner cannot order starts as fast as they become due. */
  isBehind(): boolean
  /** Whether the owner still reads the jobs and runs of its predecessor. */
  isTakingOver(): boolean
  /** Whether evidence against the target keeps tasks off it. */
  isSuspect(agent: TargetAgent): boolean
}): DemandMeter {
  const { runTimes, isTimely, isBehind, isTakingOver, isSuspect } = opts
  const arrivals = new Map<string, ArrivalMeter>()
  let sequence = 0
  let reportedCpu = 0
  const usable = createUsableRoom()
  /** Mean capacity of the targets at the last report. */
  let targetRoom: TargetRoom = { cpu: 0, memMb: 0 }

  const meterOf = (queue: string): ArrivalMeter => {
    const known = arrivals.get(queue)
    if (known) return known
    const meter = createArrivalMeter()
    arrivals.set(queue, meter)
    return meter
  }

  /**
   * Returns the room that isolated steps and the scarcer resource need.
   * @param amountOf returns the room for the demand of one resource
   */
  const roomFor = (
    { cpu, memory, isolated }: DemandTotals,
    amountOf: (amounts: Demand) => number,
  ): number => Math.max(amountOf(cpu), amountOf(memory)) + isolated * targetRoom.cpu

  /** Returns the room for all open tasks and for the work that is expected to arrive. */
  const requiredRoom = (sums: DemandTotals, expected: number): number =>
    roomFor(
      sums,
      ({ lasting, running, backlog }) =>
        lasting + Math.max(running, expected) + backlog / CLEAR_BACKLOG_MS,
    )

  /** Returns the room that the owner can use; Infinity without a limit. */
  const usableRoom = ({ isolated }: DemandTotals): number =>
    usable.limit() + isolated * targetRoom.cpu

  function noteUse(
    sums: DemandTotals,
    required: number,
    agents: TargetAgent[],
    now: number,
  ): void {
    const { isFull, runningShare } = useOf(agents)
    const others = { ...sums, isolated: 0 }
    usable.note({
      now,
      capacity: targetRoom.cpu * agents.filter((agent) => !agent.isCordoned()).length,
      lasting: roomFor(others, ({ lasting }) => lasting),
      running: roomFor(others, ({ running }) => running) * runningShare,
      required,
      isFull,
      isBehind: isBehind(),
      isTakingOver: isTakingOver(),
    })
  }

  function expectedCpu(now: number): number {
    let expected = 0
    for (const each of arrivals.values()) expected += each.expectedCpu(now)
    return expected
  }

  /** Adds the needs of a job's present tasks: those of unblocked steps that are not done. */
  function addJob(sum: DemandTotals, job: Job): void {
    for (const { steps } of job.occurrences) {
      for (const step of steps) {
        if (step.unblocked && !isStepDone(step)) addStep(sum, step, runTimes, targetRoom)
      }
    }
  }

  /** Returns the room that open and expected tasks need. */
  function computeNeed(open: OpenJobs, agents: TargetAgent[], now: number): Need {
    const all = createTotals()
    const timely = createTotals()
    for (const job of open) {
      addJob(all, job)
      if (isTimely(job, now)) addJob(timely, job)
    }
    timely.isolated = 0
    const expected = expectedCpu(now)
    const required = requiredRoom(all, expected)
    noteUse(all, required, agents, now)
    const limit = usableRoom(all)
    return {
      cpu: Math.min(limit, required),
      timelyCpu: Math.min(limit, requiredRoom(timely, expected)),
    }
  }

  /** Returns only the total of {@link computeNeed}, whose check for timely jobs costs most. */
  function neededCpu(open: OpenJobs, now: number): number {
    const all = createTotals()
    for (const job of open) addJob(all, job)
    const limit = usableRoom(all)
    return Math.min(limit, requiredRoom(all, expectedCpu(now)))
  }

  const meter: DemandMeter = {
    noteArrival(job, now) {
      let work = 0
      for (const spec of job.steps) {
        if (spec.lasting) continue
        const step = { job: { spec: job }, spec }
        const cpu = dominantCpu(needOf(step), targetRoom)
        work += spec.count * cpu * runTimes.meanRunMs(step)
      }
      if (work > 0) meterOf(job.queue).note(work, now)
    },
    noteInherited(jobs, now, wallMs) {
      for (const { spec: job } of jobs) {
        // Clocks of nodes differ slightly: a job accepted in the future counts as accepted now.
        const ageMs = Math.max(0, wallMs - job.acceptedAtMs)
        meter.noteArrival(job, now - ageMs)
      }
    },
    requestedCpu: () => reportedCpu,
    requestedTargets: () => (targetRoom.cpu > 0 ? reportedCpu / targetRoom.cpu : 0),
    usableCpu: () => (usable.limit() === Infinity ? Infinity : reportedCpu),
    hasGrown: (open, now) =>
      neededCpu(open, now) > reportedCpu * (1 + IMMEDIATE_REPORT_GROWTH),
    loads: (agents) =>
      agents.map((agent) => ({ ...loadOf(agent), suspect: isSuspect(agent) })),
    report(service, term, open, agents, now) {
      let minTargets = 0
      for (const { spec } of open) {
        for (const step of spec.steps)
          minTargets = Math.max(minTargets, minTargetsFor(step))
      }
      targetRoom = meanRoomOf(agents)
      const { cpu, timelyCpu } = computeNeed(open, agents, now)
      reportedCpu = cpu
      sequence++
      return {
        service,
        term,
        sequence,
        neededCpu: cpu,
        timelyCpu,
        minTargets,
        targets: meter.loads(agents),
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

/** Returns the mean capacity of the targets; 0 without any. */
function meanRoomOf(agents: TargetAgent[]): TargetRoom {
  const count = Math.max(1, agents.length)
  const sum = { cpu: 0, memMb: 0 }
  for (const { room } of agents) {
    sum.cpu += room.capacity.cpu / count
    sum.memMb += room.capacity.memMb / count
  }
  return sum
}

/** How the targets of a service are used. */
interface TargetUse {
  /** Whether so much room of those that take new tasks is taken that tasks wait for it. */
  isFull: boolean
  /**
   * Share of the placed tasks, lasting ones left out, that run by the last reports of their targets.
   * The others wait for their start, or their end has not been heard of.
   */
  runningShare: number
}

function useOf(agents: TargetAgent[]): TargetUse {
  const open = { cpu: 0, takenCpu: 0 }
  let placed = 0
  let running = 0
  for (const agent of agents) {
    if (agent.isUsable()) {
      open.cpu += agent.room.capacity.cpu
      open.takenCpu += takenCpuOf(agent.room)
    }
    running += agent.reportedCpu()
    for (const { task } of agent.placements.values())
      if (task && !task.step.spec.lasting) placed += needOf(task.step).cpu
  }
  return {
    isFull: open.takenCpu >= open.cpu * PLANNED_UTILIZATION,
    runningShare: placed === 0 ? 1 : Math.min(1, running / placed),
  }
}

/** Returns the room that a task of the step takes by resource, in thousandths of a core. */
function roomOf(step: Step, target: TargetRoom): { cpu: number; memory: number } {
  const need = needOf(step)
  return { cpu: need.cpu, memory: memoryAsCpu(need.memMb, target) }
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
  const readyMs = ready * runTimes.meanRunMs(step)
  sum.cpu.running += cpu * placed
  sum.memory.running += memory * placed
  sum.cpu.backlog += cpu * readyMs
  sum.memory.backlog += memory * readyMs
  if (step.crashSuspects.size > 0 && hasSoleSuspect(step)) sum.isolated++
}

function loadOf(agent: TargetAgent): Omit<TargetLoad, 'suspect'> {
  const placements = [...agent.placements.values()]
  const lasting = placements.filter(({ task }) => task?.step.spec.lasting).length
  const known = placements.length + agent.heldRuns()
  return {
    id: agent.target.id,
    // The runs on a target that does not answer, or has not answered yet, are unknown.
    runs: agent.isAnswering() ? known : Math.max(1, known),
    lasting,
    evacuating: agent.evacuating,
    usedCpu: takenCpuOf(agent.room),
  }
}
