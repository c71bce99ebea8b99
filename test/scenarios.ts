/** Random scenarios of a rig: actions that it can recover from, and the checks after them. */
import fc from 'fast-check'
import type { Feature } from '../src/config/index.js'
import { createJobMemory, openJobBytes } from '../src/jobs/index.js'
import type { JobSpec } from '../src/jobs/index.js'
import { DEFAULT_STORE_LIMITS } from '../src/ports/index.js'
import { sleep } from '../src/shared/index.js'
import type { LedgerEvent } from '../playground/sim/runLedger.js'
import { createBusyNodes } from './busyNodes.js'
import type { BusyNodes, OtherNode } from './busyNodes.js'
import { QUEUE, createJobRig, findGuaranteeViolation, makeJob } from './jobRig.js'
import type { JobRig, RigOwner } from './jobRig.js'

/** An action, and the pause after it. */
export interface Step {
  kind: string
  /** Selects a target or a parameter of the action. */
  pick: number
  waitMs: number
}

export interface Simulation {
  rig: JobRig
  owner: RigOwner
  jobs: ReturnType<typeof makeJob>[]
  dead: Set<string>
  silent: Set<string>
  targets: number
  /** Nodes through which targets are called; undefined without any. */
  nodes: BusyNodes | undefined
  /** Incarnations that were unreachable for longer than a lease. */
  unreachable: Set<string>
}

export const targetAt = ({ rig }: Simulation, pick: number) => {
  const all = [...rig.targets.values()]
  return all[pick % all.length]!
}

export const otherNodeAt = ({ nodes }: Simulation, pick: number): OtherNode => {
  const { others = [] } = nodes ?? {}
  return others[pick % others.length]!
}

export type Action = (sim: Simulation, pick: number) => void | Promise<void>

/** Actions of a scenario; the simulation can recover from any of them. */
export const ACTIONS = {
  submit(sim: Simulation, pick: number) {
    const steps = pick % 2 ? [{ count: 3 }, { count: 2, after: [0] }] : [{ count: 4 }]
    const job = makeJob({ ms: 40 + (pick % 5) * 60, cpu: 500 }, steps)
    sim.jobs.push(job)
    sim.rig.submit(sim.owner, job)
  },
  crash(sim: Simulation, pick: number) {
    const target = targetAt(sim, pick)
    target.crash()
    sim.dead.add(target.id)
    sim.rig.targets.delete(target.id)
    sim.rig.removeListEntry(target.id)
    sim.targets++
    sim.rig.addTarget(`t${sim.targets}`)
  },
  silence(sim: Simulation, pick: number) {
    const target = targetAt(sim, pick)
    target.faults.silent = true
    sim.silent.add(target.id)
  },
  speak(sim: Simulation) {
    for (const target of sim.rig.targets.values()) target.faults.silent = false
  },
  late(sim: Simulation, pick: number) {
    const { faults } = targetAt(sim, pick)
    faults.isLate = () => true
    faults.lateMs = 50 + (pick % 7) * 60
  },
  someLate(sim: Simulation, pick: number) {
    const { faults } = targetAt(sim, pick)
    let orders = pick
    faults.isLate = () => ++orders % 3 === 0
    faults.lateMs = 50 + (pick % 7) * 100
  },
  overtake(sim: Simulation, pick: number) {
    const { faults } = targetAt(sim, pick)
    let answers = pick
    faults.delayMs = 20 + (pick % 5) * 30
    faults.isDelayed = () => ++answers % 3 === 0
  },
  mute(sim: Simulation, pick: number) {
    targetAt(sim, pick).faults.mute = true
  },
  wellAgain(sim: Simulation) {
    for (const { faults } of sim.rig.targets.values()) {
      faults.lateMs = 0
      faults.isLate = () => true
      faults.delayMs = 0
      faults.isDelayed = () => true
      faults.mute = false
    }
  },
  async takeOver(sim: Simulation, pick: number) {
    // The former owner's lease has expired: it continues in its grace period, or has stopped.
    sim.owner.confirmed = false
    if (pick % 2) sim.owner.live = false
    // The next owner is on another node.
    if (sim.rig.memory) sim.rig.memory = createScarceMemory()
    sim.owner = await sim.rig.startOwner(true)
  },
  loseAnswers(sim: Simulation, pick: number) {
    sim.rig.table.faults.lostShare = 0.4
    sim.rig.table.faults.lateMs = pick % 3 ? 150 : 0
  },
  partsApart(sim: Simulation, pick: number) {
    sim.rig.table.faults.readDelayMs = (part) =>
      (part.charCodeAt(part.length - 1) % 5) * pick * 4
  },
  storeWell(sim: Simulation) {
    sim.rig.table.faults.lostShare = 0
    sim.rig.table.faults.readDelayMs = () => 0
  },
} satisfies Record<string, Action>

/** The same while targets are called through other nodes, with faults of these nodes. */
export const FORWARDING_ACTIONS = {
  ...ACTIONS,
  nodeEnds: (sim: Simulation, pick: number) =>
    void (otherNodeAt(sim, pick).faults.isDown = true),
  nodeIsMute: (sim: Simulation, pick: number) =>
    void (otherNodeAt(sim, pick).faults.isMute = true),
  nodeIsLate: (sim: Simulation, pick: number) =>
    void (otherNodeAt(sim, pick).faults.lateMs = 100 + pick * 150),
  nodeIsCutOff: (sim: Simulation, pick: number) =>
    void (otherNodeAt(sim, pick).faults.isCutOff = true),
  nodeIsReplaced: (sim: Simulation, pick: number) => otherNodeAt(sim, pick).restart(),
  nodesAreWell({ nodes }: Simulation) {
    for (const { faults } of nodes?.others ?? [])
      Object.assign(faults, {
        isDown: false,
        isMute: false,
        lateMs: 0,
        isCutOff: false,
        cutOffFrom: new Set(),
      })
  },
} satisfies Record<string, Action>

/** Memory for a few jobs, one of them with many tasks. */
const createScarceMemory = () =>
  createJobMemory(2 * openJobBytes(makeJob({}, [{ count: 100 }])))

const SMALL_LIMITS = { ...DEFAULT_STORE_LIMITS, entries: 24, rowBytes: 300 }

export const stepsOf = (
  actions: Record<string, Action>,
  maxWaitMs = 250,
): fc.Arbitrary<Step[]> =>
  fc.array(
    fc.record({
      kind: fc.constantFrom(...Object.keys(actions)),
      pick: fc.nat({ max: 20 }),
      waitMs: fc.nat({ max: maxWaitMs }),
    }),
    { minLength: 15, maxLength: 35 },
  )

/** Ends all faults that last. */
function recover(sim: Simulation): void {
  ACTIONS.speak(sim)
  ACTIONS.wellAgain(sim)
  for (const { faults } of sim.rig.targets.values())
    Object.assign(faults, { slowness: 1, hangs: false })
  ACTIONS.storeWell(sim)
  sim.rig.table.faults.brokenParts.clear()
  sim.rig.table.faults.silentParts.clear()
  FORWARDING_ACTIONS.nodesAreWell(sim)
}

/** Has the owners of a rig call their targets through other nodes whenever these answer. */
function startOtherNodes(rig: JobRig): BusyNodes {
  const costs = { startMs: 0, reportMs: 0 }
  const nodes = createBusyNodes({
    orders: rig.orders,
    costs,
    others: 3,
    askFromShare: 0,
    log: rig.log,
  })
  rig.orders = nodes.orders
  return nodes
}

export async function runScenario(
  scenario: Step[],
  {
    actions,
    features = [],
    noteCopies,
    forwards = false,
    isScarce = false,
    afterMs = 0,
    failing = ['failed'],
    findViolation = findTargetViolation,
    start = (each) => each.startOwner(),
  }: Model,
): Promise<string | undefined> {
  const rig = createJobRig()
  rig.features = new Set(features)
  if (isScarce) {
    rig.memory = createScarceMemory()
    rig.table.faults.limits = SMALL_LIMITS
  }
  /** Times at which ends `done` were first acknowledged, by task. */
  const recorded = new Map<string, number>()
  const done = new Set<string>()
  rig.ledger.watch = ({ what, task, run, at }) => {
    if (what === 'done') done.add(`${task} ${run}`)
    const isDone = what === 'noted' && done.has(`${task} ${run}`)
    if (isDone && !recorded.has(task)) recorded.set(task, at)
  }
  let calls = 0
  rig.table.faults.random = () => ((calls++ * 7919) % 100) / 100
  const nodes = forwards ? startOtherNodes(rig) : undefined
  for (const id of ['t1', 't2', 't3']) rig.addTarget(id, {}, { maxListedEnds: 3 })
  const owner = await start(rig)
  const sim: Simulation = {
    rig,
    owner,
    jobs: [],
    dead: new Set(),
    silent: new Set(),
    targets: 3,
    nodes,
    unreachable: new Set(),
  }
  for (let each = 0; each < 6; each++) ACTIONS.submit(sim, each)
  for (const { kind, pick, waitMs } of scenario) {
    await actions[kind]?.(sim, pick)
    await sleep(waitMs)
  }
  recover(sim)
  const settled = await rig.waitForOutcomes(sim.jobs, 30_000)
  await sleep(afterMs)
  const broken = findViolation(sim, recorded)
  await rig.stop()
  nodes?.stop()
  noteCopies?.(rig.log.events.filter(({ name }) => name === 'copyOrdered').length)
  if (broken !== undefined) {
    const task = broken.split(' ')[0]
    const about = rig.ledger.entries.filter((entry) => entry.task === task)
    const told = rig.log.events.filter(
      ({ name, fields }) =>
        fields['task'] === task ||
        /ownerStarted|takeoverDone|targetGone|targetHeard|targetReborn|roster/.test(name),
    )
    return `${broken}: ${JSON.stringify({ about, told })}`
  }
  if (!settled) return 'jobs are not settled'
  const failures = new Map<string, number>()
  for (const { what, task } of rig.ledger.entries)
    if (failing.includes(what)) failures.set(task, (failures.get(task) ?? 0) + 1)
  const hasUsedUpAttempts = ({ id }: JobSpec): boolean =>
    [...failures].some(
      ([task, count]) => task.startsWith(id) && count >= QUEUE.maxAttempts,
    )
  const bad = sim.jobs.find(
    (job) => rig.outcomeOf(job) !== 'completed' && !hasUsedUpAttempts(job),
  )
  return bad && `${bad.id} ended ${rig.outcomeOf(bad)}`
}

/** Seed of the scenarios in CI; others are run with `MODEL_SEED=7 MODEL_RUNS=50`. */
export const SEED = Number(process.env['MODEL_SEED'] ?? 20261202)
export const RUNS = Number(process.env['MODEL_RUNS'] ?? 12)

export interface Model {
  actions: Record<string, Action>
  features?: Feature[]
  /** Whether targets are called through other nodes. */
  forwards?: boolean
  /** Whether owners have memory for a few jobs, and the store takes small rows and transactions. */
  isScarce?: boolean
  /** Receives the number of copies that a scenario has ordered. */
  noteCopies?(count: number): void
  /** Events that count as failed attempts of a task; only failed ends by default. */
  failing?: readonly LedgerEvent[]
  /** Time after the end of all jobs in which what was still under way takes effect, in ms. */
  afterMs?: number
  /**
   * Describes the first violation of a guarantee, by default of those of each target.
   * @param recorded times at which ends `done` were first acknowledged, by task
   */
  findViolation?(
    sim: Simulation,
    recorded: ReadonlyMap<string, number>,
  ): string | undefined
  /** Starts the first owner. */
  start?(rig: JobRig): Promise<RigOwner>
}

const findTargetViolation = ({ rig, dead, silent }: Simulation): string | undefined =>
  findGuaranteeViolation(rig.ledger, dead, silent)
