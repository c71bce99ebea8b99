/** Plan of a run of the soak, drawn from a seed or read from a file. */
import { readFileSync } from 'node:fs'
import { z } from 'zod'
import { createRandom, exponential } from '../random.js'
import type { Random } from '../random.js'
import { FAULT_KINDS } from './faultKinds.js'
import type { FaultGroup } from './faultKinds.js'

/** Mean run time of a task in most plans, in ms. */
const MEAN_TASK_MS = 500

const faultSchema = z.object({
  /** Time after the first job, in ms. */
  at: z.number(),
  kind: z.string(),
  /** Index of the object affected, modulo the number of candidates. */
  which: z.number().int(),
  /** Duration, in ms. */
  forMs: z.number(),
  /** Severity or variant, from 0 to 1. */
  level: z.number(),
})
/** A fault of a run. */
export type Fault = z.infer<typeof faultSchema>

const planSchema = z.object({
  seed: z.number().int(),
  nodes: z.number().int().min(1),
  /** Number of targets in the pool of each queue. */
  targets: z.number().int().min(1),
  /** Number of VMs in the idle pool. If it is 0, nodes have no access to the cloud interface. */
  idleVms: z.number().int(),
  jobsPerSecond: z.number(),
  /** Fraction of jobs whose tasks fail on every target, from 0 to 1. */
  hopelessShare: z.number(),
  /** Mean run time of a task, in ms. */
  meanTaskMs: z.number().default(MEAN_TASK_MS),
  /** Whether all nodes call targets through others whenever they can, instead of every second. */
  allForward: z.boolean().default(false),
  /** Number of organisations; if it is 0, callers have no keys. */
  organisations: z.number().int().default(0),
  /** Time during which jobs are submitted and faults begin, in ms. */
  lengthMs: z.number(),
  faults: z.array(faultSchema),
})
/** Everything about a run that is determined in advance. */
export type SoakPlan = z.infer<typeof planSchema>

/** Mean interval of faults by group, in ms. */
const MEAN_INTERVAL_MS = { target: 2500, pool: 9000, planned: 5000 } as const
/**
 * Mean interval of waves of maintenance, in ms, and the seed offset of their own generator, which
 * leaves the other faults of a seed unchanged.
 */
const WAVE_INTERVAL_MS = 15_000
const WAVE_SEED_OFFSET = 2_000_000
/**
 * Mean interval of restarts of targets under the same id, in ms, and the seed offset of their own
 * generator, which leaves the other faults of a seed unchanged.
 */
const RESTART_INTERVAL_MS = 6000
const RESTART_SEED_OFFSET = 3_000_000
/**
 * Mean interval of changes of keys and maxima, in ms, the seed offset of their own generator, which
 * leaves the other faults of a seed unchanged, and the most organisations of a run.
 */
const ORGANISATION_INTERVAL_MS = 4000
const ORGANISATION_SEED_OFFSET = 4_000_000
const MAX_ORGANISATIONS = 3
/**
 * Mean interval of cordons of data halls, in ms, and the seed factor of their own generator, which
 * leaves the other faults of a seed unchanged. Seeds that differ by their last bits alone give
 * generators that begin with nearly the same numbers.
 */
const CORDON_INTERVAL_MS = 12_000
const CORDON_SEED_FACTOR = 0x9e3779b1
/**
 * Mean interval of changes of the routes that clients use, in ms, and the seed offset of their own
 * generator, which leaves the other faults of a seed unchanged.
 */
const ROUTE_INTERVAL_MS = 4000
const ROUTE_SEED_OFFSET = 6_000_000
/**
 * Mean interval of faults of the list of VMs and of orders, in ms, and the seed offset of their own
 * generator, which leaves the other faults of a seed unchanged.
 */
const CLOUD_INTERVAL_MS = 5000
const CLOUD_SEED_OFFSET = 7_000_000
/**
 * Plans of restarts: mean intervals of their groups of faults, in ms, the mean run time of a task,
 * which is longer than most restarts, and the seed offset of their generator.
 */
const RESTART_PLAN_INTERVAL_MS = {
  rapidRestart: 1800,
  restartBesideFault: 2200,
  target: 6000,
  node: 8000,
} as const
const RESTART_PLAN_TASK_MS = 2500
const RESTART_PLAN_SEED_OFFSET = 8_000_000
/** Mean interval of faults of nodes and the store within a series, in ms. */
const SERIES_INTERVAL_MS = 1200
/** Mean length of a series of faults of nodes and the store, and of the time between two, in ms. */
const SERIES_MS = 7000
const UNDISTURBED_MS = 12_000
/** Time before the first series of a run, in ms. */
const INITIAL_UNDISTURBED_MS = 6000

/** Draws the duration of a fault as a multiple of the usual one. */
type DrawDuration = (random: Random) => number

const drawEvenly: DrawDuration = (random) => 0.4 + 1.6 * random()

/** Draws from an eighth to twice the usual duration, short ones as often as long ones. */
const drawWidely: DrawDuration = (random) => 2 * 16 ** (random() - 1)

function drawFault(
  random: Random,
  groups: FaultGroup[],
  at: number,
  drawDuration: DrawDuration,
): Fault {
  const kinds = Object.entries(FAULT_KINDS).filter(([, kind]) =>
    groups.includes(kind.group),
  )
  const [kind, { usualMs }] = kinds[Math.floor(random() * kinds.length)]!
  const forMs = Math.round(usualMs * drawDuration(random))
  const which = Math.floor(random() * 1000)
  return { at: Math.round(at), kind, which, forMs, level: random() }
}

/** Draws faults with exponentially distributed intervals. They may overlap. */
function drawSeries(
  random: Random,
  groups: FaultGroup[],
  gapMs: number,
  [from, until]: [number, number],
  drawDuration = drawEvenly,
): Fault[] {
  const faults: Fault[] = []
  let at = from + exponential(random, gapMs)
  while (at < until) {
    faults.push(drawFault(random, groups, at, drawDuration))
    at += exponential(random, gapMs)
  }
  return faults
}

/** Draws series of faults of nodes and the store, with undisturbed time between them. */
function drawDisturbedPeriods(random: Random, lengthMs: number): Fault[] {
  const faults: Fault[] = []
  let from = INITIAL_UNDISTURBED_MS
  while (from < lengthMs) {
    const until = Math.min(lengthMs, from + SERIES_MS * (0.5 + random()))
    faults.push(
      ...drawSeries(random, ['node', 'store'], SERIES_INTERVAL_MS, [from, until]),
    )
    from = until + UNDISTURBED_MS * (0.7 + 0.6 * random())
  }
  return faults
}

/** Draws the plan of a seed; the same seed gives the same plan. */
export function drawPlan(seed: number, lengthMs: number): SoakPlan {
  const random = createRandom(seed)
  const groups = Object.entries(MEAN_INTERVAL_MS) as [FaultGroup, number][]
  const nodes = 2 + Math.floor(random() * 3)
  const targets = 1 + Math.floor(random() * 4)
  const idleVms = random() < 0.5 ? 0 : 2
  const waves = createRandom(seed + WAVE_SEED_OFFSET)
  const restarts = createRandom(seed + RESTART_SEED_OFFSET)
  const changes = createRandom(seed + ORGANISATION_SEED_OFFSET)
  const cordons = createRandom(seed * CORDON_SEED_FACTOR)
  const routes = createRandom((seed + ROUTE_SEED_OFFSET) * CORDON_SEED_FACTOR)
  const cloud = createRandom((seed + CLOUD_SEED_OFFSET) * CORDON_SEED_FACTOR)
  const drawnOrganisations = Math.floor(changes() * (MAX_ORGANISATIONS + 1))
  // Without the cloud interface nobody divides quotas, and equal parts may be too small for a task.
  const organisations = idleVms === 0 ? 0 : drawnOrganisations
  return {
    seed,
    nodes,
    targets,
    idleVms,
    jobsPerSecond: 2 + 4 * random(),
    hopelessShare: 0.04,
    meanTaskMs: MEAN_TASK_MS,
    allForward: false,
    organisations,
    lengthMs,
    faults: [
      ...drawDisturbedPeriods(random, lengthMs),
      ...groups.flatMap(([group, gapMs]) =>
        drawSeries(random, [group], gapMs, [1000, lengthMs]),
      ),
      // Without the cloud interface no node reads the list of VMs or carries out a wave.
      ...(idleVms === 0
        ? []
        : [
            ...drawSeries(waves, ['wave'], WAVE_INTERVAL_MS, [1000, lengthMs]),
            ...drawSeries(cloud, ['cloud'], CLOUD_INTERVAL_MS, [1000, lengthMs]),
          ]),
      ...drawSeries(restarts, ['restart'], RESTART_INTERVAL_MS, [1000, lengthMs]),
      ...drawSeries(routes, ['route'], ROUTE_INTERVAL_MS, [1000, lengthMs]),
      ...drawSeries(cordons, ['cordon'], CORDON_INTERVAL_MS, [1000, lengthMs]),
      ...(organisations === 0
        ? []
        : drawSeries(changes, ['organisation'], ORGANISATION_INTERVAL_MS, [
            1000,
            lengthMs,
          ])),
    ].sort((a, b) => a.at - b.at),
  }
}

/**
 * Draws a plan of restarts of targets under their ids, with long tasks and faults of nodes, links
 * and the store around the restarts.
 */
export function drawRestartPlan(seed: number, lengthMs: number): SoakPlan {
  const random = createRandom((seed + RESTART_PLAN_SEED_OFFSET) * CORDON_SEED_FACTOR)
  const groups = Object.entries(RESTART_PLAN_INTERVAL_MS) as [FaultGroup, number][]
  return {
    seed,
    nodes: 3 + Math.floor(random() * 2),
    targets: 2 + Math.floor(random() * 3),
    idleVms: random() < 0.5 ? 0 : 2,
    jobsPerSecond: 3 + 4 * random(),
    // Twelve long attempts of a failing task would last longer than the run.
    hopelessShare: 0,
    meanTaskMs: RESTART_PLAN_TASK_MS,
    allForward: random() < 0.5,
    organisations: 0,
    lengthMs,
    faults: groups
      .flatMap(([group, gapMs]) =>
        drawSeries(random, [group], gapMs, [1000, lengthMs], drawWidely),
      )
      .sort((a, b) => a.at - b.at),
  }
}

/** Reads a plan from a JSON file. */
export const readPlan = (file: string): SoakPlan =>
  planSchema.parse(JSON.parse(readFileSync(file, 'utf8')))
